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
	// Name is the caller's, as metrics show it.
	Name string
	// Zone is the availability zone that the caller is near.
	Zone string
	// Addresses are asked for others.
	Addresses []netip.AddrPort
	// MaximumAge bounds the age of a Locate answer more strictly than its lifetime, if it is above zero.
	MaximumAge time.Duration
}

// Caller sends requests to entry instances.
type Caller struct {
	config Config
	http   *http.Client

	mu      sync.Mutex
	located *pollenschema.LocateResponse
	expires time.Time
	clients map[string]pollenschemaconnect.EntryClient
}

// New returns a caller.
func New(config Config) *Caller {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
	}
	return &Caller{config: config, http: &http.Client{Transport: transport}, clients: make(map[string]pollenschemaconnect.EntryClient)}
}

// Request is what a caller asks.
type Request struct {
	Service string
	Class   pollenschema.Class
	Timeout time.Duration
	// Action makes the request one that runs at most once, on the shard that Key falls in.
	Action  bool
	Key     string
	Payload []byte
}

// UnverifiedError reports an answer that is not the whole answer to its request.
type UnverifiedError struct {
	Problem string
}

func (e *UnverifiedError) Error() string { return "answer refused: " + e.Problem }

// ErrNowhere reports that no instance could be located.
var ErrNowhere = errors.New("no instance can be located")

// Do sends a request and verifies the answer.
//
// A request that an instance did not run is sent to another one under a new id while time remains, and so is a
// query whose connection was lost or that has had no answer for half of its time. An action whose fate is not known
// is not sent again.
func (c *Caller) Do(ctx context.Context, request Request) (*pollenschema.QueryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	attempts := make(chan attempt, maximumAttempts)
	var last attempt
	var avoid string
	waiting := 0
	for range maximumAttempts {
		if i, err := c.choose(ctx, avoid); err != nil {
			last.err = err
		} else {
			avoid = i.Incarnation
			waiting++
			go func() {
				response, err := c.send(ctx, i, request)
				attempts <- attempt{response: response, err: err}
			}()
		}
		ended, ok := wait(ctx, attempts, waiting, request)
		if ok {
			waiting--
			if ended.settles(request) {
				return ended.result(request)
			}
			last = ended
		}
		c.forget()
		if !pause(ctx) {
			break
		}
	}
	return last.result(request)
}

// attempt is what one instance answered.
type attempt struct {
	response *pollenschema.QueryResponse
	err      error
}

// wait waits for an attempt to end; a query waits no longer than half of its time before it is tried elsewhere.
func wait(ctx context.Context, attempts <-chan attempt, waiting int, request Request) (attempt, bool) {
	if waiting == 0 {
		return attempt{}, false
	}
	var patience <-chan time.Time
	if deadline, ok := ctx.Deadline(); ok && !request.Action {
		timer := time.NewTimer(time.Until(deadline) / 2)
		defer timer.Stop()
		patience = timer.C
	}
	select {
	case ended := <-attempts:
		return ended, true
	case <-patience:
		return attempt{}, false
	}
}

// settles reports whether no further attempt may or need be made.
func (a attempt) settles(request Request) bool {
	if a.err == nil {
		return final(request, a.response)
	}
	return request.Action && !neverSent(a.err)
}

// result returns what the caller is told.
func (a attempt) result(request Request) (*pollenschema.QueryResponse, error) {
	switch {
	case a.err == nil && a.response != nil:
		return a.response, nil
	case a.err == nil:
		return nil, fmt.Errorf("request to %s: %w", request.Service, context.DeadlineExceeded)
	case request.Action && !neverSent(a.err) && !errors.Is(a.err, ErrNowhere):
		return unknown(a.response, a.err), nil
	}
	return nil, fmt.Errorf("request to %s: %w", request.Service, a.err)
}

