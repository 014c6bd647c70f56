package pollenforward

import (
	"context"
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"pollenline.example/pollen/pollenadmit"
	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollengate"
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
	var lacking []string
	for i := range c.subrequests {
		if s := &c.subrequests[i]; !c.hasAvailableServer(s, now) {
			lacking = append(lacking, s.service)
		}
	}
	if available := len(c.subrequests) - len(lacking); available < c.requiredAnswers() {
		c.recordUnavailability(lacking, now)
		return &RefusedError{
			Cause:      fmt.Sprintf("servers available for %d of %d services, %d needed", available, len(c.subrequests), c.requiredAnswers()),
			Unreached:  true,
			RetryAfter: RetryAfterOutage(timeLeft),
		}
	}
	admissionDeadline := c.schedule.admissionDeadline(c.callerRetry)
	if err := c.refuseHeldBack(now, admissionDeadline); err != nil {
		return err
	}
	if c.caution == pollensuspect.SendSuspect && !c.canTest(now) {
		return &RefusedError{
			Cause: "servers have ended under requests of this content, and no service has one to spare", RetryAfter: RetryAfterOutage(timeLeft),
		}
	}
	waiting := pollenadmit.Request{
		Priority: c.request.priority(c.route), CapacityKey: c.route.Name, Arrived: c.request.Received, TryStart: c.tryStart,
		Deadline: admissionDeadline, CallerRetry: c.callerRetry,
	}
	if team := c.request.Team; team != nil {
		waiting.Team = team.Name
		if !c.callerRetry {
			c.forwarder.demand.RecordArrival(team.Name, now)
		}
	}
	admissionCtx, cancel := c.admissionContext(ctx)
	defer cancel()
	started := c.forwarder.queue.Admit(admissionCtx, waiting)
	c.stats.CallerRetry, c.stats.QueueTime = c.callerRetry, time.Since(now)
	c.hedgeDelay = c.schedule.HedgeAt.Sub(c.request.Received)
	// The hedge delay starts when the request leaves the queue.
	c.schedule.HedgeAt = c.schedule.HedgeAt.Add(c.stats.QueueTime)
	switch {
	case c.heldBack != nil:
		return c.heldBack
	case started:
		return nil
	case ctx.Err() != nil:
		return &CallerDisconnectedError{}
	case admissionCtx.Err() != nil:
		return context.Cause(admissionCtx)
	}
	return &RefusedError{
		Cause:      fmt.Sprintf("servers of too few services have room, %d of %d needed", c.requiredAnswers(), len(c.subrequests)),
		Overloaded: true,
		RetryAfter: c.retryAfter(time.Now()),
	}
}

// maxNamedServices bounds the services that the log names for one refused request.
const maxNamedServices = 10

// recordUnavailability records for the log why none of the servers of the services that lack an available one counts, and what a few of
// those servers have done.
func (c *call) recordUnavailability(lacking []string, now time.Time) {
	var reasons []string
	var servers []*pollencatalog.Server
	for _, service := range lacking {
		ofService := c.forwarder.config.Table().ServersOf(service)
		servers = append(servers, ofService...)
		if len(reasons) < maxNamedServices {
			reasons = append(reasons, service+": "+c.countReasons(ofService, now))
		}
	}
	if more := len(lacking) - len(reasons); more > 0 {
		reasons = append(reasons, fmt.Sprintf("and %d more services", more))
	}
	if seen := c.forwarder.config.Ranking.Unavailability(servers, now); seen != "" {
		reasons = append(reasons, seen)
	}
	c.stats.Evidence = strings.Join(reasons, "; ")
}

// countReasons says how many of a service's servers may not be sent the call's request, by reason.
func (c *call) countReasons(servers []*pollencatalog.Server, now time.Time) string {
	if len(servers) == 0 {
		return "no servers known"
	}
	var counts pollengate.Counts
	for _, server := range servers {
		counts[c.forwarder.config.Gate.Check(server, c.request.Received, now)]++
	}
	return counts.String()
}

// tryStart sends the first request of each subrequest if enough of them have capacity; the others stay pending. It
// reports whether the call has started.
//
// Services whose servers are all at their limits do not count as pending: other calls wait for the same few requests.
func (c *call) tryStart(now time.Time) bool {
	if c.countBelowLimit(now, now) < c.requiredAnswers() {
		// The call ends at once if it can no longer start in time, because servers have asked for pauses while it waited. It waits for
		// servers that are ejected or being probed.
		if deadline := c.schedule.admissionDeadline(c.callerRetry); c.countSendableBy(now, deadline) < c.requiredAnswers() {
			c.heldBack = c.refuseHeldBack(now, deadline)
		}
		return c.heldBack != nil
	}
	if c.decideCaution(now) != nil {
		// The call has started and ends at once, as it may send nothing.
		return true
	}
	c.otherSenders = c.countOtherSenders(now)
	team := c.request.Team
	c.yields = c.callerRetry || (team != nil && c.forwarder.demand.ExceedsShare(team.Name, now))
	chosen, ok := c.chooseFirst(now)
	if !ok {
		return false
	}
	if team != nil && !c.callerRetry {
		c.forwarder.demand.RecordStart(now)
	}
	for _, i := range c.sendOrder() {
		c.forwarder.config.Budget.CountRequest(c.subrequests[i].service, now)
		c.sendFirst(i, chosen[i], now)
	}
	return true
}

