package pollencontrol

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenline.example/pollen/pollenevent"
	"pollenline.example/pollen/polleninventory"
	"pollenline.example/pollen/pollenpeer"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenstore"
)

const (
	// watchersPerZone is the number of instances of each zone that watch the store; the others follow one of them.
	watchersPerZone = 2
	// watchWait is how long a watch waits for changes.
	watchWait = 500 * time.Millisecond
	// followRetryInterval is the pause after a failed watch.
	followRetryInterval = 50 * time.Millisecond
	// sourceBackoff is how long a failed source is skipped while there are others.
	sourceBackoff = time.Second
)

// followState describes the source from which this instance replicates the store's keys.
type followState struct {
	callInFlight bool
	nextAttempt  time.Time
	// failedAt holds the time at which each source last failed; sources are skipped for sourceBackoff.
	failedAt map[string]time.Time
	source   string
	// inventoryInFlight is set during a call to the inventory; the next call is due at nextInventoryCall.
	inventoryInFlight bool
	nextInventoryCall time.Time
}

// failedRecently reports whether a source failed within sourceBackoff.
func (f *followState) failedRecently(source string) bool {
	at, ok := f.failedAt[source]
	return ok && time.Since(at) < sourceBackoff
}

// followResult is the result of one watch or listing of a source.
type followResult struct {
	source string
	// syncedAt is the latest time at which the source's copy is known to have held every change.
	syncedAt time.Time
	changes  pollenstore.Changes
	listing  pollenstore.Listing
	// full is set if listing holds all keys and changes is empty.
	full bool
	err  error
}

// storeSource is the source name of the store.
const storeSource = "store"

// tickFollow starts the next watch or listing of a source, unless one is in flight.
func (c *Core) tickFollow() {
	f := &c.follow
	now := time.Now()
	if f.callInFlight || now.Before(f.nextAttempt) {
		return
	}
	f.callInFlight = true
	after, loaded := c.config.Replica.Revision(), c.replicaLoaded
	source, i := c.chooseSource()
	if source != f.source {
		c.config.Log.Add(pollenevent.KindStore, c.config.Self.Name, "follows "+source)
		f.source = source
	}
	c.async(watchWait+callTimeout, func(ctx context.Context) any {
		if source == storeSource {
			return c.followStore(ctx, after, loaded)
		}
		return c.followPeer(ctx, source, i, after)
	})
}

// followStore watches the store's keys. It lists them if the replica is not loaded, or if the store no longer keeps
// all events after the replica's revision.
func (c *Core) followStore(ctx context.Context, after uint64, loaded bool) followResult {
	m := followResult{source: storeSource, syncedAt: time.Now()}
	if !loaded {
		m.full = true
		m.listing, m.err = c.config.Store.List(ctx, Prefix)
		return m
	}
	m.changes, m.err = c.config.Store.Watch(ctx, Prefix, after, watchWait)
	var compacted *pollenstore.CompactedError
	if errors.As(m.err, &compacted) {
		m.full = true
		m.listing, m.err = c.config.Store.List(ctx, Prefix)
	}
	return m
}

// followPeer watches the replica of another instance.
func (c *Core) followPeer(ctx context.Context, source string, i pollenroute.Instance, after uint64) followResult {
	sent := time.Now()
	reply, err := c.config.Peers.Watch(ctx, i, pollenpeer.WatchRequest{After: after, Wait: watchWait})
	return followResult{source: source, syncedAt: sent.Add(-reply.Age), changes: reply.Changes, listing: reply.Listing, full: reply.Whole, err: err}
}

func (c *Core) handleFollowResult(m followResult) {
	f := &c.follow
	f.callInFlight = false
	if m.err != nil {
		f.failedAt[m.source] = time.Now()
		f.nextAttempt = time.Now().Add(followRetryInterval)
		return
	}
	delete(f.failedAt, m.source)
	if m.full {
		if c.config.Replica.Reset(m.listing) {
			c.applyListing()
		}
		c.replicaLoaded = c.replicaLoaded || m.source == storeSource
		c.tickFollow()
		return
	}
	c.applyEvents(c.config.Replica.Apply(m.changes))
	c.advanceSyncedAt(m)
	c.tickFollow()
}

