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

// A failed request must be retried only if it cannot run twice, and be refused only if no server has run it.
func TestRetriesUnshardedRequestOnlyIfSafe(t *testing.T) {
	noAnswer := behaviour{delay: time.Millisecond, err: &NoAnswerError{Server: "x", Err: errReset}}
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
		{name: "broken is retried", idempotent: true, first: noAnswer, second: behaviour{}, status: 200, sends: 2},
		{name: "broken is not retried if it may have run", first: noAnswer, second: noAnswer, failed: true, sends: 1},
		{name: "not run is retried", first: notRun, second: behaviour{}, status: 200, sends: 2},
		{name: "unsent is retried", first: unsent, second: behaviour{}, status: 200, sends: 2},
		{name: "not run anywhere is refused", first: notRun, second: notRun, refused: true, sends: 4},
		{name: "connecting until the end", first: behaviour{hang: true, connecting: true}, second: behaviour{hang: true, connecting: true}, refused: true, sends: 2},
		{name: "connecting, replaced by another", first: behaviour{hang: true, connecting: true}, second: behaviour{}, status: 200, sends: 2},
		{name: "hanging until the end", first: behaviour{hang: true}, second: behaviour{hang: true}, failed: true, sends: 1},
		{name: "not run, then broken", first: notRun, second: noAnswer, failed: true, sends: 2},
		{name: "failure with a signature is relayed", first: behaviour{status: 500}, second: behaviour{status: 500}, status: 500, sends: 1},
		{name: "503 of a server that ran is no refusal", first: behaviour{status: 503}, second: behaviour{status: 503}, failed: true, sends: 1},
		{name: "429 of a server that ran is no refusal", first: behaviour{status: 429}, second: behaviour{status: 429}, failed: true, sends: 1},
		{name: "failure is retried", idempotent: true, first: behaviour{status: 500}, second: behaviour{}, status: 200, sends: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(1, 100)
				h.exchanger.behaviour["a0"], h.exchanger.behaviour["b0"] = test.first, test.first
				preferred, _ := h.ranking.Best("plain", h.table.AppendEligible(nil, service(0)), time.Now())
				other := []string{"b0", "a0"}[preferred]
				h.preferFirst(preferred)
				h.exchanger.behaviour[other] = test.second
				reply, stats, _, err := h.serve(t.Context(), unshardedRoute(test.idempotent))
				c.Assert(stats.Sends, qt.Equals, test.sends)
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

// preferFirst records high latencies for the other server, so that the preferred one is chosen first.
func (h *harness) preferFirst(preferred int) {
	servers := h.table.AppendEligible(nil, service(0))
	now := time.Now()
	for range 30 {
		h.ranking.Start("plain", servers[preferred], now.Add(-10*time.Millisecond)).Finish(pollenrank.Answered, now)
	}
	for range 5 {
		h.ranking.Start("plain", servers[1-preferred], now.Add(-50*time.Millisecond)).Finish(pollenrank.Answered, now)
	}
}

// Load pattern: one of two replicas stalls. An idempotent request must be hedged once, to the other replica; a request
// that is not idempotent must not.
func TestHedgesIdempotentRequestOnce(t *testing.T) {
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
			runInVirtualTime(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(1, 100)
				h.preferFirst(0)
				h.exchanger.behaviour["a0"] = behaviour{hang: true}
				h.exchanger.behaviour["b0"] = behaviour{delay: 10 * time.Millisecond}
				_, stats, took, err := h.serve(t.Context(), unshardedRoute(test.idempotent))
				c.Assert(stats.Hedges, qt.Equals, test.hedges)
				c.Assert(h.exchanger.sentTo("b0"), qt.Equals, test.hedges)
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

// Load pattern: a shard stalls beyond the objective. The reply must be sent in time without that shard and report it as
// missing.
func TestPartialReplyOmitsSlowShard(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(8, 100)
		for i := range 8 {
			h.setAll(i, behaviour{delay: 5 * time.Millisecond, body: strings.Repeat(string(rune('a'+i)), RecordBytes)})
		}
		h.setAll(3, behaviour{delay: 400 * time.Millisecond})
		reply, stats, took, err := h.serve(t.Context(), shardedRoute(8))
		c.Assert(err, qt.IsNil)
		c.Assert(reply.Missing, qt.Equals, 1)
		c.Assert(reply.Parts, qt.HasLen, 7)
		c.Assert(slices.Contains(reply.Parts, "by a3") || slices.Contains(reply.Parts, "by b3"), qt.IsFalse)
		c.Assert(stats.Covered, qt.Equals, 7)
		c.Assert(took < 90*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		c.Assert(string(reply.Body), qt.Equals, strings.Repeat("h", 16)+strings.Repeat("g", 16)+strings.Repeat("f", 16))
	})
}

// Load pattern: too few shards have answered when the objective passes. The call must wait for the minimum coverage
// instead of failing.
func TestWaitsForCoverageBeyondObjective(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
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

// Load pattern: all servers of several shards are down. Once they are ejected, a query must be refused without using
// slots of the other shards.
func TestRefusesWithoutEnoughAvailableShards(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(8, 100)
		for i := range 3 {
			h.setAll(i, behaviour{delay: time.Millisecond, err: &NoAnswerError{Server: "x", Err: errReset}})
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
		before := len(h.exchanger.sent)
		_, stats, took, err := h.serve(t.Context(), shardedRoute(8))
		c.Assert(err, qt.ErrorAs, &refused)
		c.Assert(len(h.exchanger.sent), qt.Equals, before)
		c.Assert(stats.Sends, qt.Equals, 0)
		c.Assert(took, qt.Equals, time.Duration(0))
		c.Assert(refused.RetryAfter > 0, qt.IsTrue)
	})
}

// Load pattern: the instance is cut off from all servers of several shards; connections stay open without answers.
// Queries that cannot reach their coverage must be refused at once, not held until they time out, and succeed again
// once the servers answer.
func TestRefusesWhileShardsAreUnresponsive(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(8, 100)
		setFirstThree := func(b behaviour) {
			for i := range 3 {
				h.setAll(i, b)
			}
		}
		setFirstThree(behaviour{hang: true})
		sendFor := func(duration time.Duration) (refusals, answers int) {
			var mu sync.Mutex
			var inFlight sync.WaitGroup
			for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(80 * time.Millisecond) {
				inFlight.Go(func() {
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
			inFlight.Wait()
			return refusals, answers
		}
		_, answers := sendFor(1500 * time.Millisecond)
		c.Assert(answers, qt.Equals, 0)
		refusals, _ := sendFor(2 * time.Second)
		c.Assert(refusals >= 15, qt.IsTrue, qt.Commentf("%d of 25 refused at once", refusals))
		setFirstThree(behaviour{delay: 10 * time.Millisecond})
		sendFor(5 * time.Second)
		_, answers = sendFor(2 * time.Second)
		c.Assert(answers, qt.Equals, 25)
	})
}

// Load pattern: servers refuse every request. Retries must stay within the budget.
func TestBudgetBoundsRetries(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(1, 10)
		h.setAll(0, behaviour{delay: time.Millisecond, err: &NotRunError{Server: "x", Status: 503}})
		sends := 0
		const requests = 200
		for range requests {
			_, stats, _, _ := h.serve(t.Context(), unshardedRoute(true))
			sends += stats.Sends
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(sends <= requests+requests/5+10, qt.IsTrue, qt.Commentf("%d requests to servers", sends))
		c.Assert(sends > requests, qt.IsTrue)
	})
}

// Load pattern: every server loses two in five answers. Trying both servers once leaves one request in six without an
// answer, and a query that share of its shards; retrying tried servers must bring it below one in 20.
func TestRetriesTriedServersAfterLostAnswers(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(1, 10000)
		random := rand.New(rand.NewPCG(5, 6))
		failed := 0
		const requests = 500
		for range requests {
			h.exchanger.loseAnswer = func() bool { return random.Float64() < 0.4 }
			_, stats, _, err := h.serve(t.Context(), unshardedRoute(true))
			c.Assert(stats.Sends <= 4, qt.IsTrue)
			if err != nil {
				failed++
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.Assert(failed < requests/20, qt.IsTrue, qt.Commentf("%d failed", failed))
	})
}

// Load pattern: one server sheds a request and the other one stalls on it. The hedge must not go back to the first
// server if the route allows only one server to run the request.
func TestHedgeStaysWithinAttempts(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(1, 100)
		h.preferFirst(0)
		h.exchanger.behaviour["a0"] = behaviour{delay: time.Millisecond, err: &NotRunError{Server: "a0", Status: 503}}
		h.exchanger.behaviour["b0"] = behaviour{hang: true}
		route := unshardedRoute(true)
		route.Attempts = 1
		_, _, _, err := h.serve(t.Context(), route)
		c.Assert(err, qt.IsNotNil)
		c.Assert(h.exchanger.sent, qt.DeepEquals, []string{"a0", "b0"})
	})
}

// A call whose caller disconnects must end at once and cancel its requests to servers.
func TestCallerDisconnectCancelsRequests(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(4, 100)
		for i := range 4 {
			h.setAll(i, behaviour{hang: true})
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, _, took, err := h.serve(ctx, shardedRoute(4))
		c.Assert(err, qt.ErrorAs, new(*CallerDisconnectedError))
		c.Assert(took, qt.Equals, 20*time.Millisecond)
		synctest.Wait()
		c.Assert(h.exchanger.cancelled, qt.Equals, len(h.exchanger.sent))
	})
}

