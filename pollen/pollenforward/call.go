package pollenforward

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollendrain"
	"pollenline.example/pollen/pollenquota"
	"pollenline.example/pollen/pollenrank"
	"pollenline.example/pollen/pollenreach"
	"pollenline.example/pollen/pollenrollout"
	"pollenline.example/pollen/pollensuspect"
)

// call holds the state of one caller request while its subrequests run.
type call struct {
	forwarder *Forwarder
	route     *pollencatalog.Route
	request   *Request
	stats     *Stats
	// open is the call's entry among the open requests.
	open        *pollendrain.OpenRequest
	schedule    Schedule
	subrequests []subrequest
	// results is buffered for every attempt that the call may make, so that exchanges never block on it.
	results chan result
	// exchangeCtx ends the attempts; it may outlive the call by LateAnswerTimeout.
	exchangeCtx context.Context
	// usualLatency is the time that servers rarely exceed on the route; zero if it is not known.
	usualLatency time.Duration
	// caution states to how many servers the call may be sent before one has answered.
	caution pollensuspect.Decision
	// answered is set once a server has answered an attempt, so that the request does not end those that run it.
	answered atomic.Bool
	// crashRounds counts the rounds of attempts under which servers ended, lastCrash is the time of the newest.
	crashRounds int
	lastCrash   time.Time
	// covered is the number of answered subrequests.
	covered int
	// hedged is set once HedgeAt was reached and hedges were tried, even if none was sent.
	hedged bool
	// endedServers holds the IDs of the servers that ended under the call's content lately, as of endedServersAt.
	endedServers   map[string]bool
	endedServersAt time.Time
	// hedgeDelay is the time from the start of attempts to their hedges.
	hedgeDelay time.Duration
	// hedgesHeld is set if hedges wait for the call's first answer.
	hedgesHeld bool
	// otherSenders is the number of other instances whose load counts when a server's capacity is estimated.
	otherSenders float64
	// startOrder holds the indexes of the subrequests, those first that had no server with capacity when the call was last tried.
	startOrder []int
	// yields is set if the call takes only slots that are free, because it is a caller's retry or its team exceeds its share.
	yields bool
	// callerRetry is set if the caller repeats a request that was refused.
	callerRetry bool
	// leavingServers lists the IDs of leaving servers that answered.
	leavingServers []string
	// heldBack is set if the call was refused while it waited, because its servers are held back.
	heldBack error
	// mayHaveRun is set once a server may have run the request.
	mayHaveRun bool
	// stopped is set once the call must end because the instance stops.
	stopped bool
	// untaken is set if the call was to be passed on, and every other instance was unavailable.
	untaken bool
	// direct is set if the call is sent although the instance is cut off, because no other one takes it.
	direct bool
	// lastErrorAnswer is the newest answer that did not complete its subrequest.
	lastErrorAnswer *Answer
}

// result holds what an attempt returned; subrequest and attempt are its indexes in the call.
type result struct {
	subrequest int
	attempt    int
	answer     *Answer
	err        error
	// crashed is set if the server has ended.
	crashed bool
}

// run starts the call, and retries and hedges its subrequests until it is complete or the caller has disconnected.
func (c *call) run(ctx context.Context) (*Reply, error) {
	exchangeCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.schedule.CallerDeadline)
	c.exchangeCtx = exchangeCtx
	defer func() { c.cancelInFlight(ctx, cancel) }()
	for i := range c.subrequests {
		c.subrequests[i].sendCtx, c.subrequests[i].cancelUnsent = context.WithCancel(exchangeCtx)
		defer c.subrequests[i].cancelUnsent()
	}
	defer c.dropPending()
	if err := c.decideCaution(time.Now()); err != nil {
		return nil, err
	}
	if err := c.admit(ctx, time.Now()); err != nil {
		return nil, err
	}
	c.open.SetStage(pollendrain.Sent)
	lost := c.forwarder.config.Reach.Lost()
	if c.direct {
		lost = nil
	}
	stopped := c.forwarder.config.Drain.Over().Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !c.isComplete(time.Now()) {
		timer.Reset(time.Until(c.nextWakeup(time.Now())))
		select {
		case <-ctx.Done():
			return nil, &CallerDisconnectedError{}
		case r := <-c.results:
			c.recordResult(r)
			c.reviewCaution(time.Now())
		case <-timer.C:
			c.sendHedges(time.Now())
		case <-stopped:
			stopped, c.stopped = nil, true
		case <-lost:
			lost = nil
			if err := c.leave(); err != nil {
				return nil, err
			}
		}
		if !c.stopped {
			c.sendPending(time.Now())
		}
	}
	c.awaitShared(ctx)
	return c.finish(time.Now())
}

