package pollenforward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollendrain"
	"pollenline.example/pollen/pollenreach"
)

// Passer passes requests on to other instances, which send them to servers.
type Passer interface {
	// Pass sends a request to an instance and returns its reply, or an *UnsentError, *RefusedError, *OverQuotaError, *FailedError,
	// *HarmfulRequestError or *NoAnswerError. The instance does not pass it on again.
	Pass(ctx context.Context, instance pollencatalog.Instance, request *Request, deadline time.Time) (*Reply, error)
}

const (
	// maxPasses bounds the instances that a request is passed on to and that can serve it, maxAsked those that it is passed on to
	// in all, among them some that can't be reached or are cut off themselves.
	maxPasses = 3
	maxAsked  = 8
	// passPause is how long requests are not passed on after one that the servers of the other instance could not serve
	// either, unless this instance is cut off.
	passPause = 500 * time.Millisecond
)

// passState holds until when requests are not passed on while this instance is not cut off, in Unix nanoseconds.
type passState struct {
	pausedUntil atomic.Int64
}

// lostServersError reports a call that ended because the instance lost its servers, and that may be passed on.
type lostServersError struct {
	// mayHaveRun is set if an attempt of the call may run or have run.
	mayHaveRun bool
	// attemptsUsed is the number of servers of one service that may run or have run it.
	attemptsUsed int
}

func (e *lostServersError) Error() string { return "the instance lost its servers" }

// serve runs the call here, or passes it on if this instance reaches no servers.
//
// Load pattern: an instance loses its links to all servers while callers still reach it. Other instances reach them.
func (c *call) serve(ctx context.Context) (*Reply, error) {
	f := c.forwarder
	if err := c.refuseStopping(time.Now()); err != nil {
		return nil, err
	}
	if f.config.Passer == nil || c.request.Passed {
		if c.request.Passed && f.config.Reach.CutOff() && !c.isLastInstance(time.Now()) {
			c.recordReachEvidence(time.Now())
			return nil, &RefusedError{Cause: "this instance reaches no servers", Unreached: true, RetryAfter: RetryAfterOutage(time.Until(c.schedule.End))}
		}
		reply, err := c.run(ctx)
		if reply != nil {
			reply.Leaving = c.leavingServers
		}
		return reply, err
	}
	if f.config.Reach.CutOff() {
		if err := c.decideCaution(time.Now()); err != nil {
			return nil, err
		}
		c.recordReachEvidence(time.Now())
		reply, err := c.pass(ctx, nil, false)
		if c.untaken && f.config.Reach.ServersAnswer(time.Now()) {
			c.direct = true
			return c.run(ctx)
		}
		return reply, err
	}
	reply, err := c.run(ctx)
	var lost *lostServersError
	var refused *RefusedError
	switch {
	case errors.As(err, &lost):
		c.request.AttemptsUsed = lost.attemptsUsed
		c.recordReachEvidence(time.Now())
		return c.pass(ctx, nil, lost.mayHaveRun)
	case errors.As(err, &refused) && refused.Unreached && time.Now().UnixNano() >= f.passing.pausedUntil.Load():
		return c.pass(ctx, refused, false)
	}
	return reply, err
}

// isLastInstance reports whether the call, which another instance has passed on, must be served here although this instance is cut
// off: the servers answer it after all, and every other instance says that it is cut off as well.
//
// Load pattern: all instances take themselves for cut off, and pass requests on to each other.
func (c *call) isLastInstance(now time.Time) bool {
	f := c.forwarder
	return f.config.Reach.ServersAnswer(now) && !slices.ContainsFunc(f.config.Table().Instances(), func(i pollencatalog.Instance) bool { return !i.CutOff })
}

// recordReachEvidence records for the log why this instance is cut off.
func (c *call) recordReachEvidence(now time.Time) {
	c.stats.Evidence = c.forwarder.config.Reach.Evidence().Format(now)
}

