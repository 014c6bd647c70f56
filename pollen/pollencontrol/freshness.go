package pollencontrol

import (
	"slices"
	"time"
)

const (
	// isolationTimeout is how long an update from the store keeps the table fresh. After that, an instance is isolated
	// unless at least half of its peers are responsive. isolationTimeout plus the propagation time of a change must be
	// less than AcceptTimeout (6 s), which is how long Apply waits for live instances.
	isolationTimeout = 4 * time.Second
	// recordLossTolerance is how long after its lease has lapsed an instance still uses updates from the store. It is
	// shorter than isolationTimeout, which is how long other instances still wait for this one to acknowledge changes
	// after they have seen its record deleted.
	recordLossTolerance = 3 * time.Second
	// behindTolerance is how long an instance with a fresh table may have an older store revision than a peer.
	behindTolerance = time.Second
)

// halfOfPeersResponsive reports whether at least half of the monitored peers are responsive, or there are none.
func (c *Core) halfOfPeersResponsive() bool {
	until, hasPeers := c.peersResponsiveUntil()
	return !hasPeers || time.Now().Before(until)
}

// peersResponsiveUntil returns the time until which at least half of the monitored peers count as responsive.
//
// hasPeers is false if there are none.
func (c *Core) peersResponsiveUntil() (until time.Time, hasPeers bool) {
	var heard []time.Time
	for _, p := range c.peers {
		// c.peers also holds peers whose record was deleted less than peerRetention ago; they count, since they may be
		// on the other side of a partition.
		if p.monitored && !p.leaving {
			heard = append(heard, p.lastHeard)
		}
	}
	if len(heard) == 0 {
		return time.Time{}, false
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	return heard[(len(heard)-1)/2].Add(PeerTimeout), true
}

// behindAnyPeer reports whether a responsive peer has a newer store revision than this instance.
func (c *Core) behindAnyPeer() bool {
	for _, p := range c.peers {
		if p.monitored && !p.unresponsive() && p.storeRevision > c.config.Replica.Revision() {
			return true
		}
	}
	return false
}

// updateBehindSince records when a peer was first found to have a newer store revision.
func (c *Core) updateBehindSince() {
	switch {
	case !c.behindAnyPeer():
		c.behindSince = time.Time{}
	case c.behindSince.IsZero():
		c.behindSince = time.Now()
	}
}

// freshUntil returns the time until which the table may be used if no further update arrives; an update extends it.
//
// An update from the store is valid for isolationTimeout, as long as others see this instance's record or saw it
// deleted less than recordLossTolerance ago. Without one, as in an outage of the store, half of the peers must be
// responsive and none may have a newer revision; an instance with a fresh table may be behind for behindTolerance.
func (c *Core) freshUntil() time.Time {
	c.updateBehindSince()
	now := time.Now()
	byStore := earlier(c.syncedAt.Add(isolationTimeout), c.lease.recordVisibleUntil.Add(recordLossTolerance))
	if !c.replicaLoaded || now.Before(byStore) {
		return byStore
	}
	tolerated := c.config.Ownership.Fresh() && now.Sub(c.behindSince) < behindTolerance
	if !c.behindSince.IsZero() && !tolerated {
		return byStore
	}
	byPeers, hasPeers := c.peersResponsiveUntil()
	if hasPeers && byPeers.After(byStore) {
		return byPeers
	}
	return byStore
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// allPeersInSync reports whether all peers with a record are responsive and none has a newer store revision.
//
// No other instance can then hold a claim that this one does not know.
func (c *Core) allPeersInSync() bool {
	for name, p := range c.peers {
		if _, recorded := c.records[name]; recorded && p.unresponsive() {
			return false
		}
	}
	return !c.behindAnyPeer()
}

// tickIsolation isolates the instance once its table is no longer fresh, and ends the isolation once the table is fresh
// again.
//
// In an outage of the store it also lets a joining instance serve without a record of its own.
func (c *Core) tickIsolation() {
	if !time.Now().Before(c.freshUntil()) {
		c.fireInstance(eventIsolated, "neither the store nor half of the peers were heard")
		return
	}
	c.fireInstance(eventReconnected, "the store or the peers are heard")
	if c.instance.State() == stateJoining && !c.lease.registered && time.Since(c.startedAt) > isolationTimeout {
		c.fireInstance(eventRegistered, "the store is down; the state came from a peer")
	}
}
