package pollenconn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
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

const (
	// headSlackBytes is what a head may have beyond its limit before it is cut: the server reads ahead, so that the begin of a body counts
	// as part of its head. The exact limit applies to the head that was read.
	headSlackBytes = 4 << 10
	// byteCost and lineCost are the memory, in bytes, that a byte and a field of a head take from their arrival to the answer: a field
	// is copied into several maps on its way to a server.
	byteCost = 2
	lineCost = 512
)

// http2Preface begins a connection with HTTP/2. A server takes what only begins like it for the head of a request.
var http2Preface = []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")

// isPreface reports whether all that has come, with data, begins with the preface of HTTP/2.
func (c *Conn) isPreface(data []byte) bool {
	if c.prefaceBytes < 0 {
		return false
	}
	part := data[:min(len(data), len(http2Preface)-c.prefaceBytes)]
	if !bytes.HasPrefix(http2Preface[c.prefaceBytes:], part) {
		c.prefaceBytes = -1
		return false
	}
	c.prefaceBytes += len(part)
	return c.prefaceBytes == len(http2Preface)
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
	if refusal := c.count(p[:n], time.Now()); refusal != nil {
		c.refuse(refusal)
		// After such an error a server writes no answer of its own.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: &RefusedError{Reason: refusal.reason}}
	}
	return n, err
}

// RefusedError reports a connection whose client got its answer from the connection itself, because the head of its request exceeded a
// limit.
type RefusedError struct {
	Reason Reason
}

func (e *RefusedError) Error() string { return "the client was refused: " + string(e.Reason) }

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

// refusal is an answer to a client whose request is not read to its end.
type refusal struct {
	reason Reason
	status int
	// fields are header fields, each with its line end.
	fields string
	text   string
}

// count counts what has come, and returns an answer if the connection is to be closed for it.
func (c *Conn) count(data []byte, now time.Time) *refusal {
	limits := c.registry.limits()
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	c.awaited = false
	c.lastBytes, c.lastLines = int64(len(data)), int64(bytes.Count(data, lineEnd))
	switch {
	case c.http2 || c.registry.config.Calls || c.state.Phase == Serving:
		return nil
	case c.registry.config.HTTP2 && c.isPreface(data):
		c.http2, c.state = true, State{Phase: Reading, Since: now}
		c.head.Release()
		// It fails only if the connection is closed already.
		_ = c.Conn.SetReadDeadline(time.Time{})
		return nil
	case c.state.Phase != Reading:
		c.beginHead(limits, now)
	case !c.inHead:
		return nil
	}
	return c.addToHead(limits)
}

var lineEnd = []byte("\n")

// beginHead notes that the head of a request has begun to come.
func (c *Conn) beginHead(limits Limits, now time.Time) {
	c.state, c.inHead, c.headBytes = State{Phase: Reading, Since: now}, true, 0
	if !c.evicted {
		// It fails only if the connection is closed already.
		_ = c.Conn.SetReadDeadline(now.Add(limits.HeaderTimeout))
	}
}

// addToHead counts what the last read returned as part of a head.
func (c *Conn) addToHead(limits Limits) *refusal {
	c.headBytes += c.lastBytes
	if c.headBytes > 2*limits.HeaderBytes+headSlackBytes {
		return &refusal{
			reason: HeadTooLarge, status: http.StatusRequestHeaderFieldsTooLarge,
			text: fmt.Sprintf("header of more than %d bytes", limits.HeaderBytes),
		}
	}
	if err := c.head.Grow(c.lastBytes*byteCost + c.lastLines*lineCost); err != nil {
		return &refusal{
			reason: HeadMemory, status: http.StatusServiceUnavailable, fields: fmt.Sprintf("Retry-After: %.3f\r\n", memoryRetryAfter.Seconds()),
			text: "too much memory is taken by the headers of open requests",
		}
	}
	return nil
}

const (
	// memoryRetryAfter is when a client may come back whose head did not fit: other instances may have room at once, and clients that hold
	// heads open are cut within seconds.
	memoryRetryAfter = 500 * time.Millisecond
	// lingerTimeout is how long a connection is read after an answer that its client may not expect yet. If it were closed at once, the
	// reset that answers what the client still sends would overtake the answer.
	lingerTimeout = time.Second
	// lingerBytes bounds what is read then.
	lingerBytes = 4 << 20
)

// refuse answers the client, and reads on for a while so that the answer arrives.
func (c *Conn) refuse(answer *refusal) {
	c.registry.count(answer.reason)
	deadline := time.Now().Add(lingerTimeout)
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s\n",
		answer.status, http.StatusText(answer.status), answer.fields, len(answer.text)+1, answer.text)
	if err := c.Conn.SetDeadline(deadline); err != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, text); err != nil {
		return
	}
	if err := c.CloseWrite(); err != nil {
		return
	}
	// It ends when the client has closed its side, at the deadline, or with an error that ends the connection as well.
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
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
	c.state = State{Phase: phase, Since: time.Now()}
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
			c.state = State{Phase: Reading, Since: now}
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
		c.state, c.awaited = State{Phase: Idle, Since: now}, false
	case http.StateClosed, http.StateHijacked:
		c.forget()
	}
}

// beginRequest notes that a request of HTTP/2 is open, and reports false if the connection has its share of the requests already.
//
// Load pattern: a few clients open as many requests as there may be on each of their connections and end none. The requests that may be
// open are shared evenly by the connections, so that a caller with few of them is served.
func (c *Conn) beginRequest(now time.Time) bool {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	open := c.incomplete + c.complete
	if most := c.registry.config.MaxRequests; most > 0 && open >= max(1, most/max(1, len(c.registry.conns))) {
		return false
	}
	c.incomplete++
	c.setRequestPhase(now)
	return true
}

// completeRequest notes that an open request of HTTP/2 has come completely.
func (c *Conn) completeRequest(now time.Time) {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	c.incomplete--
	c.complete++
	c.setRequestPhase(now)
}

// endRequest notes that an open request of HTTP/2 has ended.
func (c *Conn) endRequest(complete bool, now time.Time) {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	if complete {
		c.complete--
	} else {
		c.incomplete--
	}
	c.setRequestPhase(now)
}

// setRequestPhase sets the phase of a connection with HTTP/2 by its requests.
func (c *Conn) setRequestPhase(now time.Time) {
	phase := Idle
	switch {
	case c.complete > 0:
		phase = Serving
	case c.incomplete > 0:
		phase = Reading
	}
	if phase != c.state.Phase {
		c.state = State{Phase: phase, Since: now}
	}
}

// readmit takes a connection back that was evicted while it was idle: its request came first.
func (c *Conn) readmit() {
	// It fails if the connection was closed, which ends its request as well.
	if c.Conn.SetReadDeadline(time.Time{}) == nil {
		c.evicted = false
		c.registry.conns[c] = struct{}{}
	}
}

// beginServing notes that a request has come completely, and reports false if the connection was closed before.
func (c *Conn) beginServing(now time.Time) bool {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	c.state = State{Phase: Serving, Since: now}
	return !c.evicted
}
