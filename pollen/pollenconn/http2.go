package pollenconn

import (
	"bytes"
	"time"
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
		c.enter(phase, now)
	}
}