// leave returns a *lostServersError if the call should be passed on, because this instance has lost its servers: no server has
// answered it, and it may run again or has not run. It returns a *FailedError if no attempt is left for another instance.
func (c *call) leave() error {
	if c.answered.Load() || c.request.Passed || c.forwarder.config.Passer == nil {
		return nil
	}
	notRun, used := c.withdrawUnsent(), 0
	if !notRun && !c.route.Idempotent {
		return nil
	}
	for i := range c.subrequests {
		used = max(used, c.subrequests[i].countMayHaveRun())
	}
	switch {
	case used < c.route.Attempts:
	case c.route.Idempotent:
		// No answer can come from here, and the caller can try again elsewhere.
		return &FailedError{Cause: "this instance lost its servers, and all attempts are used"}
	default:
		return nil
	}
	return &lostServersError{mayHaveRun: !notRun, attemptsUsed: used}
}

// requiredAnswers returns the minimum number of answered subrequests for a successful reply.
func (c *call) requiredAnswers() int {
	if !c.route.Sharded() {
		return 1
	}
	needed := int(c.route.MinimumCoverage * float64(len(c.subrequests)))
	if float64(needed) < c.route.MinimumCoverage*float64(len(c.subrequests)) {
		needed++
	}
	return max(needed, 1)
}

// exchange runs one attempt, reports its result to the ranking and the call, and starts waiting requests that now have
// capacity.
//
// It ends the test of the request's content that isTest says has begun.
func (c *call) exchange(i, attemptIndex int, observation *pollenrank.Observation, rollout *pollenrollout.Attempt, request ServerRequest, isTest bool) {
	answer, err := c.forwarder.config.Exchanger.Exchange(c.exchangeCtx, request)
	now := time.Now()
	crashed := false
	observation.Finish(outcome(request.SendContext, answer, err), now)
	rollout.Finish(rolloutResult(c.exchangeCtx, answer, err), request.SendGuard.sinceClaim(now), now)
	reach := reachOutcome(err)
	if reach == pollenreach.Unreached && c.forwarder.config.Gate.IsLeaving(request.Server) {
		// A leaving server closes its connections.
		reach = pollenreach.Unknown
	}
	c.forwarder.config.Reach.End(request.Server, reach, now)
	switch {
	case err == nil:
		c.answered.Store(true)
		c.forwarder.config.Suspects.RecordAnswer(request.Request.Content, now)
	case isBroken(err) && !c.answered.Load():
		crashed = c.awaitCrashCheck(request, observation.Started())
	}
	if isTest {
		c.forwarder.config.Suspects.EndTest(request.Request.Content)
	}
	if limit, ok := answeredLimit(answer, err); ok {
		c.forwarder.config.Quotas.RecordAnswer(request.Server, limit, c.forwarder.config.Table(), observation.Started(), now)
	}
	c.forwarder.recordAnnouncements(request.Server, answer, err, now)
	c.forwarder.queue.Dispatch(now)
	c.results <- result{subrequest: i, attempt: attemptIndex, answer: answer, err: err, crashed: crashed}
}

// rolloutResult classifies the result of an attempt for the comparison of versions. An attempt that is no longer awaited counts as an
// answer that came when it was given up.
func rolloutResult(ctx context.Context, answer *Answer, err error) pollenrollout.Result {
	var notRun *NotRunError
	var unsent *UnsentError
	switch {
	case errors.As(err, &unsent):
		return pollenrollout.Unsent
	case errors.As(err, &notRun):
		return pollenrollout.NotRun
	case err != nil && ctx.Err() != nil:
		return pollenrollout.Answered
	case err != nil || answer.Status >= 500:
		return pollenrollout.Failed
	}
	return pollenrollout.Answered
}

// answeredLimit returns what an answer of the server itself states about its limit, or false if there was no such answer.
func answeredLimit(answer *Answer, err error) (pollenquota.Limit, bool) {
	var notRun *NotRunError
	switch {
	case err == nil:
		return answer.Limit, true
	case errors.As(err, &notRun) && !notRun.Misdirected:
		return notRun.Limit, true
	}
	return pollenquota.Limit{}, false
}

