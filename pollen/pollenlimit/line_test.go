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

// fakeGate says what a test wants.
type fakeGate struct {
	verdict Verdict
}

func (g *fakeGate) Verdict(string) Verdict { return g.verdict }

const answerTime = 10 * time.Millisecond

func newTestLine(slots int, mode Mode) (*Line, *fakeGate) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	gate := &fakeGate{verdict: Verdict{Mode: mode, Reason: pollenschema.Reason_REASON_NO_OWNER}}
	return NewLine(Config{ID: "server", Slots: slots, Gate: gate, Log: pollenevent.NewLog(100)}), gate
}

func work(class pollenschema.Class, timeout time.Duration) Work {
	return Work{Class: class, Deadline: time.Now().Add(timeout)}
}

// serve runs a number of requests one after another.
func serve(t *testing.T, l *Line, requests int) {
	t.Helper()
	for range requests {
		permit, err := l.Acquire(context.Background(), work(pollenschema.Class_CLASS_NORMAL, time.Minute))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(answerTime)
		permit.Finish(Observation{Sign: SignAnswered, Latency: answerTime, BootID: "boot-1"})
	}
}

// held counts the permits that the line grants at once.
func held(l *Line) int {
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
		permit.Finish(Observation{Sign: SignNothing})
	}
	return len(permits)
}

func TestLimitRampsAndFallsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, _ := newTestLine(2, ModeFull)
		c.Check(held(l), qt.Equals, 1)
		serve(t, l, 600)
		c.Check(held(l), qt.Equals, 2)
		c.Check(l.TakesHedges(), qt.IsTrue)

		permit, err := l.Acquire(context.Background(), work(pollenschema.Class_CLASS_NORMAL, time.Minute))
		c.Assert(err, qt.IsNil)
		permit.Finish(Observation{Sign: SignAnswered, Latency: answerTime, BootID: "boot-2"})
		c.Check(held(l), qt.Equals, 1)
		c.Check(l.TakesHedges(), qt.IsFalse)
	})
}

func TestSignsOfColdStart(t *testing.T) {
	tests := []struct {
		name string
		sign Sign
	}{
		{"shed", SignShed},
		{"connection lost", SignConnectionLost},
		{"silent", SignSilent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, _ := newTestLine(2, ModeFull)
				serve(t, l, 600)
				permit, err := l.Acquire(context.Background(), work(pollenschema.Class_CLASS_NORMAL, time.Minute))
				qt.Assert(t, err, qt.IsNil)
				permit.Finish(Observation{Sign: test.sign})
				qt.Check(t, held(l), qt.Equals, 1)
			})
		})
	}
}

func TestFirstRequestAfterIdlenessGoesAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLine(2, ModeFull)
		serve(t, l, 600)
		time.Sleep(time.Second)
		qt.Check(t, held(l), qt.Equals, 1)
	})
}

func TestModes(t *testing.T) {
	tests := []struct {
		name string
		mode Mode
		// cold and warm are the requests granted at once before and after the server has warmed up.
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
				l, gate := newTestLine(4, test.mode)
				c.Check(held(l), qt.Equals, test.cold)
				gate.verdict.Mode = ModeFull
				serve(t, l, 1200)
				gate.verdict.Mode = test.mode
				c.Check(held(l), qt.Equals, test.warm)
			})
		})
	}
}

func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, gate := newTestLine(1, ModeHeld)
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
				permit.Finish(Observation{Sign: SignAnswered, Latency: answerTime})
			}()
			synctest.Wait()
		}
		gate.verdict.Mode = ModeFull
		l.Pump()
		synctest.Wait()
		qt.Check(t, order, qt.DeepEquals, []pollenschema.Class{
			pollenschema.Class_CLASS_URGENT, pollenschema.Class_CLASS_NORMAL, pollenschema.Class_CLASS_ARCHIVE,
		})
	})
}

func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, _ := newTestLine(2, ModeFull)
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
		// A quarter of an answer time is too little when both slots are taken.
		c.Check(reason(work(pollenschema.Class_CLASS_URGENT, answerTime/4)), qt.Equals, pollenschema.Reason_REASON_OVERLOAD)
		first.Finish(Observation{Sign: SignNothing})
		second.Finish(Observation{Sign: SignNothing})
	})
}

func TestBreakAfterConnectionFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, _ := newTestLine(2, ModeFull)
		for range failuresBeforeBreak {
			permit, err := l.Acquire(context.Background(), work(pollenschema.Class_CLASS_NORMAL, time.Minute))
			c.Assert(err, qt.IsNil)
			permit.Finish(Observation{Sign: SignConnectionLost})
		}
		c.Check(held(l), qt.Equals, 0)
		time.Sleep(maximumRetryDelay)
		c.Check(held(l), qt.Equals, 1)
	})
}
