package pollenreplica

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"pollenline.example/pollen/pollenstore"
)

// Replica is a copy of all keys under one prefix.
type Replica struct {
	mu       sync.Mutex
	revision uint64
	entries  map[string]pollenstore.Entry
	events   []pollenstore.Event
	// oldest is the revision that watches must have reached to be served from events.
	oldest  uint64
	changed chan struct{}
}

// New returns an empty replica at revision zero.
func New() *Replica {
	return &Replica{entries: make(map[string]pollenstore.Entry), changed: make(chan struct{})}
}

// Reset replaces the copy by a listing and reports whether it was newer.
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
	r.advanceLocked(listing.Revision)
	return true
}

// Apply takes in events that follow the replica's revision and returns those that were new.
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
	if len(r.events) > maximumEvents {
		drop := len(r.events) / 2
		r.oldest = r.events[drop-1].Entry.Version
		r.events = append([]pollenstore.Event(nil), r.events[drop:]...)
	}
	if changes.Revision > r.revision {
		r.advanceLocked(changes.Revision)
	}
	return applied
}

// Get returns one key; its version is zero if it does not exist.
func (r *Replica) Get(key string) pollenstore.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[key]
}

// Revision returns the store revision of the copy.
func (r *Replica) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// List returns the keys under a prefix, in order.
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

// Watch waits until the copy has moved beyond a revision, or until wait is over.
func (r *Replica) Watch(ctx context.Context, after uint64, wait time.Duration) (pollenstore.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed, err := r.since(after)
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

// maximumEvents bounds the history that watches can start from.
const maximumEvents = 4096

func (r *Replica) since(after uint64) (pollenstore.Changes, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after < r.oldest {
		return pollenstore.Changes{}, nil, &pollenstore.CompactedError{Oldest: r.oldest}
	}
	first := sort.Search(len(r.events), func(i int) bool { return r.events[i].Entry.Version > after })
	events := append([]pollenstore.Event(nil), r.events[first:]...)
	return pollenstore.Changes{Events: events, Revision: r.revision}, r.changed, nil
}

func (r *Replica) advanceLocked(revision uint64) {
	r.revision = revision
	close(r.changed)
	r.changed = make(chan struct{})
}
