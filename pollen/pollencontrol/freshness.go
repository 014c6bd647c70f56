package pollencontrol

import (
	"slices"
	"time"
)

const (
	// isolationTime without word from the store and from half of the peers makes an instance isolated; with the
	// time that a change takes to spread it stays within the six seconds in which a change must be in force.
	isolationTime = 4 * time.Second
	// unrecordedTime after its lease has lapsed, an instance no longer relies on the store's word: others await its
	// acknowledgements for isolationTime after they have seen its record go.
	unrecordedTime = 3 * time.Second
	// behindTime is how long an instance with a fresh table may be behind a peer.
	behindTime = time.Second
)

// hearsPeers reports whether at least half of the other instances were heard lately.
func (c *Core) hearsPeers() bool {
	until, others := c.heardUntil()
	return !others || time.Now().Before(until)
}

// heardUntil returns until when at least half of the other instances count as heard; others is set if there are any.
func (c *Core) heardUntil() (until time.Time, others bool) {
	var heard []time.Time
	for _, p := range c.peers {
		// A peer whose record went lately counts: it may be the other side of a cut.
		if p.sampled && !p.leaving {
			heard = append(heard, p.heard)
		}
	}
	if len(heard) == 0 {
		return time.Time{}, false
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	return heard[(len(heard)-1)/2].Add(PeerSilentTime), true
}

// behind reports whether a peer that was heard has seen more of the store than this instance.
func (c *Core) behind() bool {
	for _, p := range c.peers {
		if p.sampled && !p.silent() && p.storeRevision > c.config.Replica.Revision() {
			return true
		}
	}
	return false
}

// noteBehind notes since when a peer is ahead.
func (c *Core) noteBehind() {
	switch {
	case !c.behind():
		c.behindSince = time.Time{}
	case c.behindSince.IsZero():
		c.behindSince = time.Now()
	}
}

// freshUntil returns until when the table may be relied on without further word.
//
// The store's word counts for isolationTime, while others know this instance by its record, or have seen it go only
// lately. Without it, as in an outage of the store, half of the peers must be heard and none of them may be ahead;
// an instance whose table was fresh until now may be behind for a moment.
func (c *Core) freshUntil() time.Time {
	c.noteBehind()
	now := time.Now()
	byStore := earlier(c.freshAt.Add(isolationTime), c.lease.recordedUntil.Add(unrecordedTime))
	if !c.replicaRead || now.Before(byStore) {
		return byStore
	}
	tolerated := c.config.Ownership.Fresh() && now.Sub(c.behindSince) < behindTime
	if !c.behindSince.IsZero() && !tolerated {
		return byStore
	}
	byPeers, others := c.heardUntil()
	if others && byPeers.After(byStore) {
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

// allHeard reports whether every other instance with a record was heard lately and none is ahead, so that nobody
// can have claimed anything.
func (c *Core) allHeard() bool {
	for name, p := range c.peers {
		if _, stands := c.records[name]; stands && p.silent() {
			return false
		}
	}
	return !c.behind()
}

func (c *Core) tickIsolation() {
	if !time.Now().Before(c.freshUntil()) {
		c.fire(eventIsolated, "neither the store nor half of the peers were heard")
		return
	}
	c.fire(eventReconnected, "the store or the peers are heard")
	if c.instance.State() == stateJoining && !c.lease.registered && time.Since(c.startedAt) > isolationTime {
		c.fire(eventRegistered, "the store is down; the state came from a peer")
	}
}
