package pollenfakestore

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"pollenline.example/pollen/pollenstore"
)

// Faults are the troubles that a store can be put into.
type Faults struct {
	// Down fails every call, and nothing takes place.
	Down bool
	// LoseAnswers carries out writes and fails the call all the same.
	LoseAnswers bool
	// StaleReads serves Get and List as of the moment when it was switched on.
	StaleReads bool
	// Delay is added to every call.
	Delay time.Duration
}

// Store is a key-value service in memory.
type Store struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]pollenstore.Entry
	leases   map[uint64]*lease
	events   []pollenstore.Event
	oldest   uint64
	changed  chan struct{}
	faults   Faults
	stale    *pollenstore.Listing
	calls    map[string]int
	observe  func(pollenstore.Event)
}

// Observe makes a function be told of every write that takes effect.
func (s *Store) Observe(observe func(pollenstore.Event)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = observe
}

// New returns an empty store.
func New() *Store {
	return &Store{
		entries: make(map[string]pollenstore.Entry),
		leases:  make(map[uint64]*lease),
		changed: make(chan struct{}),
		calls:   make(map[string]int),
	}
}

// ErrDown is the cause of a call that failed because of a fault.
var ErrDown = errors.New("store is down")

// ErrLost is the cause of a call that took effect and whose answer was lost.
var ErrLost = errors.New("answer was lost")

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.StaleReads && !s.faults.StaleReads {
		listing := s.listLocked("")
		s.stale = &listing
	}
	if !faults.StaleReads {
		s.stale = nil
	}
	s.faults = faults
}

// Calls returns how often each call was made.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for name, n := range s.calls {
		calls[name] = n
	}
	return calls
}

