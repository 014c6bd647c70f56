package pollenforward

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"pollenline.example/pollen/pollenadmit"
	"pollenline.example/pollen/pollencatalog"
)

// admit starts the call, or refuses it if it cannot reach its coverage with the servers that are not left out, or if
// these have no room in time.
//
// Load pattern: all servers of several shards are down, or more is asked than they carry. Asking the others would use
// their slots for nothing.
func (c *call) admit(ctx context.Context, now time.Time) error {
	if !now.Before(c.schedule.End) {
		return &RefusedError{Cause: "no time left on arrival"}
	}
	left := c.schedule.End.Sub(now)
	available := 0
	for i := range c.legs {
		if c.available(&c.legs[i], now) {
			available++
		}
	}
	if available < c.needed() {
		return &RefusedError{
			Cause:      fmt.Sprintf("servers available for %d of %d services, %d needed", available, len(c.legs), c.needed()),
			RetryAfter: ReturnWhenBack(left),
		}
	}
	started := c.forwarder.line.Enter(ctx, pollenadmit.Request{
		Priority: c.route.Priority, Key: c.route.Name, Arrived: c.request.Received, Start: c.start,
		Until: c.schedule.roomLimit(c.returned), Returned: c.returned,
	})
	c.account.Returned, c.account.Waited = c.returned, time.Since(now)
	c.schedule.Hedge = c.schedule.Hedge.Add(c.account.Waited)
	switch {
	case started:
		return nil
	case ctx.Err() != nil:
		return &GoneError{}
	}
	return &RefusedError{
		Cause:      fmt.Sprintf("servers of too few services have room, %d of %d needed", c.needed(), len(c.legs)),
		RetryAfter: ReturnWhenFree(left, rand.Float64()),
	}
}

// start sends the first request of each leg if enough of them have room; the others stay pending.
func (c *call) start(now time.Time) bool {
	chosen := make([]*pollencatalog.Server, len(c.legs))
	ready := 0
	for i := range c.legs {
		if server, ok := c.choose(&c.legs[i], now); ok {
			chosen[i] = server
			ready++
		}
	}
	if ready < c.readyToStart() {
		return false
	}
	for i, server := range chosen {
		c.forwarder.config.Budget.Count(c.legs[i].service, now)
		c.first(i, server, now)
	}
	return true
}

// readyShare is the part of the services needed that must have room at the start: others are expected to find some
// before the answer is sealed, as long as it is few that lack it.
const readyShare = 0.85

func (c *call) readyToStart() int {
	return int(math.Ceil(readyShare * float64(c.needed())))
}

// first sends the first request of a leg to a server that was chosen, or leaves it pending if there is none.
func (c *call) first(i int, server *pollencatalog.Server, now time.Time) {
	l := &c.legs[i]
	l.pending = (server == nil || !c.send(i, server, now)) && c.available(l, now)
}

// resume sends what was pending for lack of room.
func (c *call) resume(now time.Time) {
	for i := range c.legs {
		l := &c.legs[i]
		switch {
		case l.answer != nil || !l.pending:
		case len(l.tried) == 0:
			server, _ := c.choose(l, now)
			c.first(i, server, now)
		case l.open == 0:
			c.retry(i, now)
		}
	}
}

// retry asks another server of a leg, now or when there is room, if its attempts and the budget allow.
func (c *call) retry(i int, now time.Time) {
	l := &c.legs[i]
	server, verdict := c.mayRetry(l, now)
	l.pending = verdict == retryNoRoom
	if verdict == retryNow && c.send(i, server, now) {
		c.account.Retries++
	}
}

// roomInterval is the time after which a pending leg looks for room again.
const roomInterval = 5 * time.Millisecond
