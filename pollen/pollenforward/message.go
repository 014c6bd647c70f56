package pollenforward

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollengate"
	"pollenline.example/pollen/pollenmemory"
	"pollenline.example/pollen/pollenpool"
	"pollenline.example/pollen/pollenquota"
	"pollenline.example/pollen/pollensuspect"
)

// Request holds a caller's request with its whole body.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller sent them.
	Target string
	// Header holds the fields that are forwarded.
	Header http.Header
	Body   []byte
	// Received is when the request header was read.
	Received time.Time
	// CallerTimeout is how long the caller waits from Received on; zero if it states no limit.
	CallerTimeout time.Duration
	// Team is the team whose key the caller sent; nil on public routes and if the configuration has no teams.
	Team *pollencatalog.Team
	// Credentials holds the fields in which the caller sent its key, if the configuration has teams. Only another instance that the
	// request is passed on to gets them.
	Credentials []string
	// Content identifies requests with the same content from the same caller.
	Content pollensuspect.Fingerprint
	// Passed is set if another instance has passed the request on. Received is then when that one read the header.
	Passed bool
	// AttemptsUsed is the number of servers of one service that may have run the request for the instance that has passed it on.
	AttemptsUsed int
	// Connections holds the connections that have carried the request; no attempt may use one again. Serve sets it if it is nil.
	Connections *pollenpool.History
	// Memory counts the bodies that are held for the request; the servers' answers are read on it.
	Memory *pollenmemory.Account
}

// TeamName returns the name of the request's team, or "" if it has none.
func (r *Request) TeamName() string {
	if r.Team == nil {
		return ""
	}
	return r.Team.Name
}

// priority returns the urgency of the request on a route: that of its team, if that has one, else that of the route.
func (r *Request) priority(route *pollencatalog.Route) int {
	if r.Team == nil || r.Team.RoutePriority {
		return route.Priority
	}
	return r.Team.Priority
}

// ServerRequest describes one request to one server.
type ServerRequest struct {
	Request *Request
	Server  *pollencatalog.Server
	// ConnectionLimit is the number of connections that this instance may hold to the server.
	ConnectionLimit int
	// Deadline is when the caller stops waiting; servers are told the time left until then.
	Deadline time.Time
	// MaxAnswerBytes bounds the body of the answer; zero if only the Exchanger's own bound applies.
	MaxAnswerBytes int64
	// SendContext is done once the request should no longer be sent; it does not end a request that was sent.
	SendContext context.Context
	// SendGuard keeps the request from being sent once it is withdrawn.
	SendGuard *SendGuard
	// Gate holds what the server has announced since it was chosen; if it is nil, nothing.
	Gate *pollengate.Gate
}

// Claim must be called immediately before the first byte is sent. It returns a *HeldBackError or *WithdrawnError if the request
// must not be sent any more, and bars its withdrawal otherwise.
func (r *ServerRequest) Claim() error {
	if r.Gate != nil {
		if reason := r.Gate.Announced(r.Server, r.Request.Received, time.Now()); reason != pollengate.None {
			return &HeldBackError{Reason: reason}
		}
	}
	if !r.SendGuard.Claim() {
		return &WithdrawnError{}
	}
	return nil
}

// SendGuard makes sure that a request is either sent or withdrawn, never both. The zero value is ready to use.
type SendGuard struct {
	state atomic.Int32
	// claimedAt is the Unix time of the claim in nanoseconds; zero before.
	claimedAt atomic.Int64
}

// The states of a SendGuard once it is claimed or withdrawn; before, its state is zero.
const (
	sendClaimed   = 1
	sendWithdrawn = 2
)

// Claim reports whether the request may be sent, and bars its withdrawal if so.
func (g *SendGuard) Claim() bool {
	if !g.state.CompareAndSwap(0, sendClaimed) {
		return false
	}
	g.claimedAt.Store(time.Now().UnixNano())
	return true
}

// sinceClaim returns how long ago the request was claimed; zero if it was not.
func (g *SendGuard) sinceClaim(now time.Time) time.Duration {
	claimedAt := g.claimedAt.Load()
	if claimedAt == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, claimedAt))
}

// Withdraw bars sending unless the request was claimed, and reports whether it will never be sent.
func (g *SendGuard) Withdraw() bool {
	return g.state.CompareAndSwap(0, sendWithdrawn) || g.state.Load() == sendWithdrawn
}

// WithdrawnError reports a request that was withdrawn before it was sent.
type WithdrawnError struct{}

func (e *WithdrawnError) Error() string { return "request withdrawn before it was sent" }

