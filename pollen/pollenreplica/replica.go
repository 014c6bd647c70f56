package pollenreplica

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"pollenline.example/pollen/pollenstore"
)

// Replica holds a copy of all keys under one prefix, and the recent changes.
type Replica struct {
	mu       sync.Mutex
	position pollenstore.Position
	// entries holds the keys' entries at the position.
	entries map[string]pollenstore.Entry
	// events holds the changes after revision oldest, in order and without writes that later ones replace; they are all of the position's
	// era.
	events []pollenstore.Event
	// oldest is the earliest revision that a watch can start from.
	oldest uint64
	// changed is closed and replaced when the position changes.
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
	if !listing.Position().Newer(r.position) {
		return false
	}
	r.entries = make(map[string]pollenstore.Entry, len(listing.Entries))
	for _, entry := range listing.Entries {
		r.entries[entry.Key] = entry
	}
	r.events = nil
	r.oldest = listing.Revision
	r.setPositionLocked(r.position.Advance(listing.Position()))
	return true
}

// Apply applies the changes that are newer than the replica's position and returns their events. Changes of another era are
// ignored: without a listing of that era it is not known what they follow.
func (r *Replica) Apply(changes pollenstore.Changes) []pollenstore.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var applied []pollenstore.Event
	if !changes.Position().SameEra(r.position) {
		return applied
	}
	for _, event := range changes.Events {
		if event.Entry.Version <= r.position.Revision {
			continue
		}
		if event.Deleted {
			delete(r.entries, event.Entry.Key)
		} else {
			r.dropEventLocked(event.Entry.Key, r.entries[event.Entry.Key].Version)
			r.entries[event.Entry.Key] = event.Entry
		}
		r.events = append(r.events, event)
		applied = append(applied, event)
	}
	if len(r.events) > maxEvents {
		dropped := len(r.events) / 2
		r.oldest = r.events[dropped-1].Entry.Version
		r.events = append([]pollenstore.Event(nil), r.events[dropped:]...)
	}
	if changes.Revision > r.position.Revision {
		r.setPositionLocked(r.position.Advance(changes.Position()))
	}
	return applied
}

// dropEventLocked removes the write of a key at a version from the stored changes, if it is there: a later write of the key replaces it
// for all who need the earlier one. A follower that is behind gets each key's newest value only.
func (r *Replica) dropEventLocked(key string, version uint64) {
	first := sort.Search(len(r.events), func(i int) bool { return r.events[i].Entry.Version >= version })
	for i := first; i < len(r.events) && r.events[i].Entry.Version == version; i++ {
		if r.events[i].Entry.Key == key && !r.events[i].Deleted {
			r.events = slices.Delete(r.events, i, i+1)
			return
		}
	}
}

// Get returns the entry of a key; its version is zero if the key does not exist.
func (r *Replica) Get(key string) pollenstore.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[key]
}

// Revision returns the store revision of the replica.
func (r *Replica) Revision() uint64 { return r.Position().Revision }

// Position returns the store position of the replica.
func (r *Replica) Position() pollenstore.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position
}

// List returns the entries whose keys have a prefix, ordered by key.
func (r *Replica) List(prefix string) pollenstore.Listing {
	r.mu.Lock()
	defer r.mu.Unlock()
	listing := pollenstore.Listing{Revision: r.position.Revision, Era: r.position.Era}
	for key, entry := range r.entries {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	sort.Slice(listing.Entries, func(i, j int) bool { return listing.Entries[i].Key < listing.Entries[j].Key })
	return listing
}

// Watch returns the changes after a position; if there are none, it waits for one at most the given time.
//
// It returns a *pollenstore.CompactedError if the replica no longer holds the changes, a *pollenstore.RestoredError if it is of
// another era than the position, or ctx.Err() if ctx is done.
func (r *Replica) Watch(ctx context.Context, after pollenstore.Position, wait time.Duration) (pollenstore.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed, err := r.changesSince(after)
		if err != nil || changes.Revision > after.Revision {
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

// changesSince returns the changes after a position and a channel that is closed on the next change.
func (r *Replica) changesSince(after pollenstore.Position) (pollenstore.Changes, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !after.SameEra(r.position) {
		return pollenstore.Changes{}, nil, &pollenstore.RestoredError{Before: after.Era, Era: r.position.Era}
	}
	if after.Revision < r.oldest {
		return pollenstore.Changes{}, nil, &pollenstore.CompactedError{Oldest: r.oldest}
	}
	first := sort.Search(len(r.events), func(i int) bool { return r.events[i].Entry.Version > after.Revision })
	events := append([]pollenstore.Event(nil), r.events[first:]...)
	return pollenstore.Changes{Events: events, Revision: r.position.Revision, Era: r.position.Era}, r.changed, nil
}

// setPositionLocked sets the position and wakes all watches.
func (r *Replica) setPositionLocked(position pollenstore.Position) {
	r.position = position
	close(r.changed)
	r.changed = make(chan struct{})
}
