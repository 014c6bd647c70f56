package pollenconn

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"pollenline.example/pollen/pollenmemory"
)

// handler bounds how long a client may take to send the body of its request, and how many requests it may have open.
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
	b := &body{ReadCloser: r.Body, conn: conn, memory: conn.registry.newBodyReservation()}
	defer b.memory.Release()
	if conn.http2 {
		h.serveHTTP2(w, r, b)
		return
	}
	if r.ContentLength == 0 {
		if !conn.beginServing(time.Now()) {
			panic(http.ErrAbortHandler)
		}
		h.next.ServeHTTP(w, r)
		return
	}
	r.Body = b
	h.next.ServeHTTP(w, r)
	if !b.complete {
		b.limitRest()
	}
}

// serveHTTP2 serves one of the requests that are open on a connection with HTTP/2.
func (h handler) serveHTTP2(w http.ResponseWriter, r *http.Request, b *body) {
	head := b.conn.registry.config.Heads.NewAccount().NewReservation()
	defer head.Release()
	if err := head.Grow(headerCost(r.Header)); err != nil {
		refuseRequest(w, "too much memory is taken by the headers of open requests")
		return
	}
	if !b.conn.beginRequest(time.Now()) {
		refuseRequest(w, "too many open requests on this connection")
		return
	}
	defer func() { b.conn.endRequest(b.complete, time.Now()) }()
	if r.ContentLength == 0 {
		b.end()
	} else {
		r.Body = b
	}
	h.next.ServeHTTP(w, r)
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

// headerCost returns the memory that a header takes until the answer to its request, in bytes.
func headerCost(header http.Header) int64 {
	cost := 0
	for name, values := range header {
		for _, value := range values {
			cost += (len(name)+len(value))*byteCost + lineCost
		}
	}
	return int64(cost)
}

// refuseRequest answers a request that is not run.
func refuseRequest(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", fmt.Sprintf("%.0f", requestRetryAfter.Seconds()))
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// requestRetryAfter is when a client may repeat a request that is refused because others are open.
const requestRetryAfter = time.Second

// newBodyReservation returns a reservation for the body of a request, without a limit if the server's handler bounds bodies.
func (r *Registry) newBodyReservation() *pollenmemory.Reservation {
	var account *pollenmemory.Account
	if r.config.Bodies != nil {
		account = r.config.Bodies.NewAccount()
	}
	return account.NewReservation()
}

// body is the body of a request, each part of which must come within the idle timeout.
type body struct {
	io.ReadCloser
	conn     *Conn
	memory   *pollenmemory.Reservation
	complete bool
	// failed is set once the connection has failed or timed out.
	failed bool
}

// bufferFactor is the memory that a body takes, relative to its size, while it is read into a buffer that grows.
const bufferFactor = 3

// Read reads a part of the body; its errors are those of the connection, *EvictedError and *pollenmemory.ExhaustedError.
func (b *body) Read(p []byte) (int, error) {
	if b.complete {
		return b.ReadCloser.Read(p)
	}
	if !b.conn.http2 {
		if err := b.conn.Conn.SetReadDeadline(time.Now().Add(b.conn.registry.limits().IdleTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(p)
	b.failed = err != nil && !errors.Is(err, io.EOF)
	if memoryErr := b.memory.Grow(int64(n) * bufferFactor); memoryErr != nil {
		return 0, memoryErr
	}
	if errors.Is(err, io.EOF) && !b.end() {
		return n, &EvictedError{}
	}
	return n, err
}

// end notes that the request has come completely, and reports false if its connection was closed before.
func (b *body) end() bool {
	b.complete = true
	if b.conn.http2 {
		b.conn.completeRequest(time.Now())
		return true
	}
	return b.conn.beginServing(time.Now())
}
