package pollenforward

import (
	"context"
	"slices"
	"time"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenrank"
	"pollenline.example/pollen/pollenrollout"
	"pollenline.example/pollen/pollensuspect"
)

// subrequest is the part of a call that one service answers.
type subrequest struct {
	service string
	answer  *Answer
	// inFlight counts attempts without a result, possibleRuns failed ones that may have run, sends all of them.
	inFlight, possibleRuns, sends int
	attempts                      []attempt
	// pending is set while the subrequest waits for a server with capacity.
	pending bool
	// version says to which versions the first request goes; Any until that is chosen.
	version pollenrollout.Choice
	// sendCtx is cancelled when the subrequest is answered or the call has ended.
	sendCtx      context.Context
	cancelUnsent context.CancelFunc
}

// attempt is one request of a subrequest to one server.
type attempt struct {
	server      *pollencatalog.Server
	observation *pollenrank.Observation
	guard       *SendGuard
	// ended is set once there is a result, notRun if the server has not run and will not run the request.
	ended, notRun bool
}

// extraSends is how many requests a subrequest may send beyond the route's attempts, to replace those that did not run.
const extraSends = 2

// send starts an attempt on the chosen server, and reports false if the server's limit or the cold limiter does not allow it.
func (c *call) send(i int, server *pollencatalog.Server, now time.Time) bool {
	s := &c.subrequests[i]
	table := c.forwarder.config.Table()
	isTest := c.caution == pollensuspect.SendSuspect && !c.answered.Load()
	if isTest && !c.forwarder.config.Suspects.TryTest(c.request.Content, now) {
		return false
	}
	if !c.forwarder.config.Quotas.TryAcquire(server, s.sends > 0, table, now) || !c.forwarder.config.ColdLimiter.TryAcquire(server, table, now) {
		if isTest {
			c.forwarder.config.Suspects.EndTest(c.request.Content)
		}
		return false
	}
	observation := c.forwarder.config.Ranking.Start(c.route.Name, server, now)
	c.forwarder.config.Reach.Begin(server, c.usualLatency, now)
	guard := &SendGuard{}
	s.attempts = append(s.attempts, attempt{server: server, observation: observation, guard: guard})
	s.inFlight++
	s.sends++
	c.stats.Sends++
	c.stats.LastServer = server.ID
	request := ServerRequest{
		Request: c.request, Server: server, Deadline: c.schedule.CallerDeadline,
		ConnectionLimit: c.forwarder.connectionLimit(table, s.service, now), SendContext: s.sendCtx, SendGuard: guard,
		MaxAnswerBytes: maxPartBytes(c.route), Gate: c.forwarder.config.Gate,
	}
	rollout := c.forwarder.config.Rollouts.Start(c.route.Name, server, now)
	go c.exchange(i, len(s.attempts)-1, observation, rollout, request, isTest)
	return true
}

const (
	// minPartBytes is the least size that a shard's answer may have.
	minPartBytes = 64 << 10
	// partRecordsFactor is how many times the records of a merged answer a shard's answer may have.
	partRecordsFactor = 64
)

// maxPartBytes returns the largest size of a shard's answer on a route, zero for an unsharded route.
func maxPartBytes(route *pollencatalog.Route) int64 {
	if !route.Sharded() {
		return 0
	}
	return max(minPartBytes, int64(route.TopK)*RecordBytes*partRecordsFactor)
}

// chooseServer returns the server for the next attempt, an untried one if possible, and whether it has capacity.
//
// Load pattern: every server loses a share of its answers. With two replicas, a second round on tried servers often
// succeeds, and stays within the number of servers that may run the request.
func (c *call) chooseServer(s *subrequest, bound pollenrank.LatencyBound, now time.Time) (*pollencatalog.Server, bool) {
	if c.risksLastServer(s, now) {
		return nil, false
	}
	table := c.forwarder.config.Table()
	choice := c.versionChoice(s, now)
	server, ok := c.chooseAmong(table, s, c.admittedServers(table, s.service, choice, now), bound, now)
	if !ok && choice == pollenrollout.FirstToTarget {
		// The few servers of a new version are no reason to wait.
		return c.chooseAmong(table, s, c.admittedServers(table, s.service, pollenrollout.FirstToFormer, now), bound, now)
	}
	return server, ok
}

