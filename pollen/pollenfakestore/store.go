package pollenfakestore

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"pollenline.example/pollen/pollenstore"
)

// Faults are the faults that can be injected into a store.
type Faults struct {
	// Down fails every call without effect.
	Down bool
	// LoseAnswers lets writes, grants and renewals take effect and then fails the call; Revoke returns its answer.
	LoseAnswers bool
	// StaleReads serves Get and List from the contents at the time when the fault was set.
	StaleReads bool
	// Delay is added to every call.
	Delay time.Duration
}

// Store is an in-memory key-value store with leases, watches and compare-and-swap.
type Store struct {
	mu       sync.Mutex
	revision uint64
	// era is how often the store was restored from a copy.
	era               uint64
	entries           map[string]pollenstore.Entry
	leases            map[uint64]*lease
	events            []pollenstore.Event
	compactedRevision uint64
	nextEvent         chan struct{}
	faults            Faults
	staleListing      *pollenstore.Listing
	calls             map[string]int
	observer          func(pollenstore.Event)
}

// SetObserver sets a function that is called with every write and deletion that takes effect, also at the end of a lease.
//
// It is called with the store's lock held, so it must not call the store.
func (s *Store) SetObserver(observer func(pollenstore.Event)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observer = observer
}

// New returns an empty store.
func New() *Store {
	return &Store{
		entries:   make(map[string]pollenstore.Entry),
		leases:    make(map[uint64]*lease),
		nextEvent: make(chan struct{}),
		calls:     make(map[string]int),
	}
}

// ErrDown is the cause of a call that failed because of Faults.Down.
var ErrDown = errors.New("store is down")

// ErrAnswerLost is the cause of a call that took effect although it failed because of Faults.LoseAnswers.
var ErrAnswerLost = errors.New("answer was lost")

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.StaleReads && !s.faults.StaleReads {
		listing := s.listLocked("")
		s.staleListing = &listing
	}
	if !faults.StaleReads {
		s.staleListing = nil
	}
	s.faults = faults
}

// Calls returns the number of calls by their name.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for name, n := range s.calls {
		calls[name] = n
	}
	return calls
}