// chooseFirst returns the server for the first request of each subrequest, nil where none has capacity, and whether enough have
// one for the call to start. Services that have maxBacklog subrequests of started calls pending do not count as expected to get
// capacity later.
//
// Load pattern: two of a shard's three servers are silent or slow. Each query that starts without the shard leaves one more
// subrequest pending, until all of them wait to their ends and none is answered in time.
//
// Load pattern: many queries wait, and each answer of a shard is a reason to try them again. The search ends once too many
// services lack capacity, and begins with those that lacked it the last time: else a waiting query takes more processor time
// the more servers answer.
func (c *call) chooseFirst(now time.Time) ([]*pollencatalog.Server, bool) {
	if c.startOrder == nil {
		c.startOrder = make([]int, len(c.subrequests))
		for i := range c.startOrder {
			c.startOrder[i] = i
		}
	}
	needed := c.requiredAtStart()
	if c.yields {
		needed = c.requiredAnswers()
	}
	if c.caution == pollensuspect.SendSuspect {
		needed = 1
	}
	chosen := make([]*pollencatalog.Server, len(c.subrequests))
	bound := c.latencyBound(now)
	missing, blocked := 0, 0
	for position, i := range c.startOrder {
		backlog := c.forwarder.backlog.count(c.subrequests[i].service)
		if backlog == 0 {
			if server, ok := c.chooseServer(&c.subrequests[i], bound, now); ok {
				chosen[i] = server
				continue
			}
		}
		if backlog >= maxBacklog {
			blocked++
		}
		c.startOrder[position], c.startOrder[missing] = c.startOrder[missing], i
		missing++
		if len(c.subrequests)-missing < needed || len(c.subrequests)-blocked < c.requiredAnswers() {
			return nil, false
		}
	}
	return chosen, true
}

// countOtherSenders estimates the utilization of the call's servers and returns how many other instances count when their
// capacity is estimated.
func (c *call) countOtherSenders(now time.Time) float64 {
	return c.forwarder.senders.get(c.route.Name, now, func() float64 { return c.estimateOtherSenders(now) })
}

// estimateOtherSenders makes the estimate of countOtherSenders.
func (c *call) estimateOtherSenders(now time.Time) float64 {
	table := c.forwarder.config.Table()
	var servers []*pollencatalog.Server
	for i := range c.subrequests {
		servers = append(servers, c.admittedServers(table, c.subrequests[i].service, pollenrollout.Any, now)...)
	}
	return c.forwarder.config.Ranking.OtherSenders(servers, len(table.Senders()), now)
}

// otherSendersAge is how long an estimate of the other senders of a route is used: short beside the time over which the
// utilization is averaged.
const otherSendersAge = 5 * time.Millisecond

// otherSenders holds the newest estimate of the other senders of each route. The zero value is ready to use.
//
// Load pattern: many queries wait, and each answer of a shard is a reason to try them again. The estimate takes all servers
// of a query, and would else be made for each of these tries.
type otherSenders struct {
	mu     sync.Mutex
	routes map[string]sendersEstimate
}

// sendersEstimate is an estimate and the time that it was made.
type sendersEstimate struct {
	senders float64
	at      time.Time
}

// get returns the estimate for a route, which it makes anew if it is too old.
func (o *otherSenders) get(route string, now time.Time, estimate func() float64) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known, ok := o.routes[route]; ok && now.Sub(known.at) < otherSendersAge {
		return known.senders
	}
	if o.routes == nil {
		o.routes = make(map[string]sendersEstimate)
	}
	made := sendersEstimate{senders: estimate(), at: now}
	o.routes[route] = made
	return made.senders
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
	c.setPending(s, (server == nil || !c.maySend(now) || !c.send(i, server, now)) && c.hasServerBelowLimit(s, now, c.schedule.End))
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
			server, _ := c.chooseServer(s, c.latencyBound(now), now)
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
		c.setPending(s, true)
		return
	}
	server, decision := c.decideRetry(s, now)
	c.setPending(s, decision == retryWhenCapacity)
	if decision == retryNow && c.send(i, server, now) {
		c.stats.Retries++
	}
}

// pendingRetryInterval is how often a pending subrequest checks for capacity.
const pendingRetryInterval = 5 * time.Millisecond
