package pollenrelay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenprogress"
	"pollenline.example/pollen/pollenstore"
	"pollenline.example/pollen/pollensuspect"
)

// Reader reads the store itself.
type Reader interface {
	// ListStale returns all keys under a prefix, possibly as they were some seconds ago, at less cost than List.
	ListStale(ctx context.Context, prefix string) (pollenstore.Listing, error)
	// List returns all keys under a prefix.
	List(ctx context.Context, prefix string) (pollenstore.Listing, error)
	// Watch waits for events under a prefix after a position, and returns none when wait has passed.
	Watch(ctx context.Context, prefix string, after pollenstore.Position, wait time.Duration) (pollenstore.Changes, error)
}

// SourceConfig holds the parameters of a Source.
type SourceConfig struct {
	// Store reads the store if the watcher can't be used.
	Store Reader
	// Self is this instance, which the watcher ranks.
	Self pollencatalog.Instance
	// Standby reports whether this instance is not registered.
	Standby func() bool
	// Server is this instance's own server, whose last contact the source keeps up to date.
	Server *Server
	// Watcher returns the address of the zone's watcher, or false if this instance must read the store itself.
	Watcher func() (netip.AddrPort, bool)
	// ListedWatcher returns the address of the zone's watcher that a listing of the store names.
	ListedWatcher func(pollenstore.Listing) (netip.AddrPort, bool)
	// Suspects gets the watcher's evidence against requests; if it is nil, that is dropped.
	Suspects *pollensuspect.Registry
	// WatchWait is how long the watcher may hold a watch without an event.
	WatchWait time.Duration
	// WatchSlack is how long after WatchWait the watcher may answer before it counts as unresponsive, and how long its reply may stall.
	WatchSlack time.Duration
	// TransferTimeout is how long a reply may take from its first byte to its last.
	TransferTimeout time.Duration
	// Dial connects to a peer.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// OtherWatchers returns the addresses of the other zones' watchers, which an instance on standby asks before the store; if it
	// is nil, there are none.
	OtherWatchers func() []netip.AddrPort
	// StoreRetry is the longest time between two calls of the store by an instance on standby while the store does not answer
	// and all watchers have lost it.
	StoreRetry time.Duration
}

// Source reads the store through the zone's watcher, or directly while the watcher can't be used.
//
// Its methods must be called from one goroutine, except for Rank.
type Source struct {
	config SourceConfig
	// watcher is the connection to the watcher that was called last.
	watcher peerConn
	// other is the connection to another zone's watcher, otherAddress its address while it answers.
	other        peerConn
	otherAddress netip.AddrPort
	pace         storePace
	// fallback is set while the source reads the store because the watcher failed or is stale.
	fallback bool
	// newest is the latest position that the store or a watcher has answered with.
	newest pollenstore.Position
	rank   atomic.Int64
	// suspectsVersion is the version of the evidence that a watcher has sent last.
	suspectsVersion uint64
	// standbys is the number of standby instances of the zone.
	standbys atomic.Int64
}

// NewSource returns a Source that is not connected to a watcher.
func NewSource(config SourceConfig) *Source {
	if config.Suspects == nil {
		config.Suspects = pollensuspect.New(pollensuspect.Config{})
	}
	if config.OtherWatchers == nil {
		config.OtherWatchers = func() []netip.AddrPort { return nil }
	}
	return &Source{config: config, watcher: peerConn{dial: config.Dial}, other: peerConn{dial: config.Dial}}
}

// Rank returns the number of standby followers that come before this instance, by the watcher's last reply.
func (s *Source) Rank() int { return int(s.rank.Load()) }

// Standbys returns the number of standby instances that follow the zone's watcher, by its last reply.
func (s *Source) Standbys() int { return int(s.standbys.Load()) }

// StaleError reports a watcher whose last call of the store failed, was answered too long ago, or was answered in an earlier era.
type StaleError struct {
	Address netip.AddrPort
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("watcher %v has had no recent answer from the store, or none since it came back from a copy", e.Address)
}

// ListStale returns all keys under a prefix from the store, possibly as they were some seconds ago.
func (s *Source) ListStale(ctx context.Context, prefix string) (pollenstore.Listing, error) {
	return s.config.Store.ListStale(ctx, prefix)
}

// CatchUp returns the events after a listing from the watcher that the listing names. It reports false if there is none, or
// if it does not answer or lacks these events.
func (s *Source) CatchUp(ctx context.Context, listing pollenstore.Listing) (pollenstore.Changes, bool) {
	address, ok := s.config.ListedWatcher(listing)
	if !ok {
		return pollenstore.Changes{}, false
	}
	reply, err := s.watcher.fetch(ctx, address, s.limits(0), methodWatch, WatchRequest{Follower: s.config.Self, Standby: true, After: listing.Revision, Era: listing.Era, Unpacks: true})
	if err == nil {
		s.mergeSuspects(reply)
	}
	if err != nil || reply.unusable() || reply.Compacted {
		return pollenstore.Changes{}, false
	}
	s.storeRank(reply)
	return reply.Changes, true
}

// List returns all keys from the watcher, or those under a prefix from the store.
func (s *Source) List(ctx context.Context, prefix string) (pollenstore.Listing, error) {
	reply, ok := s.callWatcher(ctx, methodList, ListRequest{Unpacks: true})
	if ok {
		return reply.Listing, nil
	}
	listing, err := s.config.Store.List(ctx, prefix)
	s.recordContact(err)
	s.newest = s.newest.Advance(listing.Position())
	return listing, err
}

