package pollenrelay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenprogress"
	"pollenline.example/pollen/pollenstore"
	"pollenline.example/pollen/pollensuspect"
)

// SeedsConfig holds the parameters of Seeds.
type SeedsConfig struct {
	// Addresses are the peer addresses of a few instances, some of which may be gone.
	Addresses []netip.AddrPort
	// Timeout is how long each of them may be silent, and how long the others are waited for once one has answered.
	Timeout time.Duration
	// TransferTimeout is how long a reply may take from its first byte to its last.
	TransferTimeout time.Duration
	// Dial connects to a peer.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Suspects gets the seeds' evidence against requests; if it is nil, that is dropped.
	Suspects *pollensuspect.Registry
}

// Seeds are instances that are known from the settings, from which an instance learns the store's keys when it starts
// while the store does not answer.
type Seeds struct {
	config SeedsConfig
}

// NewSeeds returns Seeds that are not connected.
func NewSeeds(config SeedsConfig) *Seeds {
	if config.Suspects == nil {
		config.Suspects = pollensuspect.New(pollensuspect.Config{})
	}
	return &Seeds{config: config}
}

// NoSeedError reports that no seed has returned any keys.
type NoSeedError struct {
	// Err joins the errors of the single seeds.
	Err error
}

func (e *NoSeedError) Error() string {
	return fmt.Sprintf("no other instance knows the keys: %v", e.Err)
}

func (e *NoSeedError) Unwrap() error { return e.Err }

// EmptyReplicaError reports an instance that knows no keys itself.
type EmptyReplicaError struct {
	Address netip.AddrPort
}

func (e *EmptyReplicaError) Error() string {
	return fmt.Sprintf("instance %v knows no keys", e.Address)
}

// List returns all keys as the seed with the newest revision knows them; its error is a *NoSeedError.
//
// Load pattern: instances restart while the store is down or unreachable. The others still serve from what they know, and
// so can an instance that asks them.
func (s *Seeds) List(ctx context.Context) (pollenstore.Listing, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		listing pollenstore.Listing
		err     error
	}
	results := make(chan result, len(s.config.Addresses))
	for _, address := range s.config.Addresses {
		go func() {
			listing, err := s.listFrom(ctx, address)
			results <- result{listing, err}
		}()
	}
	var newest pollenstore.Listing
	var errs error
	for range s.config.Addresses {
		r := <-results
		errs = errors.Join(errs, r.err)
		if r.err == nil {
			time.AfterFunc(s.config.Timeout, cancel)
		}
		if r.listing.Position().Newer(newest.Position()) {
			newest = r.listing
		}
	}
	if newest.Revision == 0 {
		return newest, &NoSeedError{Err: errs}
	}
	klog.InfoS("Keys read from another instance", "revision", newest.Revision, "keys", len(newest.Entries))
	return newest, nil
}

// listFrom returns all keys that one instance knows.
func (s *Seeds) listFrom(ctx context.Context, address netip.AddrPort) (pollenstore.Listing, error) {
	conn := peerConn{dial: s.config.Dial}
	defer conn.close()
	limits := pollenprogress.Limits{First: s.config.Timeout, Silence: s.config.Timeout, Total: s.config.TransferTimeout}
	reply, err := conn.fetch(ctx, address, limits, methodListKnown, ListRequest{Unpacks: true})
	if err != nil {
		return pollenstore.Listing{}, err
	}
	s.config.Suspects.Merge(reply.Suspects, time.Now())
	if reply.Listing.Revision == 0 {
		return reply.Listing, &EmptyReplicaError{Address: address}
	}
	return reply.Listing, nil
}
