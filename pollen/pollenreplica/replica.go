package pollenreplica

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"pollenline.example/pollen/pollenstore"
)

// Replica holds a copy of all keys under one prefix, and the recent changes.
type Replica struct {
	mu       sync.Mutex
	revision uint64
	// entries holds the keys' entries at the revision.
	entries map[string]pollenstore.Entry
	// events holds the changes after revision oldest, in order.
	events []pollenstore.Event
	// oldest is the earliest revision that a watch can start from.
	oldest uint64
	// changed is closed and replaced when the revision increases.
	changed chan struct{}
}

// New returns an empty replica at revision zero.
func New() *Replica {
	return &Replica{entries: make(map[string]pollenstore.Entry), changed: make(chan struct{})}
}

// Reset replaces the entries by those of a listing if it is newer, and reports whether it was.
func (r *Replica) Reset(listing pollenstore.Listing) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if listing.Revision <= r.revision {
		return false
	}
	r.entries = make(map[string]pollenstore.Entry, len(listing.Entries))
	for _, entry := range listing.Entries {
		r.entries[entry.Key] = entry
	}
	r.events = nil
	r.oldest = listing.Revision
	r.setRevisionLocked(listing.Revision)
	return true
}

// Apply applies the changes that are newer than the replica's revision and returns their events.
func (r *Replica) Apply(changes pollenstore.Changes) []pollenstore.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var applied []pollenstore.Event
	for _, event := range changes.Events {
		if event.Entry.Version <= r.revision {
			continue
		}
		if event.Deleted {
			delete(r.entries, event.Entry.Key)
		} else {
			r.entries[event.Entry.Key] = event.Entry
		}
		applied = append(applied, event)
	}
	r.events = append(r.events, applied...)
	if len(r.events) > maxEvents {
		dropped := len(r.events) / 2
		r.oldest = r.events[dropped-1].Entry.Version
		r.events = append([]pollenstore.Event(nil), r.events[dropped:]...)
	}
	if changes.Revision > r.revision {
		r.setRevisionLocked(changes.Revision)
	}
	return applied
}

// Get returns the entry of a key; its version is zero if the key does not exist.
func (r *Replica) Get(key string) pollenstore.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[key]
}

// Revision returns the store revision of the replica.
func (r *Replica) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// List returns the entries whose keys have a prefix, ordered by key.
func (r *Replica) List(prefix string) pollenstore.Listing {
	r.mu.Lock()
	defer r.mu.Unlock()
	listing := pollenstore.Listing{Revision: r.revision}
	for key, entry := range r.entries {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	sort.Slice(listing.Entries, func(i, j int) bool { return listing.Entries[i].Key < listing.Entries[j].Key })
	return listing
}

// Watch returns the changes after a revision; if there are none, it waits for one at most the given time.
//
// It returns a *pollenstore.CompactedError if the replica no longer holds the changes, or ctx.Err() if ctx is done.
func (r *Replica) Watch(ctx context.Context, after uint64, wait time.Duration) (pollenstore.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed, err := r.changesSince(after)
		if err != nil || changes.Revision > after {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return changes, ctx.Err()
		case <-timer.C:
			return changes, nil
		case <-changed:
		}
	}
}

// maxEvents bounds the number of stored changes; the older half is dropped when it is exceeded.
const maxEvents = 4096

// changesSince returns the changes after a revision and a channel that is closed on the next change.
func (r *Replica) changesSince(after uint64) (pollenstore.Changes, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after < r.oldest {
		return pollenstore.Changes{}, nil, &pollenstore.CompactedError{Oldest: r.oldest}
	}
	first := sort.Search(len(r.events), func(i int) bool { return r.events[i].Entry.Version > after })
	events := append([]pollenstore.Event(nil), r.events[first:]...)
	return pollenstore.Changes{Events: events, Revision: r.revision}, r.changed, nil
}

// setRevisionLocked sets the revision and wakes all watches.
func (r *Replica) setRevisionLocked(revision uint64) {
	r.revision = revision
	close(r.changed)
	r.changed = make(chan struct{})
}
