package polleninventory

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// PathInstances is the URL path of the list; a GET returns a List as JSON.
const PathInstances = "/v1/instances"

// State is the state of an instance according to the platform.
type State string

// The states of an instance.
const (
	StateLive    State = "Live"
	StateLeaving State = "Leaving"
)

// Entry is an instance in the list.
type Entry struct {
	Name        string
	PeerAddress netip.AddrPort
	State       State
}

// List is the platform's list of instances; the platform decides how far it may be out of date.
type List struct {
	Instances []Entry
}

// ListError reports a list that could not be read from Address.
type ListError struct {
	Address netip.AddrPort
	Err     error
}

func (e *ListError) Error() string {
	return fmt.Sprintf("instance list of %s: %v", e.Address, e.Err)
}

func (e *ListError) Unwrap() error { return e.Err }

// StatusError reports an HTTP status other than 200.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d", e.Status) }

// ClientConfig configures a Client.
type ClientConfig struct {
	Address netip.AddrPort
	// Timeout limits one read of the list.
	Timeout time.Duration
}

// Client reads the platform's list of instances over HTTP.
type Client struct {
	config ClientConfig
}

// NewClient returns a Client for the list at config.Address.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config}
}

// Instances returns the instances that the list reports as live and whose peer address is valid.
func (c *Client) Instances(ctx context.Context) ([]Entry, error) {
	list, err := c.fetch(ctx)
	if err != nil {
		return nil, &ListError{Address: c.config.Address, Err: err}
	}
	var live []Entry
	for _, entry := range list.Instances {
		if entry.State == StateLive && entry.PeerAddress.IsValid() {
			live = append(live, entry)
		}
	}
	return live, nil
}

// maxListBytes limits how much of the response is read.
const maxListBytes = 4 << 20

// fetch reads the list, which includes leaving instances.
func (c *Client) fetch(ctx context.Context) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", c.config.Address, PathInstances), nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode}
	}
	list := &List{}
	return list, json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(list)
}
