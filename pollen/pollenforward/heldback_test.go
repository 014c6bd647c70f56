package pollenforward

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollendrain"
	"pollenline.example/pollen/pollengate"
	"pollenline.example/pollen/pollenrank"
	"pollenline.example/pollen/pollenreach"
)

// otherBehaviours are those of the other server under which a request might come to the one that is held back.
var otherBehaviours = []struct {
	name string
	b    behaviour
}{
	{name: "direct", b: behaviour{delay: 5 * time.Millisecond}},
	{name: "hedge", b: behaviour{delay: 600 * time.Millisecond}},
	{name: "retry", b: behaviour{status: 500}},
	{name: "not run", b: behaviour{err: &NotRunError{Server: "b0", Status: 503}}},
	{name: "unreachable", b: behaviour{hang: true, connecting: true}},
}

// announce sends requests until server a0 has answered one.
func (h *harness) announce(t *testing.T, b behaviour) {
	h.exchanger.set("a0", b)
	for range 100 {
		if h.exchanger.arrivedAt("a0") > 0 {
			return
		}
		_, _, _, err := h.serve(t.Context(), unshardedRoute(true))
		qt.Assert(t, err, qt.IsNil)
	}
	t.Fatal("no request was sent to the server")
}

// sendFor starts a request every 50 ms for a time, and waits until all have ended.
func (h *harness) sendFor(t *testing.T, duration time.Duration, request func() *Request) {
	var wg sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		// Some requests fail, as their servers do; only what arrives at the servers counts.
		wg.Go(func() { _, _, _ = h.forwarder.Serve(t.Context(), unshardedRoute(true), request()) })
	}
	wg.Wait()
}

func newRequest() *Request {
	return &Request{ID: "r", Received: time.Now(), CallerTimeout: time.Second}
}

// Load pattern: a server announces that it leaves while the store lists it as ready, and the other server of the service fails.
// Guards against requests sent after half of the drain notice that reach the leaving server.
func TestLeavingServerGetsNoLateRequest(t *testing.T) {
	for _, other := range otherBehaviours {
		for _, passed := range []bool{false, true} {
			name := other.name
			if passed {
				name += ", passed on"
			}
			t.Run(name, func(t *testing.T) {
				runInVirtualTime(t, func(t *testing.T) {
					h := newHarness(1, 1000)
					h.announce(t, behaviour{leaving: true})
					before := h.exchanger.arrivedAt("a0")
					time.Sleep(pollengate.DefaultDrainNotice/2 + time.Millisecond)
					h.exchanger.set("b0", other.b)
					h.sendFor(t, 5*time.Second, func() *Request {
						r := newRequest()
						r.Passed = passed
						return r
					})
					qt.Assert(t, h.exchanger.arrivedAt("a0"), qt.Equals, before)
				})
			})
		}
	}
}

// Guards against a leaving server that gets requests beside a good one, and against a service without servers for the first half of the
// drain notice. The time at which the caller sent the request counts, also if another instance had it meanwhile.
func TestLeavingServerIsLastResort(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(1, 1000)
		h.announce(t, behaviour{leaving: true})
		announced := time.Now()
		before := h.exchanger.arrivedAt("a0")
		for range 50 {
			_, _, _, err := h.serve(t.Context(), unshardedRoute(true))
			c.Assert(err, qt.IsNil)
		}
		c.Assert(h.exchanger.arrivedAt("a0"), qt.Equals, before)
		var only *pollencatalog.Server
		h.table.ForEachServer(func(s *pollencatalog.Server) {
			if s.ID == "a0" {
				only = s
			}
		})
		h.table = pollencatalog.NewTable(pollencatalog.TableConfig{Configuration: h.table.Configuration(), Instances: h.table.Instances(), Servers: []*pollencatalog.Server{only}})
		_, _, _, err := h.serve(t.Context(), unshardedRoute(true))
		c.Assert(err, qt.IsNil)
		time.Sleep(pollengate.DefaultDrainNotice/2 + 100*time.Millisecond)
		_, _, err = h.forwarder.Serve(t.Context(), unshardedRoute(true), &Request{ID: "r", Received: announced.Add(pollengate.DefaultDrainNotice / 2), CallerTimeout: time.Second, Passed: true})
		c.Assert(err, qt.IsNil)
		_, stats, _, err := h.serve(t.Context(), unshardedRoute(true))
		var refused *RefusedError
		c.Assert(errors.As(err, &refused), qt.IsTrue)
		c.Assert(stats.HeldBack.String(), qt.Equals, "leaving: 1")
		c.Assert(h.exchanger.arrivedAt("a0"), qt.Equals, before+2)
	})
}

