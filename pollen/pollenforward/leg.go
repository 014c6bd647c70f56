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
	// pending is set while the leg wants to send a request and its servers have no room.
	pending bool
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

// send asks a server that was chosen for a leg, and reports false if its ramp does not allow it any more.
func (c *call) send(i int, server *pollencatalog.Server, now time.Time) bool {
	l := &c.legs[i]
	table := c.forwarder.config.Table()
	if !c.forwarder.config.Ramp.Take(server, table, now) {
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
func (c *call) choose(l *leg, now time.Time) (*pollencatalog.Server, bool) {
	table := c.forwarder.config.Table()
	var fresh, again []*pollencatalog.Server
	for _, server := range table.AppendEligible(nil, l.service) {
		switch {
		case !l.asked(server):
			fresh = append(fresh, server)
		case !l.waitsFor(server):
			again = append(again, server)
		}
	}
	if l.servers() >= c.route.Attempts {
		// Only servers that may have run the request already can be asked without adding one.
		fresh = nil
		again = slices.DeleteFunc(again, func(s *pollencatalog.Server) bool { return !l.mayHaveRun(s) })
	}
	if server, ok := c.best(table, l, fresh, now); ok {
		return server, true
	}
	return c.best(table, l, again, now)
}

// best returns the best of the servers that have a free connection, else the best of the others, if it has room.
func (c *call) best(table *pollencatalog.Table, l *leg, servers []*pollencatalog.Server, now time.Time) (*pollencatalog.Server, bool) {
	servers = slices.DeleteFunc(servers, func(s *pollencatalog.Server) bool { return !c.forwarder.config.Ramp.May(s, table, now) })
	connections := c.forwarder.connections(table, l.service, now)
	free := make([]*pollencatalog.Server, 0, len(servers))
	for _, server := range servers {
		if c.forwarder.config.Exchanger.Free(server, connections) {
			free = append(free, server)
		}
	}
	room := pollenrank.Room{Within: c.schedule.Seal.Sub(c.request.Received), Instances: len(table.Instances())}
	for _, candidates := range [][]*pollencatalog.Server{free, servers} {
		if i, ok := c.forwarder.config.Ranking.Best(c.route.Name, candidates, now); ok {
			return candidates[i], c.forwarder.config.Ranking.HasRoom(c.route.Name, candidates[i], room, now)
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

// mayHaveRun reports whether a server may have run a request of the leg or may still do so.
func (l *leg) mayHaveRun(server *pollencatalog.Server) bool {
	return slices.ContainsFunc(l.tried, func(a attempt) bool { return !a.notRun && a.server.Incarnation() == server.Incarnation() })
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

// available reports whether a leg has servers that are not left out: others will hardly have room in time.
func (c *call) available(l *leg, now time.Time) bool {
	return c.forwarder.config.Ranking.Available(c.forwarder.config.Table().AppendEligible(nil, l.service), now)
}

// verdict says whether a leg may send one more request.
type verdict int

const (
	retryNever verdict = iota
	// retryNoRoom is for a leg whose servers may have room later.
	retryNoRoom
	retryNow
)

// mayRetry decides whether a leg may send one more request, and to which server, and takes it from the budget if it may
// do so now.
func (c *call) mayRetry(l *leg, now time.Time) (*pollencatalog.Server, verdict) {
	if l.sends >= c.route.Attempts+spareSends || !now.Before(c.schedule.End) {
		return nil, retryNever
	}
	if !c.route.Idempotent && l.runs > 0 {
		return nil, retryNever
	}
	server, ok := c.choose(l, now)
	if !ok {
		if c.available(l, now) {
			return nil, retryNoRoom
		}
		return nil, retryNever
	}
	if !c.forwarder.config.Budget.Take(l.service, now, c.forwarder.config.Table().SharerCount()) {
		c.account.Denied++
		return nil, retryNever
	}
	return server, retryNow
}
