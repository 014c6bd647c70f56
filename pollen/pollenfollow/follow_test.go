package pollenfollow

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenprogress"
	"pollenline.example/pollen/pollenstore"
	"pollenline.example/pollen/pollenview"
)

// scriptedStore answers each call with the next step, and holds calls after the last step until they are cancelled.
type scriptedStore struct {
	mu    sync.Mutex
	steps []step
	calls []string
	// watcherFrom is the revision from which a listing names an instance that follows the store; zero if none does.
	watcherFrom uint64
}

// step is the answer to one call.
type step struct {
	listing *pollenstore.Listing
	changes *pollenstore.Changes
	err     error
}

var errStoreDown = errors.New("store is down")

// next records a call and returns the step that answers it.
func (s *scriptedStore) next(ctx context.Context, call string) (step, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.steps) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return step{}, ctx.Err()
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	s.mu.Unlock()
	return next, next.err
}

func (s *scriptedStore) ListStale(ctx context.Context, _ string) (pollenstore.Listing, error) {
	next, err := s.next(ctx, "stale list")
	if next.listing == nil {
		return pollenstore.Listing{}, err
	}
	return *next.listing, err
}

func (s *scriptedStore) CatchUp(_ context.Context, listing pollenstore.Listing) (pollenstore.Changes, bool) {
	if s.watcherFrom == 0 || listing.Revision < s.watcherFrom {
		return pollenstore.Changes{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, fmt.Sprintf("catch up %d", listing.Revision))
	return pollenstore.Changes{Revision: listing.Revision + 1}, true
}

func (s *scriptedStore) List(ctx context.Context, _ string) (pollenstore.Listing, error) {
	next, err := s.next(ctx, "list")
	if next.listing == nil {
		return pollenstore.Listing{}, err
	}
	return *next.listing, err
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after pollenstore.Position, _ time.Duration) (pollenstore.Changes, error) {
	next, err := s.next(ctx, fmt.Sprintf("watch %d", after.Revision))
	if next.changes == nil {
		return pollenstore.Changes{}, err
	}
	return *next.changes, err
}

// listing returns a step that answers with an empty listing.
func listing(revision uint64) step { return step{listing: &pollenstore.Listing{Revision: revision}} }

// changes returns a step that answers with the given number of events.
func changes(revision uint64, events int) step {
	return step{changes: &pollenstore.Changes{Revision: revision, Events: make([]pollenstore.Event, events)}}
}

// seedRevision is what other instances know: an empty listing of the revision, or nothing if it is zero.
type seedRevision uint64

func (r seedRevision) List(context.Context) (pollenstore.Listing, error) {
	if r == 0 {
		return pollenstore.Listing{}, errNoSeed
	}
	return pollenstore.Listing{Revision: uint64(r)}, nil
}

var errNoSeed = errors.New("no instance knows the keys")

// failedCall returns a step that fails with errStoreDown.
func failedCall() step { return step{err: errStoreDown} }

// Guards against a follower that reads all keys again without need, skips events or returns to an earlier revision.
func TestFollowerCallsAndMessages(t *testing.T) {
	tests := []struct {
		name   string
		seeds  seedRevision
		steps  []step
		calls  []string
		posted []string
	}{
		{
			"list, then watch", 0, []step{listing(5), changes(5, 0), changes(6, 1), changes(6, 0)},
			[]string{"stale list", "watch 5", "watch 5", "watch 6", "watch 6"}, []string{"listed", "changed"},
		},
		{
			"stale list is brought up to date", 0, []step{listing(5), changes(8, 2), changes(9, 1)},
			[]string{"stale list", "watch 5", "watch 8", "watch 9"}, []string{"listed", "changed"},
		},
		{
			"stale list is too old", 0, []step{listing(5), {err: &pollenstore.CompactedError{Oldest: 9}}, listing(12)},
			[]string{"stale list", "watch 5", "list", "watch 12"}, []string{"listed"},
		},
		{
			"listing is repeated until it is answered", 0, []step{failedCall(), listing(5), failedCall(), listing(6), changes(6, 0)},
			[]string{"stale list", "stale list", "watch 5", "stale list", "watch 6", "watch 6"}, []string{"lost", "lost", "regained", "listed"},
		},
		{
			"failed watch is repeated from the same revision", 0, []step{listing(5), changes(5, 0), changes(7, 2), failedCall(), changes(8, 1)},
			[]string{"stale list", "watch 5", "watch 5", "watch 7", "watch 7", "watch 8"}, []string{"listed", "changed", "lost", "regained", "changed"},
		},
		{
			"history is compacted", 0, []step{listing(5), changes(5, 0), {err: &pollenstore.CompactedError{Oldest: 9}}, listing(12)},
			[]string{"stale list", "watch 5", "watch 5", "list", "watch 12"}, []string{"listed", "listed"},
		},
		{
			"revision does not go back", 0, []step{listing(5), changes(5, 0), changes(9, 1), changes(3, 0)},
			[]string{"stale list", "watch 5", "watch 5", "watch 9", "watch 9"}, []string{"listed", "changed"},
		},
		{
			"store is down at startup, and others know the keys", 7, []step{failedCall(), failedCall(), changes(9, 1)},
			[]string{"stale list", "watch 7", "watch 7", "watch 9"}, []string{"listed while down", "lost", "regained", "changed"},
		},
		{
			"store goes down after the stale list", 7, []step{listing(5), failedCall(), changes(9, 1)},
			[]string{"stale list", "watch 5", "watch 7", "watch 9"}, []string{"listed while down", "regained", "changed"},
		},
		{
			"history since the others' keys is compacted", 7, []step{failedCall(), {err: &pollenstore.CompactedError{Oldest: 9}}, listing(12)},
			[]string{"stale list", "watch 7", "list", "watch 12"}, []string{"listed while down", "regained", "listed"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := &scriptedStore{steps: test.steps}
				var posted []string
				f := NewFollower(FollowerConfig{Reader: store, Seeds: test.seeds, WatchWait: time.Second, BatchDelay: 400 * time.Millisecond, Post: func(m any) {
					posted = append(posted, messageKind(m))
				}})
				ctx, cancel := context.WithCancel(t.Context())
				go f.Run(ctx)
				time.Sleep(time.Minute)
				synctest.Wait()
				cancel()
				synctest.Wait()
				c.Assert(store.calls, qt.DeepEquals, test.calls)
				c.Assert(posted, qt.DeepEquals, test.posted)
			})
		})
	}
}