// isBroken reports whether an attempt ended because its connection was closed or reset.
func isBroken(err error) bool {
	if err == nil {
		return false
	}
	var noAnswer *NoAnswerError
	return errors.As(err, &noAnswer) && noAnswer.Broken
}

// isHeldBack reports whether a request was not sent because its server wants no more.
func isHeldBack(err error) bool {
	var heldBack *HeldBackError
	return errors.As(err, &heldBack)
}

// outcome classifies the result of an attempt for the ranking.
func outcome(sendCtx context.Context, answer *Answer, err error) pollenrank.Outcome {
	var notRun *NotRunError
	switch {
	case errors.As(err, &notRun) && notRun.Misdirected:
		return pollenrank.Misdirected
	case isRefused(err):
		return pollenrank.Refused
	case errors.As(err, &notRun):
		return pollenrank.Shed
	case err != nil && (sendCtx.Err() != nil || isHeldBack(err)):
		return pollenrank.Abandoned
	case err != nil || answer.Status >= 500:
		return pollenrank.Failed
	}
	return pollenrank.Answered
}

// recordResult stores the answer of a subrequest, or retries the subrequest if no attempt is in flight.
func (c *call) recordResult(r result) {
	s := &c.subrequests[r.subrequest]
	s.inFlight--
	s.attempts[r.attempt].ended = true
	if r.err == nil && r.answer.Leaving {
		c.leavingServers = append(c.leavingServers, s.attempts[r.attempt].server.ID)
	}
	if r.err == nil && c.isFinal(r.answer) {
		c.mayHaveRun = true
		if s.answer == nil {
			s.answer = r.answer
			s.cancelUnsent()
			c.setPending(s, false)
			c.covered++
			c.stats.Covered = c.covered
		}
		return
	}
	c.recordFailure(s, r)
	if s.answer == nil && s.inFlight == 0 {
		c.retry(r.subrequest, time.Now())
	}
}

// isFinal reports whether an answer completes its subrequest. A query merges successful answers only; an unsharded
// request also completes with any other answer below status 500 that may be relayed.
func (c *call) isFinal(a *Answer) bool {
	return a.Success() || (!c.route.Sharded() && a.Status < 500 && c.relayable(a))
}

// recordFailure records that an attempt did not complete its subrequest, and whether a server may have run it.
func (c *call) recordFailure(s *subrequest, r result) {
	var notRun *NotRunError
	var unsent *UnsentError
	switch {
	case errors.As(r.err, &notRun), errors.As(r.err, &unsent):
		s.attempts[r.attempt].notRun = true
		c.stats.Refusals++
		if unsent != nil && unsent.Unconnected {
			c.stats.Unconnected++
		}
	default:
		s.possibleRuns++
		c.mayHaveRun = true
		c.stats.Failures++
		if isBroken(r.err) {
			c.stats.Broken++
		}
		if r.crashed {
			c.recordCrash(s.attempts[r.attempt].observation.Started(), time.Now())
		}
	}
	if r.err != nil {
		c.stats.LastFailure = r.err.Error()
		return
	}
	c.stats.LastFailure = fmt.Sprintf("server %s answered with status %d", s.attempts[r.attempt].server.ID, r.answer.Status)
	c.lastErrorAnswer = r.answer
}

// sendHedges sends each subrequest with an attempt in flight to one more server, once per call. On a route that is not
// idempotent it only replaces attempts that are not sent yet.
//
// Load pattern: servers are unreachable, and connecting to them blocks until the dial timeout.
func (c *call) sendHedges(now time.Time) {
	if c.hedged || now.Before(c.schedule.HedgeAt) {
		return
	}
	c.hedged = true
	allowed := c.hedgesAllowed()
	for i := range c.subrequests {
		s := &c.subrequests[i]
		if s.answer != nil || s.inFlight == 0 {
			continue
		}
		if allowed == 0 {
			c.hedgesHeld = true
			return
		}
		allowed--
		last := &s.attempts[len(s.attempts)-1]
		last.observation.RecordPending(now)
		if !c.route.Idempotent {
			// A request that waits for its connection can be replaced without running twice.
			if !last.guard.Withdraw() {
				continue
			}
			last.notRun = true
		}
		if server, decision := c.decideRetry(s, now); decision == retryNow && c.send(i, server, now) {
			c.stats.Hedges++
		}
	}
}

// nextWakeup returns when the call must act even if no result arrives.
func (c *call) nextWakeup(now time.Time) time.Time {
	next := c.nextScheduled(now)
	if c.hasPending() && next.Sub(now) > pendingRetryInterval {
		return now.Add(pendingRetryInterval)
	}
	return next
}

