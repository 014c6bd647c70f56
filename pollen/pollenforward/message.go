package pollenforward

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"pollenline.example/pollen/pollencatalog"
)

// Request is a caller's request after its body was read.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the request target, path and query, as the caller wrote it.
	Target string
	// Header holds the fields that are forwarded.
	Header http.Header
	Body   []byte
	// Received is when the request line was read.
	Received time.Time
	// Patience is how long the caller waits, counted from Received; zero if it does not say.
	Patience time.Duration
}

// Order is one request to one server.
type Order struct {
	Request *Request
	Server  *pollencatalog.Server
	// Connections is the number of connections to the server that this instance may hold.
	Connections int
	// Limit is when the caller stops waiting; servers are told how long that is when the request is sent.
	Limit time.Time
	// Needed is done once the request is of no use any more unless it has been sent.
	Needed context.Context
	// Ticket must be claimed immediately before the first byte is sent.
	Ticket *Ticket
}

// Ticket decides between sending a request and withdrawing it; only one of the two can happen.
type Ticket struct {
	state atomic.Int32
}

const (
	ticketClaimed   = 1
	ticketWithdrawn = 2
)

// Claim reports whether the request may be sent.
func (t *Ticket) Claim() bool { return t.state.CompareAndSwap(0, ticketClaimed) }

// Withdraw reports whether the request will never be sent.
func (t *Ticket) Withdraw() bool {
	return t.state.CompareAndSwap(0, ticketWithdrawn) || t.state.Load() == ticketWithdrawn
}

// WithdrawnError reports a request that was withdrawn before it was sent.
type WithdrawnError struct{}

func (e *WithdrawnError) Error() string { return "request was withdrawn before it was sent" }

// Answer is a server's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature identifies the answer; it is opaque.
	Signature string
}

// Success reports whether the answer has a status of the 2xx class.
func (a *Answer) Success() bool { return a.Status >= 200 && a.Status < 300 }

// Exchanger sends one request to one server and returns its answer.
//
// Its errors are *UnsentError, *NotRunError and *BrokenError.
type Exchanger interface {
	Exchange(ctx context.Context, order Order) (*Answer, error)
	// Free reports whether a request could be sent to the server without waiting for a connection.
	Free(server *pollencatalog.Server, connections int) bool
}

// Reply is what a caller gets.
type Reply struct {
	Answer
	// Parts lists the signatures of the answers that were merged; it is empty for an unsharded route.
	Parts []string
	// Missing is the number of shards that are left out.
	Missing int
}

// UnsentError reports a request of which nothing was sent.
type UnsentError struct {
	Server string
	Err    error
}

func (e *UnsentError) Error() string {
	return fmt.Sprintf("nothing sent to server %s: %v", e.Server, e.Err)
}

func (e *UnsentError) Unwrap() error { return e.Err }

// NotRunError reports a server's statement that it has not run the request.
type NotRunError struct {
	Server string
	Status int
	// Misdirected is set if another server has taken over the address.
	Misdirected bool
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("server %s did not run the request: status %d", e.Server, e.Status)
}

// BrokenError reports a request that may have run and has no whole answer of its own.
type BrokenError struct {
	Server string
	Err    error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("no answer from server %s: %v", e.Server, e.Err)
}

func (e *BrokenError) Unwrap() error { return e.Err }

// RefusedError reports a request that has not run and will not run.
type RefusedError struct {
	Cause string
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("request not run: %s; retry after %v", e.Cause, e.RetryAfter)
}

// FailedError reports a request that may have run and got no usable answer.
type FailedError struct {
	Cause string
	// TimedOut is set if the time was over.
	TimedOut bool
}

func (e *FailedError) Error() string { return fmt.Sprintf("request failed: %s", e.Cause) }

// GoneError reports that the caller has left.
type GoneError struct{}

func (e *GoneError) Error() string { return "caller closed the connection" }