// Load pattern: hundreds of instances start at once. One that finds another which follows the store must not call the
// store at the full price, and one that finds none must not wait longer than its delay.
func TestStartupCatchesUpFromWatcher(t *testing.T) {
	tests := []struct {
		name        string
		delay       time.Duration
		watcherFrom uint64
		steps       []step
		calls       []string
	}{
		{"first listing names a watcher", 0, 5, []step{listing(5)}, []string{"stale list", "catch up 5", "watch 6"}},
		{"a later listing names one", time.Second, 7, []step{listing(5), listing(7)}, []string{"stale list", "stale list", "catch up 7", "watch 8"}},
		{
			"none within the delay", 400 * time.Millisecond, 0, []step{listing(5), listing(6), listing(7), changes(8, 0)},
			[]string{"stale list", "stale list", "stale list", "watch 7", "watch 8"},
		},
		{"none, no delay", 0, 0, []step{listing(5), changes(8, 0)}, []string{"stale list", "watch 5", "watch 8"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &scriptedStore{steps: test.steps, watcherFrom: test.watcherFrom}
				f := NewFollower(FollowerConfig{Reader: store, Seeds: seedRevision(0), StartupDelay: test.delay, WatchWait: time.Hour, Post: func(any) {}})
				ctx, cancel := context.WithCancel(t.Context())
				go f.Run(ctx)
				time.Sleep(time.Minute)
				cancel()
				synctest.Wait()
				qt.Assert(t, store.calls, qt.DeepEquals, test.calls)
			})
		})
	}
}

