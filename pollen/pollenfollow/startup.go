package pollenfollow

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenprogress"
	"pollenline.example/pollen/pollenstore"
	"pollenline.example/pollen/pollenview"
)

// listInitially reads all keys by the cheaper stale call and applies the events since its revision.
//
// Load pattern: all instances start at once, and each would read all keys at the full price. The listing is brought up to
// date from another instance if it names one; only the first instances of a fleet ask the store itself.
//
// If the store does not answer, other instances' keys are used, and brought up to date once it does.
func (f *Follower) listInitially(ctx context.Context) (pollenview.StoreListed, error) {
	start := time.Now()
	listed, err := f.listStale(ctx)
	for err == nil && listed.StoreErr == nil {
		if changes, ok := f.config.Reader.CatchUp(ctx, listed.Listing); ok {
			klog.InfoS("Keys read with another instance's help", "revision", changes.Revision, "listed", listed.Listing.Revision, "waitedMs", time.Since(start).Milliseconds())
			return pollenview.StoreListed{Listing: applyChanges(listed.Listing, changes)}, nil
		}
		if time.Since(start) >= f.config.StartupDelay {
			break
		}
		sleep(ctx, startupPollInterval)
		listed, err = f.listStale(ctx)
	}
	if err != nil || listed.StoreErr != nil {
		return listed, err
	}
	changes, err := f.config.Reader.Watch(ctx, "", listed.Listing.Position(), minWatchWait)
	if pollenstore.HistoryGone(err) {
		return f.listAgain(ctx)
	}
	if err != nil {
		return f.listFromSeeds(ctx, err)
	}
	klog.InfoS("Keys read from the store", "revision", changes.Revision, "listed", listed.Listing.Revision, "waitedMs", time.Since(start).Milliseconds())
	return pollenview.StoreListed{Listing: applyChanges(listed.Listing, changes)}, nil
}

const (
	// startupPollInterval is how often the listing is read again until it names an instance that follows the store.
	startupPollInterval = 250 * time.Millisecond
	// startupCallInterval is how long a call may wait for the store's first answer before another one is made beside it,
	// and the seeds are asked.
	startupCallInterval = 400 * time.Millisecond
	// maxStartupCalls bounds the calls that wait at the same time.
	maxStartupCalls = 3
)

// SilentStoreError reports that the store has not answered since the start.
type SilentStoreError struct {
	Waited time.Duration
}

func (e *SilentStoreError) Error() string {
	return fmt.Sprintf("no answer from the store in %v", e.Waited)
}

// listStale returns the store's first answer to several calls, or what the seeds know if they answer earlier. It fails
// when no call is waiting.
//
// Load pattern: all instances restart while the store takes connections and answers nothing. With one call at a time, its
// recovery would be noticed only after the call in progress has timed out.
func (f *Follower) listStale(ctx context.Context) (pollenview.StoreListed, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	// While an answer arrives, further calls would only take from its bandwidth.
	var answering atomic.Bool
	storeCtx := pollenprogress.WithNotice(ctx, func() { answering.Store(true) })
	storeResults := make(chan storeResult, maxStartupCalls)
	seedResults := make(chan pollenview.StoreListed, 1)
	askingSeeds := false
	ticker := time.NewTicker(startupCallInterval)
	defer ticker.Stop()
	waiting := 1
	go f.callListStale(storeCtx, storeResults)
	for {
		select {
		case r := <-storeResults:
			waiting--
			answering.Store(false)
			if r.err == nil {
				return pollenview.StoreListed{Listing: r.listing}, nil
			}
			if waiting == 0 {
				return f.listFromSeeds(ctx, r.err)
			}
		case listed := <-seedResults:
			askingSeeds = false
			if listed.Listing.Revision > 0 {
				return listed, nil
			}
		case <-ticker.C:
			if answering.Load() {
				continue
			}
			if waiting < maxStartupCalls {
				waiting++
				go f.callListStale(storeCtx, storeResults)
			}
			if !askingSeeds {
				askingSeeds = true
				go func() {
					// On failure the listing is empty.
					listed, _ := f.listFromSeeds(ctx, &SilentStoreError{Waited: time.Since(start)})
					seedResults <- listed
				}()
			}
		}
	}
}

// storeResult is the result of one call of ListStale.
type storeResult struct {
	listing pollenstore.Listing
	err     error
}

// callListStale sends the result of one call to results.
func (f *Follower) callListStale(ctx context.Context, results chan<- storeResult) {
	listing, err := f.config.Reader.ListStale(ctx, "")
	results <- storeResult{listing, err}
}

// listAgain reads all keys, also after the first listing.
func (f *Follower) listAgain(ctx context.Context) (pollenview.StoreListed, error) {
	listing, err := f.config.Reader.List(ctx, "")
	return pollenview.StoreListed{Listing: listing}, err
}

// listFromSeeds returns what other instances know, or the store's error if they know nothing.
func (f *Follower) listFromSeeds(ctx context.Context, storeErr error) (pollenview.StoreListed, error) {
	if ctx.Err() != nil {
		return pollenview.StoreListed{}, ctx.Err()
	}
	listing, err := f.config.Seeds.List(ctx)
	if err != nil {
		klog.V(1).InfoS("No keys from other instances", "cause", err.Error())
		return pollenview.StoreListed{}, storeErr
	}
	return pollenview.StoreListed{Listing: listing, StoreErr: storeErr}, nil
}

// applyChanges returns the listing after the events of changes.
func applyChanges(listing pollenstore.Listing, changes pollenstore.Changes) pollenstore.Listing {
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
	position := listing.Position().Advance(changes.Position())
	return pollenstore.Listing{Entries: slices.Collect(maps.Values(entries)), Revision: position.Revision, Era: position.Era}
}

// minWatchWait is the wait of a watch that only reads the events that have already happened.
const minWatchWait = time.Millisecond
