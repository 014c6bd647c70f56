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

// The paths of the service's calls; each takes and returns JSON by POST.
const (
	PathGet    = "/v1/get"
	PathList   = "/v1/list"
	PathSwap   = "/v1/swap"
	PathGrant  = "/v1/grant"
	PathRenew  = "/v1/renew"
	PathRevoke = "/v1/revoke"
	PathWatch  = "/v1/watch"
)

// Status codes that carry a typed error.
const (
	StatusConflict  = http.StatusConflict
	StatusLeaseGone = http.StatusGone
	StatusCompacted = http.StatusRequestedRangeNotSatisfiable
	StatusLimited   = http.StatusTooManyRequests
)

// KeyRequest names a key or a prefix.
type KeyRequest struct {
	Key string
}

// LeaseRequest names a lease or, for a grant, its duration.
type LeaseRequest struct {
	ID       uint64
	Duration time.Duration
}

// WatchRequest waits for events under a prefix after a store revision.
type WatchRequest struct {
	Prefix string
	After  uint64
	Wait   time.Duration
}

// Client calls the platform's service over HTTP.
type Client struct {
	config ClientConfig
	http   *http.Client
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Address netip.AddrPort
	// Timeout bounds every call but Watch, which it bounds beyond its own wait.
	Timeout time.Duration
}

// NewClient returns a client.
func NewClient(config ClientConfig) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maximumIdleConnections, IdleConnTimeout: idleConnectionTimeout}
	return &Client{config: config, http: &http.Client{Transport: transport}}
}

// Get returns one key; its version is zero if it does not exist.
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

// Grant returns a new lease.
func (c *Client) Grant(ctx context.Context, duration time.Duration) (Lease, error) {
	var lease Lease
	err := c.call(ctx, PathGrant, c.config.Timeout, LeaseRequest{Duration: duration}, &lease)
	return lease, err
}

// Renew extends a lease by its duration from now on.
func (c *Client) Renew(ctx context.Context, id uint64) error {
	return c.call(ctx, PathRenew, c.config.Timeout, LeaseRequest{ID: id}, &Lease{})
}

// Revoke ends a lease and deletes the keys attached to it.
func (c *Client) Revoke(ctx context.Context, id uint64) error {
	return c.call(ctx, PathRevoke, c.config.Timeout, LeaseRequest{ID: id}, &Lease{})
}

// Watch waits until there are events under a prefix after a store revision, or until wait is over.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error) {
	var changes Changes
	err := c.call(ctx, PathWatch, c.config.Timeout+wait, WatchRequest{Prefix: prefix, After: after, Wait: wait}, &changes)
	return changes, err
}

const (
	maximumIdleConnections = 8
	idleConnectionTimeout  = 30 * time.Second
	maximumAnswerBytes     = 64 << 20
)

func (c *Client) call(ctx context.Context, path string, timeout time.Duration, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return &UnavailableError{Call: path, Err: err}
	}
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswerBytes))
	if err != nil {
		return &UnavailableError{Call: path, Err: err}
	}
	return decode(path, response.StatusCode, data, answer)
}

func decode(path string, status int, data []byte, answer any) error {
	var failure error
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(data, answer); err != nil {
			return &UnavailableError{Call: path, Err: err}
		}
		return nil
	case StatusLimited:
		return &LimitedError{Call: path}
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

// StatusError reports an HTTP status that the protocol does not name.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("unexpected HTTP status %d", e.Status)
}