// Locate returns the instances that may be connected to, from memory while the answer is fresh.
func (c *Caller) Locate(ctx context.Context) (*pollenschema.LocateResponse, error) {
	c.mu.Lock()
	located, fresh := c.located, time.Now().Before(c.expires)
	c.mu.Unlock()
	if fresh {
		return located, nil
	}
	for _, n := range rand.Perm(len(c.config.Addresses)) {
		asked := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, locateTimeout)
		response, err := c.client(c.config.Addresses[n].String()).Locate(callCtx, &pollenschema.LocateRequest{Caller: c.config.Name, Zone: c.config.Zone})
		cancel()
		if err != nil {
			continue
		}
		c.keep(response, asked)
		return response, nil
	}
	return nil, ErrNowhere
}

const (
	dialTimeout     = 300 * time.Millisecond
	locateTimeout   = 500 * time.Millisecond
	idleConnections = 64
	maximumAttempts = 8
	attemptPause    = 10 * time.Millisecond
	// idLifetime is added to the timeout for the expiry of a request id.
	idLifetime = 5 * time.Second
)

// keep remembers a Locate answer; its age counts from when it was asked for, which is never after its generation.
func (c *Caller) keep(response *pollenschema.LocateResponse, asked time.Time) {
	lifetime := response.GetLifetime().AsDuration()
	if c.config.MaximumAge > 0 {
		lifetime = min(lifetime, c.config.MaximumAge)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.located = response
	c.expires = asked.Add(lifetime)
}

func (c *Caller) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

func (c *Caller) choose(ctx context.Context, avoid string) (*pollenschema.Instance, error) {
	located, err := c.Locate(ctx)
	if err != nil {
		return nil, err
	}
	total := 0
	for _, i := range located.Instances {
		total += weight(i, avoid)
	}
	if total == 0 {
		return located.Instances[rand.IntN(len(located.Instances))], nil
	}
	pick := rand.IntN(total)
	for _, i := range located.Instances {
		if pick -= weight(i, avoid); pick < 0 {
			return i, nil
		}
	}
	return nil, ErrNowhere
}

func weight(i *pollenschema.Instance, avoid string) int {
	if i.Incarnation == avoid {
		return 0
	}
	return int(i.Weight)
}

func (c *Caller) send(ctx context.Context, i *pollenschema.Instance, request Request) (*pollenschema.QueryResponse, error) {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	message := &pollenschema.QueryRequest{
		Id: &pollenschema.RequestId{
			Incarnation: i.Incarnation, Nonce: nonce(), Expiry: timestamppb.New(time.Now().Add(left + idLifetime)),
		},
		Caller: c.config.Name, Service: request.Service, Class: request.Class, Timeout: durationpb.New(left),
		Idempotent: !request.Action, Key: request.Key, Payload: request.Payload,
	}
	response, err := c.client(i.Address).Query(ctx, message)
	if err != nil {
		return &pollenschema.QueryResponse{Id: message.Id}, err
	}
	return response, verify(message, response)
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

// final reports whether a response settles the request.
func final(request Request, response *pollenschema.QueryResponse) bool {
	switch response.Outcome {
	case pollenschema.Outcome_OUTCOME_DONE:
		return true
	case pollenschema.Outcome_OUTCOME_NOT_RUN:
		return !retryElsewhere(response.Reason)
	}
	return request.Action || response.Reason != pollenschema.Reason_REASON_INCARNATION_GONE
}

// retryElsewhere reports whether another instance may do what this one refused.
func retryElsewhere(reason pollenschema.Reason) bool {
	switch reason {
	case pollenschema.Reason_REASON_LEAVING, pollenschema.Reason_REASON_ZONE_OUT, pollenschema.Reason_REASON_STALE,
		pollenschema.Reason_REASON_NO_OWNER:
		return true
	}
	return false
}

// neverSent reports whether a call failed before anything was sent.
func neverSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func unknown(response *pollenschema.QueryResponse, err error) *pollenschema.QueryResponse {
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

func verify(request *pollenschema.QueryRequest, response *pollenschema.QueryResponse) error {
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

func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(attemptPause):
		return true
	}
}

func nonce() string {
	return cryptorand.Text()
}