// chooseAmong returns the best of the servers that were admitted for the next attempt, and whether it has capacity.
func (c *call) chooseAmong(table *pollencatalog.Table, s *subrequest, servers []*pollencatalog.Server, bound pollenrank.LatencyBound, now time.Time) (*pollencatalog.Server, bool) {
	var untried, tried []*pollencatalog.Server
	for _, server := range servers {
		switch {
		case !s.hasTried(server):
			untried = append(untried, server)
		case !s.isInFlight(server):
			tried = append(tried, server)
		}
	}
	if s.countMayHaveRun() >= c.maxAttempts() {
		// An untried server would exceed the number of servers that may run the request.
		untried = nil
		tried = slices.DeleteFunc(tried, func(server *pollencatalog.Server) bool { return !s.mayHaveRun(server) })
	}
	if server, ok := c.bestServer(table, s, untried, bound, now); ok {
		return server, true
	}
	return c.bestServer(table, s, tried, bound, now)
}

// admittedServers returns the servers of a service that may get an attempt now.
func (c *call) admittedServers(table *pollencatalog.Table, service string, choice pollenrollout.Choice, now time.Time) []*pollencatalog.Server {
	return c.forwarder.config.Rollouts.Admit(table.AppendEligible(nil, service), service, choice, now)
}

// versionChoice returns to which versions the next attempt of a subrequest may go. It is chosen once for the first request.
func (c *call) versionChoice(s *subrequest, now time.Time) pollenrollout.Choice {
	if len(s.attempts) > 0 {
		return pollenrollout.Repeat
	}
	if s.version == pollenrollout.Any {
		s.version = c.forwarder.config.Rollouts.Choose(s.service, now)
	}
	return s.version
}

// bestServer returns the best of the servers that may be sent a request now, preferably one with an available connection, and
// whether it has capacity.
func (c *call) bestServer(table *pollencatalog.Table, s *subrequest, servers []*pollencatalog.Server, bound pollenrank.LatencyBound, now time.Time) (*pollencatalog.Server, bool) {
	servers = slices.DeleteFunc(c.sendableBy(servers, now, now), func(server *pollencatalog.Server) bool {
		return !c.forwarder.config.ColdLimiter.Allows(server, table, now)
	})
	limit := c.forwarder.connectionLimit(table, s.service, now)
	connectable := make([]*pollencatalog.Server, 0, len(servers))
	for _, server := range servers {
		if c.forwarder.config.Exchanger.ConnectionAvailable(server, limit) {
			connectable = append(connectable, server)
		}
	}
	for _, candidates := range [][]*pollencatalog.Server{connectable, servers} {
		if i, ok := c.forwarder.config.Ranking.Best(c.route.Name, candidates, now); ok {
			return candidates[i], c.forwarder.config.Ranking.HasCapacity(c.route.Name, candidates[i], bound, now)
		}
	}
	return nil, false
}

// yieldingWait is how long a call that yields may wait for a slot: other calls, also at other instances, meet the queue that it
// leaves behind, so it takes slots that are free as far as is known.
const yieldingWait = time.Nanosecond

// latencyBound returns how long the call's next attempts may wait at their servers. The time that the call has waited itself
// counts, but a caller's retry may be answered after the objective.
func (c *call) latencyBound(now time.Time) pollenrank.LatencyBound {
	bound := pollenrank.LatencyBound{
		Limit: c.schedule.PartialReplyAt.Sub(c.request.Received), Others: c.otherSenders,
		MaxWait: c.forwarder.active.maxWait(c.route.Name, c.subrequests[0].service, now),
	}
	if c.yields {
		bound.MaxWait = yieldingWait
	}
	if !c.callerRetry {
		bound.Limit = c.schedule.PartialReplyAt.Sub(now)
	}
	return bound
}

// hasTried reports whether the subrequest had an attempt on a server.
func (s *subrequest) hasTried(server *pollencatalog.Server) bool {
	return slices.ContainsFunc(s.attempts, func(a attempt) bool { return a.server.Incarnation() == server.Incarnation() })
}

