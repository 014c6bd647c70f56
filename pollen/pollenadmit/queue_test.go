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

// limitedServers is a set of servers with capacity for a number of requests, and the names of the requests started.
type limitedServers struct {
	capacity int
	started  []string
}

// tryStart returns the TryStart function of the named request.
func (s *limitedServers) tryStart(name string) func(time.Time) bool {
	return func(time.Time) bool {
		if s.capacity == 0 {
			return false
		}
		s.capacity--
		s.started = append(s.started, name)
		return true
	}
}

// Load pattern: more requests of mixed priorities arrive than the servers have capacity for. Urgent ones must start
// first, without starving those that have waited longer than the priority makes up for.
func TestStartsByPriorityAndArrival(t *testing.T) {
	type arrival struct {
		name        string
		delay       time.Duration
		priority    int
		callerRetry bool
	}
	tests := []struct {
		name     string
		arrivals []arrival
		want     []string
	}{
		{"arrival", []arrival{{"a", 0, 1, false}, {"b", time.Millisecond, 1, false}}, []string{"a", "b"}},
		{"urgent first", []arrival{{"a", 0, 2, false}, {"b", time.Millisecond, 1, false}, {"c", 2 * time.Millisecond, 0, false}}, []string{"c", "b", "a"}},
		{"returned behind others", []arrival{{"a", 0, 0, true}, {"b", 3 * priorityInterval, 2, false}}, []string{"b", "a"}},
		{"not starved", []arrival{{"a", 0, 1, false}, {"b", 2 * priorityInterval, 0, false}}, []string{"a", "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				queue, servers := &Queue{}, &limitedServers{}
				start := time.Now()
				var inFlight sync.WaitGroup
				for _, a := range test.arrivals {
					time.Sleep(time.Until(start.Add(a.delay)))
					inFlight.Go(func() {
						request := Request{Priority: a.priority, CallerRetry: a.callerRetry, Arrived: time.Now(), Deadline: start.Add(time.Second), TryStart: servers.tryStart(a.name)}
						qt.Check(t, queue.Admit(t.Context(), request), qt.IsTrue)
					})
					synctest.Wait()
				}
				qt.Check(t, queue.Len(), qt.Equals, len(test.arrivals))
				for range test.arrivals {
					servers.capacity = 1
					queue.Dispatch(time.Now())
				}
				inFlight.Wait()
				qt.Check(t, servers.started, qt.DeepEquals, test.want)
				qt.Check(t, queue.Len(), qt.Equals, 0)
			})
		})
	}
}

// A waiting request must be refused at its deadline or when its caller disconnects, and must not stay in the queue.
func TestRefusesAtDeadlineOrCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		queue, servers := &Queue{}, &limitedServers{}
		start := time.Now()
		admit := func(ctx context.Context, wait time.Duration) bool {
			return queue.Admit(ctx, Request{Arrived: start, Deadline: start.Add(wait), TryStart: servers.tryStart("a")})
		}
		c.Assert(admit(t.Context(), 20*time.Millisecond), qt.IsFalse)
		c.Assert(time.Since(start), qt.Equals, 20*time.Millisecond)
		c.Assert(admit(t.Context(), -time.Second), qt.IsFalse)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		c.Assert(admit(ctx, time.Second), qt.IsFalse)
		c.Assert(queue.Len(), qt.Equals, 0)
		servers.capacity = 1
		c.Assert(admit(t.Context(), -time.Second), qt.IsTrue, qt.Commentf("capacity at once"))
	})
}

// A request without capacity must not block those that need other servers.
func TestBlockedRequestDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		queue, full, free := &Queue{}, &limitedServers{}, &limitedServers{capacity: 1}
		deadline := time.Now().Add(time.Second)
		go queue.Admit(t.Context(), Request{CapacityKey: "full", Arrived: time.Now(), Deadline: deadline, TryStart: full.tryStart("a")})
		synctest.Wait()
		c.Assert(queue.Admit(t.Context(), Request{Arrived: time.Now(), Deadline: deadline, TryStart: free.tryStart("b")}), qt.IsTrue)
		c.Assert(fmt.Sprint(full.started, free.started), qt.Equals, "[] [b]")
	})
}

// Load pattern: one team has many requests waiting when others send single ones. Guards against teams that are served by what
// they send, and against a team's priority that does not count.
func TestTeamsShareStartsFairly(t *testing.T) {
	type arrival struct {
		name, team string
		priority   int
	}
	tests := []struct {
		name     string
		arrivals []arrival
		want     []string
	}{
		{"hot team first", []arrival{{"h1", "hot", 1}, {"h2", "hot", 1}, {"h3", "hot", 1}, {"a", "a", 1}, {"b", "b", 1}}, []string{"h1", "a", "b", "h2", "h3"}},
		{"by priority", []arrival{{"h1", "hot", 1}, {"h2", "hot", 1}, {"u", "u", 0}, {"a", "a", 1}}, []string{"u", "h1", "a", "h2"}},
		{"one team", []arrival{{"h1", "hot", 1}, {"h2", "hot", 1}}, []string{"h1", "h2"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				queue, servers := &Queue{}, &limitedServers{}
				var inFlight sync.WaitGroup
				for _, a := range test.arrivals {
					inFlight.Go(func() {
						now := time.Now()
						queue.Admit(t.Context(), Request{Priority: a.priority, Team: a.team, Arrived: now, Deadline: now.Add(time.Second), TryStart: servers.tryStart(a.name)})
					})
					synctest.Wait()
					time.Sleep(time.Millisecond)
				}
				for range test.arrivals {
					servers.capacity = 1
					queue.Dispatch(time.Now())
				}
				inFlight.Wait()
				qt.Check(t, servers.started, qt.DeepEquals, test.want)
			})
		})
	}
}

// Load pattern: servers start one request in 20 ms, and callers send many more. A request that cannot start by its deadline must be
// refused on arrival instead of being held until then.
func TestRefusesHopelessOnArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		queue, servers := &Queue{}, &limitedServers{}
		admit := func() (bool, time.Duration) {
			start := time.Now()
			ok := queue.Admit(t.Context(), Request{Arrived: start, Deadline: start.Add(50 * time.Millisecond), TryStart: servers.tryStart("r")})
			return ok, time.Since(start)
		}
		start := func() {
			time.Sleep(20 * time.Millisecond)
			servers.capacity = 1
			queue.Dispatch(time.Now())
		}
		for range 2 {
			go admit()
			synctest.Wait()
			time.Sleep(time.Millisecond)
		}
		start()
		start()
		for range 3 {
			go admit()
			synctest.Wait()
			time.Sleep(time.Millisecond)
		}
		c.Assert(queue.Len(), qt.Equals, 3)
		ok, took := admit()
		c.Assert(ok, qt.IsFalse)
		c.Assert(took, qt.Equals, time.Duration(0))
		time.Sleep(time.Second)
		c.Assert(queue.Len(), qt.Equals, 0)
	})
}
