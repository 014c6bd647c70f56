package pollenforward

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenrank"
)

var errReset = errors.New("connection reset")

func TestPlainRequest(t *testing.T) {
	broken := behaviour{delay: time.Millisecond, err: &BrokenError{Server: "x", Err: errReset}}
	notRun := behaviour{delay: time.Millisecond, err: &NotRunError{Server: "x", Status: 503}}
	unsent := behaviour{delay: time.Millisecond, err: &UnsentError{Server: "x", Err: errReset}}
	tests := []struct {
		name       string
		idempotent bool
		first      behaviour
		second     behaviour
		status     int
		sends      int
		refused    bool
		failed     bool
	}{
		{name: "answered", first: behaviour{body: "x"}, second: behaviour{body: "x"}, status: 200, sends: 1},
		{name: "rejection is relayed", first: behaviour{status: 400}, second: behaviour{status: 400}, status: 400, sends: 1},
		{name: "broken is retried", idempotent: true, first: broken, second: behaviour{}, status: 200, sends: 2},
		{name: "broken is not retried if it may have run", first: broken, second: broken, failed: true, sends: 1},
		{name: "not run is retried", first: notRun, second: behaviour{}, status: 200, sends: 2},
		{name: "unsent is retried", first: unsent, second: behaviour{}, status: 200, sends: 2},
		{name: "not run anywhere is refused", first: notRun, second: notRun, refused: true, sends: 4},
		{name: "connecting until the end", first: behaviour{hang: true, unsent: true}, second: behaviour{hang: true, unsent: true}, refused: true, sends: 2},
		{name: "connecting, replaced by another", first: behaviour{hang: true, unsent: true}, second: behaviour{}, status: 200, sends: 2},
		{name: "hanging until the end", first: behaviour{hang: true}, second: behaviour{hang: true}, failed: true, sends: 1},
		{name: "not run, then broken", first: notRun, second: broken, failed: true, sends: 2},
		{name: "failure with a signature is relayed", first: behaviour{status: 500}, second: behaviour{status: 500}, status: 500, sends: 1},
		{name: "503 of a server that ran is no refusal", first: behaviour{status: 503}, second: behaviour{status: 503}, failed: true, sends: 1},
		{name: "429 of a server that ran is no refusal", first: behaviour{status: 429}, second: behaviour{status: 429}, failed: true, sends: 1},
		{name: "failure is retried", idempotent: true, first: behaviour{status: 500}, second: behaviour{}, status: 200, sends: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(1, 100)
				h.fleet.behaviour["a0"], h.fleet.behaviour["b0"] = test.first, test.first
				probe, _ := h.ranking.Best("plain", h.table.AppendEligible(nil, service(0)), time.Now())
				other := []string{"b0", "a0"}[probe]
				h.preferFirst(probe)
				h.fleet.behaviour[other] = test.second
				reply, account, _, err := h.serve(t.Context(), plainRoute(test.idempotent))
				c.Assert(account.Sends, qt.Equals, test.sends)
				var refused *RefusedError
				var failed *FailedError
				c.Assert(errors.As(err, &refused), qt.Equals, test.refused)
				c.Assert(errors.As(err, &failed), qt.Equals, test.failed)
				if test.status != 0 {
					c.Assert(err, qt.IsNil)
					c.Assert(reply.Status, qt.Equals, test.status)
				}
			})
		})
	}
}

// preferFirst makes the other server look slow, so that the given one is asked first.
func (h *harness) preferFirst(first int) {
	servers := h.table.AppendEligible(nil, service(0))
	now := time.Now()
	for range 30 {
		h.ranking.Start("plain", servers[first], now.Add(-10*time.Millisecond)).Finish(pollenrank.Answered, now)
	}
	for range 5 {
		h.ranking.Start("plain", servers[1-first], now.Add(-50*time.Millisecond)).Finish(pollenrank.Answered, now)
	}
}

// Load pattern: one of two replicas stalls. The hedge must go to the other one, once, and only for idempotent requests.
func TestHedge(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		hedges     int
	}{
		{"idempotent", true, 1},
		{"not idempotent", false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(1, 100)
				h.preferFirst(0)
				h.fleet.behaviour["a0"] = behaviour{hang: true}
				h.fleet.behaviour["b0"] = behaviour{delay: 10 * time.Millisecond}
				_, account, took, err := h.serve(t.Context(), plainRoute(test.idempotent))
				c.Assert(account.Hedges, qt.Equals, test.hedges)
				c.Assert(h.fleet.count("b0"), qt.Equals, test.hedges)
				if test.idempotent {
					c.Assert(err, qt.IsNil)
					c.Assert(took < 100*time.Millisecond, qt.IsTrue)
				} else {
					c.Assert(err, qt.ErrorAs, new(*FailedError))
				}
			})
		})
	}
}

