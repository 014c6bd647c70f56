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
	// ran is set once a server may have run the request.
	ran bool
	// failure is the newest answer that reports a failure with the server's signature.
	failure *Answer
}

// leg is the part of a call that one service answers.
type leg struct {
	service string
	answer  *Answer
	// open counts requests without an answer, runs those that may have run, sends all of them.
	open, runs, sends int
	tried             []attempt
	// needed is cancelled when the leg is answered or the call has ended.
	needed  context.Context
	satisfy context.CancelFunc
}

// attempt is one request of a leg to one server.
type attempt struct {
	server *pollencatalog.Server
	permit *pollenrank.Permit
	ticket *Ticket
	// ended is set once there is a result, notRun if the server has not run the request.
	ended, notRun bool
}

type result struct {
	leg     int
	attempt int
	answer  *Answer
	err     error
}

// spareSends is the number of requests that a leg may send beyond its attempts, to replace those that did not run.
const spareSends = 2

// returnShare bounds when a refused caller is asked to come back, as shares of the time that it has left. Callers wait
// up to a third of it, so the upper bound lets one more try fall as late as it is of use.
const (
	soonestReturn = 0.15
	latestReturn  = 0.3
)

func (c *call) run(ctx context.Context) (*Reply, error) {
	sending, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.schedule.Limit)
	c.sending = sending
	defer func() { c.release(ctx, cancel) }()
	now := time.Now()
	if err := c.admit(now); err != nil {
		return nil, err
	}
	for i := range c.legs {
		l := &c.legs[i]
		l.needed, l.satisfy = context.WithCancel(sending)
		defer l.satisfy()
		c.forwarder.config.Budget.Count(l.service, now)
		c.send(i, now)
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
	}
	return c.conclude(time.Now())
}