// Load pattern: instances start while the store is down. They can serve nothing until it recovers, so they must detect
// the recovery sooner than instances that already have a configuration.
func TestStartupDetectsStoreRecovery(t *testing.T) {
	for outage := 500 * time.Millisecond; outage < 8*time.Second; outage += 700 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			listed := make(chan time.Duration, 1)
			reader := &recoveringStore{recoversAt: start.Add(outage)}
			f := NewFollower(FollowerConfig{Reader: reader, Seeds: seedRevision(0), WatchWait: time.Second, Post: func(m any) {
				if messageKind(m) == "listed" {
					listed <- time.Since(start)
				}
			}})
			ctx, cancel := context.WithCancel(t.Context())
			go f.Run(ctx)
			delay := <-listed - outage
			cancel()
			synctest.Wait()
			qt.Check(t, delay <= 250*time.Millisecond, qt.IsTrue, qt.Commentf("%v after an outage of %v", delay, outage))
			// The first two delays are at least 50 and 100 ms; all later ones are at least 125 ms.
			maxRefused := 2 + int(outage/(125*time.Millisecond))
			qt.Check(t, reader.refused <= maxRefused, qt.IsTrue, qt.Commentf("%d calls refused in %v", reader.refused, outage))
		})
	}
}

// Load pattern: instances start while the store takes calls and does not answer them, each for a second. They must notice
// its recovery within the interval of calls, and serve meanwhile from what others know.
func TestStartupDetectsSilentStoreRecovery(t *testing.T) {
	tests := []struct {
		name string
		// outage is how long after the start the store begins to answer new calls.
		outage time.Duration
		seeds  seedRevision
		kind   string
		within time.Duration
	}{
		{"store recovers during the first call", 500 * time.Millisecond, 0, "listed", 900*time.Millisecond + minWatchWait},
		{"store recovers during a later call", 1700 * time.Millisecond, 0, "listed", 2100*time.Millisecond + minWatchWait},
		{"others know the keys", 5 * time.Second, 7, "listed while down", 400 * time.Millisecond},
		{"store answers at once", 0, 7, "listed", minWatchWait},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				start := time.Now()
				messages := make(chan string, 100)
				f := NewFollower(FollowerConfig{Reader: &silentStore{recoversAt: start.Add(test.outage)}, Seeds: test.seeds, WatchWait: time.Second, Post: func(m any) {
					messages <- messageKind(m)
				}})
				ctx, cancel := context.WithCancel(t.Context())
				go f.Run(ctx)
				kind := <-messages
				for kind == "lost" || kind == "regained" {
					kind = <-messages
				}
				c.Check(kind, qt.Equals, test.kind)
				c.Check(time.Since(start) <= test.within, qt.IsTrue, qt.Commentf("after %v", time.Since(start)))
				cancel()
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// arrivingStore sends a listing of so many seconds, and counts the calls.
type arrivingStore struct {
	silentStore
	seconds int
	calls   atomic.Int32
}

func (a *arrivingStore) ListStale(ctx context.Context, _ string) (pollenstore.Listing, error) {
	a.calls.Add(1)
	ctx, transfer := pollenprogress.Start(ctx, pollenprogress.Limits{First: time.Second, Silence: time.Second, Total: time.Minute})
	defer transfer.End()
	for range a.seconds * 10 {
		select {
		case <-time.After(100 * time.Millisecond):
			transfer.Add(1)
		case <-ctx.Done():
			return pollenstore.Listing{}, context.Cause(ctx)
		}
	}
	return pollenstore.Listing{Revision: 5}, nil
}

// Load pattern: all instances start at once and share the store's link. Further calls beside an answer that is arriving would delay it.
func TestStartupMakesNoCallsBesideArrivingListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &arrivingStore{seconds: 3}
		messages := make(chan string, 100)
		f := NewFollower(FollowerConfig{Reader: store, Seeds: seedRevision(7), WatchWait: time.Second, Post: func(m any) { messages <- messageKind(m) }})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		qt.Check(t, <-messages, qt.Equals, "listed")
		qt.Check(t, store.calls.Load(), qt.Equals, int32(1))
		cancel()
		time.Sleep(2 * time.Second)
	})
}