// HeldBackError reports a request whose server announced, while the request waited for a connection, that it wants no more.
type HeldBackError struct {
	Reason pollengate.Reason
}

func (e *HeldBackError) Error() string { return fmt.Sprintf("server held back: %v", e.Reason) }

// Answer holds a server's complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the server's opaque identifier of the answer.
	Signature string
	// Limit is what the answer states about the rate of requests that the server takes.
	Limit pollenquota.Limit
	// Leaving is set if the server states that it leaves.
	Leaving bool
	// RetryAfter is for how long the server wants no more requests from this instance; zero if it does not state that.
	RetryAfter time.Duration
}

// Success reports whether the answer has a status of the 2xx class.
func (a *Answer) Success() bool { return a.Status >= 200 && a.Status < 300 }

// Exchanger sends requests to servers.
type Exchanger interface {
	// Exchange sends one request and returns its answer, or an *UnsentError, *NotRunError or *NoAnswerError.
	Exchange(ctx context.Context, request ServerRequest) (*Answer, error)
	// ConnectionAvailable reports whether a request could be sent without waiting for another one to release its
	// connection.
	ConnectionAvailable(server *pollencatalog.Server, connectionLimit int) bool
	// Connect opens a connection to the server for later requests, or returns an *UnsentError.
	Connect(ctx context.Context, server *pollencatalog.Server, connectionLimit int) error
}

// Reply holds the response to a caller.
type Reply struct {
	Answer
	// Parts lists the signatures of the answers that were merged; it is empty for an unsharded route.
	Parts []string
	// Missing is the number of shards without an answer.
	Missing int
	// Leaving lists the IDs of the leaving servers that answered a request that another instance has passed on. That instance relays
	// the answer too, and must not send requests to these servers.
	Leaving []string
}

// UnsentError reports a request of which no byte was sent.
type UnsentError struct {
	Server string
	// Unconnected is set if no connection could be made, Refused if that is because the server refused it.
	Unconnected, Refused bool
	Err                  error
}

func (e *UnsentError) Error() string {
	return fmt.Sprintf("request not sent to server %s: %v", e.Server, e.Err)
}

func (e *UnsentError) Unwrap() error { return e.Err }

// NotRunError reports that a server stated that it did not run the request.
type NotRunError struct {
	Server string
	Status int
	// Misdirected is set if another server has taken over the address.
	Misdirected bool
	// Limit is what the answer states about the rate of requests that the server takes.
	Limit pollenquota.Limit
	// Leaving is set if the server states that it leaves.
	Leaving bool
	// RetryAfter is for how long the server wants no more requests from this instance; zero if it does not state that.
	RetryAfter time.Duration
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("server %s did not run the request: status %d", e.Server, e.Status)
}

// NoAnswerError reports a request that may have run and got no complete and valid answer.
type NoAnswerError struct {
	Server string
	// Broken is set if the connection was closed or reset before the answer was complete.
	Broken bool
	Err    error
}

func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("no answer from server %s: %v", e.Server, e.Err)
}

func (e *NoAnswerError) Unwrap() error { return e.Err }

// RefusedError reports a request that has not run and will not run.
type RefusedError struct {
	Cause string
	// Unreached is set if this instance reaches too few servers; another one may reach them.
	Unreached bool
	// Overloaded is set if the servers lack capacity; at another instance the request would compete for the same slots.
	Overloaded bool
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("request not run: %s; retry after %v", e.Cause, e.RetryAfter)
}

// OverQuotaError reports a request that has not run and will not run, because its team is over its quota.
type OverQuotaError struct {
	Team string
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

func (e *OverQuotaError) Error() string {
	return fmt.Sprintf("request not run: team %q is over its quota; retry after %v", e.Team, e.RetryAfter)
}

// FailedError reports a request that may have run and got no usable answer.
type FailedError struct {
	Cause string
	// TimedOut is set if the request reached its deadline.
	TimedOut bool
}

func (e *FailedError) Error() string { return fmt.Sprintf("request failed: %s", e.Cause) }

// HarmfulRequestError reports a request that is not sent, or no longer sent, because servers end under such requests.
type HarmfulRequestError struct {
	Verdict pollensuspect.Verdict
}

func (e *HarmfulRequestError) Error() string {
	return fmt.Sprintf("servers end under requests of this content (%v): refused from %s until %s", e.Verdict.Content,
		e.Verdict.Since.UTC().Format(time.RFC3339), e.Verdict.Until.UTC().Format(time.RFC3339))
}

// CallerDisconnectedError reports that the caller closed its connection before the reply.
type CallerDisconnectedError struct{}

func (e *CallerDisconnectedError) Error() string { return "caller closed the connection" }