// Guards against a request that was assigned to a server and reaches it after its announcement, because it waited for a connection or
// for capacity meanwhile.
func TestWaitingRequestIsNotSentAfterAnnouncement(t *testing.T) {
	tests := []struct {
		name              string
		a, b              behaviour
		leaving           bool
		retryAfter        time.Duration
		requests, arrived int
	}{
		{name: "connection, leaving", a: behaviour{connectDelay: 30 * time.Millisecond}, leaving: true, requests: 8},
		{name: "connection, paused", a: behaviour{connectDelay: 30 * time.Millisecond}, retryAfter: 5 * time.Second, requests: 8},
		{name: "queue, leaving", a: behaviour{delay: 15 * time.Millisecond}, b: behaviour{delay: 15 * time.Millisecond}, leaving: true, requests: 40, arrived: 8},
		{name: "queue, paused", a: behaviour{delay: 15 * time.Millisecond}, b: behaviour{delay: 15 * time.Millisecond}, retryAfter: 5 * time.Second, requests: 40, arrived: 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(1, 1000)
				h.exchanger.set("a0", test.a)
				h.exchanger.set("b0", test.b)
				var wg sync.WaitGroup
				for range test.requests {
					wg.Go(func() { _, _, _ = h.forwarder.Serve(t.Context(), unshardedRoute(true), newRequest()) })
				}
				time.Sleep(10 * time.Millisecond)
				before := h.exchanger.arrivedAt("a0")
				c.Assert(h.exchanger.sentTo("a0") > 0, qt.IsTrue)
				c.Assert(before <= test.arrived, qt.IsTrue, qt.Commentf("%d requests", before))
				var server *pollencatalog.Server
				h.table.ForEachServer(func(s *pollencatalog.Server) {
					if s.ID == "a0" {
						server = s
					}
				})
				h.forwarder.recordAnnouncements(server, &Answer{Status: 503, Leaving: test.leaving, RetryAfter: test.retryAfter}, nil, time.Now())
				wg.Wait()
				c.Assert(h.exchanger.arrivedAt("a0"), qt.Equals, before)
			})
		})
	}
}

// Load pattern: a server refuses requests and states for how long. Guards against requests within that time, and against a server that
// gets none afterwards.
func TestPausedServerGetsNoRequests(t *testing.T) {
	const pause = 2 * time.Second
	for _, other := range otherBehaviours {
		t.Run(other.name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(1, 1000)
				h.announce(t, behaviour{retryAfter: pause})
				end := time.Now().Add(pause)
				before := h.exchanger.arrivedAt("a0")
				h.exchanger.set("a0", behaviour{delay: 5 * time.Millisecond})
				h.exchanger.set("b0", other.b)
				// The last request ends before the pause does.
				h.sendFor(t, time.Until(end)-1100*time.Millisecond, newRequest)
				c.Assert(time.Now().Before(end), qt.IsTrue)
				c.Assert(h.exchanger.arrivedAt("a0"), qt.Equals, before)
				time.Sleep(time.Until(end))
				h.sendFor(t, 2*time.Second, newRequest)
				c.Assert(h.exchanger.arrivedAt("a0") > before, qt.IsTrue)
			})
		})
	}
}

// Guards against queries that wait for shards all of whose servers are paused, and against a Retry-After that leads callers back before
// a pause ends or after they have given up.
func TestQueryWithoutServersIsRefusedUntilPauseEnds(t *testing.T) {
	tests := []struct {
		name string
		// pauses are those of both servers of each shard; three of four shards are needed.
		pauses  []time.Duration
		refused bool
		// least and most bound the Retry-After.
		least, most time.Duration
	}{
		{name: "one shard", pauses: []time.Duration{time.Second, 0, 0, 0}},
		{name: "two shards", pauses: []time.Duration{200 * time.Millisecond, 5 * time.Second, 0, 0}, refused: true, least: 200 * time.Millisecond, most: 250 * time.Millisecond},
		{name: "past the timeout", pauses: []time.Duration{5 * time.Second, 5 * time.Second, 0, 0}, refused: true, least: 250 * time.Millisecond, most: 300 * time.Millisecond},
		{name: "until the admission deadline", pauses: []time.Duration{15 * time.Millisecond, 15 * time.Millisecond, 15 * time.Millisecond, 15 * time.Millisecond}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(len(test.pauses), 1000)
				now := time.Now()
				for i, pause := range test.pauses {
					for _, server := range h.table.ServersOf(service(i)) {
						h.forwarder.recordAnnouncements(server, nil, &NotRunError{Status: 503, RetryAfter: pause}, now)
					}
				}
				reply, stats, took, err := h.serve(context.Background(), shardedRoute(len(test.pauses)))
				if !test.refused {
					c.Assert(err, qt.IsNil)
					c.Assert(reply.Status, qt.Equals, 200)
					return
				}
				var refused *RefusedError
				c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(took, qt.Equals, time.Duration(0))
				c.Assert(stats.HeldBack.String(), qt.Equals, "paused: 4")
				c.Assert(refused.RetryAfter >= test.least && refused.RetryAfter <= test.most, qt.IsTrue, qt.Commentf("retry after %v", refused.RetryAfter))
			})
		})
	}
}

