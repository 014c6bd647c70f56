package pollenconn

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"pollenline.example/pollen/pollenmemory"
)

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	registry *Registry
	// writeSince is when the pending write began, in Unix nanoseconds; zero if none is pending.
	writeSince atomic.Int64

	// The registry's mutex guards the following fields.

	state State
	// evicted is set once the connection is closed for another one.
	evicted bool
	// http2 is set if the client speaks HTTP/2, which bounds heads by itself. Until that is known, prefaceBytes is how much of its preface
	// has come, or below zero if something else has.
	http2        bool
	prefaceBytes int
	// inHead is set while what comes is the head of a request, as far as is known; headBytes counts it.
	inHead    bool
	headBytes int64
	head      *pollenmemory.Reservation
	// lastBytes and lastLines count what the last read returned, which may hold the begin of the next head.
	lastBytes, lastLines int64
	// incomplete and complete count the open requests of HTTP/2 that have not come completely, and those that have.
	incomplete, complete int
	// awaited is set once the server waits for the next request, until something has come.
	awaited bool
	// ended is set once the server has ended the reads of a connection that is not being served.
	ended bool
	// overdue is set once the client has taken too long.
	overdue bool
}

// currentState returns the state that the choice depends on.
func (c *Conn) currentState() State {
	state := c.state
	if since := c.writeSince.Load(); since != 0 {
		state.BlockedSince = time.Unix(0, since)
	}
	return state
}

// Read reads from the client. If the head of a request exceeds a limit, it answers the client itself, and returns a *net.OpError once the
// answer has had time to arrive.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.countTimeout(false)
	}
	if n == 0 {
		return n, err
	}
	if refusal := c.countRead(p[:n], time.Now()); refusal != nil {
		c.refuse(refusal)
		// After such an error a server writes no answer of its own.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: &RefusedError{Reason: refusal.reason}}
	}
	return n, err
}

// countTimeout counts a connection whose client took too long. Reads also end when a connection has been idle for long, when an answer is
// written, when the connection is evicted and when the process stops.
func (c *Conn) countTimeout(writing bool) {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	sending := c.state.Phase == Waiting || c.state.Phase == Reading
	if !c.overdue && (writing || sending && !c.evicted && !c.ended) {
		c.overdue = true
		c.registry.closed[Timeout]++
	}
}

// CloseWrite closes the sending side of the connection, as net/http does before it waits for the client to read the last answer.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// writeChunkBytes is the part of an answer that the client must read within the idle timeout.
const writeChunkBytes = 16 << 10

// Write writes to the client, and gives up when the client reads nothing for the idle timeout.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	timeout := c.registry.limits().IdleTimeout
	defer c.writeSince.Store(0)
	for {
		now := time.Now()
		c.writeSince.Store(now.UnixNano())
		if err := c.Conn.SetWriteDeadline(now.Add(timeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writeChunkBytes)])
		written += n
		if err != nil || written == len(p) {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.countTimeout(true)
			}
			return written, err
		}
	}
}

// SetReadDeadline sets the deadline of reads. Of the deadlines that a server sets while it waits for a client only the moment counts: they
// are replaced by those of the limits in force.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	now := time.Now()
	limits := c.registry.limits()
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	switch {
	case c.http2, deadline.IsZero():
		return c.Conn.SetReadDeadline(deadline)
	case !deadline.After(now):
		c.ended = c.state.Phase != Serving
		return c.Conn.SetReadDeadline(deadline)
	case c.evicted:
		return nil
	case c.state.Phase == Waiting, c.state.Phase == Idle && !c.awaited:
		c.awaited = true
		return c.Conn.SetReadDeadline(now.Add(limits.IdleTimeout))
	case c.state.Phase == Idle:
		// The server has not had to wait: the begin of the next head came with the last request.
		c.beginHead(limits, now)
		// A head that is too large is refused when more of it comes.
		_ = c.addToHead(limits)
	}
	// The deadline of a head was set when it began.
	return nil
}

// SetServing states whether calls are handled on a connection that carries calls.
func (c *Conn) SetServing(serving bool) {
	phase := Idle
	if serving {
		phase = Serving
	}
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	c.enter(phase, time.Now())
}

// CountClosed counts the connection as one that is closed for a reason.
func (c *Conn) CountClosed(reason Reason) { c.registry.count(reason) }

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	c.forget()
	return err
}

// forget removes the connection from its registry, which must be locked.
func (c *Conn) forget() {
	c.head.Release()
	delete(c.registry.conns, c)
}

// setState follows the server's state of the connection.
func (c *Conn) setState(state http.ConnState, now time.Time) {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	switch state {
	case http.StateActive:
		c.inHead, c.ended = false, false
		if c.state.Phase == Idle {
			// The whole head came with the last request.
			c.enter(Reading, now)
		}
		if c.evicted && c.state.Phase != Waiting {
			c.readmit()
		}
	case http.StateIdle:
		if c.http2 {
			// Its requests state its phase.
			return
		}
		c.head.Release()
		c.awaited = false
		c.enter(Idle, now)
	case http.StateClosed, http.StateHijacked:
		c.forget()
	}
}

// enter notes that the connection has come to a phase. One that retires is closed once it is idle.
func (c *Conn) enter(phase Phase, now time.Time) {
	if phase == Idle {
		c.state.Answers++
	}
	c.state.Phase, c.state.Since = phase, now
	if phase == Idle && c.state.Retiring && !c.evicted {
		c.evict()
	}
}

// evict closes the connection for another one; its registry must be locked.
func (c *Conn) evict() {
	delete(c.registry.conns, c)
	c.evicted = true
	if c.state.Phase == Idle {
		// A request that has come meanwhile is read and served; otherwise the server closes the connection.
		_ = c.Conn.SetReadDeadline(expiredDeadline)
		return
	}
	// Nothing has run of a request that has not come completely, and an answer that is not read can't be delivered.
	_ = c.Conn.Close()
}

// readmit takes a connection back that was evicted while it was idle, as its request came first, if there is room for it. Otherwise its
// request is not handled.
func (c *Conn) readmit() {
	// It fails if the connection was closed, which ends its request as well.
	if len(c.registry.conns) < c.registry.config.MaxConnections && c.Conn.SetReadDeadline(time.Time{}) == nil {
		c.evicted = false
		c.registry.conns[c] = struct{}{}
	}
}

// beginServing notes that a request has come completely, and reports false if the connection was closed before.
func (c *Conn) beginServing(now time.Time) bool {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	c.enter(Serving, now)
	return !c.evicted
}
