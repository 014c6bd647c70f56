package pollenbudget

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var limits = Config{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}

// event is a first or an extra request at a time.
type event struct {
	at    time.Duration
	extra bool
}

// Load pattern: all servers of a service fail, so that nine instances want an extra request for each caller's request,
// while the load rises and falls, and each instance restarts once and forgets what it has spent. In no window may the
// extra requests of all instances exceed the limit.
func TestFleetStaysWithinLimit(t *testing.T) {
	const instances = 9
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		begun := time.Unix(1_000_000, 0)
		var events []event
		budgets := make([]*Budget, instances)
		for i := range budgets {
			budgets[i] = New(limits)
		}
		rate := 100.0
		for now := time.Duration(0); now < 60*time.Second; now += time.Duration(float64(time.Second) / rate) {
			if random.IntN(2000) == 0 {
				rate = 5 + 200*random.Float64()
			}
			if now > 20*time.Second && now < 22*time.Second && random.IntN(20) == 0 {
				budgets[random.IntN(instances)] = New(limits)
			}
			i := random.IntN(instances)
			budgets[i].Count("s", begun.Add(now))
			events = append(events, event{at: now})
			if budgets[i].Take("s", begun.Add(now), instances) {
				events = append(events, event{at: now, extra: true})
			}
		}
		assertWindows(t, seed, events)
	}
}

// assertWindows checks every window that ends at an event against the requests in it, the window before it and the
// one half a window before it, whichever has most.
func assertWindows(t *testing.T, seed uint64, events []event) {
	t.Helper()
	count := func(from, to time.Duration, extra bool) float64 {
		n := 0.0
		for _, e := range events {
			if e.at > from && e.at <= to && e.extra == extra {
				n++
			}
		}
		return n
	}
	w := limits.Window
	for end := w; end < 60*time.Second; end += 700 * time.Millisecond {
		extra := count(end-w, end, true)
		first := max(count(end-w, end, false), count(end-w-w/2, end-w/2, false), count(end-2*w, end-w, false))
		if allowed := limits.Ratio*first + limits.Slack; extra > allowed {
			t.Fatalf("seed %d: %v extra requests in the window that ends at %v, %v allowed", seed, extra, end, allowed)
		}
	}
}

func TestTake(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tests := []struct {
		name    string
		first   int
		want    int
		elapsed time.Duration
	}{
		{"slack alone", 0, 29, 0},
		{"ratio and slack", 100, 47, 0},
		{"requests count for a window", 100, 47, 9 * time.Second},
		{"requests are forgotten after it", 100, 29, 11 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := New(limits)
			for range test.first {
				b.Count("s", now)
			}
			taken := 0
			for b.Take("s", now.Add(test.elapsed), 1) {
				taken++
			}
			qt.Assert(t, taken, qt.Equals, test.want)
		})
	}
}

func TestConfigureKeepsCounts(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	b := New(limits)
	for b.Take("s", now, 1) {
	}
	b.Configure(Config{Ratio: 0.2, Slack: 60, Window: limits.Window})
	c.Assert(b.Take("s", now, 1), qt.IsTrue)
	c.Assert(b.Take("s", now, 1), qt.IsFalse)
}