// pass passes the call on to other instances, one after another, until one has served it. If none does, it returns the refusal that led here, if
// any.
func (c *call) pass(ctx context.Context, own *RefusedError, mayHaveRun bool) (*Reply, error) {
	f := c.forwarder
	c.open.SetStage(pollendrain.Passed)
	ctx, cancel := c.passContext(ctx)
	defer cancel()
	var tried []string
	refusal, passes := own, 0
	c.untaken = false
	for len(tried) < maxAsked && passes < maxPasses && time.Now().Before(c.schedule.End) {
		instance, ok := f.config.Peers.Choose(f.config.Others(), tried, time.Now())
		if !ok {
			break
		}
		tried = append(tried, instance.Name)
		c.stats.Passes, c.stats.PassedTo = len(tried), instance.Name
		f.config.Peers.Begin(instance.Name)
		reply, err := f.config.Passer.Pass(ctx, instance, c.request, c.schedule.CallerDeadline)
		var unsent *UnsentError
		var refused *RefusedError
		var noAnswer *NoAnswerError
		var overQuota *OverQuotaError
		isRefused := errors.As(err, &refused)
		unavailable := errors.As(err, &unsent) || (isRefused && refused.Unreached)
		f.config.Peers.End(instance.Name, unavailable, time.Now())
		if !unavailable {
			passes++
		}
		switch {
		case ctx.Err() != nil && err != nil:
			return nil, c.passEnded(ctx, mayHaveRun || (unsent == nil && !isRefused))
		case unsent != nil:
			c.stats.LastFailure = err.Error()
		case isRefused:
			refusal = refused
			c.stats.LastFailure = err.Error()
		case errors.As(err, &noAnswer):
			c.stats.LastFailure = err.Error()
			// The other instance may have used all attempts that are left.
			return nil, &FailedError{Cause: fmt.Sprintf("instance %s did not answer", instance.Name)}
		case errors.As(err, &overQuota) && mayHaveRun:
			return nil, &FailedError{Cause: fmt.Sprintf("this instance lost its servers, and instance %s: %v", instance.Name, err)}
		case overQuota != nil:
			return nil, err
		default:
			c.stats.ServedElsewhere = true
			if reply != nil {
				f.recordLeaving(reply.Leaving, time.Now())
				reply.Leaving = nil
			}
			return reply, err
		}
	}
	if own != nil {
		f.passing.pausedUntil.Store(time.Now().Add(passPause).UnixNano())
	}
	c.untaken = passes == 0 && !mayHaveRun
	switch {
	case mayHaveRun:
		return nil, &FailedError{Cause: fmt.Sprintf("this instance lost its servers, and %d others did not answer", len(tried))}
	case refusal != nil:
		return nil, &RefusedError{Cause: refusal.Cause, Unreached: refusal.Unreached, RetryAfter: refusal.RetryAfter}
	}
	timeLeft := time.Until(c.schedule.End)
	return nil, &RefusedError{
		Cause:      fmt.Sprintf("this instance reaches no servers, and none of %d others took the request", len(tried)),
		RetryAfter: RetryAfterOverload(timeLeft, rand.Float64()),
	}
}

// passEnded returns the error of a request that ended while it was passed on; mayHaveRun is set if another instance may have it, or a server
// may have run it.
func (c *call) passEnded(ctx context.Context, mayHaveRun bool) error {
	var stopped *pollendrain.StoppedError
	switch {
	case errors.As(context.Cause(ctx), &stopped) && !mayHaveRun:
		return c.stopRefusal()
	case errors.As(context.Cause(ctx), &stopped):
		return c.stoppedError()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &FailedError{Cause: "no answer of another instance in time", TimedOut: true}
	}
	return &CallerDisconnectedError{}
}

// reachOutcome returns what the result of an attempt says about the way to its server.
func reachOutcome(err error) pollenreach.Outcome {
	if err == nil {
		return pollenreach.Answered
	}
	var notRun *NotRunError
	var unsent *UnsentError
	switch {
	case errors.As(err, &notRun):
		return pollenreach.Answered
	case isBroken(err), errors.As(err, &unsent) && unsent.Unconnected:
		return pollenreach.Unreached
	}
	return pollenreach.Unknown
}
