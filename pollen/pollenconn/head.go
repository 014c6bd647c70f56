package pollenconn

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// headSlackBytes is what a head may have beyond its limit before it is cut: the server reads ahead, so that the begin of a body counts
	// as part of its head. The exact limit applies to the head that was read.
	headSlackBytes = 4 << 10
	// byteCost and lineCost are the memory, in bytes, that a byte and a field of a head take from their arrival to the answer: a field
	// is copied into several maps on its way to a server.
	byteCost = 2
	lineCost = 512
)

// RefusedError reports a connection whose client got its answer from the connection itself, because the head of its request exceeded a
// limit.
type RefusedError struct {
	Reason Reason
}

func (e *RefusedError) Error() string { return "the client was refused: " + string(e.Reason) }

// refusal is an answer to a client whose request is not read to its end.
type refusal struct {
	reason Reason
	status int
	// fields are header fields, each with its line end.
	fields string
	text   string
}

// countRead counts what has come, and returns an answer if the connection is to be closed for it.
func (c *Conn) countRead(data []byte, now time.Time) *refusal {
	limits := c.registry.limits()
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	c.awaited = false
	c.lastBytes, c.lastLines = int64(len(data)), int64(bytes.Count(data, lineEnd))
	switch {
	case c.http2 || c.registry.config.Calls || c.state.Phase == Serving:
		return nil
	case c.registry.config.HTTP2 && c.isPreface(data):
		c.http2 = true
		c.enter(Reading, now)
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
	c.enter(Reading, now)
	c.inHead, c.headBytes = true, 0
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
