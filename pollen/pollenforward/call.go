package pollenforward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenrank"
)

// call is one request on its way through the services that it needs.
type call struct {
	forwarder *Forwarder
	route     *pollencatalog.Route
	request   *Request
	account   *Account
	schedule  Schedule
	legs      []leg
	results   chan result
	sending   context.Context
	covered   int
	hedged    bool
	// returned is set if the caller was sent away before.
	returned bool
	// ran is set once a server may have run the request.
	ran bool
	// failure is the newest answer that reports a failure with the server's signature.
	failure *Answer
}

type result struct {
	leg     int
	attempt int
	answer  *Answer
	err     error
}

func (c *call) run(ctx context.Context) (*Reply, error) {
	sending, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.schedule.Limit)
	c.sending = sending
	defer func() { c.release(ctx, cancel) }()
	for i := range c.legs {
		c.legs[i].needed, c.legs[i].satisfy = context.WithCancel(sending)
		defer c.legs[i].satisfy()
	}
	if err := c.admit(ctx, time.Now()); err != nil {
		return nil, err
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !c.settled(time.Now()) {
		timer.Reset(time.Until(c.nextMoment(time.Now())))
		select {
		case <-ctx.Done():
			return nil, &GoneError{}
		case r := <-c.results:
			c.take(r)
		case <-timer.C:
			c.hedge(time.Now())
		}
		c.resume(time.Now())
	}
	return c.conclude(time.Now())
}

// needed returns the number of legs that a reply needs at least.
func (c *call) needed() int {
	if !c.route.Sharded() {
		return 1
	}
	needed := int(c.route.MinimumCoverage * float64(len(c.legs)))
	if float64(needed) < c.route.MinimumCoverage*float64(len(c.legs)) {
		needed++
	}
	return max(needed, 1)
}

func (c *call) exchange(i, number int, permit *pollenrank.Permit, order Order) {
	answer, err := c.forwarder.config.Exchanger.Exchange(c.sending, order)
	permit.Finish(outcome(order.Needed, answer, err), time.Now())
	c.forwarder.line.Wake(time.Now())
	c.results <- result{leg: i, attempt: number, answer: answer, err: err}
}

func outcome(needed context.Context, answer *Answer, err error) pollenrank.Outcome {
	var notRun *NotRunError
	switch {
	case errors.As(err, &notRun) && notRun.Misdirected:
		return pollenrank.Misdirected
	case errors.As(err, &notRun):
		return pollenrank.Shed
	case err != nil && needed.Err() != nil:
		return pollenrank.Abandoned
	case err != nil || answer.Status >= 500:
		return pollenrank.Failed
	}
	return pollenrank.Answered
}

// take records a result and retries if it is not an answer.
func (c *call) take(r result) {
	l := &c.legs[r.leg]
	l.open--
	l.tried[r.attempt].ended = true
	if r.err == nil && c.usable(r.answer) {
		c.ran = true
		if l.answer == nil {
			l.answer = r.answer
			l.satisfy()
			c.covered++
			c.account.Covered = c.covered
		}
		return
	}
	c.recordFailure(l, r)
	if l.answer == nil && l.open == 0 {
		c.retry(r.leg, time.Now())
	}
}

// usable reports whether an answer ends its leg: a query merges successes only, a single request also ends with a
// server's rejection.
func (c *call) usable(a *Answer) bool {
	return a.Success() || (!c.route.Sharded() && a.Status < 500 && c.relayable(a))
}

func (c *call) recordFailure(l *leg, r result) {
	var notRun *NotRunError
	var unsent *UnsentError
	switch {
	case errors.As(r.err, &notRun), errors.As(r.err, &unsent):
		l.tried[r.attempt].notRun = true
		c.account.Refusals++
	default:
		l.runs++
		c.ran = true
		c.account.Failures++
	}
	if r.err != nil {
		c.account.LastFailure = r.err.Error()
		return
	}
	c.account.LastFailure = fmt.Sprintf("server %s answered with status %d", l.tried[r.attempt].server.ID, r.answer.Status)
	c.failure = r.answer
}