// Load pattern: a shard is paused beyond the objective. The answer must leave in time without it, and must say so.
func TestSealLeavesSlowShardOut(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(8, 100)
		for i := range 8 {
			h.setAll(i, behaviour{delay: 5 * time.Millisecond, body: strings.Repeat(string(rune('a'+i)), RecordBytes)})
		}
		h.setAll(3, behaviour{delay: 400 * time.Millisecond})
		reply, account, took, err := h.serve(t.Context(), shardedRoute(8))
		c.Assert(err, qt.IsNil)
		c.Assert(reply.Missing, qt.Equals, 1)
		c.Assert(reply.Parts, qt.HasLen, 7)
		c.Assert(slices.Contains(reply.Parts, "by a3") || slices.Contains(reply.Parts, "by b3"), qt.IsFalse)
		c.Assert(account.Covered, qt.Equals, 7)
		c.Assert(took < 90*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		c.Assert(string(reply.Body), qt.Equals, strings.Repeat("h", 16)+strings.Repeat("g", 16)+strings.Repeat("f", 16))
	})
}

// Load pattern: too few shards are in when the objective passes. A late answer with enough of them is better than none.
func TestWaitsForCoverageBeyondObjective(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(8, 100)
		for i := range 8 {
			h.setAll(i, behaviour{delay: time.Duration(50*(i+1)) * time.Millisecond})
		}
		reply, _, took, err := h.serve(t.Context(), shardedRoute(8))
		c.Assert(err, qt.IsNil)
		c.Assert(reply.Missing, qt.Equals, 2)
		c.Assert(took, qt.Equals, 300*time.Millisecond)
	})
}

// Load pattern: all servers of several shards are down. Once that is known, a query must not use slots of the others.
func TestRefusesWithoutEnoughShards(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(8, 100)
		for i := range 3 {
			h.setAll(i, behaviour{delay: time.Millisecond, err: &BrokenError{Server: "x", Err: errReset}})
		}
		var refused *RefusedError
		for range 20 {
			_, _, _, err := h.serve(t.Context(), shardedRoute(8))
			c.Assert(err, qt.IsNotNil)
			if errors.As(err, &refused) {
				break
			}
		}
		c.Assert(refused, qt.IsNotNil)
		before := len(h.fleet.sent)
		_, account, took, err := h.serve(t.Context(), shardedRoute(8))
		c.Assert(err, qt.ErrorAs, &refused)
		c.Assert(len(h.fleet.sent), qt.Equals, before)
		c.Assert(account.Sends, qt.Equals, 0)
		c.Assert(took, qt.Equals, time.Duration(0))
		c.Assert(refused.RetryAfter > 0, qt.IsTrue)
	})
}

// Load pattern: the instance is cut off from all servers of several shards; connections stay open and nothing comes
// back. Queries that can't reach their coverage must be refused at once, not held until their end, and served again when
// the servers answer.
func TestRefusesWhereShardsAreSilent(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(8, 100)
		cut := func(b behaviour) {
			for i := range 3 {
				h.setAll(i, b)
			}
		}
		cut(behaviour{hang: true})
		ask := func(wait time.Duration) (refusals, answers int) {
			var mu sync.Mutex
			var open sync.WaitGroup
			for until := time.Now().Add(wait); time.Now().Before(until); time.Sleep(80 * time.Millisecond) {
				open.Go(func() {
					_, _, took, err := h.serve(t.Context(), shardedRoute(8))
					mu.Lock()
					defer mu.Unlock()
					var refused *RefusedError
					if errors.As(err, &refused) && took == 0 {
						refusals++
					}
					if err == nil {
						answers++
					}
				})
			}
			open.Wait()
			return refusals, answers
		}
		_, answers := ask(1500 * time.Millisecond)
		c.Assert(answers, qt.Equals, 0)
		refusals, _ := ask(2 * time.Second)
		c.Assert(refusals >= 15, qt.IsTrue, qt.Commentf("%d of 25 refused at once", refusals))
		cut(behaviour{delay: 10 * time.Millisecond})
		ask(5 * time.Second)
		_, answers = ask(2 * time.Second)
		c.Assert(answers, qt.Equals, 25)
	})
}

// Load pattern: servers fail on every request. Extra requests must stay within the budget.
func TestBudgetBoundsRetries(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(1, 10)
		h.setAll(0, behaviour{delay: time.Millisecond, err: &NotRunError{Server: "x", Status: 503}})
		sends := 0
		const requests = 200
		for range requests {
			_, account, _, _ := h.serve(t.Context(), plainRoute(true))
			sends += account.Sends
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(sends <= requests+requests/5+10, qt.IsTrue, qt.Commentf("%d requests to servers", sends))
		c.Assert(sends > requests, qt.IsTrue)
	})
}

