package pollenforward

import (
	"context"
	"slices"
	"time"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenrank"
)

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

// spareSends is the number of requests that a leg may send beyond its attempts, to replace those that did not run.
const spareSends = 2

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