// noWatcher is the part of a Reader whose listings name no instance that follows the store.
type noWatcher struct{}

func (noWatcher) CatchUp(context.Context, pollenstore.Listing) (pollenstore.Changes, bool) {
	return pollenstore.Changes{}, false
}

// silentStore answers no call that is made before recoversAt; such a call times out after a second.
type silentStore struct {
	noWatcher
	recoversAt time.Time
}

func (s *silentStore) answer(ctx context.Context) error {
	if !time.Now().Before(s.recoversAt) {
		return nil
	}
	sleep(ctx, time.Second)
	return errStoreDown
}

func (s *silentStore) ListStale(ctx context.Context, _ string) (pollenstore.Listing, error) {
	return pollenstore.Listing{Revision: 1}, s.answer(ctx)
}

func (s *silentStore) List(ctx context.Context, _ string) (pollenstore.Listing, error) {
	return pollenstore.Listing{Revision: 1}, s.answer(ctx)
}

func (s *silentStore) Watch(ctx context.Context, _ string, after pollenstore.Position, wait time.Duration) (pollenstore.Changes, error) {
	err := s.answer(ctx)
	sleep(ctx, wait)
	return pollenstore.Changes{Revision: after.Revision}, err
}

// recoveringStore refuses all calls until recoversAt.
type recoveringStore struct {
	noWatcher
	recoversAt time.Time
	// refused counts the calls before the recovery.
	refused int
}

func (s *recoveringStore) checkAvailable() error {
	if time.Now().Before(s.recoversAt) {
		s.refused++
		return errStoreDown
	}
	return nil
}

func (s *recoveringStore) ListStale(context.Context, string) (pollenstore.Listing, error) {
	return pollenstore.Listing{Revision: 1}, s.checkAvailable()
}

func (s *recoveringStore) List(context.Context, string) (pollenstore.Listing, error) {
	return pollenstore.Listing{Revision: 1}, s.checkAvailable()
}

func (s *recoveringStore) Watch(ctx context.Context, _ string, _ pollenstore.Position, wait time.Duration) (pollenstore.Changes, error) {
	sleep(ctx, wait)
	return pollenstore.Changes{Revision: 1}, s.checkAvailable()
}

// messageKind returns a short name for a message to the view.
func messageKind(message any) string {
	switch m := message.(type) {
	case pollenview.StoreListed:
		if m.StoreErr != nil {
			return "listed while down"
		}
		return "listed"
	case pollenview.StoreChanged:
		return "changed"
	case pollenview.StoreUnavailable:
		return "lost"
	case pollenview.StoreRecovered:
		return "regained"
	}
	return "other"
}

// Guards against stale keys in the first listing: the events since its revision must replace, delete and add keys.
func TestFirstListingIncludesEventsSince(t *testing.T) {
	c := qt.New(t)
	entry := func(key string, version uint64) pollenstore.Entry {
		return pollenstore.Entry{Key: key, Version: version}
	}
	got := applyChanges(
		pollenstore.Listing{Revision: 5, Entries: []pollenstore.Entry{entry("a", 1), entry("b", 2)}},
		pollenstore.Changes{Revision: 8, Events: []pollenstore.Event{
			{Entry: entry("a", 6), Deleted: true}, {Entry: entry("b", 7)}, {Entry: entry("c", 8)},
		}},
	)
	c.Assert(got.Revision, qt.Equals, uint64(8))
	slices.SortFunc(got.Entries, func(a, b pollenstore.Entry) int { return strings.Compare(a.Key, b.Key) })
	c.Assert(got.Entries, qt.DeepEquals, []pollenstore.Entry{entry("b", 7), entry("c", 8)})
}

