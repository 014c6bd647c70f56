package pollenfollow

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenstore"
	"pollenline.example/pollen/pollenview"
)

// Reader reads the store.
type Reader interface {
	// ListStale may return keys as they were some seconds ago, at less cost than List.
	ListStale(ctx context.Context, prefix string) (pollenstore.Listing, error)
	List(ctx context.Context, prefix string) (pollenstore.Listing, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (pollenstore.Changes, error)
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Reader Reader
	// Post hands messages to the view's actor.
	Post func(message any)
	// Wait is how long a watch waits for an event.
	Wait time.Duration
	// Pause is how long a follower waits after a watch was answered, so that several events share a call.
	Pause time.Duration
}

// Follower reads all keys once and then follows their changes.
type Follower struct {
	config  FollowerConfig
	restart chan struct{}
	lost    bool
}

// NewFollower returns a Follower that has not begun.
func NewFollower(config FollowerConfig) *Follower {
	return &Follower{config: config, restart: make(chan struct{}, 1)}
}

const (
	// firstDelay and longestDelay bound the time between two tries while the store does not answer.
	firstDelay   = 100 * time.Millisecond
	longestDelay = time.Second
	// longestBlindDelay is that bound before anything is known: callers are refused meanwhile, and the first call is
	// a cheap one.
	longestBlindDelay = 250 * time.Millisecond
)

// Run follows the store until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	list, longest := f.first, longestBlindDelay
	for ctx.Err() == nil {
		listing, err := retry(ctx, longest, f.failed, func() (pollenstore.Listing, error) { return list(ctx) })
		if err != nil {
			return
		}
		f.answered()
		f.config.Post(pollenview.StoreListed{Listing: listing})
		f.watch(ctx, listing.Revision)
		list = func(ctx context.Context) (pollenstore.Listing, error) { return f.config.Reader.List(ctx, "") }
		longest = longestDelay
	}
}

// first reads all keys from a cheap copy and brings it up to date by the events since then.
//
// Load pattern: all instances start at once and would all read everything.
func (f *Follower) first(ctx context.Context) (pollenstore.Listing, error) {
	var compacted *pollenstore.CompactedError
	listing, err := f.config.Reader.ListStale(ctx, "")
	if err != nil {
		return listing, err
	}
	changes, err := f.config.Reader.Watch(ctx, "", listing.Revision, shortestWait)
	if errors.As(err, &compacted) {
		return f.config.Reader.List(ctx, "")
	}
	if err != nil {
		return listing, err
	}
	return bringUpToDate(listing, changes), nil
}

func bringUpToDate(listing pollenstore.Listing, changes pollenstore.Changes) pollenstore.Listing {
	entries := make(map[string]pollenstore.Entry, len(listing.Entries))
	for _, entry := range listing.Entries {
		entries[entry.Key] = entry
	}
	for _, event := range changes.Events {
		if event.Deleted {
			delete(entries, event.Entry.Key)
		} else {
			entries[event.Entry.Key] = event.Entry
		}
	}
	return pollenstore.Listing{
		Entries: slices.Collect(maps.Values(entries)), Revision: max(listing.Revision, changes.Revision),
	}
}

// shortestWait is the wait of a watch that only asks whether anything has changed.
const shortestWait = time.Millisecond

// Restart makes the follower ask anew instead of waiting on a connection that may be dead.
func (f *Follower) Restart() {
	select {
	case f.restart <- struct{}{}:
	default:
	}
}

// watch follows changes until the store has forgotten the ones that come next.
func (f *Follower) watch(ctx context.Context, after uint64) {
	var compacted *pollenstore.CompactedError
	for ctx.Err() == nil {
		changes, err := retry(ctx, longestDelay, f.failed, func() (pollenstore.Changes, error) { return f.watchOnce(ctx, after) })
		if errors.As(err, &compacted) {
			klog.InfoS("Store history is gone, reading all keys", "after", after)
			return
		}
		if err != nil {
			return
		}
		f.answered()
		after = max(after, changes.Revision)
		if len(changes.Events) > 0 {
			f.config.Post(pollenview.StoreChanged{Changes: changes})
			sleep(ctx, f.config.Pause)
		}
	}
}

// watchOnce makes one watch call, which a restart cuts short as if it had been answered without events.
func (f *Follower) watchOnce(ctx context.Context, after uint64) (pollenstore.Changes, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	restarted := make(chan bool, 1)
	go func() {
		select {
		case <-f.restart:
			restarted <- true
			cancel()
		case <-ctx.Done():
			restarted <- false
		}
	}()
	changes, err := f.config.Reader.Watch(ctx, "", after, f.config.Wait)
	cancel()
	if <-restarted && err != nil {
		return pollenstore.Changes{Revision: after}, nil
	}
	return changes, err
}

func (f *Follower) failed(err error) {
	f.lost = true
	f.config.Post(pollenview.StoreUnavailable{Err: err})
}

func (f *Follower) answered() {
	if f.lost {
		f.lost = false
		f.config.Post(pollenview.StoreRecovered{})
	}
}

// retry calls until there is an answer, the history is gone or ctx is done; delays grow and vary between instances.
func retry[T any](ctx context.Context, longest time.Duration, failed func(error), call func() (T, error)) (T, error) {
	var compacted *pollenstore.CompactedError
	for delay := firstDelay; ; delay = min(2*delay, longest) {
		answer, err := call()
		if err == nil || errors.As(err, &compacted) {
			return answer, err
		}
		if ctx.Err() != nil {
			return answer, ctx.Err()
		}
		failed(err)
		sleep(ctx, delay/2+rand.N(delay/2))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