// Guards against an unsharded request that waits for the end of a long pause although it has not run anywhere.
func TestUnshardedRequestIsRefusedOnceAllServersPause(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(1, 1000)
		h.setAll(0, behaviour{retryAfter: 200 * time.Millisecond})
		_, _, took, err := h.serve(t.Context(), unshardedRoute(false))
		var refused *RefusedError
		c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(took < 10*time.Millisecond, qt.IsTrue, qt.Commentf("refused after %v", took))
		c.Assert(refused.RetryAfter >= 200*time.Millisecond && refused.RetryAfter <= 300*time.Millisecond, qt.IsTrue, qt.Commentf("retry after %v", refused.RetryAfter))
	})
}

// relay is a Passer to one other instance.
type relay struct{ harness *harness }

func (r relay) Pass(ctx context.Context, _ pollencatalog.Instance, request *Request, _ time.Time) (*Reply, error) {
	passed := *request
	passed.Passed = true
	reply, _, err := r.harness.forwarder.Serve(ctx, unshardedRoute(true), &passed)
	return reply, err
}

// Guards against an instance that relays a leaving server's answer for another one, which has regained the servers when it sends
// requests to that server.
func TestInstanceThatPassesOnLearnsOfLeavingServer(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		other, h := newHarness(1, 1000), newHarness(1, 1000)
		other.announce(t, behaviour{leaving: true})
		other.exchanger.set("b0", behaviour{leaving: true})
		h.forwarder.config.Passer, h.forwarder.config.Peers = relay{other}, pollenreach.NewPeers(rand.New(rand.NewPCG(1, 2)))
		h.forwarder.config.Others = func() []pollencatalog.Instance { return []pollencatalog.Instance{{Name: "entry-2"}} }
		call := &call{open: &pollendrain.OpenRequest{}, forwarder: h.forwarder, request: newRequest(), stats: &Stats{}, schedule: Schedule{End: time.Now().Add(time.Second), CallerDeadline: time.Now().Add(time.Second)}}
		reply, err := call.pass(t.Context(), nil, false)
		c.Assert(err, qt.IsNil)
		c.Assert(reply.Leaving, qt.IsNil)
		leaving := 0
		for _, server := range h.table.ServersOf(service(0)) {
			if h.forwarder.config.Gate.IsLeaving(server) {
				leaving++
				c.Assert(reply.Signature, qt.Equals, "by "+server.ID)
			}
		}
		c.Assert(leaving, qt.Equals, 1)
	})
}

// Guards against a request that waits for capacity until its admission deadline although all servers have asked for a longer pause.
func TestQueuedRequestIsRefusedOnceAllServersPause(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(1, 1000)
		h.setAll(0, behaviour{delay: 10 * time.Millisecond})
		var wg sync.WaitGroup
		var mu sync.Mutex
		refused := 0
		start := time.Now()
		for range 60 {
			wg.Go(func() {
				_, stats, _, err := h.serve(t.Context(), unshardedRoute(true))
				var refusal *RefusedError
				if errors.As(err, &refusal) {
					mu.Lock()
					defer mu.Unlock()
					refused++
					c.Check(stats.HeldBack.String(), qt.Equals, "paused: 2")
					c.Check(time.Since(start) <= 10*time.Millisecond, qt.IsTrue, qt.Commentf("refused after %v", time.Since(start)))
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
		for _, server := range h.table.ServersOf(service(0)) {
			h.forwarder.recordAnnouncements(server, nil, &NotRunError{Status: 503, RetryAfter: 10 * time.Second}, time.Now())
		}
		wg.Wait()
		c.Assert(refused > 0, qt.IsTrue)
	})
}

// Guards against a refusal for want of servers whose log line does not say which services lack them, nor why, and against one without
// bound.
func TestRefusalNamesServicesWithoutServers(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(12, 10)
		config := pollencatalog.TableConfig{Configuration: h.table.Configuration(), Instances: h.table.Instances(), EvacuatedZones: map[string]bool{"zone-b": true}}
		h.table.ForEachServer(func(s *pollencatalog.Server) {
			changed := *s
			changed.Draining = s.Service == service(1)
			if slices.Contains([]string{service(0), service(1), service(11)}, s.Service) {
				config.Servers = append(config.Servers, &changed)
			}
			for range 5 {
				if s.ID == "a0" {
					h.ranking.Start("sharded", &changed, time.Now()).Finish(pollenrank.Failed, time.Now())
				}
			}
		})
		h.table = pollencatalog.NewTable(config)
		_, stats, _, err := h.serve(t.Context(), shardedRoute(12))
		c.Assert(err, qt.ErrorAs, new(*RefusedError))
		c.Check(stats.Evidence, qt.Matches,
			`shard-0: zone evacuated: 1, ejected: 1; shard-1: draining: 2; shard-2: no servers known; .*; shard-9: no servers known; and 1 more services; a0: 5 failures, .*`)
		c.Check(stats.LogFields(), qt.Contains, any(stats.Evidence))
	})
}
