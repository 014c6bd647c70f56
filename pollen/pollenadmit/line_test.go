package pollenadmit

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// room is what requests start in.
type room struct {
	free  int
	order []string
}

func (r *room) start(name string) func(time.Time) bool {
	return func(time.Time) bool {
		if r.free == 0 {
			return false
		}
		r.free--
		r.order = append(r.order, name)
		return true
	}
}

// Load pattern: more requests arrive than find room, urgent and less urgent ones mixed. Urgent ones go first, and those
// that have waited longer than an urgent one may overtake are not starved by it.
func TestOrder(t *testing.T) {
	type arrival struct {
		name     string
		after    time.Duration
		priority int
		returned bool
	}
	tests := []struct {
		name     string
		arrivals []arrival
		want     []string
	}{
		{"arrival", []arrival{{"a", 0, 1, false}, {"b", time.Millisecond, 1, false}}, []string{"a", "b"}},
		{"urgent first", []arrival{{"a", 0, 2, false}, {"b", time.Millisecond, 1, false}, {"c", 2 * time.Millisecond, 0, false}}, []string{"c", "b", "a"}},
		{"returned behind others", []arrival{{"a", 0, 0, true}, {"b", 3 * rankAhead, 2, false}}, []string{"b", "a"}},
		{"not starved", []arrival{{"a", 0, 1, false}, {"b", 2 * rankAhead, 0, false}}, []string{"a", "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				line, r := &Line{}, &room{}
				begun := time.Now()
				var open sync.WaitGroup
				for _, a := range test.arrivals {
					time.Sleep(time.Until(begun.Add(a.after)))
					open.Go(func() {
						request := Request{Priority: a.priority, Returned: a.returned, Arrived: time.Now(), Until: begun.Add(time.Second), Start: r.start(a.name)}
						qt.Check(t, line.Enter(t.Context(), request), qt.IsTrue)
					})
					synctest.Wait()
				}
				qt.Check(t, line.Waiting(), qt.Equals, len(test.arrivals))
				for range test.arrivals {
					r.free = 1
					line.Wake(time.Now())
				}
				open.Wait()
				qt.Check(t, r.order, qt.DeepEquals, test.want)
				qt.Check(t, line.Waiting(), qt.Equals, 0)
			})
		})
	}
}

func TestTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		line, r := &Line{}, &room{}
		begun := time.Now()
		enter := func(ctx context.Context, wait time.Duration) bool {
			return line.Enter(ctx, Request{Arrived: begun, Until: begun.Add(wait), Start: r.start("a")})
		}
		c.Assert(enter(t.Context(), 20*time.Millisecond), qt.IsFalse)
		c.Assert(time.Since(begun), qt.Equals, 20*time.Millisecond)
		c.Assert(enter(t.Context(), -time.Second), qt.IsFalse)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		c.Assert(enter(ctx, time.Second), qt.IsFalse)
		c.Assert(line.Waiting(), qt.Equals, 0)
		r.free = 1
		c.Assert(enter(t.Context(), -time.Second), qt.IsTrue, qt.Commentf("room at once"))
	})
}

// A request that finds no room does not hold up those that need other servers.
func TestOthersPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		line, full, free := &Line{}, &room{}, &room{free: 1}
		until := time.Now().Add(time.Second)
		go line.Enter(t.Context(), Request{Key: "full", Arrived: time.Now(), Until: until, Start: full.start("a")})
		synctest.Wait()
		c.Assert(line.Enter(t.Context(), Request{Arrived: time.Now(), Until: until, Start: free.start("b")}), qt.IsTrue)
		c.Assert(fmt.Sprint(full.order, free.order), qt.Equals, "[] [b]")
	})
}
