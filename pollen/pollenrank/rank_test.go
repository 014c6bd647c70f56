package pollenrank

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
)

func newServers(n int) []*pollencatalog.Server {
	var servers []*pollencatalog.Server
	for i := range n {
		servers = append(servers, &pollencatalog.Server{
			ID: fmt.Sprintf("s%d", i), Service: "x", Slots: 2, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 80),
		})
	}
	return servers
}

// sendSequentially sends one request every 100 ms and returns how many each server got. The respond function returns
// the latency and the outcome of a request that is sent to a server at a time since start.
func sendSequentially(r *Ranking, candidates []*pollencatalog.Server, start time.Time, requests int, respond func(server int, at time.Duration) (time.Duration, Outcome)) []int {
	counts := make([]int, len(candidates))
	now := start
	for range requests {
		i, ok := r.Best("route", candidates, now)
		if ok {
			counts[i]++
			observation := r.Start("route", candidates[i], now)
			latency, outcome := respond(i, now.Sub(start))
			observation.Finish(outcome, now.Add(latency))
		}
		now = now.Add(100 * time.Millisecond)
	}
	return counts
}

func newRanking(seed uint64) *Ranking {
	return New(Config{Random: rand.New(rand.NewPCG(seed, 2))})
}

var start = time.Unix(1_000_000, 0)

// Load pattern: one of two replicas becomes eight times slower and recovers. It must lose most of its requests at once,
// still be probed, and get its share back.
func TestSlowServerIsAvoidedAndProbed(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		r := newRanking(seed)
		both := newServers(2)
		steady := func(int, time.Duration) (time.Duration, Outcome) { return 15 * time.Millisecond, Answered }
		slow := func(i int, _ time.Duration) (time.Duration, Outcome) {
			if i == 0 {
				return 120 * time.Millisecond, Answered
			}
			return 15 * time.Millisecond, Answered
		}
		counts := sendSequentially(r, both, start, 100, steady)
		c.Assert(counts[0] > 25 && counts[1] > 25, qt.IsTrue, qt.Commentf("%v", counts))
		counts = sendSequentially(r, both, start.Add(20*time.Second), 100, slow)
		c.Assert(counts[0] < 20 && counts[0] > 0, qt.IsTrue, qt.Commentf("%v", counts))
		counts = sendSequentially(r, both, start.Add(40*time.Second), 200, steady)
		c.Assert(counts[0] > 50, qt.IsTrue, qt.Commentf("%v", counts))
	}
}

// Load pattern: a server sheds two thirds of its requests within a millisecond. Its low latency must not attract
// requests.
func TestSheddingServerIsAvoided(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 3))
		counts := sendSequentially(newRanking(seed), newServers(2), start, 300, func(i int, _ time.Duration) (time.Duration, Outcome) {
			if i == 0 && random.Float64() < 0.66 {
				return time.Millisecond, Shed
			}
			return 15 * time.Millisecond, Answered
		})
		c.Assert(counts[0] < 90, qt.IsTrue, qt.Commentf("%v", counts))
	}
}

// Load pattern: a burst reaches all instances after a time of little load, and servers shed. Guards against instances that go on as if
// they were alone, and against ones that refuse requests because a single server sheds or once the burst is over.
func TestShedsShowLoadOfOthers(t *testing.T) {
	tests := []struct {
		name  string
		sheds int
		after time.Duration
		want  float64
	}{
		{"no server", 0, time.Millisecond, 0},
		{"one of six", 1, time.Millisecond, 0},
		{"all", 6, time.Millisecond, 5},
		{"all, some time ago", 6, shedPeriod, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r, servers := newRanking(1), newServers(6)
			for i, s := range servers {
				if i < test.sheds {
					r.Start("route", s, start).Finish(Shed, start)
				}
			}
			got := r.OtherSenders(servers, 6, start.Add(test.after))
			c.Assert(math.Abs(got-test.want) < 1e-9, qt.IsTrue, qt.Commentf("%v other senders", got))
		})
	}
}

// Load pattern: a server fails for ten seconds. It must get only single probes at growing intervals.
func TestFailingServerIsEjectedAndProbed(t *testing.T) {
	c := qt.New(t)
	r := newRanking(1)
	one := newServers(1)
	counts := sendSequentially(r, one, start, 100, func(int, time.Duration) (time.Duration, Outcome) { return time.Millisecond, Failed })
	c.Assert(counts[0] >= 4 && counts[0] <= 8, qt.IsTrue, qt.Commentf("%v", counts))
	c.Assert(r.AnyAvailable(one, start.Add(10*time.Second)), qt.IsFalse)
	counts = sendSequentially(r, one, start.Add(14*time.Second), 10, func(int, time.Duration) (time.Duration, Outcome) { return time.Millisecond, Answered })
	c.Assert(counts[0], qt.Equals, 10)
}

// Load pattern: servers of other services take over the addresses of stopped servers and refuse each request that still
// goes there. One refusal must be enough to eject the stopped server.
func TestMisdirectedServerIsEjectedAtOnce(t *testing.T) {
	c := qt.New(t)
	r := newRanking(1)
	both := newServers(2)
	sendSequentially(r, both, start, 100, func(int, time.Duration) (time.Duration, Outcome) { return 15 * time.Millisecond, Answered })
	counts := sendSequentially(r, both, start.Add(20*time.Second), 35, func(i int, _ time.Duration) (time.Duration, Outcome) {
		if i == 0 {
			return time.Millisecond, Misdirected
		}
		return 15 * time.Millisecond, Answered
	})
	c.Assert(counts[0], qt.Equals, 1)
}

