package pollenforward

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"pollenline.example/pollen/pollenadmit"
	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenrollout"
	"pollenline.example/pollen/pollensuspect"
)

// admit starts the call, or refuses it if the available servers cannot reach the minimum coverage, or have no capacity or
// are at their limits until the admission deadline.
//
// Load pattern: all servers of several shards are down or overloaded. Requests to the other shards would occupy slots
// for a query that cannot succeed.
func (c *call) admit(ctx context.Context, now time.Time) error {
	if !now.Before(c.schedule.End) {
		return &RefusedError{Cause: "no time left on arrival"}
	}
	timeLeft := c.schedule.End.Sub(now)
	available := 0
	for i := range c.subrequests {
		if c.hasAvailableServer(&c.subrequests[i], now) {
			available++
		}
	}
	if available < c.requiredAnswers() {
		return &RefusedError{
			Cause:      fmt.Sprintf("servers available for %d of %d services, %d needed", available, len(c.subrequests), c.requiredAnswers()),
			Unreached:  true,
			RetryAfter: RetryAfterOutage(timeLeft),
		}
	}
	admissionDeadline := c.schedule.admissionDeadline(c.callerRetry)
	if belowLimit := c.countBelowLimit(now, admissionDeadline); belowLimit < c.requiredAnswers() {
		return &RefusedError{
			Cause:      fmt.Sprintf("servers below their limits for %d of %d services, %d needed", belowLimit, len(c.subrequests), c.requiredAnswers()),
			RetryAfter: RetryAfterOverload(timeLeft, rand.Float64()),
		}
	}
	if c.caution == pollensuspect.SendSuspect && !c.canTest(now) {
		return &RefusedError{
			Cause: "servers have ended under requests of this content, and no service has one to spare", RetryAfter: RetryAfterOutage(timeLeft),
		}
	}
	started := c.forwarder.queue.Admit(ctx, pollenadmit.Request{
		Priority: c.route.Priority, CapacityKey: c.route.Name, Arrived: c.request.Received, TryStart: c.tryStart,
		Deadline: admissionDeadline, CallerRetry: c.callerRetry,
	})
	c.stats.CallerRetry, c.stats.QueueTime = c.callerRetry, time.Since(now)
	c.hedgeDelay = c.schedule.HedgeAt.Sub(c.request.Received)
	// The hedge delay starts when the request leaves the queue.
	c.schedule.HedgeAt = c.schedule.HedgeAt.Add(c.stats.QueueTime)
	switch {
	case started:
		return nil
	case ctx.Err() != nil:
		return &CallerDisconnectedError{}
	}
	return &RefusedError{
		Cause:      fmt.Sprintf("servers of too few services have room, %d of %d needed", c.requiredAnswers(), len(c.subrequests)),
		RetryAfter: RetryAfterOverload(timeLeft, rand.Float64()),
	}
}

// tryStart sends the first request of each subrequest if enough of them have capacity; the others stay pending. It
// reports whether the call has started.
//
// Services whose servers are all at their limits do not count as pending: other calls wait for the same few requests.
func (c *call) tryStart(now time.Time) bool {
	if c.countBelowLimit(now, now) < c.requiredAnswers() {
		return false
	}
	if c.decideCaution(now) != nil {
		// The call has started and ends at once, as it may send nothing.
		return true
	}
	c.otherSenders = c.countOtherSenders(now)
	chosen := make([]*pollencatalog.Server, len(c.subrequests))
	ready := 0
	for i := range c.subrequests {
		if server, ok := c.chooseServer(&c.subrequests[i], now); ok {
			chosen[i] = server
			ready++
		}
	}
	if needed := c.requiredAtStart(); ready < needed && (c.caution != pollensuspect.SendSuspect || ready == 0) {
		return false
	}
	for _, i := range c.sendOrder() {
		c.forwarder.config.Budget.CountRequest(c.subrequests[i].service, now)
		c.sendFirst(i, chosen[i], now)
	}
	return true
}

// countOtherSenders estimates the utilization of the call's servers and returns how many other instances count when their
// capacity is estimated.
func (c *call) countOtherSenders(now time.Time) float64 {
	table := c.forwarder.config.Table()
	var servers []*pollencatalog.Server
	for i := range c.subrequests {
		servers = append(servers, c.admittedServers(table, c.subrequests[i].service, pollenrollout.Any, now)...)
	}
	return c.forwarder.config.Ranking.OtherSenders(servers, len(table.Senders()), now)
}

// startShare is the share of the required services that must have capacity at the start. The few others are expected
// to get capacity before the reply is due.
const startShare = 0.85

// requiredAtStart returns the number of services that must have capacity for the call to start.
func (c *call) requiredAtStart() int {
	return int(math.Ceil(startShare * float64(c.requiredAnswers())))
}

// sendFirst sends the first request of a subrequest to the chosen server. If server is nil or its limit or the cold limiter
// allows no request to it, the subrequest stays pending as long as the service has an available server.
func (c *call) sendFirst(i int, server *pollencatalog.Server, now time.Time) {
	s := &c.subrequests[i]
	s.pending = (server == nil || !c.maySend(now) || !c.send(i, server, now)) && c.hasServerBelowLimit(s, now, c.schedule.End)
}

// sendPending sends the pending subrequests whose servers have capacity now.
func (c *call) sendPending(now time.Time) {
	if !c.hasPending() {
		return
	}
	for _, i := range c.sendOrder() {
		s := &c.subrequests[i]
		switch {
		case s.answer != nil || !s.pending || !c.maySend(now):
		case len(s.attempts) == 0:
			server, _ := c.chooseServer(s, now)
			c.sendFirst(i, server, now)
		case s.inFlight == 0:
			c.retry(i, now)
		}
	}
}

// retry sends a subrequest again, now or once a server has capacity, if its attempts and the budget allow.
func (c *call) retry(i int, now time.Time) {
	s := &c.subrequests[i]
	if !c.maySend(now) {
		s.pending = true
		return
	}
	server, decision := c.decideRetry(s, now)
	s.pending = decision == retryWhenCapacity
	if decision == retryNow && c.send(i, server, now) {
		c.stats.Retries++
	}
}

// pendingRetryInterval is how often a pending subrequest checks for capacity.
const pendingRetryInterval = 5 * time.Millisecond
