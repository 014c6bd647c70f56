package pollencaller

import (
	"context"
	cryptorand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenschema"
	"pollenline.example/pollen/pollenschema/pollenschemaconnect"
)

// Config configures a Caller.
type Config struct {
	// Name identifies the caller in metrics.
	Name string
	// Zone is the availability zone closest to the caller.
	Zone string
	// Addresses are the addresses of the instances to which Locate requests are sent.
	Addresses []netip.AddrPort
	// MaxLocateAge shortens the lifetime of cached Locate responses if it is above zero.
	MaxLocateAge time.Duration
}

// Caller sends requests to entry instances. It may be used by several goroutines.
type Caller struct {
	config Config
	http   *http.Client

	mu           sync.Mutex
	cachedLocate *pollenschema.LocateResponse
	cacheExpiry  time.Time
	clients      map[string]pollenschemaconnect.EntryClient
}

// New returns a Caller that opens connections on its first request.
func New(config Config) *Caller {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
	}
	return &Caller{config: config, http: &http.Client{Transport: transport}, clients: make(map[string]pollenschemaconnect.EntryClient)}
}

// Request is a query over all shards of a service, or an action on one shard.
type Request struct {
	// Service is the name of the service.
	Service string
	// Class is the priority class.
	Class pollenschema.Class
	// Timeout bounds the request including its retries.
	Timeout time.Duration
	// Action makes the request run at most once, on the shard that Key maps to.
	Action bool
	// Key selects the shard of an action.
	Key string
	// Payload is passed to the backend servers unchanged.
	Payload []byte
}

// UnverifiedError reports an answer that is incomplete, damaged or meant for another request.
type UnverifiedError struct {
	// Problem states which check failed.
	Problem string
}

func (e *UnverifiedError) Error() string { return "answer refused: " + e.Problem }

// ErrNoInstance reports that no configured address answered a Locate request.
var ErrNoInstance = errors.New("no instance can be located")

// Do sends a request, verifies the answer and retries where that is safe.
//
// While time remains, a request that could not be sent, or that an instance refused for a reason that may not apply to
// another, is retried under a new id, on another instance if there is one. So is a query that lost its connection, whose
// answer failed verification or reports that an incarnation is gone, or that got no answer within half of the remaining
// time. An action that may have run is not retried.
func (c *Caller) Do(ctx context.Context, request Request) (*pollenschema.QueryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	attempts := make(chan attempt, maxAttempts)
	var last attempt
	var excluded string
	pending := 0
	for range maxAttempts {
		if i, err := c.pickInstance(ctx, excluded); err != nil {
			last.err = err
		} else {
			excluded = i.Incarnation
			pending++
			go func() {
				response, err := c.sendAttempt(ctx, i, request)
				attempts <- attempt{response: response, err: err}
			}()
		}
		completed, ok := awaitAttempt(ctx, attempts, pending, request)
		if ok {
			pending--
			if completed.isFinal(request) {
				return completed.result(request)
			}
			last = completed
		}
		c.invalidateCache()
		if !waitBeforeRetry(ctx) {
			break
		}
	}
	return last.result(request)
}

// attempt holds the result of sending a request to one instance.
type attempt struct {
	response *pollenschema.QueryResponse
	err      error
}

// awaitAttempt waits for an attempt to complete, but for a query at most half of the remaining time. The second result is
// false if none has completed.
func awaitAttempt(ctx context.Context, attempts <-chan attempt, pending int, request Request) (attempt, bool) {
	if pending == 0 {
		return attempt{}, false
	}
	var retryTimeout <-chan time.Time
	if deadline, ok := ctx.Deadline(); ok && !request.Action {
		timer := time.NewTimer(time.Until(deadline) / 2)
		defer timer.Stop()
		retryTimeout = timer.C
	}
	select {
	case completed := <-attempts:
		return completed, true
	case <-retryTimeout:
		return attempt{}, false
	}
}

// isFinal reports whether a retry is unnecessary or unsafe.
func (a attempt) isFinal(request Request) bool {
	if a.err == nil {
		return isFinalResponse(request, a.response)
	}
	return request.Action && !failedBeforeSend(a.err)
}

// result returns the response or error for the caller; an action that may have run gets an unknown outcome.
func (a attempt) result(request Request) (*pollenschema.QueryResponse, error) {
	switch {
	case a.err == nil && a.response != nil:
		return a.response, nil
	case a.err == nil:
		return nil, fmt.Errorf("request to %s: %w", request.Service, context.DeadlineExceeded)
	case request.Action && !failedBeforeSend(a.err) && !errors.Is(a.err, ErrNoInstance):
		return unknownOutcome(a.response, a.err), nil
	}
	return nil, fmt.Errorf("request to %s: %w", request.Service, a.err)
}

// Locate returns the instances that accept connections; responses are cached for their lifetime.
func (c *Caller) Locate(ctx context.Context) (*pollenschema.LocateResponse, error) {
	c.mu.Lock()
	located, fresh := c.cachedLocate, time.Now().Before(c.cacheExpiry)
	c.mu.Unlock()
	if fresh {
		return located, nil
	}
	for _, n := range rand.Perm(len(c.config.Addresses)) {
		requestedAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, locateTimeout)
		response, err := c.client(c.config.Addresses[n].String()).Locate(callCtx, &pollenschema.LocateRequest{Caller: c.config.Name, Zone: c.config.Zone})
		cancel()
		if err != nil {
			continue
		}
		c.cacheLocateResponse(response, requestedAt)
		return response, nil
	}
	return nil, ErrNoInstance
}