// admit refuses a request that cannot reach its coverage with the servers that are not left out.
//
// Load pattern: all servers of several shards are down. Asking the others would use their slots for nothing.
func (c *call) admit(now time.Time) error {
	if !now.Before(c.schedule.End) {
		return &RefusedError{Cause: "no time left on arrival"}
	}
	table := c.forwarder.config.Table()
	available := 0
	for i := range c.legs {
		if c.forwarder.config.Ranking.Available(table.Usable(nil, c.legs[i].service), now) {
			available++
		}
	}
	if available >= c.needed() {
		return nil
	}
	return &RefusedError{
		Cause:      fmt.Sprintf("servers available for %d of %d services, %d needed", available, len(c.legs), c.needed()),
		RetryAfter: ReturnWhenBack(c.schedule.End.Sub(now)),
	}
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

// ReturnWhenBack returns when to come back to a tier that lacks servers or configuration, of which nobody knows how
// long it takes: as late as the caller can still be served.
func ReturnWhenBack(timeLeft time.Duration) time.Duration { return share(timeLeft, latestReturn) }

// ReturnWhenFree returns when to come back after servers had no room.
//
// Load pattern: more is asked than the servers' slots carry. Callers who return together would be refused together, so
// their returns are spread.
func ReturnWhenFree(timeLeft time.Duration, random float64) time.Duration {
	return share(timeLeft, soonestReturn+(latestReturn-soonestReturn)*random)
}

// send asks one more server of a leg and reports whether there was one.
func (c *call) send(i int, now time.Time) bool {
	l := &c.legs[i]
	table := c.forwarder.config.Table()
	server, ok := c.choose(table, l, now)
	if !ok || !c.forwarder.config.Ramp.Take(server, table, now) {
		return false
	}
	permit := c.forwarder.config.Ranking.Start(c.route.Name, server, now)
	ticket := &Ticket{}
	l.tried = append(l.tried, attempt{server: server, permit: permit, ticket: ticket})
	l.open++
	l.sends++
	c.account.Sends++
	c.account.LastServer = server.ID
	order := Order{
		Request: c.request, Server: server, Limit: c.schedule.Limit,
		Connections: c.forwarder.connections(table, l.service, now), Needed: l.needed, Ticket: ticket,
	}
	go c.exchange(i, len(l.tried)-1, permit, order)
	return true
}

// choose returns the server to ask next: one that has not been asked, else one that has failed the leg at once.
//
// Load pattern: every server loses a share of its answers. With two replicas a second round often succeeds where the
// first did not, and stays within the number of servers that may run the request.
func (c *call) choose(table *pollencatalog.Table, l *leg, now time.Time) (*pollencatalog.Server, bool) {
	var fresh, again []*pollencatalog.Server
	for _, server := range table.Usable(nil, l.service) {
		switch {
		case !l.asked(server):
			fresh = append(fresh, server)
		case !l.waitsFor(server):
			again = append(again, server)
		}
	}
	if l.servers() >= c.route.Attempts {
		fresh = nil
	}
	if server, ok := c.best(table, l, fresh, now); ok {
		return server, true
	}
	return c.best(table, l, again, now)
}

// best returns the best of the servers that have a free connection, else the best of the others.
func (c *call) best(table *pollencatalog.Table, l *leg, servers []*pollencatalog.Server, now time.Time) (*pollencatalog.Server, bool) {
	servers = slices.DeleteFunc(servers, func(s *pollencatalog.Server) bool { return !c.forwarder.config.Ramp.May(s, table, now) })
	connections := c.forwarder.connections(table, l.service, now)
	free := make([]*pollencatalog.Server, 0, len(servers))
	for _, server := range servers {
		if c.forwarder.config.Exchanger.Free(server, connections) {
			free = append(free, server)
		}
	}
	for _, candidates := range [][]*pollencatalog.Server{free, servers} {
		if i, ok := c.forwarder.config.Ranking.Best(c.route.Name, candidates, now); ok {
			return candidates[i], true
		}
	}
	return nil, false
}

// asked reports whether a request of the leg was sent to a server.
func (l *leg) asked(server *pollencatalog.Server) bool {
	return slices.ContainsFunc(l.tried, func(a attempt) bool { return a.server.Incarnation() == server.Incarnation() })
}

// waitsFor reports whether a request of the leg to a server is still open.
func (l *leg) waitsFor(server *pollencatalog.Server) bool {
	return slices.ContainsFunc(l.tried, func(a attempt) bool { return !a.ended && a.server.Incarnation() == server.Incarnation() })
}

// servers returns the number of servers that may have run a request of the leg or may still do so.
func (l *leg) servers() int {
	counted := make([]pollencatalog.Incarnation, 0, len(l.tried))
	for _, a := range l.tried {
		if !a.notRun && !slices.Contains(counted, a.server.Incarnation()) {
			counted = append(counted, a.server.Incarnation())
		}
	}
	return len(counted)
}

func (c *call) exchange(i, number int, permit *pollenrank.Permit, order Order) {
	answer, err := c.forwarder.config.Exchanger.Exchange(c.sending, order)
	permit.Finish(outcome(order.Needed, answer, err), time.Now())
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
		}
		return
	}
	c.recordFailure(l, r)
	if l.answer == nil && l.open == 0 && c.mayRetry(l, time.Now()) && c.send(r.leg, time.Now()) {
		c.account.Retries++
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

// mayRetry reports whether a leg may send one more request, and takes it from the budget.
func (c *call) mayRetry(l *leg, now time.Time) bool {
	if l.sends >= c.route.Attempts+spareSends || !now.Before(c.schedule.End) {
		return false
	}
	if !c.route.Idempotent && l.runs > 0 {
		return false
	}
	table := c.forwarder.config.Table()
	if _, ok := c.choose(table, l, now); !ok {
		return false
	}
	if !c.forwarder.config.Budget.Take(l.service, now, table.Sharers()) {
		c.account.Denied++
		return false
	}
	return true
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
		if c.mayRetry(l, now) && c.send(i, now) {
			c.account.Hedges++
		}
	}
}

// nextMoment returns when the call has to act without a result.
func (c *call) nextMoment(now time.Time) time.Time {
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
		if c.legs[i].answer == nil && c.legs[i].open > 0 {
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
	c.account.Covered = c.covered
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
	reply.Body = Merge(bodies, c.route.Top)
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
