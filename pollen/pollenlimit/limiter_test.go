package pollenlimit

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenevent"
	"pollenline.example/pollen/pollenschema"
)

// fakeGate returns a decision set by the test.
type fakeGate struct {
	decision Decision
}

func (g *fakeGate) Decide(string) Decision { return g.decision }

const answerTime = 10 * time.Millisecond

// newTestLimiter returns a limiter for a cold server and the gate that sets its mode.
func newTestLimiter(slots int, mode Mode) (*Limiter, *fakeGate) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	gate := &fakeGate{decision: Decision{Mode: mode, Reason: pollenschema.Reason_REASON_NO_OWNER}}
	return NewLimiter(Config{ID: "server", Slots: slots, Gate: gate, Log: pollenevent.NewLog(100)}), gate
}

// work returns work of a class whose deadline is the timeout from now.
func work(class pollenschema.Class, timeout time.Duration) Work {
	return Work{Class: class, Deadline: time.Now().Add(timeout)}
}

// serve runs a number of successful requests sequentially.
func serve(t *testing.T, l *Limiter, requests int) {
	t.Helper()
	for range requests {
		permit, err := l.Acquire(context.Background(), work(pollenschema.Class_CLASS_NORMAL, time.Minute))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(answerTime)
		permit.Finish(Observation{Signal: SignalAnswered, Latency: answerTime, BootID: "boot-1"})
	}
}

// countConcurrentPermits returns the number of permits that the limiter grants at once, and releases them.
func countConcurrentPermits(l *Limiter) int {
	var permits []*Permit
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		permit, err := l.Acquire(ctx, work(pollenschema.Class_CLASS_NORMAL, time.Minute))
		cancel()
		if err != nil {
			break
		}
		permits = append(permits, permit)
	}
	for _, permit := range permits {
		permit.Finish(Observation{Signal: SignalNone})
	}
	return len(permits)
}

// TestLimitIncreasesAndResetsOnRestart guards against a full load on a server that restarted cold.
func TestLimitIncreasesAndResetsOnRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, _ := newTestLimiter(2, ModeFull)
		c.Check(countConcurrentPermits(l), qt.Equals, 1)
		serve(t, l, 600)
		c.Check(countConcurrentPermits(l), qt.Equals, 2)
		c.Check(l.TakesHedges(), qt.IsTrue)

		permit, err := l.Acquire(context.Background(), work(pollenschema.Class_CLASS_NORMAL, time.Minute))
		c.Assert(err, qt.IsNil)
		permit.Finish(Observation{Signal: SignalAnswered, Latency: answerTime, BootID: "boot-2"})
		c.Check(countConcurrentPermits(l), qt.Equals, 1)
		c.Check(l.TakesHedges(), qt.IsFalse)
	})
}

// TestColdStartSignalsResetLimit guards against a limit that stays high although the server may be cold.
func TestColdStartSignalsResetLimit(t *testing.T) {
	tests := []struct {
		name   string
		signal Signal
	}{
		{"shed", SignalShed},
		{"connection lost", SignalConnectionLost},
		{"silent", SignalNoProgress},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, _ := newTestLimiter(2, ModeFull)
				serve(t, l, 600)
				permit, err := l.Acquire(context.Background(), work(pollenschema.Class_CLASS_NORMAL, time.Minute))
				qt.Assert(t, err, qt.IsNil)
				permit.Finish(Observation{Signal: test.signal})
				qt.Check(t, countConcurrentPermits(l), qt.Equals, 1)
			})
		})
	}
}

// TestOneRequestAtATimeAfterIdleTime guards against a burst to a server that restarted unnoticed while idle.
func TestOneRequestAtATimeAfterIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLimiter(2, ModeFull)
		serve(t, l, 600)
		time.Sleep(time.Second)
		qt.Check(t, countConcurrentPermits(l), qt.Equals, 1)
	})
}

