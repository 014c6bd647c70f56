package pollenfollow

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenstore"
	"pollenline.example/pollen/pollenview"
)

// Reader reads the store.
type Reader interface {
	// ListStale returns all keys under a prefix, possibly as they were some seconds ago, at less cost than List.
	ListStale(ctx context.Context, prefix string) (pollenstore.Listing, error)
	// List returns all keys under a prefix.
	List(ctx context.Context, prefix string) (pollenstore.Listing, error)
	// CatchUp returns the events after a listing from another instance that the listing names, or false if that is not
	// possible.
	CatchUp(ctx context.Context, listing pollenstore.Listing) (pollenstore.Changes, bool)
	// Watch waits for events under a prefix after a position, and returns none when wait has passed. It returns an error for
	// which pollenstore.HistoryGone holds if the events can't be had any more.
	Watch(ctx context.Context, prefix string, after pollenstore.Position, wait time.Duration) (pollenstore.Changes, error)
}

// Seeds reads the keys as other instances know them.
type Seeds interface {
	// List returns all keys, as they were when another instance last read them.
	List(ctx context.Context) (pollenstore.Listing, error)
}

// FollowerConfig holds the parameters of a Follower.
type FollowerConfig struct {
	Reader Reader
	// Seeds is asked at startup if the store does not answer.
	Seeds Seeds
	// Post sends a message to the view's actor.
	Post func(message any)
	// StartupDelay is how long the first listing may wait for another instance that follows the store already.
	StartupDelay time.Duration
	// WatchWait is how long the store may hold a watch without an event.
	WatchWait time.Duration
	// BatchDelay is the pause after a watch that returned events, so that one call returns several later events.
	BatchDelay time.Duration
}

// Follower reads all keys of the store and then follows their changes.
type Follower struct {
	config       FollowerConfig
	restartWatch chan struct{}
	// unavailable is set from the first failed call to the next answered one.
	unavailable bool
}

// NewFollower returns a Follower that reads nothing until Run is called.
func NewFollower(config FollowerConfig) *Follower {
	return &Follower{config: config, restartWatch: make(chan struct{}, 1)}
}

const (
	// minRetryDelay and maxRetryDelay bound the delay between two attempts while the store does not answer.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// maxStartupRetryDelay is the upper bound before the first listing: callers are refused until then, and the first
	// call is a cheap one.
	maxStartupRetryDelay = 250 * time.Millisecond
)

// Run follows the store until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	list, maxDelay := f.listInitially, maxStartupRetryDelay
	for ctx.Err() == nil {
		listing, err := retryUntilAnswered(ctx, maxDelay, f.reportFailure, func() (pollenview.StoreListed, error) { return list(ctx) })
		if err != nil {
			return
		}
		klog.InfoS("Keys listed", "revision", listing.Listing.Revision, "era", listing.Listing.Era)
		f.reportListing(listing)
		f.followChanges(ctx, listing.Listing.Position())
		// A further listing is needed only if the store no longer has the history; a stale one could be too old.
		list = f.listAgain
		maxDelay = maxRetryDelay
	}
}

// reportListing posts a listing, and that the store has recovered if the listing is its own and the previous call failed.
func (f *Follower) reportListing(listing pollenview.StoreListed) {
	if listing.StoreErr != nil {
		f.unavailable = true
	} else {
		f.reportAnswer()
	}
	f.config.Post(listing)
}

// RestartWatch cancels the watch in progress and repeats it, as its connection may be dead.
func (f *Follower) RestartWatch() {
	select {
	case f.restartWatch <- struct{}{}:
	default:
	}
}

// followChanges posts the events after a position until the store no longer has the next ones or ctx is done.
func (f *Follower) followChanges(ctx context.Context, after pollenstore.Position) {
	for ctx.Err() == nil {
		changes, err := retryUntilAnswered(ctx, maxRetryDelay, f.reportFailure, func() (pollenstore.Changes, error) { return f.watchOnce(ctx, after) })
		if pollenstore.HistoryGone(err) {
			klog.InfoS("Store history is gone, reading all keys", "after", after.Revision, "era", after.Era, "cause", err.Error())
			return
		}
		if err != nil {
			return
		}
		f.reportAnswer()
		after = after.Advance(changes.Position())
		if len(changes.Events) > 0 {
			f.config.Post(pollenview.StoreChanged{Changes: changes})
			sleep(ctx, f.config.BatchDelay)
		}
	}
}

// watchOnce makes one watch call. RestartWatch ends it as if it had been answered without events.
func (f *Follower) watchOnce(ctx context.Context, after pollenstore.Position) (pollenstore.Changes, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	restarted := make(chan bool, 1)
	go func() {
		select {
		case <-f.restartWatch:
			restarted <- true
			cancel()
		case <-ctx.Done():
			restarted <- false
		}
	}()
	changes, err := f.config.Reader.Watch(ctx, "", after, f.config.WatchWait)
	cancel()
	if <-restarted && err != nil {
		return pollenstore.Changes{Revision: after.Revision, Era: after.Era}, nil
	}
	return changes, err
}

// reportFailure posts that a call of the store has failed.
func (f *Follower) reportFailure(err error) {
	f.unavailable = true
	f.config.Post(pollenview.StoreUnavailable{Err: err})
}

// reportAnswer posts that the store has recovered if the previous call failed.
func (f *Follower) reportAnswer() {
	if f.unavailable {
		f.unavailable = false
		f.config.Post(pollenview.StoreRecovered{})
	}
}

// retryUntilAnswered repeats a call until it is answered, the history is gone or ctx is done. The delays grow up to
// maxDelay and are jittered, so that instances don't call at the same time.
func retryUntilAnswered[T any](ctx context.Context, maxDelay time.Duration, reportFailure func(error), call func() (T, error)) (T, error) {
	for delay := minRetryDelay; ; delay = min(2*delay, maxDelay) {
		answer, err := call()
		if err == nil || pollenstore.HistoryGone(err) {
			return answer, err
		}
		if ctx.Err() != nil {
			return answer, ctx.Err()
		}
		reportFailure(err)
		sleep(ctx, delay/2+rand.N(delay/2))
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
