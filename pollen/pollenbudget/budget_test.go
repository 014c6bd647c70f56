package pollenbudget

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var config = Config{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}

// event is a first or an extra request and the time since the start of the test.
type event struct {
	at    time.Duration
	extra bool
}

// Load pattern: all servers of a service fail, so that nine instances want an extra request for each first one while
// the load changes and instances restart and lose their counts. In no window may the extra requests of all instances
// exceed the limit.
func TestInstancesStayWithinLimitTogether(t *testing.T) {
	const instances = 9
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		start := time.Unix(1_000_000, 0)
		var events []event
		budgets := make([]*Budget, instances)
		for i := range budgets {
			budgets[i] = New(config)
		}
		rate := 100.0
		for now := time.Duration(0); now < 60*time.Second; now += time.Duration(float64(time.Second) / rate) {
			if random.IntN(2000) == 0 {
				rate = 5 + 200*random.Float64()
			}
			if now > 20*time.Second && now < 22*time.Second && random.IntN(20) == 0 {
				budgets[random.IntN(instances)] = New(config)
			}
			i := random.IntN(instances)
			budgets[i].CountRequest("s", start.Add(now))
			events = append(events, event{at: now})
			if budgets[i].TryAcquire("s", start.Add(now), instances) {
				events = append(events, event{at: now, extra: true})
			}
		}
		assertWindows(t, seed, events)
	}
}

// assertWindows checks a window that ends every 700 ms. Its extra requests may not exceed the limit for the largest count
// of first requests in three windows: the same one, the one half a window earlier and the one a whole window earlier. The
// earlier ones count because a first request allows extra requests for one window after it, which may fall into the next
// window.
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
	window := config.Window
	for end := window; end < 60*time.Second; end += 700 * time.Millisecond {
		extra := count(end-window, end, true)
		firstRequests := max(count(end-window, end, false), count(end-window-window/2, end-window/2, false), count(end-2*window, end-window, false))
		if allowed := config.Ratio*firstRequests + config.Slack; extra > allowed {
			t.Fatalf("seed %d: %v extra requests in the window that ends at %v, %v allowed", seed, extra, end, allowed)
		}
	}
}

// Requests must raise the limit for one window, and no longer.
func TestTryAcquireCountsOneWindow(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tests := []struct {
		name          string
		firstRequests int
		want          int
		elapsed       time.Duration
	}{
		{"slack alone", 0, 29, 0},
		{"ratio and slack", 100, 47, 0},
		{"requests count for a window", 100, 47, 9 * time.Second},
		{"requests are forgotten after it", 100, 29, 11 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := New(config)
			for range test.firstRequests {
				b.CountRequest("s", now)
			}
			acquired := 0
			for b.TryAcquire("s", now.Add(test.elapsed), 1) {
				acquired++
			}
			qt.Assert(t, acquired, qt.Equals, test.want)
		})
	}
}

// A change of the limits must keep the counts of extra requests sent before; else every change would grant them again.
func TestConfigureKeepsCounts(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	b := New(config)
	for b.TryAcquire("s", now, 1) {
	}
	b.Configure(Config{Ratio: 0.2, Slack: 60, Window: config.Window})
	c.Assert(b.TryAcquire("s", now, 1), qt.IsTrue)
	c.Assert(b.TryAcquire("s", now, 1), qt.IsFalse)
}