// advanceSyncedAt updates the time at which the replica is known to have held every change.
//
// It counts from when the request was sent: a response that waited in a socket while this process was paused says
// nothing about the time since. Listings don't count, because the store may serve stale reads; a watch follows them.
func (c *Core) advanceSyncedAt(m followResult) {
	if c.replicaLoaded && m.syncedAt.After(c.syncedAt) {
		c.syncedAt = m.syncedAt
	}
}

// chooseSource returns the source of the next changes.
//
// The zone's watchers, and instances that have no replica yet or know no watcher, follow the store. All others, and all
// instances for sourceBackoff after the store failed, follow the responsive peer with the highest sourceRank that has
// not failed recently. Without such a peer they follow a seed if the store failed recently, and the store if it did not
// or if there are no seeds.
func (c *Core) chooseSource() (string, pollenroute.Instance) {
	watchers := c.watchers()
	isWatcher := slices.Contains(watchers, c.config.Self.Name)
	if !c.follow.failedRecently(storeSource) && (isWatcher || len(watchers) == 0 || !c.replicaLoaded) {
		return storeSource, pollenroute.Instance{}
	}
	var best *peerState
	for name, p := range c.peers {
		if p.unresponsive() || c.follow.failedRecently(name) {
			continue
		}
		if best == nil || c.sourceRank(name, p, watchers) > c.sourceRank(best.instance.Name, best, watchers) {
			best = p
		}
	}
	if best != nil {
		return best.instance.Name, best.instance
	}
	if seed, ok := c.pickSeed(); ok && c.follow.failedRecently(storeSource) {
		return seed.Name, seed
	}
	return storeSource, pollenroute.Instance{}
}

// sourceRank orders peers as sources: those with a newer store revision first, then the watchers of this zone.
//
// A hash of both names breaks ties, so that followers spread over the sources.
func (c *Core) sourceRank(name string, p *peerState, watchers []string) uint64 {
	rank := xxhash.Sum64String(name+"|"+c.config.Self.Name) >> 8
	if slices.Contains(watchers, name) {
		rank |= 1 << 60
	}
	if p.storeRevision > c.config.Replica.Revision() {
		rank |= 1 << 61
	}
	return rank
}

// watchers returns the names of the instances of this zone that watch the store.
func (c *Core) watchers() []string {
	var names []string
	for name, record := range c.records {
		p, known := c.peers[name]
		live := name == c.config.Self.Name || (known && !p.unresponsive())
		if record.Zone == c.config.Self.Zone && live && !record.Leaving {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return strings.Compare(fmt.Sprint(xxhash.Sum64String(a)), fmt.Sprint(xxhash.Sum64String(b)))
	})
	return names[:min(watchersPerZone, len(names))]
}

// inventoryResult is the result of a call to the platform's inventory.
type inventoryResult struct {
	entries []polleninventory.Entry
	err     error
}

// tickInventory reads seeds from the platform's inventory while the store could not be read.
func (c *Core) tickInventory() {
	f, now := &c.follow, time.Now()
	if c.config.Inventory == nil || c.replicaLoaded || !f.failedRecently(storeSource) || f.inventoryInFlight || now.Before(f.nextInventoryCall) {
		return
	}
	f.inventoryInFlight = true
	f.nextInventoryCall = now.Add(sourceBackoff)
	c.async(callTimeout, func(ctx context.Context) any {
		entries, err := c.config.Inventory.Instances(ctx)
		return inventoryResult{entries: entries, err: err}
	})
}

// handleInventoryResult adds the inventory's instances as seeds; whether they are live is found out by following them.
func (c *Core) handleInventoryResult(m inventoryResult) {
	c.follow.inventoryInFlight = false
	if m.err != nil {
		c.config.Log.Add(pollenevent.KindStore, c.config.Self.Name, m.err.Error())
		return
	}
	known := make(map[netip.AddrPort]bool)
	for _, seed := range c.config.Seeds {
		known[seed.Peer] = true
	}
	for _, entry := range m.entries {
		if entry.Name != c.config.Self.Name && !known[entry.PeerAddress] {
			c.config.Seeds = append(c.config.Seeds, pollenroute.Instance{Name: "seed " + entry.Name, Peer: entry.PeerAddress})
		}
	}
}

// pickSeed returns an arbitrary seed, or false if there are none.
func (c *Core) pickSeed() (pollenroute.Instance, bool) {
	if len(c.config.Seeds) == 0 {
		return pollenroute.Instance{}, false
	}
	return c.config.Seeds[time.Now().UnixNano()%int64(len(c.config.Seeds))], true
}