func (c *call) hasPending() bool {
	return slices.ContainsFunc(c.subrequests, func(s subrequest) bool { return s.answer == nil && s.pending })
}

// nextScheduled returns the next time in the schedule at which the call hedges or ends.
func (c *call) nextScheduled(now time.Time) time.Time {
	if !c.hedged {
		return c.schedule.HedgeAt
	}
	if now.Before(c.schedule.PartialReplyAt) && c.covered >= c.requiredAnswers() {
		return c.schedule.PartialReplyAt
	}
	return c.schedule.End
}

// isComplete reports whether the call ends now: its time is over, its outcome is certain, or a partial reply is due.
func (c *call) isComplete(now time.Time) bool {
	if c.stopped || !now.Before(c.schedule.End) {
		return true
	}
	waiting := 0
	for i := range c.subrequests {
		if s := &c.subrequests[i]; s.answer == nil && (s.inFlight > 0 || s.pending) {
			waiting++
		}
	}
	enough := c.covered >= c.requiredAnswers()
	if waiting == 0 || c.mustStop(now) || c.covered+waiting < c.requiredAnswers() {
		return true
	}
	return enough && !now.Before(c.schedule.PartialReplyAt)
}

// finish returns the reply, or an error that tells whether a server may have run the request.
func (c *call) finish(now time.Time) (*Reply, error) {
	harmful := c.decideCaution(now)
	switch {
	case c.covered >= c.requiredAnswers():
		return c.buildReply(), nil
	case !c.route.Sharded() && c.lastErrorAnswer != nil && c.relayable(c.lastErrorAnswer):
		return &Reply{Answer: *c.lastErrorAnswer}, nil
	case harmful != nil:
		return nil, harmful
	case c.withdrawUnsent() && c.stopped:
		return nil, c.stopRefusal()
	case c.withdrawUnsent():
		return nil, &RefusedError{Cause: "no server took the request", Unreached: c.stats.Unconnected > 0, RetryAfter: c.retryAfter(now)}
	case c.stopped:
		return nil, c.stoppedError()
	case !now.Before(c.schedule.End):
		return nil, &FailedError{Cause: "no answer in time", TimedOut: true}
	}
	return nil, &FailedError{Cause: fmt.Sprintf("%d of %d services answered, %d needed", c.covered, len(c.subrequests), c.requiredAnswers())}
}

func (c *call) noneInFlight() bool {
	for i := range c.subrequests {
		if c.subrequests[i].inFlight > 0 {
			return false
		}
	}
	return true
}

// withdrawUnsent withdraws the attempts that are not sent yet, and reports whether no server has run or will run the
// request.
func (c *call) withdrawUnsent() bool {
	withdrawn := !c.mayHaveRun
	for i := range c.subrequests {
		for j, a := range c.subrequests[i].attempts {
			switch {
			case a.ended:
			case a.guard.Withdraw():
				c.subrequests[i].attempts[j].notRun = true
			default:
				withdrawn = false
			}
		}
	}
	return withdrawn
}

// relayable reports whether an error answer may be passed on to the caller. Statuses that would tell the caller that its
// request was not run may not, because this server may have run it.
func (c *call) relayable(a *Answer) bool {
	switch a.Status {
	case 408, 421, 429, 503:
		return false
	}
	return true
}

// buildReply returns the only answer of an unsharded call, or the merged answers of a query.
func (c *call) buildReply() *Reply {
	if !c.route.Sharded() {
		return &Reply{Answer: *c.subrequests[0].answer}
	}
	reply := &Reply{Answer: Answer{Status: 200}, Missing: len(c.subrequests) - c.covered}
	bodies := make([][]byte, 0, c.covered)
	for i := range c.subrequests {
		if answer := c.subrequests[i].answer; answer != nil {
			reply.Parts = append(reply.Parts, answer.Signature)
			bodies = append(bodies, answer.Body)
		}
	}
	reply.Body = Merge(bodies, c.route.TopK)
	return reply
}

// cancelInFlight cancels the attempts in flight: at once if the caller has disconnected, else after LateAnswerTimeout
// so that their connections can be reused.
func (c *call) cancelInFlight(ctx context.Context, cancel context.CancelFunc) {
	if c.noneInFlight() || ctx.Err() != nil {
		cancel()
		return
	}
	time.AfterFunc(c.forwarder.config.LateAnswerTimeout, cancel)
}
