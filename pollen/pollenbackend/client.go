package pollenbackend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"pollenline.example/pollen/pollenhttp"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenroute"
)

// MaxAnswerBytes bounds the size of an answer.
const MaxAnswerBytes = 8 << 20

// Client sends requests to one backend server.
type Client struct {
	url       string
	transport *http.Transport
}

// NewClient returns a client that opens at most one connection for each slot of the server plus a few spare ones,
// within the server's maximum.
func NewClient(server *pollenroute.Server) *Client {
	connections := min(server.Slots+spareConnections, server.Connections)
	return &Client{
		url: fmt.Sprintf("http://%s%s", server.Address, PathAnswer),
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleConnectionTimeout,
		},
	}
}

// Send sends a request at most once and returns its verified answer.
//
// Errors are *NotSentError, *LostError or *GarbledError. A refusal by the server is an answer with NotRun set.
func (c *Client) Send(ctx context.Context, request *Request) (*Answer, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	var gotConnection atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConnection.Store(true) },
	})
	// A plain reader as body prevents net/http from replaying the request on another connection.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Type", "application/json")
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		if !gotConnection.Load() {
			return nil, &NotSentError{Err: err}
		}
		return nil, &LostError{Err: err}
	}
	defer response.Body.Close()
	if !pollenhttp.IsFinalStatus(response.StatusCode) {
		return nil, &GarbledError{Problem: fmt.Sprintf("HTTP status %d", response.StatusCode)}
	}
	return readAnswer(request, response)
}

// CloseIdleConnections closes the idle connections, so that the next request uses a new one.
func (c *Client) CloseIdleConnections() {
	c.transport.CloseIdleConnections()
}

const (
	// spareConnections replace the connections of cancelled requests, which take time to close.
	spareConnections      = 4
	dialTimeout           = 500 * time.Millisecond
	idleConnectionTimeout = time.Minute
)

// readAnswer reads and verifies the answer in an HTTP response.
func readAnswer(request *Request, response *http.Response) (*Answer, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, &LostError{Err: err}
	}
	if len(data) > MaxAnswerBytes {
		return nil, &GarbledError{Problem: "more than the maximum size"}
	}
	answer, err := ParseAnswer(data)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK && !answer.NotRun {
		return nil, &GarbledError{Problem: fmt.Sprintf("HTTP status %d", response.StatusCode)}
	}
	return answer, Verify(request, answer)
}

// ParseAnswer parses an answer without verifying it against its request.
func ParseAnswer(data []byte) (*Answer, error) {
	answer := &Answer{}
	if err := json.Unmarshal(data, answer); err != nil {
		return nil, &GarbledError{Problem: "not JSON", Err: err}
	}
	if answer.ID == "" || answer.BootID == "" {
		return nil, &GarbledError{Problem: "fields ID and BootID are required"}
	}
	return answer, nil
}

// ErrOtherRequest is the cause of a *GarbledError for an answer to another request.
var ErrOtherRequest = errors.New("answer to another request")

// Verify returns a *GarbledError unless the answer is a complete and undamaged answer to the request.
func Verify(request *Request, a *Answer) error {
	if a.ID != request.ID {
		return &GarbledError{Problem: "crossed", Err: ErrOtherRequest}
	}
	if a.NotRun {
		return nil
	}
	if a.Snapshot != request.Snapshot {
		return &GarbledError{Problem: fmt.Sprintf("snapshot %q instead of %q", a.Snapshot, request.Snapshot)}
	}
	if pollenmessage.Checksum(a.Shards) != a.Checksum {
		return &GarbledError{Problem: "checksum differs"}
	}
	unanswered := make(map[string]bool, len(request.Shards))
	for _, shard := range request.Shards {
		unanswered[shard] = true
	}
	for _, s := range a.Shards {
		if !unanswered[s.Shard] {
			return &GarbledError{Problem: fmt.Sprintf("shard %q was not asked for or stands twice", s.Shard)}
		}
		delete(unanswered, s.Shard)
	}
	if len(unanswered) > 0 {
		return &GarbledError{Problem: fmt.Sprintf("%d shards are not mentioned", len(unanswered))}
	}
	return nil
}
