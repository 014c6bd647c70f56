package pollenrelay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenstore"
)

// Store is the store itself.
type Store interface {
	ListStale(ctx context.Context, prefix string) (pollenstore.Listing, error)
	List(ctx context.Context, prefix string) (pollenstore.Listing, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (pollenstore.Changes, error)
}

// SourceConfig configures a Source.
type SourceConfig struct {
	Store Store
	// Self is this instance, as its watcher ranks it.
	Self pollencatalog.Instance
	// Standby reports whether this instance is not named to callers.
	Standby func() bool
	// Server is told when the store itself has answered.
	Server *Server
	// Watcher returns the address of the instance to follow; false makes the source read the store itself.
	Watcher func() (netip.AddrPort, bool)
	// Wait is how long a peer may hold a watch.
	Wait time.Duration
	// Timeout bounds a peer's answer beyond Wait.
	Timeout time.Duration
	// Dial connects to a peer.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// Source reads the store through a watcher where there is one.
//
// It is used by one goroutine.
type Source struct {
	config  SourceConfig
	address netip.AddrPort
	client  *rpc.Client
	conn    net.Conn
	// direct is set while the store is read because the watcher is of no use.
	direct bool
	rank   atomic.Int64
}

// NewSource returns a Source without a connection.
func NewSource(config SourceConfig) *Source { return &Source{config: config} }

// Rank returns this instance's place among those that follow the same watcher, as it was last told.
func (s *Source) Rank() int { return int(s.rank.Load()) }

// StaleError reports a watcher that has not heard the store lately.
type StaleError struct {
	Address netip.AddrPort
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("watcher %v has not heard the store", e.Address)
}

// ListStale returns all keys as the store had them some seconds ago.
func (s *Source) ListStale(ctx context.Context, prefix string) (pollenstore.Listing, error) {
	return s.config.Store.ListStale(ctx, prefix)
}

// List returns all keys.
func (s *Source) List(ctx context.Context, prefix string) (pollenstore.Listing, error) {
	reply, ok := s.ask(ctx, methodList, ListRequest{})
	if ok {
		return reply.Listing, nil
	}
	listing, err := s.config.Store.List(ctx, prefix)
	s.heard(err)
	return listing, err
}

// Watch waits for events after a revision.
func (s *Source) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (pollenstore.Changes, error) {
	reply, ok := s.ask(ctx, methodWatch, WatchRequest{
		Follower: s.config.Self, Standby: s.config.Standby(), After: after, Wait: min(wait, s.config.Wait),
	})
	if ok {
		s.rank.Store(int64(reply.Rank))
	}
	switch {
	case ok && reply.Compacted:
		return pollenstore.Changes{}, &pollenstore.CompactedError{Oldest: after + 1}
	case ok:
		return reply.Changes, nil
	case ctx.Err() != nil:
		return pollenstore.Changes{}, ctx.Err()
	}
	changes, err := s.config.Store.Watch(ctx, prefix, after, wait)
	s.heard(err)
	return changes, err
}

func (s *Source) heard(err error) {
	var compacted *pollenstore.CompactedError
	if err == nil || errors.As(err, &compacted) {
		s.config.Server.Heard(time.Now())
		return
	}
	s.config.Server.Heard(time.Time{})
}

// ask calls the watcher, and reports whether it has answered from a fresh replica.
func (s *Source) ask(ctx context.Context, method string, request any) (*Reply, bool) {
	address, ok := s.config.Watcher()
	if !ok {
		s.close()
		s.note(false, nil)
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.Wait+s.config.Timeout)
	defer cancel()
	reply, err := s.call(ctx, address, method, request)
	if err == nil && reply.Stale {
		err = &StaleError{Address: address}
	}
	s.note(err != nil, err)
	return reply, err == nil
}

// note logs when the source turns from the watcher to the store and back.
func (s *Source) note(direct bool, err error) {
	if direct && !s.direct {
		klog.InfoS("Watcher lost, reading the store", "watcher", s.address.String(), "cause", err.Error())
	}
	if !direct && s.direct {
		klog.InfoS("Watcher regained", "watcher", s.address.String())
	}
	s.direct = direct
}

func (s *Source) call(ctx context.Context, address netip.AddrPort, method string, request any) (*Reply, error) {
	if s.client == nil || s.address != address {
		s.close()
		conn, err := s.config.Dial(ctx, address)
		if err != nil {
			s.address = address
			return nil, err
		}
		s.client, s.conn, s.address = rpc.NewClient(conn), conn, address
	}
	if deadline, ok := ctx.Deadline(); ok {
		// The client writes requests without a timeout of its own.
		if err := s.conn.SetWriteDeadline(deadline); err != nil {
			s.close()
			return nil, err
		}
	}
	reply := &Reply{}
	call := s.client.Go(method, request, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			s.close()
		}
		return reply, call.Error
	case <-ctx.Done():
		s.close()
		return nil, ctx.Err()
	}
}

func (s *Source) close() {
	if s.client == nil {
		return
	}
	if err := s.client.Close(); err != nil && !errors.Is(err, rpc.ErrShutdown) {
		klog.V(1).InfoS("Connection to the watcher not closed", "err", err)
	}
	s.client = nil
}
