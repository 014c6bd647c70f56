package pollenconn

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// handler bounds how long a client may take to send the body of its request.
type handler struct {
	next http.Handler
}

// EvictedError reports a request whose connection was closed before the request had come completely.
type EvictedError struct{}

func (e *EvictedError) Error() string { return "the connection was closed for another one" }

// ServeHTTP implements http.Handler.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	if r.ContentLength == 0 {
		if !conn.beginServing(time.Now()) {
			panic(http.ErrAbortHandler)
		}
		h.next.ServeHTTP(w, r)
		return
	}
	b := &body{ReadCloser: r.Body, conn: conn}
	r.Body = b
	h.next.ServeHTTP(w, r)
	if !b.complete {
		b.limitRest()
	}
}

// limitRest bounds how long the server reads what the handler has left of the body: it reads a part of it before it answers.
func (b *body) limitRest() {
	// An error means that the connection is closed.
	if b.failed {
		_ = b.conn.SetReadDeadline(expiredDeadline)
		return
	}
	_ = b.conn.Conn.SetReadDeadline(time.Now().Add(b.conn.registry.limits().IdleTimeout))
}

// body is the body of a request, each part of which must come within the idle timeout.
type body struct {
	io.ReadCloser
	conn     *Conn
	complete bool
	// failed is set once the connection has failed or timed out.
	failed bool
}

// Read reads a part of the body; its errors are those of the connection, and *EvictedError.
func (b *body) Read(p []byte) (int, error) {
	if b.complete {
		return b.ReadCloser.Read(p)
	}
	if err := b.conn.Conn.SetReadDeadline(time.Now().Add(b.conn.registry.limits().IdleTimeout)); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	b.failed = err != nil && !errors.Is(err, io.EOF)
	if errors.Is(err, io.EOF) {
		b.complete = true
		if !b.conn.beginServing(time.Now()) {
			return n, &EvictedError{}
		}
	}
	return n, err
}
