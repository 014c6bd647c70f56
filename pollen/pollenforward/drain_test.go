package pollenforward

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollendrain"
	"pollenline.example/pollen/pollenreach"
)

// hangingPasser is a Passer whose instances take requests and do not answer.
type hangingPasser struct{}

func (hangingPasser) Pass(ctx context.Context, instance pollencatalog.Instance, _ *Request, _ time.Time) (*Reply, error) {
	<-ctx.Done()
	return nil, &NoAnswerError{Server: instance.Name, Err: ctx.Err()}
}

// Guards against requests that are open when the instance stops and end with its process. Those that wait for capacity must be refused
// at once, so that another instance serves them; those that servers or other instances have must end before the exit.
func TestOpenRequestsEndWithTheirInstance(t *testing.T) {
	tests := []struct {
		name string
		// stage is how far the requests have come that get their final answers at the end.
		stage pollendrain.Stage
		// cutOff is set if the instance passes its requests on.
		cutOff bool
		// waiting is set if some requests wait for capacity when the stop begins.
		waiting bool
	}{
		{name: "servers have some, the others wait", stage: pollendrain.Sent, waiting: true},
		{name: "another instance has them", stage: pollendrain.Passed, cutOff: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(1, 100)
				drain := pollendrain.New()
				h.forwarder.config.Drain = drain
				if test.cutOff {
					h.forwarder.config.Reach = lostTracker()
					h.forwarder.config.Passer, h.forwarder.config.Peers = hangingPasser{}, pollenreach.NewPeers(rand.New(rand.NewPCG(1, 2)))
					h.forwarder.config.Others = func() []pollencatalog.Instance { return []pollencatalog.Instance{{Name: "entry-2", Ready: true}} }
				}
				route := unshardedRoute(false)
				route.Timeout, route.Objective = 20*time.Second, 8*time.Second
				if test.waiting {
					// Once it knows how long the servers take, the instance sends no more than they can answer in time.
					h.setAll(0, behaviour{delay: time.Second})
					for range 20 {
						_, _, err := h.forwarder.Serve(t.Context(), route, &Request{ID: "r", Received: time.Now()})
						c.Assert(err, qt.IsNil)
					}
					h.setAll(0, behaviour{hang: true})
				}
				plan := pollendrain.NewPlan(time.Now().Add(500*time.Millisecond), 2*time.Second)
				time.AfterFunc(time.Until(plan.Begin), func() { drain.Start(plan) })
				time.AfterFunc(time.Until(plan.LastAnswer)-time.Millisecond, func() {
					for _, open := range drain.Open().List() {
						c.Check(open.Stage(), qt.Equals, test.stage)
					}
				})
				var mu sync.Mutex
				refused, ended := 0, 0
				var calls sync.WaitGroup
				for range 40 {
					calls.Go(func() {
						_, _, err := h.forwarder.Serve(t.Context(), route, &Request{ID: "r", Received: time.Now()})
						var refusal *RefusedError
						var failure *FailedError
						mu.Lock()
						defer mu.Unlock()
						switch {
						case errors.As(err, &refusal):
							c.Check(refusal.RetryAfter, qt.Equals, time.Duration(0))
							c.Check(time.Now().Equal(plan.Begin), qt.IsTrue)
							refused++
						case errors.As(err, &failure):
							c.Check(failure.TimedOut, qt.IsTrue)
							c.Check(time.Now().Equal(plan.LastAnswer), qt.IsTrue)
							ended++
						default:
							c.Errorf("unexpected result: %v", err)
						}
					})
				}
				calls.Wait()
				c.Assert(drain.Open().List(), qt.HasLen, 0)
				c.Assert(refused > 0, qt.Equals, test.waiting)
				c.Assert(ended > 0, qt.IsTrue)
				countedRefusals, countedEnds := drain.Counts()
				c.Assert([]int64{countedRefusals, countedEnds}, qt.DeepEquals, []int64{int64(refused), int64(ended)})
			})
		})
	}
}

// unconnectedPasser is a Passer that waits for a connection until the request ends.
type unconnectedPasser struct{}

func (unconnectedPasser) Pass(ctx context.Context, instance pollencatalog.Instance, _ *Request, _ time.Time) (*Reply, error) {
	<-ctx.Done()
	return nil, &UnsentError{Server: instance.Name, Err: ctx.Err()}
}

// Guards against a caller who is told that a request may have run, and may not repeat it, although nothing has been sent when the instance stops.
func TestRequestThatWaitsForOtherInstanceIsRefusedAtStop(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHarness(1, 100)
		drain := pollendrain.New()
		h.forwarder.config.Drain, h.forwarder.config.Reach = drain, lostTracker()
		h.forwarder.config.Passer, h.forwarder.config.Peers = unconnectedPasser{}, pollenreach.NewPeers(rand.New(rand.NewPCG(1, 2)))
		h.forwarder.config.Others = func() []pollencatalog.Instance { return []pollencatalog.Instance{{Name: "entry-2", Ready: true}} }
		route := unshardedRoute(false)
		route.Timeout = 20 * time.Second
		plan := pollendrain.NewPlan(time.Now().Add(500*time.Millisecond), 2*time.Second)
		time.AfterFunc(time.Until(plan.Begin), func() { drain.Start(plan) })
		_, _, err := h.forwarder.Serve(t.Context(), route, &Request{ID: "r", Received: time.Now()})
		c.Assert(err, qt.ErrorAs, new(*RefusedError))
		c.Assert(time.Now().Equal(plan.LastAnswer), qt.IsTrue)
	})
}
