package pollenprogress

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against transfers that end although bytes arrive, and against ones that go on without any.
func TestTransferEndsWhenItStalls(t *testing.T) {
	limits := Limits{First: time.Second, Silence: 300 * time.Millisecond, Total: 2100 * time.Millisecond}
	tests := []struct {
		name string
		// arrivals are when bytes arrive after the start.
		arrivals []time.Duration
		want     time.Duration
		received int64
	}{
		{"nothing arrives", nil, time.Second, 0},
		{"stalls after the first byte", []time.Duration{900 * time.Millisecond}, 1200 * time.Millisecond, 1},
		{"stalls at once", []time.Duration{0}, 300 * time.Millisecond, 1},
		{"trickles", every(200*time.Millisecond, 3*time.Second), 2300 * time.Millisecond, 11},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				start := time.Now()
				ctx, transfer := Start(t.Context(), limits)
				defer transfer.End()
				for _, at := range test.arrivals {
					time.AfterFunc(at, func() { transfer.Add(1) })
				}
				<-ctx.Done()
				c.Check(time.Since(start), qt.Equals, test.want)
				var timeout *TimeoutError
				c.Assert(context.Cause(ctx), qt.ErrorAs, &timeout)
				c.Check(timeout.Received, qt.Equals, test.received)
				time.Sleep(5 * time.Second)
			})
		})
	}
}

func every(interval, until time.Duration) []time.Duration {
	var times []time.Duration
	for at := interval; at <= until; at += interval {
		times = append(times, at)
	}
	return times
}

// Guards against a transfer that times out, or takes bytes for its own, after it has ended.
func TestEndedTransferDoesNotTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		noticed := 0
		ctx, transfer := Start(WithNotice(t.Context(), func() { noticed++ }), Limits{First: time.Second, Silence: time.Second, Total: time.Second})
		transfer.Add(1)
		transfer.End()
		transfer.Add(1)
		time.Sleep(5 * time.Second)
		qt.Check(t, context.Cause(ctx), qt.Equals, context.Canceled)
		qt.Check(t, noticed, qt.Equals, 2)
	})
}