// isInFlight reports whether an attempt on a server is in flight.
func (s *subrequest) isInFlight(server *pollencatalog.Server) bool {
	return slices.ContainsFunc(s.attempts, func(a attempt) bool { return !a.ended && a.server.Incarnation() == server.Incarnation() })
}

// mayHaveRun reports whether a server may have run the subrequest or may still run it.
func (s *subrequest) mayHaveRun(server *pollencatalog.Server) bool {
	return slices.ContainsFunc(s.attempts, func(a attempt) bool { return !a.notRun && a.server.Incarnation() == server.Incarnation() })
}

// countMayHaveRun returns the number of servers that may have run the subrequest or may still run it.
func (s *subrequest) countMayHaveRun() int {
	incarnations := make([]pollencatalog.Incarnation, 0, len(s.attempts))
	for _, a := range s.attempts {
		if !a.notRun && !slices.Contains(incarnations, a.server.Incarnation()) {
			incarnations = append(incarnations, a.server.Incarnation())
		}
	}
	return len(incarnations)
}

// hasAvailableServer reports whether any server of the subrequest is neither ejected nor unresponsive. Ejected and
// unresponsive servers rarely recover in time for the request.
func (c *call) hasAvailableServer(s *subrequest, now time.Time) bool {
	return c.forwarder.config.Ranking.AnyAvailable(c.admittedServers(c.forwarder.config.Table(), s.service, pollenrollout.Any, now), now)
}

// sendableBy removes from the servers those that may not be sent a request of the call by a time, because of what they have stated.
func (c *call) sendableBy(servers []*pollencatalog.Server, now, by time.Time) []*pollencatalog.Server {
	return slices.DeleteFunc(servers, func(server *pollencatalog.Server) bool {
		return !c.forwarder.config.Gate.MaySendBy(server, c.request.Received, now, by)
	})
}

// hasServerBelowLimit reports whether any available server of the subrequest may get a request until a time by what it has stated.
func (c *call) hasServerBelowLimit(s *subrequest, now, until time.Time) bool {
	servers := c.sendableBy(c.admittedServers(c.forwarder.config.Table(), s.service, pollenrollout.Any, now), now, until)
	return c.forwarder.config.Ranking.AnyAvailable(servers, now)
}

// countBelowLimit returns the number of subrequests for which hasServerBelowLimit holds, all of them if no server states a
// limit, leaves or is paused.
func (c *call) countBelowLimit(now, until time.Time) int {
	if c.forwarder.config.Quotas.LimitedServers() == 0 && !c.forwarder.config.Gate.Holding() {
		return len(c.subrequests)
	}
	count := 0
	for i := range c.subrequests {
		if c.hasServerBelowLimit(&c.subrequests[i], now, until) {
			count++
		}
	}
	return count
}

// maxAttempts returns the number of servers of each service that may run the call here.
func (c *call) maxAttempts() int { return max(c.route.Attempts-c.request.AttemptsUsed, 1) }

// retryDecision states whether a subrequest may be sent once more.
type retryDecision int

const (
	retryNever retryDecision = iota
	// retryWhenCapacity means that no server has capacity now, but one may have it later.
	retryWhenCapacity
	retryNow
)

// decideRetry decides whether and to which server a subrequest may be sent once more, and charges the budget for
// retryNow.
func (c *call) decideRetry(s *subrequest, now time.Time) (*pollencatalog.Server, retryDecision) {
	if s.sends >= c.maxAttempts()+extraSends || !now.Before(c.schedule.End) {
		return nil, retryNever
	}
	if !c.route.Idempotent && s.possibleRuns > 0 {
		return nil, retryNever
	}
	server, ok := c.chooseServer(s, c.latencyBound(now), now)
	if !ok {
		if c.hasServerBelowLimit(s, now, c.waitDeadline(now)) {
			return nil, retryWhenCapacity
		}
		return nil, retryNever
	}
	if !c.forwarder.config.Budget.TryAcquire(s.service, now, c.forwarder.config.Table().SharerCount()) {
		c.stats.BudgetDenied++
		return nil, retryNever
	}
	return server, retryNow
}
