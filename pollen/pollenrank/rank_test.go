package pollenrank

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
)

func servers(n int) []*pollencatalog.Server {
	var servers []*pollencatalog.Server
	for i := range n {
		servers = append(servers, &pollencatalog.Server{
			ID: fmt.Sprintf("s%d", i), Service: "x", Slots: 2, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 80),
		})
	}
	return servers
}

// replay sends requests one after the other and returns how many each server got.
func replay(r *Ranking, candidates []*pollencatalog.Server, from time.Time, requests int, behave func(server int, at time.Duration) (time.Duration, Outcome)) []int {
	counts := make([]int, len(candidates))
	now := from
	for range requests {
		i, ok := r.Best("route", candidates, now)
		if ok {
			counts[i]++
			permit := r.Start("route", candidates[i], now)
			latency, outcome := behave(i, now.Sub(from))
			permit.Finish(outcome, now.Add(latency))
		}
		now = now.Add(100 * time.Millisecond)
	}
	return counts
}

func newRanking(seed uint64) *Ranking {
	return New(Config{Random: rand.New(rand.NewPCG(seed, 2))})
}

var begun = time.Unix(1_000_000, 0)

// Load pattern: one of two replicas turns eight times slower and recovers. It must lose most requests at once, be
// tried now and then, and get its share back.
func TestSlowServerIsAvoidedAndTriedAgain(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		r := newRanking(seed)
		both := servers(2)
		steady := func(int, time.Duration) (time.Duration, Outcome) { return 15 * time.Millisecond, Answered }
		slow := func(i int, _ time.Duration) (time.Duration, Outcome) {
			if i == 0 {
				return 120 * time.Millisecond, Answered
			}
			return 15 * time.Millisecond, Answered
		}
		counts := replay(r, both, begun, 100, steady)
		c.Assert(counts[0] > 25 && counts[1] > 25, qt.IsTrue, qt.Commentf("%v", counts))
		counts = replay(r, both, begun.Add(20*time.Second), 100, slow)
		c.Assert(counts[0] < 20 && counts[0] > 0, qt.IsTrue, qt.Commentf("%v", counts))
		counts = replay(r, both, begun.Add(40*time.Second), 200, steady)
		c.Assert(counts[0] > 50, qt.IsTrue, qt.Commentf("%v", counts))
	}
}

// Load pattern: a server refuses two thirds of its requests at once, which looks fast. It must not attract requests.
func TestSheddingServerIsAvoided(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 3))
		counts := replay(newRanking(seed), servers(2), begun, 300, func(i int, _ time.Duration) (time.Duration, Outcome) {
			if i == 0 && random.Float64() < 0.66 {
				return time.Millisecond, Shed
			}
			return 15 * time.Millisecond, Answered
		})
		c.Assert(counts[0] < 90, qt.IsTrue, qt.Commentf("%v", counts))
	}
}

// Load pattern: a server is dead for ten seconds. It is left out but for single probes, further and further apart.
func TestDeadServerIsLeftOut(t *testing.T) {
	c := qt.New(t)
	r := newRanking(1)
	one := servers(1)
	counts := replay(r, one, begun, 100, func(int, time.Duration) (time.Duration, Outcome) { return time.Millisecond, Failed })
	c.Assert(counts[0] >= 4 && counts[0] <= 8, qt.IsTrue, qt.Commentf("%v", counts))
	c.Assert(r.Available(one, begun.Add(10*time.Second)), qt.IsFalse)
	counts = replay(r, one, begun.Add(14*time.Second), 10, func(int, time.Duration) (time.Duration, Outcome) { return time.Millisecond, Answered })
	c.Assert(counts[0], qt.Equals, 10)
}

// Load pattern: the addresses of dead servers are taken over by servers of other services, which refuse each request
// that still goes there. One refusal must be enough.
func TestMisdirectedServerIsLeftOutAtOnce(t *testing.T) {
	c := qt.New(t)
	r := newRanking(1)
	both := servers(2)
	replay(r, both, begun, 100, func(int, time.Duration) (time.Duration, Outcome) { return 15 * time.Millisecond, Answered })
	counts := replay(r, both, begun.Add(20*time.Second), 35, func(i int, _ time.Duration) (time.Duration, Outcome) {
		if i == 0 {
			return time.Millisecond, Misdirected
		}
		return 15 * time.Millisecond, Answered
	})
	c.Assert(counts[0], qt.Equals, 1)
}

func TestStalledServerIsAvoided(t *testing.T) {
	c := qt.New(t)
	r := newRanking(1)
	both := servers(2)
	replay(r, both, begun, 100, func(int, time.Duration) (time.Duration, Outcome) { return 15 * time.Millisecond, Answered })
	now := begun.Add(20 * time.Second)
	r.Start("route", both[0], now)
	now = now.Add(100 * time.Millisecond)
	for range 20 {
		i, ok := r.Best("route", both, now)
		c.Assert(ok, qt.IsTrue)
		c.Assert(i, qt.Equals, 1)
	}
}

func TestColdServerIsLastChoice(t *testing.T) {
	c := qt.New(t)
	r := newRanking(1)
	both := servers(2)
	both[0].ColdUntil = begun.Add(3 * time.Second)
	counts := replay(r, both, begun, 29, func(int, time.Duration) (time.Duration, Outcome) { return 15 * time.Millisecond, Answered })
	c.Assert(counts, qt.DeepEquals, []int{0, 29})
	i, ok := r.Best("route", both[:1], begun)
	c.Assert(ok, qt.IsTrue)
	c.Assert(i, qt.Equals, 0)
}

func TestNewIncarnationStartsAnew(t *testing.T) {
	c := qt.New(t)
	r := newRanking(1)
	one := servers(1)
	replay(r, one, begun, 10, func(int, time.Duration) (time.Duration, Outcome) { return time.Millisecond, Failed })
	c.Assert(r.Available(one, begun.Add(time.Second)), qt.IsFalse)
	reborn := *one[0]
	reborn.StartedAt = begun.Add(time.Second)
	c.Assert(r.Available([]*pollencatalog.Server{&reborn}, begun.Add(time.Second)), qt.IsTrue)
}