// Get returns one key; its version is zero if it does not exist.
func (s *Store) Get(ctx context.Context, key string) (pollenstore.Entry, error) {
	if err := s.enter(ctx, "Get"); err != nil {
		return pollenstore.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale != nil {
		for _, entry := range s.stale.Entries {
			if entry.Key == key {
				return entry, nil
			}
		}
		return pollenstore.Entry{}, nil
	}
	return s.entries[key], nil
}

// List returns all keys under a prefix.
func (s *Store) List(ctx context.Context, prefix string) (pollenstore.Listing, error) {
	if err := s.enter(ctx, "List"); err != nil {
		return pollenstore.Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale == nil {
		return s.listLocked(prefix), nil
	}
	listing := pollenstore.Listing{Revision: s.stale.Revision}
	for _, entry := range s.stale.Entries {
		if strings.HasPrefix(entry.Key, prefix) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	return listing, nil
}

// CompareAndSwap writes or deletes one key and returns its new version.
func (s *Store) CompareAndSwap(ctx context.Context, swap pollenstore.Swap) (uint64, error) {
	if err := s.enter(ctx, "CompareAndSwap"); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.entries[swap.Key].Version; current != swap.Expected {
		return 0, &pollenstore.ConflictError{Key: swap.Key, Current: current}
	}
	if swap.Delete {
		s.deleteLocked(swap.Key)
		return s.revision, s.lostAnswer("CompareAndSwap")
	}
	if err := s.putLocked(swap.Key, swap.Value, swap.Lease); err != nil {
		return 0, err
	}
	return s.revision, s.lostAnswer("CompareAndSwap")
}

// Put writes one key whatever it held before and returns its new version.
func (s *Store) Put(ctx context.Context, key string, value []byte, lease uint64) (uint64, error) {
	if err := s.enter(ctx, "Put"); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.putLocked(key, value, lease); err != nil {
		return 0, err
	}
	return s.revision, s.lostAnswer("Put")
}

// Delete removes one key if it exists.
func (s *Store) Delete(ctx context.Context, key string) error {
	if err := s.enter(ctx, "Delete"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLocked(key)
	return s.lostAnswer("Delete")
}

// Compact forgets all history, so that watches have to read everything anew.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.oldest = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Grant returns a new lease.
func (s *Store) Grant(ctx context.Context, duration time.Duration) (pollenstore.Lease, error) {
	if err := s.enter(ctx, "Grant"); err != nil {
		return pollenstore.Lease{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	l := &lease{duration: duration}
	l.timer = time.AfterFunc(duration, func() { s.expire(id) })
	s.leases[id] = l
	return pollenstore.Lease{ID: id, Duration: duration}, s.lostAnswer("Grant")
}

// Renew extends a lease by its duration from now on.
func (s *Store) Renew(ctx context.Context, id uint64) error {
	if err := s.enter(ctx, "Renew"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok || !l.timer.Stop() {
		return &pollenstore.LeaseGoneError{ID: id}
	}
	l.timer.Reset(l.duration)
	return s.lostAnswer("Renew")
}

// Revoke ends a lease and deletes the keys attached to it.
func (s *Store) Revoke(ctx context.Context, id uint64) error {
	if err := s.enter(ctx, "Revoke"); err != nil {
		return err
	}
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.timer.Stop()
	}
	s.mu.Unlock()
	s.expire(id)
	return nil
}

// Watch waits until there are events under a prefix after a store revision, or until wait is over.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (pollenstore.Changes, error) {
	if err := s.enter(ctx, "Watch"); err != nil {
		return pollenstore.Changes{}, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		changes, changed, err := s.since(prefix, after)
		if err != nil || len(changes.Events) > 0 {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return pollenstore.Changes{}, &pollenstore.UnavailableError{Call: "Watch", Err: ctx.Err()}
		case <-deadline.C:
			return changes, nil
		case <-changed:
		}
	}
}

// maximumEvents bounds the history that watches can start from.
const maximumEvents = 20000

// lease is a granted lease with the keys attached to it.
type lease struct {
	duration time.Duration
	timer    *time.Timer
	keys     []string
}

func (s *Store) enter(ctx context.Context, call string) error {
	s.mu.Lock()
	s.calls[call]++
	delay := s.faults.Delay
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return &pollenstore.UnavailableError{Call: call, Err: ctx.Err()}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return &pollenstore.UnavailableError{Call: call, Err: ErrDown}
	}
	return nil
}

func (s *Store) lostAnswer(call string) error {
	if s.faults.LoseAnswers {
		return &pollenstore.UnavailableError{Call: call, Err: ErrLost}
	}
	return nil
}

func (s *Store) listLocked(prefix string) pollenstore.Listing {
	listing := pollenstore.Listing{Revision: s.revision}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	sort.Slice(listing.Entries, func(i, j int) bool { return listing.Entries[i].Key < listing.Entries[j].Key })
	return listing
}

func (s *Store) since(prefix string, after uint64) (pollenstore.Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return pollenstore.Changes{}, nil, &pollenstore.UnavailableError{Call: "Watch", Err: ErrDown}
	}
	if after < s.oldest {
		return pollenstore.Changes{}, nil, &pollenstore.CompactedError{Oldest: s.oldest}
	}
	changes := pollenstore.Changes{Revision: s.revision}
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Entry.Version > after })
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.Entry.Key, prefix) {
			changes.Events = append(changes.Events, event)
		}
	}
	return changes, s.changed, nil
}

func (s *Store) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return
	}
	delete(s.leases, id)
	for _, key := range l.keys {
		if s.entries[key].Lease == id {
			s.deleteLocked(key)
		}
	}
}

func (s *Store) putLocked(key string, value []byte, lease uint64) error {
	if lease != 0 {
		l, ok := s.leases[lease]
		if !ok {
			return &pollenstore.LeaseGoneError{ID: lease}
		}
		l.keys = append(l.keys, key)
	}
	s.revision++
	entry := pollenstore.Entry{Key: key, Value: append([]byte(nil), value...), Version: s.revision, Lease: lease}
	s.entries[key] = entry
	s.publishLocked(pollenstore.Event{Entry: entry})
	return nil
}

func (s *Store) deleteLocked(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	delete(s.entries, key)
	s.revision++
	s.publishLocked(pollenstore.Event{Entry: pollenstore.Entry{Key: key, Version: s.revision}, Deleted: true})
}

func (s *Store) publishLocked(event pollenstore.Event) {
	if s.observe != nil {
		s.observe(event)
	}
	s.events = append(s.events, event)
	if len(s.events) > maximumEvents {
		drop := len(s.events) / 2
		s.oldest = s.events[drop-1].Entry.Version
		s.events = append([]pollenstore.Event(nil), s.events[drop:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