// A call must end at the route's or the caller's timeout, whichever is first, and tell servers no more than that.
func TestEndsAtRouteAndCallerTimeout(t *testing.T) {
	tests := []struct {
		name          string
		timeout       time.Duration
		callerTimeout time.Duration
		limit         time.Duration
	}{
		{"route's timeout", 300 * time.Millisecond, time.Second, 300 * time.Millisecond},
		{"caller's deadline", time.Second, 200 * time.Millisecond, 200 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(1, 100)
				h.setAll(0, behaviour{hang: true})
				route := unshardedRoute(false)
				route.Timeout = test.timeout
				start := time.Now()
				_, _, err := h.forwarder.Serve(t.Context(), route, &Request{ID: "r", Received: start, CallerTimeout: test.callerTimeout})
				var failed *FailedError
				c.Assert(err, qt.ErrorAs, &failed)
				c.Assert(failed.TimedOut, qt.IsTrue)
				c.Assert(time.Since(start) <= test.limit, qt.IsTrue)
				c.Assert(h.exchanger.timeLeft[0] <= test.limit, qt.IsTrue)
			})
		})
	}
}

// A server whose zone is evacuated after the request began must get neither hedge nor retry.
func TestHedgeUsesCurrentTable(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(1, 100)
		h.preferFirst(0)
		h.exchanger.behaviour["a0"] = behaviour{hang: true}
		time.AfterFunc(time.Millisecond, func() {
			h.table = pollencatalog.NewTable(pollencatalog.TableConfig{
				Configuration: h.table.Configuration(), Servers: h.table.AppendEligible(nil, service(0)),
				EvacuatedZones: map[string]bool{"zone-b": true},
			})
		})
		_, _, _, err := h.serve(t.Context(), unshardedRoute(true))
		c.Assert(err, qt.IsNotNil)
		c.Assert(h.exchanger.sentTo("b0"), qt.Equals, 0)
	})
}

// The weights must hold exactly over 100 requests.
func TestSplitterFollowsWeights(t *testing.T) {
	c := qt.New(t)
	route := &pollencatalog.Route{Name: "r", Split: []pollencatalog.WeightedService{{Service: "x", Weight: 70}, {Service: "y", Weight: 25}, {Service: "z", Weight: 5}}}
	s := &Splitter{}
	counts := make(map[string]int)
	for range 100 {
		counts[s.Choose(route)]++
	}
	c.Assert(counts, qt.DeepEquals, map[string]int{"x": 70, "y": 25, "z": 5})
}

// A merged answer must hold the greatest records of all shards, duplicates included, and no partial record.
func TestMergeKeepsGreatestRecords(t *testing.T) {
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
