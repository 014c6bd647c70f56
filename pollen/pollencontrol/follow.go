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
	// watchersPerZone instances of each zone watch the store; the others follow one of them.
	watchersPerZone = 2
	watchWait       = 500 * time.Millisecond
	// followRetryTime is the pause after a failed watch.
	followRetryTime = 50 * time.Millisecond
	// avoidTime is how long a source that failed is passed over, while there are others.
	avoidTime = time.Second
)

// followState is where this instance takes its copy of the store's keys from.
type followState struct {
	busy    bool
	nextTry time.Time
	// failed says when sources failed; they are passed over for avoidTime.
	failed map[string]time.Time
	source string
	// listing is set while the inventory is being asked, and nextList is when it may be asked again.
	listing  bool
	nextList time.Time
}

// passed reports whether a source failed lately.
func (f *followState) passed(source string) bool {
	at, ok := f.failed[source]
	return ok && time.Since(at) < avoidTime
}

// followed is the result of following a source once.
type followed struct {
	source string
	// fresh is a time up to which the source's copy held everything that was in force.
	fresh   time.Time
	changes pollenstore.Changes
	listing pollenstore.Listing
	whole   bool
	err     error
}

// storeSource is the name of the store among the sources.
const storeSource = "store"

func (c *Core) tickFollow() {
	f := &c.follow
	now := time.Now()
	if f.busy || now.Before(f.nextTry) {
		return
	}
	f.busy = true
	after, read := c.config.Replica.Revision(), c.replicaRead
	source, i := c.chooseSource()
	if source != f.source {
		c.config.Log.Add(pollenevent.KindStore, c.config.Self.Name, "follows "+source)
		f.source = source
	}
	c.async(watchWait+callTimeout, func(ctx context.Context) any {
		if source == storeSource {
			return c.followStore(ctx, after, read)
		}
		return c.followPeer(ctx, source, i, after)
	})
}

func (c *Core) followStore(ctx context.Context, after uint64, read bool) followed {
	m := followed{source: storeSource, fresh: time.Now()}
	if !read {
		m.whole = true
		m.listing, m.err = c.config.Store.List(ctx, Prefix)
		return m
	}
	m.changes, m.err = c.config.Store.Watch(ctx, Prefix, after, watchWait)
	var compacted *pollenstore.CompactedError
	if errors.As(m.err, &compacted) {
		m.whole = true
		m.listing, m.err = c.config.Store.List(ctx, Prefix)
	}
	return m
}

func (c *Core) followPeer(ctx context.Context, source string, i pollenroute.Instance, after uint64) followed {
	sent := time.Now()
	reply, err := c.config.Peers.Watch(ctx, i, pollenpeer.WatchRequest{After: after, Wait: watchWait})
	return followed{source: source, fresh: sent.Add(-reply.Age), changes: reply.Changes, listing: reply.Listing, whole: reply.Whole, err: err}
}

func (c *Core) followed(m followed) {
	f := &c.follow
	f.busy = false
	if m.err != nil {
		f.failed[m.source] = time.Now()
		f.nextTry = time.Now().Add(followRetryTime)
		return
	}
	delete(f.failed, m.source)
	if m.whole {
		if c.config.Replica.Reset(m.listing) {
			c.takeListing()
		}
		c.replicaRead = c.replicaRead || m.source == storeSource
		c.tickFollow()
		return
	}
	c.takeEvents(c.config.Replica.Apply(m.changes))
	c.hear(m)
	c.tickFollow()
}

// hear moves the time up to which the replica is known to be complete.
//
// It counts from when the source was asked: an answer that lay in a socket while this process was paused proves
// nothing about the time since. Listings do not count, because the store may serve old reads; a watch follows.
func (c *Core) hear(m followed) {
	if c.replicaRead && m.fresh.After(c.freshAt) {
		c.freshAt = m.fresh
	}
}

// chooseSource returns where to take the next changes from: a peer that is ahead while the store is silent, the
// store for the watchers of a zone, and a watcher for the others.
func (c *Core) chooseSource() (string, pollenroute.Instance) {
	watchers := c.watchers()
	self := slices.Contains(watchers, c.config.Self.Name)
	if !c.follow.passed(storeSource) && (self || len(watchers) == 0 || !c.replicaRead) {
		return storeSource, pollenroute.Instance{}
	}
	var best *peerState
	for name, p := range c.peers {
		if p.silent() || c.follow.passed(name) {
			continue
		}
		if best == nil || c.sourceRank(name, p, watchers) > c.sourceRank(best.instance.Name, best, watchers) {
			best = p
		}
	}
	if best != nil {
		return best.instance.Name, best.instance
	}
	if seed, ok := c.seed(); ok && c.follow.passed(storeSource) {
		return seed.Name, seed
	}
	return storeSource, pollenroute.Instance{}
}

// sourceRank orders peers as sources: those ahead of this instance first, then the watchers of its zone.
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

// watchers returns the instances of this zone that watch the store.
func (c *Core) watchers() []string {
	var names []string
	for name, record := range c.records {
		p, known := c.peers[name]
		live := name == c.config.Self.Name || (known && !p.silent())
		if record.Zone == c.config.Self.Zone && live && !record.Leaving {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return strings.Compare(fmt.Sprint(xxhash.Sum64String(a)), fmt.Sprint(xxhash.Sum64String(b)))
	})
	return names[:min(watchersPerZone, len(names))]
}

// listed is the result of asking the platform's inventory.
type listed struct {
	entries []polleninventory.Entry
	err     error
}

// tickInventory asks the platform for seeds while nothing could be read from the store.
func (c *Core) tickInventory() {
	f, now := &c.follow, time.Now()
	if c.config.Inventory == nil || c.replicaRead || !f.passed(storeSource) || f.listing || now.Before(f.nextList) {
		return
	}
	f.listing = true
	f.nextList = now.Add(avoidTime)
	c.async(callTimeout, func(ctx context.Context) any {
		entries, err := c.config.Inventory.Instances(ctx)
		return listed{entries: entries, err: err}
	})
}

// listed takes the inventory's instances as seeds; whether they live shows when they are asked.
func (c *Core) listed(m listed) {
	c.follow.listing = false
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

func (c *Core) seed() (pollenroute.Instance, bool) {
	if len(c.config.Seeds) == 0 {
		return pollenroute.Instance{}, false
	}
	return c.config.Seeds[time.Now().UnixNano()%int64(len(c.config.Seeds))], true
}
