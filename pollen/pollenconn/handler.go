package pollenconn

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// handler tells connections when a request has come completely.
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
	} else {
		r.Body = &body{ReadCloser: r.Body, conn: conn}
	}
	h.next.ServeHTTP(w, r)
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn     *Conn
	complete bool
}

// Read reads a part of the body; its errors are those of the connection, and *EvictedError.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.complete {
		b.complete = true
		if !b.conn.beginServing(time.Now()) {
			return n, &EvictedError{}
		}
	}
	return n, err
}