// Guards against waiting out a watch whose connection is dead.
func TestRestartWatchRepeatsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := &scriptedStore{steps: []step{listing(5), changes(5, 0)}}
		f := NewFollower(FollowerConfig{Reader: store, Seeds: seedRevision(0), WatchWait: time.Hour, Post: func(any) {}})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		synctest.Wait()
		f.RestartWatch()
		synctest.Wait()
		c.Assert(store.calls, qt.DeepEquals, []string{"stale list", "watch 5", "watch 5", "watch 5"})
		cancel()
		synctest.Wait()
	})
}

// leaseStore simulates a store with keys under leases. Only the lease that was granted last can be renewed; the lease of
// a Put is not checked.
type leaseStore struct {
	mu   sync.Mutex
	down bool
	// revoked is set to make renewals fail as if the lease were gone.
	revoked bool
	// lease is the ID of the lease that was granted last.
	lease uint64
	// keys holds the ID of each key's lease.
	keys map[string]uint64
	// renewals counts the calls of Renew while the store is not down.
	renewals int
}

func (s *leaseStore) checkAvailable() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errStoreDown
	}
	return nil
}

func (s *leaseStore) Grant(_ context.Context, duration time.Duration) (pollenstore.Lease, error) {
	if err := s.checkAvailable(); err != nil {
		return pollenstore.Lease{}, err
	}
	s.lease++
	s.revoked = false
	return pollenstore.Lease{ID: s.lease, Duration: duration}, nil
}

func (s *leaseStore) Renew(_ context.Context, lease pollenstore.Lease) error {
	if err := s.checkAvailable(); err != nil {
		return err
	}
	s.renewals++
	if s.revoked || lease.ID != s.lease {
		return &pollenstore.LeaseGoneError{ID: lease.ID}
	}
	return nil
}

func (s *leaseStore) Revoke(_ context.Context, revoked pollenstore.Lease) error {
	if err := s.checkAvailable(); err != nil {
		return err
	}
	for key, lease := range s.keys {
		if lease == revoked.ID {
			delete(s.keys, key)
		}
	}
	return nil
}

func (s *leaseStore) Put(_ context.Context, key string, _ []byte, lease pollenstore.Lease) error {
	if err := s.checkAvailable(); err != nil {
		return err
	}
	s.keys[key] = lease.ID
	return nil
}

// Guards against an instance that runs without its key in the store, and against a key that outlives a clean shutdown.
func TestRegistrarRestoresKey(t *testing.T) {
	tests := []struct {
		name          string
		disturb       func(s *leaseStore, r *Registrar)
		lease         uint64
		interruptions int
	}{
		{"no interruption", func(*leaseStore, *Registrar) {}, 1, 0},
		{"lease is gone", func(s *leaseStore, _ *Registrar) { s.revoked = true; clear(s.keys) }, 2, 1},
		{"store is down for a while", func(s *leaseStore, _ *Registrar) {
			s.down = true
			time.Sleep(5 * time.Second)
			s.down = false
		}, 1, 1},
		{"key is gone, lease remains", func(s *leaseStore, r *Registrar) { clear(s.keys); r.Rewrite() }, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := &leaseStore{keys: make(map[string]uint64)}
				interruptions := 0
				r := NewRegistrar(RegistrarConfig{Writer: store, Key: "k", Value: func() ([]byte, error) { return nil, nil }, LeaseDuration: 3 * time.Second, OnInterruption: func() { interruptions++ }})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); r.Run(ctx) }()
				time.Sleep(2500 * time.Millisecond)
				test.disturb(store, r)
				time.Sleep(4 * time.Second)
				c.Assert(store.keys, qt.DeepEquals, map[string]uint64{"k": test.lease})
				c.Assert(interruptions, qt.Equals, test.interruptions)
				c.Assert(store.renewals >= 5, qt.IsTrue)
				cancel()
				<-done
				c.Assert(store.keys, qt.HasLen, 0)
			})
		})
	}
}
