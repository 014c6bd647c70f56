package pollenforward

import (
	"context"
	"time"

	"pollenline.example/pollen/pollendrain"
)

// refuseStopping returns a *RefusedError if the instance is stopping and does not take the call. Another instance can take it at once.
func (c *call) refuseStopping(now time.Time) error {
	plan, stopping := c.forwarder.config.Drain.Plan()
	if !stopping {
		return nil
	}
	request := pollendrain.Request{
		Idempotent: c.route.Idempotent, End: c.schedule.End,
		Latency: c.forwarder.config.Ranking.LatencyQuantile(c.route.Name, pollendrain.LatencyQuantile(c.route.Idempotent)),
	}
	if plan.Takes(request, now) {
		return nil
	}
	return c.stopRefusal()
}

// stopRefusal returns the error of a call that no server has run or will run, and that is not taken because the instance stops.
func (c *call) stopRefusal() *RefusedError {
	c.forwarder.config.Drain.CountRefused()
	return &RefusedError{Cause: "this instance is stopping", Unreached: c.request.Passed}
}

// admissionContext returns a context for the time that the call waits for capacity. It ends with a *RefusedError as its cause once
// the instance is stopping and does not take the call.
func (c *call) admissionContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	review := func() {
		if err := c.refuseStopping(time.Now()); err != nil {
			cancel(err)
		}
	}
	drain := c.forwarder.config.Drain
	stopBegun, stopOver := context.AfterFunc(drain.Begun(), review), context.AfterFunc(drain.Over(), review)
	return ctx, func() {
		stopBegun()
		stopOver()
		cancel(nil)
	}
}

// passContext returns a context for the time that another instance has the call. It ends with a *pollendrain.StoppedError as its cause
// once open calls must get their final answers.
func (c *call) passContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancelDeadline := context.WithDeadline(ctx, c.schedule.CallerDeadline)
	ctx, cancel := context.WithCancelCause(ctx)
	stopOver := context.AfterFunc(c.forwarder.config.Drain.Over(), func() { cancel(&pollendrain.StoppedError{}) })
	return ctx, func() {
		stopOver()
		cancel(nil)
		cancelDeadline()
	}
}

// stoppedError returns the error of a call that may have run and got its final answer because the instance stops.
func (c *call) stoppedError() error {
	c.forwarder.config.Drain.CountEnded()
	return &FailedError{Cause: "no answer before this instance stopped", TimedOut: true}
}