// Load pattern: every server loses two in five answers. The second server alone would leave one request in six without
// an answer, which is the share of shards that is missing from every query; asking again must bring it below one in 20.
func TestAsksAgainWhereAnswersAreLost(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(1, 10000)
		random := rand.New(rand.NewPCG(5, 6))
		failed := 0
		const requests = 500
		for range requests {
			h.fleet.lose = func() bool { return random.Float64() < 0.4 }
			_, account, _, err := h.serve(t.Context(), plainRoute(true))
			c.Assert(account.Sends <= 4, qt.IsTrue)
			if err != nil {
				failed++
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.Assert(failed < requests/20, qt.IsTrue, qt.Commentf("%d failed", failed))
	})
}

// Load pattern: a server sheds a request, and the one that takes it stalls. The hedge must not go back to the first one
// if the route allows one server only.
func TestHedgeStaysWithinAttempts(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(1, 100)
		h.preferFirst(0)
		h.fleet.behaviour["a0"] = behaviour{delay: time.Millisecond, err: &NotRunError{Server: "a0", Status: 503}}
		h.fleet.behaviour["b0"] = behaviour{hang: true}
		route := plainRoute(true)
		route.Attempts = 1
		_, _, _, err := h.serve(t.Context(), route)
		c.Assert(err, qt.IsNotNil)
		c.Assert(h.fleet.sent, qt.DeepEquals, []string{"a0", "b0"})
	})
}

func TestCallerGone(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(4, 100)
		for i := range 4 {
			h.setAll(i, behaviour{hang: true})
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, _, took, err := h.serve(ctx, shardedRoute(4))
		c.Assert(err, qt.ErrorAs, new(*GoneError))
		c.Assert(took, qt.Equals, 20*time.Millisecond)
		synctest.Wait()
		c.Assert(h.fleet.cancelled, qt.Equals, len(h.fleet.sent))
	})
}

func TestEndsAtTimeoutAndDeadline(t *testing.T) {
	tests := []struct {
		name     string
		timeout  time.Duration
		patience time.Duration
		limit    time.Duration
	}{
		{"route's timeout", 300 * time.Millisecond, time.Second, 300 * time.Millisecond},
		{"caller's deadline", time.Second, 200 * time.Millisecond, 200 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(1, 100)
				h.setAll(0, behaviour{hang: true})
				route := plainRoute(false)
				route.Timeout = test.timeout
				begun := time.Now()
				_, _, err := h.forwarder.Serve(t.Context(), route, &Request{ID: "r", Received: begun, Patience: test.patience})
				var failed *FailedError
				c.Assert(err, qt.ErrorAs, &failed)
				c.Assert(failed.TimedOut, qt.IsTrue)
				c.Assert(time.Since(begun) <= test.limit, qt.IsTrue)
				c.Assert(h.fleet.timeLeft[0] <= test.limit, qt.IsTrue)
			})
		})
	}
}

// A server that has left or whose zone was evacuated after the request began gets neither hedge nor retry.
func TestHedgeLooksUpTable(t *testing.T) {
	bubble(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(1, 100)
		h.preferFirst(0)
		h.fleet.behaviour["a0"] = behaviour{hang: true}
		time.AfterFunc(time.Millisecond, func() {
			h.table = pollencatalog.NewTable(pollencatalog.TableConfig{
				Configuration: h.table.Configuration(), Servers: h.table.AppendEligible(nil, service(0)),
				EvacuatedZones: map[string]bool{"zone-b": true},
			})
		})
		_, _, _, err := h.serve(t.Context(), plainRoute(true))
		c.Assert(err, qt.IsNotNil)
		c.Assert(h.fleet.count("b0"), qt.Equals, 0)
	})
}

func TestSplit(t *testing.T) {
	c := qt.New(t)
	route := &pollencatalog.Route{Name: "r", Split: []pollencatalog.WeightedService{{Service: "x", Weight: 70}, {Service: "y", Weight: 25}, {Service: "z", Weight: 5}}}
	s := &Splitter{}
	counts := make(map[string]int)
	for range 100 {
		counts[s.Choose(route)]++
	}
	c.Assert(counts, qt.DeepEquals, map[string]int{"x": 70, "y": 25, "z": 5})
}

func TestMerge(t *testing.T) {
	record := func(b byte) string { return strings.Repeat(string(rune(b)), RecordBytes) }
	tests := []struct {
		name   string
		bodies []string
		top    int
		want   string
	}{
		{"greatest first", []string{record('a') + record('c'), record('b')}, 2, record('c') + record('b')},
		{"equal records all count", []string{record('a'), record('a')}, 3, record('a') + record('a')},
		{"remainder is no record", []string{record('a') + "zzz"}, 3, record('a')},
		{"nothing", []string{""}, 3, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var bodies [][]byte
			for _, body := range test.bodies {
				bodies = append(bodies, []byte(body))
			}
			qt.Assert(t, string(Merge(bodies, test.top)), qt.Equals, test.want)
		})
	}
}