// Get returns the entry of a key; its version is zero if the key does not exist.
func (s *Store) Get(ctx context.Context, key string) (pollenstore.Entry, error) {
	if err := s.beginCall(ctx, "Get"); err != nil {
		return pollenstore.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staleListing != nil {
		for _, entry := range s.staleListing.Entries {
			if entry.Key == key {
				return entry, nil
			}
		}
		return pollenstore.Entry{}, nil
	}
	return s.entries[key], nil
}

// List returns the entries under a prefix, in the order of their keys.
func (s *Store) List(ctx context.Context, prefix string) (pollenstore.Listing, error) {
	if err := s.beginCall(ctx, "List"); err != nil {
		return pollenstore.Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staleListing == nil {
		return s.listLocked(prefix), nil
	}
	listing := pollenstore.Listing{Revision: s.staleListing.Revision, Era: s.staleListing.Era}
	for _, entry := range s.staleListing.Entries {
		if strings.HasPrefix(entry.Key, prefix) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	return listing, nil
}

// CompareAndSwap writes or deletes a key if its version is the expected one, and returns the new version.
func (s *Store) CompareAndSwap(ctx context.Context, swap pollenstore.Swap) (uint64, error) {
	if err := s.beginCall(ctx, "CompareAndSwap"); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.entries[swap.Key].Version; current != swap.Expected {
		return 0, &pollenstore.ConflictError{Key: swap.Key, Current: current}
	}
	if swap.Delete {
		s.deleteLocked(swap.Key)
		return s.revision, s.lostAnswerError("CompareAndSwap")
	}
	if err := s.putLocked(swap.Key, swap.Value, swap.Lease); err != nil {
		return 0, err
	}
	return s.revision, s.lostAnswerError("CompareAndSwap")
}

// Put writes a key regardless of its version and returns the new version.
func (s *Store) Put(ctx context.Context, key string, value []byte, lease uint64) (uint64, error) {
	if err := s.beginCall(ctx, "Put"); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.putLocked(key, value, lease); err != nil {
		return 0, err
	}
	return s.revision, s.lostAnswerError("Put")
}

// Commit writes and removes keys in one step if all conditions hold, and returns the new revision. If they do not hold, it returns a
// *pollenstore.ConditionError.
func (s *Store) Commit(ctx context.Context, transaction pollenstore.Transaction) (uint64, error) {
	if err := s.beginCall(ctx, "Commit"); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failure, failed := &pollenstore.ConditionError{}, false
	for _, c := range transaction.Conditions {
		entry, ok := s.entries[c.Key]
		if ok {
			failure.Current = append(failure.Current, entry)
		}
		failed = failed || entry.Version != c.Version
	}
	if failed {
		return 0, failure
	}
	for _, put := range transaction.Puts {
		if err := s.putLocked(put.Key, put.Value, put.Lease); err != nil {
			return 0, err
		}
	}
	for _, key := range transaction.Remove {
		s.deleteLocked(key)
	}
	return s.revision, s.lostAnswerError("Commit")
}

// Delete deletes a key if it exists.
func (s *Store) Delete(ctx context.Context, key string) error {
	if err := s.beginCall(ctx, "Delete"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLocked(key)
	return s.lostAnswerError("Delete")
}

// Compact discards all events, so that watchers of older revisions have to list again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactLocked()
}

// compactLocked discards all events and wakes the watches.
func (s *Store) compactLocked() {
	s.events, s.compactedRevision = nil, s.revision
	close(s.nextEvent)
	s.nextEvent = make(chan struct{})
}

// Copy is the content of a store at one time.
type Copy struct {
	revision uint64
	entries  map[string]pollenstore.Entry
	leases   map[uint64]lease
}

// Copy returns a copy of the store's content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := Copy{revision: s.revision, entries: maps.Clone(s.entries), leases: make(map[uint64]lease)}
	for id, l := range s.leases {
		copied.leases[id] = lease{duration: l.duration, keys: slices.Clone(l.keys)}
	}
	return copied
}

// Lost holds the entries of keys that were written since a copy; those of deleted keys have no value and version zero.
type Lost map[string]pollenstore.Entry

// Restore replaces the store's content by a copy: what was written since is lost, and its revisions are given out again. The
// copy's leases begin anew. It returns what was lost.
func (s *Store) Restore(copied Copy) Lost {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := make(Lost)
	for key, entry := range s.entries {
		if entry.Version > copied.revision {
			lost[key] = entry
		}
	}
	for key := range copied.entries {
		if _, ok := s.entries[key]; !ok {
			lost[key] = pollenstore.Entry{Key: key}
		}
	}
	s.era++
	s.revision, s.entries = copied.revision, maps.Clone(copied.entries)
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.leases = make(map[uint64]*lease)
	for id, l := range copied.leases {
		s.leases[id] = &lease{duration: l.duration, keys: slices.Clone(l.keys), timer: time.AfterFunc(l.duration, func() { s.endLease(id) })}
	}
	s.compactLocked()
	return lost
}

// Rewrite writes again what was lost under a prefix, except for keys that were written since the store was restored from the
// copy, and keys whose lease was lost.
func (s *Store) Rewrite(lost Lost, copied Copy, prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, entry := range lost {
		switch {
		case !strings.HasPrefix(key, prefix) || s.entries[key].Version > copied.revision:
		case entry.Version == 0:
			s.deleteLocked(key)
		default:
			// A key without its lease is written again by its owner, who registers again.
			_ = s.putLocked(key, entry.Value, entry.Lease)
		}
	}
}

// Era returns how often the store was restored from a copy.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Grant returns a new lease, which expires after the duration unless it is renewed.
func (s *Store) Grant(ctx context.Context, duration time.Duration) (pollenstore.Lease, error) {
	if err := s.beginCall(ctx, "Grant"); err != nil {
		return pollenstore.Lease{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	l := &lease{duration: duration}
	l.timer = time.AfterFunc(duration, func() { s.endLease(id) })
	s.leases[id] = l
	return pollenstore.Lease{ID: id, Duration: duration}, s.lostAnswerError("Grant")
}

// Renew extends a lease to its duration from now.
func (s *Store) Renew(ctx context.Context, id uint64) error {
	if err := s.beginCall(ctx, "Renew"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok || !l.timer.Stop() {
		return &pollenstore.LeaseGoneError{ID: id}
	}
	l.timer.Reset(l.duration)
	return s.lostAnswerError("Renew")
}

// Revoke ends a lease and deletes the keys attached to it.
func (s *Store) Revoke(ctx context.Context, id uint64) error {
	if err := s.beginCall(ctx, "Revoke"); err != nil {
		return err
	}
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.timer.Stop()
	}
	s.mu.Unlock()
	s.endLease(id)
	return nil
}

// Watch waits for events under a prefix after a store revision, and returns no events once wait has elapsed.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (pollenstore.Changes, error) {
	if err := s.beginCall(ctx, "Watch"); err != nil {
		return pollenstore.Changes{}, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		changes, nextEvent, err := s.eventsAfter(prefix, after)
		if err != nil || len(changes.Events) > 0 {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return pollenstore.Changes{}, &pollenstore.UnavailableError{Call: "Watch", Err: ctx.Err()}
		case <-deadline.C:
			return changes, nil
		case <-nextEvent:
		}
	}
}

// maxEvents bounds the number of events that are kept for watches.
const maxEvents = 20000

// lease holds the duration, the expiry timer and the keys of a granted lease.
type lease struct {
	duration time.Duration
	timer    *time.Timer
	keys     []string
}

// beginCall counts a call and waits for the delay of the faults; it fails if the store is down.
func (s *Store) beginCall(ctx context.Context, call string) error {
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

// lostAnswerError returns the error of a call that took effect if its answer is to be lost, and nil otherwise.
func (s *Store) lostAnswerError(call string) error {
	if s.faults.LoseAnswers {
		return &pollenstore.UnavailableError{Call: call, Err: ErrAnswerLost}
	}
	return nil
}

func (s *Store) listLocked(prefix string) pollenstore.Listing {
	listing := pollenstore.Listing{Revision: s.revision, Era: s.era}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	sort.Slice(listing.Entries, func(i, j int) bool { return listing.Entries[i].Key < listing.Entries[j].Key })
	return listing
}

// eventsAfter returns the events under a prefix after a revision, and a channel that is closed at the next event.
func (s *Store) eventsAfter(prefix string, after uint64) (pollenstore.Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return pollenstore.Changes{}, nil, &pollenstore.UnavailableError{Call: "Watch", Err: ErrDown}
	}
	if after < s.compactedRevision || after > s.revision {
		return pollenstore.Changes{}, nil, &pollenstore.CompactedError{Oldest: s.compactedRevision}
	}
	changes := pollenstore.Changes{Revision: s.revision, Era: s.era}
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Entry.Version > after })
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.Entry.Key, prefix) {
			changes.Events = append(changes.Events, event)
		}
	}
	return changes, s.nextEvent, nil
}

// endLease removes a lease and deletes the keys that are attached to it.
func (s *Store) endLease(id uint64) {
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

// publishLocked keeps an event for watches and wakes them; beyond maxEvents it discards the older half of the events.
func (s *Store) publishLocked(event pollenstore.Event) {
	if s.observer != nil {
		s.observer(event)
	}
	s.events = append(s.events, event)
	if len(s.events) > maxEvents {
		drop := len(s.events) / 2
		s.compactedRevision = s.events[drop-1].Entry.Version
		s.events = append([]pollenstore.Event(nil), s.events[drop:]...)
	}
	close(s.nextEvent)
	s.nextEvent = make(chan struct{})
}