const (
	dialTimeout         = 300 * time.Millisecond
	locateTimeout       = 500 * time.Millisecond
	maxIdleConnsPerHost = 64
	maxAttempts         = 8
	retryDelay          = 10 * time.Millisecond
	// requestIDMargin is the time by which a request id outlives the request's timeout.
	requestIDMargin = 5 * time.Second
)

// cacheLocateResponse stores a Locate response. Its lifetime counts from when the request was sent, which is never later
// than when the response was generated.
func (c *Caller) cacheLocateResponse(response *pollenschema.LocateResponse, requestedAt time.Time) {
	lifetime := response.GetLifetime().AsDuration()
	if c.config.MaxLocateAge > 0 {
		lifetime = min(lifetime, c.config.MaxLocateAge)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cachedLocate = response
	c.cacheExpiry = requestedAt.Add(lifetime)
}

func (c *Caller) invalidateCache() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cacheExpiry = time.Time{}
}

// pickInstance returns a random instance by weight, other than the excluded incarnation if there is a choice.
func (c *Caller) pickInstance(ctx context.Context, excluded string) (*pollenschema.Instance, error) {
	located, err := c.Locate(ctx)
	if err != nil {
		return nil, err
	}
	total := 0
	for _, i := range located.Instances {
		total += weightUnlessExcluded(i, excluded)
	}
	if total == 0 {
		return located.Instances[rand.IntN(len(located.Instances))], nil
	}
	remaining := rand.IntN(total)
	for _, i := range located.Instances {
		if remaining -= weightUnlessExcluded(i, excluded); remaining < 0 {
			return i, nil
		}
	}
	return nil, ErrNoInstance
}

func weightUnlessExcluded(i *pollenschema.Instance, excluded string) int {
	if i.Incarnation == excluded {
		return 0
	}
	return int(i.Weight)
}

// sendAttempt sends the request to one instance under a new id and verifies the response.
func (c *Caller) sendAttempt(ctx context.Context, i *pollenschema.Instance, request Request) (*pollenschema.QueryResponse, error) {
	deadline, _ := ctx.Deadline()
	timeLeft := time.Until(deadline)
	message := &pollenschema.QueryRequest{
		Id: &pollenschema.RequestId{
			Incarnation: i.Incarnation, Nonce: newNonce(), Expiry: timestamppb.New(time.Now().Add(timeLeft + requestIDMargin)),
		},
		Caller: c.config.Name, Service: request.Service, Class: request.Class, Timeout: durationpb.New(timeLeft),
		Idempotent: !request.Action, Key: request.Key, Payload: request.Payload,
	}
	response, err := c.client(i.Address).Query(ctx, message)
	if err != nil {
		return &pollenschema.QueryResponse{Id: message.Id}, err
	}
	return response, verifyResponse(message, response)
}

func (c *Caller) client(address string) pollenschemaconnect.EntryClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		client = pollenschemaconnect.NewEntryClient(c.http, "http://"+address)
		c.clients[address] = client
	}
	return client
}

// isFinalResponse reports whether a response is to be returned to the caller instead of being retried.
func isFinalResponse(request Request, response *pollenschema.QueryResponse) bool {
	switch response.Outcome {
	case pollenschema.Outcome_OUTCOME_DONE:
		return true
	case pollenschema.Outcome_OUTCOME_NOT_RUN:
		return !retryableElsewhere(response.Reason)
	}
	return request.Action || response.Reason != pollenschema.Reason_REASON_INCARNATION_GONE
}

// retryableElsewhere reports whether another instance may accept a request that was refused for this reason.
func retryableElsewhere(reason pollenschema.Reason) bool {
	switch reason {
	case pollenschema.Reason_REASON_LEAVING, pollenschema.Reason_REASON_ZONE_OUT, pollenschema.Reason_REASON_STALE,
		pollenschema.Reason_REASON_NO_OWNER:
		return true
	}
	return false
}

// failedBeforeSend reports whether a call failed before any data was sent.
func failedBeforeSend(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// unknownOutcome returns a response with an unknown outcome to an action that may have run; err gives the reason.
func unknownOutcome(response *pollenschema.QueryResponse, err error) *pollenschema.QueryResponse {
	answer := &pollenschema.QueryResponse{Outcome: pollenschema.Outcome_OUTCOME_UNKNOWN, Reason: pollenschema.Reason_REASON_CONNECTION, Detail: err.Error(), Coverage: &pollenschema.Coverage{}}
	answer.Id = response.GetId()
	var unverified *UnverifiedError
	if errors.As(err, &unverified) {
		answer.Reason = pollenschema.Reason_REASON_GARBLED
	}
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		answer.Reason = pollenschema.Reason_REASON_DEADLINE
	}
	return answer
}

// verifyResponse compares the id of a response, its checksum and its coverage with the request and the rows.
func verifyResponse(request *pollenschema.QueryRequest, response *pollenschema.QueryResponse) error {
	if !proto.Equal(request.Id, response.Id) {
		return &UnverifiedError{Problem: "it belongs to another request"}
	}
	if response.Outcome != pollenschema.Outcome_OUTCOME_DONE {
		return nil
	}
	length, checksum := pollenmessage.RowsChecksum(response.Shards)
	if length != response.Length || checksum != response.Checksum {
		return &UnverifiedError{Problem: "length or checksum differ"}
	}
	if int(response.GetCoverage().GetCovered()) != len(response.Shards) {
		return &UnverifiedError{Problem: "coverage does not match the shards"}
	}
	return nil
}

// waitBeforeRetry waits for retryDelay and reports whether ctx is still active.
func waitBeforeRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryDelay):
		return true
	}
}

func newNonce() string {
	return cryptorand.Text()
}