// Load pattern: a server ends for two seconds, and twenty requests a second would go to it. One refused connection must be enough
// to eject it, and it must be found soon after its return.
func TestRefusingServerIsEjectedAtOnce(t *testing.T) {
	c := qt.New(t)
	r := newRanking(1)
	one := newServers(1)
	sent := 0
	for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(50 * time.Millisecond) {
		if _, ok := r.Best("r", one, now); !ok {
			continue
		}
		o := r.Start("r", one[0], now)
		if down := now.Before(start.Add(2 * time.Second)); down {
			sent++
			o.Finish(Refused, now)
		} else {
			o.Finish(Answered, now.Add(time.Millisecond))
		}
	}
	c.Assert(sent <= 3, qt.IsTrue, qt.Commentf("%d requests while it was down", sent))
	c.Assert(r.AnyAvailable(one, start.Add(4*time.Second)), qt.IsTrue)
	r.RecordRefusal(one[0], start.Add(5*time.Second))
	c.Assert(r.AnyAvailable(one, start.Add(5*time.Second)), qt.IsFalse)
}

// A server whose only request stalls must get no further ones.
func TestStalledServerIsAvoided(t *testing.T) {
	c := qt.New(t)
	r := newRanking(1)
	both := newServers(2)
	sendSequentially(r, both, start, 100, func(int, time.Duration) (time.Duration, Outcome) { return 15 * time.Millisecond, Answered })
	now := start.Add(20 * time.Second)
	r.Start("route", both[0], now)
	now = now.Add(100 * time.Millisecond)
	for range 20 {
		i, ok := r.Best("route", both, now)
		c.Assert(ok, qt.IsTrue)
		c.Assert(i, qt.Equals, 1)
	}
}

// A cold server must be chosen only if there is no warm one.
func TestColdServerIsChosenLast(t *testing.T) {
	c := qt.New(t)
	r := newRanking(1)
	both := newServers(2)
	both[0].ColdUntil = start.Add(3 * time.Second)
	counts := sendSequentially(r, both, start, 29, func(int, time.Duration) (time.Duration, Outcome) { return 15 * time.Millisecond, Answered })
	c.Assert(counts, qt.DeepEquals, []int{0, 29})
	i, ok := r.Best("route", both[:1], start)
	c.Assert(ok, qt.IsTrue)
	c.Assert(i, qt.Equals, 0)
}

// A restarted server must not inherit the ejection of its former incarnation.
func TestNewIncarnationHasNoHistory(t *testing.T) {
	c := qt.New(t)
	r := newRanking(1)
	one := newServers(1)
	sendSequentially(r, one, start, 10, func(int, time.Duration) (time.Duration, Outcome) { return time.Millisecond, Failed })
	c.Assert(r.AnyAvailable(one, start.Add(time.Second)), qt.IsFalse)
	restarted := *one[0]
	restarted.StartedAt = start.Add(time.Second)
	c.Assert(r.AnyAvailable([]*pollencatalog.Server{&restarted}, start.Add(time.Second)), qt.IsTrue)
}

// Guards against servers that get no requests because they work on long ones, before or after the latencies of the route are known, and
// against requests to servers that are silent for much longer than their route takes.
func TestLongWorkIsToldFromUnresponsiveServers(t *testing.T) {
	tests := []struct {
		name string
		// latencies are those of the route's answers so far, each of them 25 times.
		latencies []time.Duration
		// unresponsiveAfter is the age of requests from which on the server is unresponsive; zero if it never is.
		unresponsiveAfter time.Duration
	}{
		{"latencies not known", nil, 0},
		{"short work", []time.Duration{10 * time.Millisecond}, 500 * time.Millisecond},
		{"long work", []time.Duration{1300 * time.Millisecond}, 10400 * time.Millisecond},
		{"some of the work is long", []time.Duration{10 * time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond, 4 * time.Second}, 8 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r, servers, now := newRanking(1), newServers(2), start
			for _, latency := range test.latencies {
				for range 25 {
					r.Start("route", servers[1], now.Add(-latency)).Finish(Answered, now)
				}
			}
			for range ejectionFailures {
				r.Start("route", servers[0], now)
			}
			var after time.Duration
			for at := time.Duration(0); at < 20*time.Second && after == 0; at += 100 * time.Millisecond {
				if r.Ejected(servers[0], now.Add(at)) {
					after = at
				}
			}
			// The quantiles of a sketch are within 15 % of the exact ones.
			c.Assert(float64(after) >= 0.85*float64(test.unresponsiveAfter) && float64(after) <= 1.15*float64(test.unresponsiveAfter), qt.IsTrue, qt.Commentf("after %v", after))
			if after > 0 {
				c.Assert(r.Unavailability(servers, now.Add(after)), qt.Matches, `s0: 4 requests unanswered, the oldest sent \d+ ms ago`)
			}
		})
	}
}
