package pollenstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// URL paths of the store's calls; each is a POST with a JSON request and response body.
const (
	PathGet    = "/v1/get"
	PathList   = "/v1/list"
	PathSwap   = "/v1/swap"
	PathGrant  = "/v1/grant"
	PathRenew  = "/v1/renew"
	PathRevoke = "/v1/revoke"
	PathWatch  = "/v1/watch"
)

// HTTP status codes that are returned as typed errors.
const (
	StatusConflict    = http.StatusConflict
	StatusLeaseGone   = http.StatusGone
	StatusCompacted   = http.StatusRequestedRangeNotSatisfiable
	StatusRateLimited = http.StatusTooManyRequests
)

// KeyRequest is the request of a get, which names a key, or of a list, which names a prefix.
type KeyRequest struct {
	Key string
}

// LeaseRequest is the request of a renewal or revocation, which names a lease, or of a grant, which sets a duration.
type LeaseRequest struct {
	ID       uint64
	Duration time.Duration
}

// WatchRequest is the request of a watch for events under Prefix after the store revision After.
type WatchRequest struct {
	Prefix string
	After  uint64
	// Wait is how long the store waits for an event before it returns none.
	Wait time.Duration
}

// Client calls the platform's key-value store over HTTP.
type Client struct {
	config ClientConfig
	http   *http.Client
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Address netip.AddrPort
	// Timeout limits every call; Watch adds its wait.
	Timeout time.Duration
}

// NewClient returns a Client with its own connection pool.
func NewClient(config ClientConfig) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleTimeout}
	return &Client{config: config, http: &http.Client{Transport: transport}}
}

// Get returns one key; the version is zero if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var entry Entry
	err := c.call(ctx, PathGet, c.config.Timeout, KeyRequest{Key: key}, &entry)
	return entry, err
}

// List returns all keys under a prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var listing Listing
	err := c.call(ctx, PathList, c.config.Timeout, KeyRequest{Key: prefix}, &listing)
	return listing, err
}

// CompareAndSwap writes or deletes one key and returns its new version.
func (c *Client) CompareAndSwap(ctx context.Context, swap Swap) (uint64, error) {
	var entry Entry
	err := c.call(ctx, PathSwap, c.config.Timeout, swap, &entry)
	return entry.Version, err
}

// Grant creates a lease that expires after duration unless it is renewed.
func (c *Client) Grant(ctx context.Context, duration time.Duration) (Lease, error) {
	var lease Lease
	err := c.call(ctx, PathGrant, c.config.Timeout, LeaseRequest{Duration: duration}, &lease)
	return lease, err
}

// Renew extends a lease, which then lasts its full duration from now on.
func (c *Client) Renew(ctx context.Context, id uint64) error {
	return c.call(ctx, PathRenew, c.config.Timeout, LeaseRequest{ID: id}, &Lease{})
}

// Revoke ends a lease, which deletes the keys attached to it.
func (c *Client) Revoke(ctx context.Context, id uint64) error {
	return c.call(ctx, PathRevoke, c.config.Timeout, LeaseRequest{ID: id}, &Lease{})
}

// Watch returns the events under a prefix after a store revision, waiting up to wait until there are any.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error) {
	var changes Changes
	err := c.call(ctx, PathWatch, c.config.Timeout+wait, WatchRequest{Prefix: prefix, After: after, Wait: wait}, &changes)
	return changes, err
}

const (
	maxIdleConnections = 8
	idleTimeout        = 30 * time.Second
	maxResponseBytes   = 64 << 20
)

// call sends one request and decodes its response into reply.
func (c *Client) call(ctx context.Context, path string, timeout time.Duration, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return &UnavailableError{Call: path, Err: err}
	}
	// A plain reader as body prevents net/http from replaying the request on another connection.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s%s", c.config.Address, path), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return &UnavailableError{Call: path, Err: err}
	}
	r.ContentLength = int64(len(body))
	response, err := c.http.Do(r)
	if err != nil {
		return &UnavailableError{Call: path, Err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return &UnavailableError{Call: path, Err: err}
	}
	return decodeResponse(path, response.StatusCode, data, reply)
}

// decodeResponse decodes a response into reply, or returns the error that its status denotes.
func decodeResponse(path string, status int, data []byte, reply any) error {
	var failure error
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(data, reply); err != nil {
			return &UnavailableError{Call: path, Err: err}
		}
		return nil
	case StatusRateLimited:
		return &RateLimitError{Call: path}
	case StatusConflict:
		failure = &ConflictError{}
	case StatusLeaseGone:
		failure = &LeaseGoneError{}
	case StatusCompacted:
		failure = &CompactedError{}
	default:
		return &UnavailableError{Call: path, Err: &StatusError{Status: status}}
	}
	if err := json.Unmarshal(data, failure); err != nil {
		return &UnavailableError{Call: path, Err: err}
	}
	return failure
}

// StatusError reports an HTTP status that the protocol does not define.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("unexpected HTTP status %d", e.Status)
}