// Watch waits for events after a position: for all events if the watcher answers, and for those under a prefix if the
// store does. It returns none when wait has passed, at the watcher after WatchWait at most.
func (s *Source) Watch(ctx context.Context, prefix string, after pollenstore.Position, wait time.Duration) (pollenstore.Changes, error) {
	s.newest = s.newest.Advance(after)
	request := WatchRequest{
		Follower: s.config.Self, Standby: s.config.Standby(), After: after.Revision, Era: after.Era, Wait: min(wait, s.config.WatchWait),
		SuspectsVersion: s.suspectsVersion, Unpacks: true,
	}
	reply, ok := s.callWatcher(ctx, methodWatch, request)
	switch {
	case ok:
		s.storeRank(reply)
		s.pace.reset()
		s.otherAddress = netip.AddrPort{}
	case s.fallback && request.Standby && ctx.Err() == nil:
		if reply, ok = s.callOtherWatchers(ctx, request); !ok && !s.mayCallStore() {
			return pollenstore.Changes{}, &StaleError{Address: s.watcher.address}
		}
	}
	switch {
	case ok && reply.Compacted:
		// The reply doesn't state the oldest event kept, only that it is later than the revision.
		return pollenstore.Changes{}, &pollenstore.CompactedError{Oldest: after.Revision + 1}
	case ok:
		return reply.Changes, nil
	case ctx.Err() != nil:
		return pollenstore.Changes{}, ctx.Err()
	}
	changes, err := s.config.Store.Watch(ctx, prefix, after, wait)
	s.pace.record(err == nil || pollenstore.HistoryGone(err), time.Now(), s.config.StoreRetry, rand.Float64())
	var restored *pollenstore.RestoredError
	if errors.As(err, &restored) {
		s.newest = s.newest.Advance(pollenstore.Position{Era: restored.Era})
	}
	s.recordContact(err)
	return changes, err
}

// recordContact reports the result of a call of the store to this instance's server.
func (s *Source) recordContact(err error) {
	if err == nil || pollenstore.HistoryGone(err) {
		s.config.Server.SetLastContact(time.Now())
		return
	}
	s.config.Server.SetLastContact(time.Time{})
}

// callWatcher calls the watcher, and reports whether it has answered from a replica that is not stale.
func (s *Source) callWatcher(ctx context.Context, method string, request any) (*Reply, bool) {
	address, ok := s.config.Watcher()
	if !ok {
		s.watcher.close()
		s.setFallback(false, nil)
		return nil, false
	}
	reply, err := s.watcher.fetch(ctx, address, s.limits(s.config.WatchWait), method, request)
	if err == nil {
		s.mergeSuspects(reply)
	}
	if err == nil && (reply.unusable() || s.isOfEarlierEra(reply)) {
		err = &StaleError{Address: address}
	}
	s.setFallback(err != nil, err)
	return reply, err == nil
}

// limits returns the limits of a call that an instance may hold for wait.
func (s *Source) limits(wait time.Duration) pollenprogress.Limits {
	first := wait + s.config.WatchSlack
	return pollenprogress.Limits{First: first, Silence: s.config.WatchSlack, Total: s.config.TransferTimeout}
}

// mayCallStore reports whether an instance on standby may call the store now, although all watchers have lost it or don't answer.
func (s *Source) mayCallStore() bool {
	return len(s.config.OtherWatchers()) == 0 || s.pace.allow(time.Now(), s.config.StoreRetry, rand.Float64())
}

// callOtherWatchers calls the other zones' watchers, the one that has answered last first, and reports whether one has answered from
// a replica that is not stale.
func (s *Source) callOtherWatchers(ctx context.Context, request WatchRequest) (*Reply, bool) {
	// The other zone's standbys are ranked without this instance.
	request.Standby = false
	addresses := s.config.OtherWatchers()
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	if i := slices.Index(addresses, s.otherAddress); i > 0 {
		addresses[0], addresses[i] = addresses[i], addresses[0]
	}
	s.otherAddress = netip.AddrPort{}
	for _, address := range addresses {
		reply, err := s.other.fetch(ctx, address, s.limits(s.config.WatchWait), methodWatch, request)
		if err == nil && !reply.unusable() && !s.isOfEarlierEra(reply) {
			s.mergeSuspects(reply)
			s.otherAddress = address
			return reply, true
		}
	}
	return nil, false
}

// mergeSuspects adds the evidence of a reply, which holds none if it is unchanged.
func (s *Source) mergeSuspects(reply *Reply) {
	if reply.Suspects.Version != 0 {
		s.config.Suspects.Merge(reply.Suspects, time.Now())
		s.suspectsVersion = reply.Suspects.Version
	}
}

func (s *Source) storeRank(reply *Reply) {
	s.rank.Store(int64(reply.Rank))
	s.standbys.Store(int64(reply.Standbys))
}

// isOfEarlierEra reports whether a reply is of an earlier era than another one before it.
func (s *Source) isOfEarlierEra(reply *Reply) bool {
	position := reply.Changes.Position().Advance(reply.Listing.Position())
	if s.newest.LaterEra(position) {
		return true
	}
	s.newest = s.newest.Advance(position)
	return false
}

// setFallback sets whether the store is read instead of the watcher, and logs each change.
func (s *Source) setFallback(fallback bool, err error) {
	if fallback && !s.fallback {
		klog.InfoS("Watcher lost, reading the store", "watcher", s.watcher.address.String(), "cause", err.Error())
	}
	if !fallback && s.fallback {
		klog.InfoS("Watcher regained", "watcher", s.watcher.address.String())
	}
	s.fallback = fallback
}