// TestModeBoundsConcurrentRequests guards against sending more than the gate's mode allows to cold and warm servers.
func TestModeBoundsConcurrentRequests(t *testing.T) {
	tests := []struct {
		name string
		mode Mode
		// cold and warm are the numbers of concurrent permits before and after the server has warmed up.
		cold, warm int
	}{
		{"stopped", ModeStopped, 0, 0},
		{"held", ModeHeld, 0, 0},
		{"shared", ModeShared, 0, 2},
		{"unclaimed", ModeUnclaimed, 1, 2},
		{"full", ModeFull, 1, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				l, gate := newTestLimiter(4, test.mode)
				c.Check(countConcurrentPermits(l), qt.Equals, test.cold)
				gate.decision.Mode = ModeFull
				serve(t, l, 1200)
				gate.decision.Mode = test.mode
				c.Check(countConcurrentPermits(l), qt.Equals, test.warm)
			})
		})
	}
}

// TestQueueOrdersByClass guards against urgent work waiting behind queued work of lower classes.
func TestQueueOrdersByClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, gate := newTestLimiter(1, ModeHeld)
		var order []pollenschema.Class
		classes := []pollenschema.Class{pollenschema.Class_CLASS_ARCHIVE, pollenschema.Class_CLASS_NORMAL, pollenschema.Class_CLASS_URGENT}
		for _, class := range classes {
			go func() {
				permit, err := l.Acquire(context.Background(), work(class, time.Minute))
				if err != nil {
					t.Error(err)
					return
				}
				order = append(order, class)
				permit.Finish(Observation{Signal: SignalAnswered, Latency: answerTime})
			}()
			synctest.Wait()
		}
		gate.decision.Mode = ModeFull
		l.ProcessQueue()
		synctest.Wait()
		qt.Check(t, order, qt.DeepEquals, []pollenschema.Class{
			pollenschema.Class_CLASS_URGENT, pollenschema.Class_CLASS_NORMAL, pollenschema.Class_CLASS_ARCHIVE,
		})
	})
}

// TestRefusalReasons guards against queueing work that cannot be sent in time, and hedges that should not be sent.
func TestRefusalReasons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, _ := newTestLimiter(2, ModeFull)
		reason := func(w Work) pollenschema.Reason {
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			defer cancel()
			_, err := l.Acquire(ctx, w)
			var refusal *Refusal
			c.Assert(err, qt.ErrorAs, &refusal)
			return refusal.Reason
		}
		hedge := work(pollenschema.Class_CLASS_URGENT, time.Minute)
		hedge.Hedge = true
		c.Check(reason(hedge), qt.Equals, pollenschema.Reason_REASON_COLD)
		c.Check(reason(work(pollenschema.Class_CLASS_URGENT, -time.Second)), qt.Equals, pollenschema.Reason_REASON_DEADLINE)

		serve(t, l, 600)
		first, err := l.Acquire(context.Background(), work(pollenschema.Class_CLASS_URGENT, time.Minute))
		c.Assert(err, qt.IsNil)
		second, err := l.Acquire(context.Background(), work(pollenschema.Class_CLASS_URGENT, time.Minute))
		c.Assert(err, qt.IsNil)
		c.Check(reason(hedge), qt.Equals, pollenschema.Reason_REASON_OVERLOAD)
		// With both slots in use, a quarter of an answer time is not enough.
		c.Check(reason(work(pollenschema.Class_CLASS_URGENT, answerTime/4)), qt.Equals, pollenschema.Reason_REASON_OVERLOAD)
		first.Finish(Observation{Signal: SignalNone})
		second.Finish(Observation{Signal: SignalNone})
	})
}

// TestCircuitBreakerOpensAfterConnectionFailures guards against requests to an unreachable server between probes.
func TestCircuitBreakerOpensAfterConnectionFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, _ := newTestLimiter(2, ModeFull)
		for range circuitBreakerThreshold {
			permit, err := l.Acquire(context.Background(), work(pollenschema.Class_CLASS_NORMAL, time.Minute))
			c.Assert(err, qt.IsNil)
			permit.Finish(Observation{Signal: SignalConnectionLost})
		}
		c.Check(countConcurrentPermits(l), qt.Equals, 0)
		time.Sleep(maxProbeDelay)
		c.Check(countConcurrentPermits(l), qt.Equals, 1)
	})
}