// hedge asks another server for each leg that is still without an answer.
//
// Load pattern: servers are dark, and connections to them hang until the dial timeout.
func (c *call) hedge(now time.Time) {
	if c.hedged || now.Before(c.schedule.Hedge) {
		return
	}
	c.hedged = true
	for i := range c.legs {
		l := &c.legs[i]
		if l.answer != nil || l.open == 0 {
			continue
		}
		last := &l.tried[len(l.tried)-1]
		last.permit.Note(now)
		if !c.route.Idempotent {
			// A request that is still connecting can be replaced without running twice.
			if !last.ticket.Withdraw() {
				continue
			}
			last.notRun = true
		}
		if server, verdict := c.mayRetry(l, now); verdict == retryNow && c.send(i, server, now) {
			c.account.Hedges++
		}
	}
}

// nextMoment returns when the call has to act without a result.
func (c *call) nextMoment(now time.Time) time.Time {
	next := c.nextStep(now)
	if c.anyPending() && next.Sub(now) > roomInterval {
		return now.Add(roomInterval)
	}
	return next
}

func (c *call) anyPending() bool {
	return slices.ContainsFunc(c.legs, func(l leg) bool { return l.answer == nil && l.pending })
}

func (c *call) nextStep(now time.Time) time.Time {
	if !c.hedged {
		return c.schedule.Hedge
	}
	if now.Before(c.schedule.Seal) && c.covered >= c.needed() {
		return c.schedule.Seal
	}
	return c.schedule.End
}

// settled reports whether the call has nothing left to wait for.
func (c *call) settled(now time.Time) bool {
	if !now.Before(c.schedule.End) {
		return true
	}
	waiting := 0
	for i := range c.legs {
		if l := &c.legs[i]; l.answer == nil && (l.open > 0 || l.pending) {
			waiting++
		}
	}
	enough := c.covered >= c.needed()
	if waiting == 0 || c.covered+waiting < c.needed() {
		return true
	}
	return enough && !now.Before(c.schedule.Seal)
}

func (c *call) conclude(now time.Time) (*Reply, error) {
	switch {
	case c.covered >= c.needed():
		return c.reply(), nil
	case !c.route.Sharded() && c.failure != nil && c.relayable(c.failure):
		return &Reply{Answer: *c.failure}, nil
	case c.neverRuns():
		return nil, &RefusedError{Cause: "no server took the request", RetryAfter: ReturnWhenFree(c.schedule.End.Sub(now), rand.Float64())}
	case !now.Before(c.schedule.End):
		return nil, &FailedError{Cause: "no answer in time", TimedOut: true}
	}
	return nil, &FailedError{Cause: fmt.Sprintf("%d of %d services answered, %d needed", c.covered, len(c.legs), c.needed())}
}

func (c *call) nothingOpen() bool {
	for i := range c.legs {
		if c.legs[i].open > 0 {
			return false
		}
	}
	return true
}

// neverRuns withdraws what is not sent yet, and reports whether no server has run the request or ever will.
func (c *call) neverRuns() bool {
	withdrawn := !c.ran
	for i := range c.legs {
		for _, a := range c.legs[i].tried {
			if !a.ended && !a.ticket.Withdraw() {
				withdrawn = false
			}
		}
	}
	return withdrawn
}

// relayable reports whether a server's failure can be passed on: statuses that state that a request has not run are
// not, since it has.
func (c *call) relayable(a *Answer) bool {
	switch a.Status {
	case 408, 421, 429, 503:
		return false
	}
	return true
}

func (c *call) reply() *Reply {
	if !c.route.Sharded() {
		return &Reply{Answer: *c.legs[0].answer}
	}
	reply := &Reply{Answer: Answer{Status: 200}, Missing: len(c.legs) - c.covered}
	bodies := make([][]byte, 0, c.covered)
	for i := range c.legs {
		if answer := c.legs[i].answer; answer != nil {
			reply.Parts = append(reply.Parts, answer.Signature)
			bodies = append(bodies, answer.Body)
		}
	}
	reply.Body = Merge(bodies, c.route.TopK)
	return reply
}

// release ends what is still open: at once if the caller has left, else after a while in which answers may come.
func (c *call) release(ctx context.Context, cancel context.CancelFunc) {
	if c.nothingOpen() || ctx.Err() != nil {
		cancel()
		return
	}
	time.AfterFunc(c.forwarder.config.Linger, cancel)
}
