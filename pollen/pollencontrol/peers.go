package pollencontrol

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenline.example/pollen/pollenevent"
	"pollenline.example/pollen/pollenpeer"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenstore"
)

const (
	pingTime = 400 * time.Millisecond
	// PeerSilentTime without an answer to a ping makes a peer silent.
	PeerSilentTime = 1500 * time.Millisecond
	// isolationTime without word from the store and from half of the peers makes an instance isolated; with the
	// time that a change takes to spread it stays within the six seconds in which a change must be in force.
	isolationTime = 4 * time.Second
	// unrecordedTime after its lease has lapsed, an instance no longer relies on the store's word: others await its
	// acknowledgements for isolationTime after they have seen its record go.
	unrecordedTime = 3 * time.Second
	// behindTime is how long an instance with a fresh table may be behind a peer.
	behindTime = time.Second
	// forgetTime after its record is gone, a peer is no longer pinged.
	forgetTime = 30 * time.Second
	// Fleets of up to smallFleet instances ping each other; in larger ones each pings sampleSize others, so that
	// what an instance sends does not grow with the fleet.
	smallFleet = 16
	sampleSize = 8
)

// peerState is what this instance knows of another.
type peerState struct {
	instance pollenroute.Instance
	heard    time.Time
	// gone is when its record went away, zero while it stands.
	gone        time.Time
	notedSilent bool
	// sampled is set for the peers that this instance pings.
	sampled       bool
	busy          bool
	nextPing      time.Time
	leaving       bool
	storeRevision uint64
	revision      uint64
}

// silent reports whether the peer should have answered and has not; one that is not pinged is never silent.
func (p *peerState) silent() bool { return p.sampled && time.Since(p.heard) > PeerSilentTime }

// mustBeStale reports whether a peer without a record has been cut off for so long that its table is too old to
// serve from: it was in touch with the store until its record went, and with its peers until it was last heard.
func (p *peerState) mustBeStale() bool {
	return time.Since(p.gone) > isolationTime && time.Since(p.heard) > isolationTime
}

// pinged is the result of a ping.
type pinged struct {
	name  string
	sent  time.Time
	reply pollenpeer.PingReply
	err   error
}

// takeRecord takes in a change of an instance's record.
func (c *Core) takeRecord(name string, event pollenstore.Event) {
	if event.Deleted {
		delete(c.records, name)
		if p, ok := c.peers[name]; ok && p.gone.IsZero() {
			p.gone = time.Now()
			c.config.Log.Add(pollenevent.KindInstanceLeft, name, "its record is gone")
		}
		return
	}
	var record Record
	if err := json.Unmarshal(event.Entry.Value, &record); err != nil {
		c.config.Log.Add(pollenevent.KindInstanceJoined, name, (&ValueError{Key: event.Entry.Key, Err: err}).Error())
		return
	}
	c.records[name] = record
	if name == c.config.Self.Name {
		c.takeOwnRecord(record, event)
		return
	}
	p, known := c.peers[name]
	if !known || p.instance.Incarnation != record.Incarnation {
		p = c.addPeer(name, record.Incarnation)
	}
	p.instance = record.instance()
	p.gone = time.Time{}
	p.leaving = record.Leaving
}

// contact takes in an instance that called and has no record that this one knows.
func (c *Core) contact(m Contact) {
	p, known := c.peers[m.Instance.Name]
	if known && p.instance.Incarnation == m.Instance.Incarnation {
		// It was cut off and is back; its acknowledgements are awaited from now on.
		p.heard = time.Now()
		c.dirty = true
		return
	}
	if known && p.gone.IsZero() {
		return
	}
	p = c.addPeer(m.Instance.Name, m.Instance.Incarnation)
	p.instance = m.Instance
	p.gone = time.Now()
	c.dirty = true
}

func (c *Core) addPeer(name, incarnation string) *peerState {
	p := &peerState{heard: time.Now()}
	c.peers[name] = p
	c.sample()
	c.config.Log.Add(pollenevent.KindInstanceJoined, name, "incarnation "+incarnation)
	return p
}

// sample chooses the peers that this instance pings: those that follow it on a ring of hashed names.
func (c *Core) sample() {
	self := xxhash.Sum64String(c.config.Self.Name)
	names := slices.Collect(maps.Keys(c.peers))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a)-self, xxhash.Sum64String(b)-self)
	})
	size := len(names)
	if size > smallFleet {
		size = sampleSize
	}
	for n, name := range names {
		c.peers[name].sampled = n < size
	}
}

// takeOwnRecord notices that the record stands, or that another process has taken this instance's name.
func (c *Core) takeOwnRecord(record Record, event pollenstore.Event) {
	if record.Incarnation != c.config.Self.Incarnation {
		c.lease.registered = false
		return
	}
	if event.Entry.Lease == c.lease.id {
		c.lease.registered = record.Leaving == c.config.Self.Leaving
		c.lease.recordSeen = true
		c.lease.recordedUntil = c.lease.deadline
		c.fire(eventRegistered, "record stored")
	}
}

func (c *Core) tickPeers() {
	now := time.Now()
	request := pollenpeer.PingRequest{From: c.self()}
	for name, p := range c.peers {
		if !p.gone.IsZero() && now.Sub(p.gone) > forgetTime {
			delete(c.peers, name)
			c.sample()
			continue
		}
		c.noteSilence(name, p)
		if !p.sampled || p.busy || now.Before(p.nextPing) {
			continue
		}
		p.busy = true
		p.nextPing = now.Add(pingTime)
		i := p.instance
		c.async(callTimeout, func(ctx context.Context) any {
			reply, err := c.config.Peers.Ping(ctx, i, request)
			return pinged{name: name, sent: now, reply: reply, err: err}
		})
	}
}

func (c *Core) pinged(m pinged) {
	p, ok := c.peers[m.name]
	if !ok {
		return
	}
	p.busy = false
	if m.err == nil && m.reply.Incarnation == p.instance.Incarnation {
		p.heard = m.sent
		p.storeRevision = m.reply.StoreRevision
		p.revision = m.reply.Revision
		if m.reply.Leaving && !p.leaving {
			p.leaving = true
			c.dirty = true
		}
	}
	c.noteSilence(m.name, p)
}

// noteSilence notices that a peer went silent or is heard again.
func (c *Core) noteSilence(name string, p *peerState) {
	if p.silent() == p.notedSilent {
		return
	}
	p.notedSilent = p.silent()
	cause := "heard again"
	if p.notedSilent {
		cause = "does not answer"
	}
	c.config.Log.Add(pollenevent.KindPeer, name, cause)
	c.dirty = true
}

// hearsPeers reports whether at least half of the other instances were heard lately.
func (c *Core) hearsPeers() bool {
	until, any := c.heardUntil()
	return !any || time.Now().Before(until)
}

// heardUntil returns until when at least half of the other instances count as heard; any is set if there are others.
func (c *Core) heardUntil() (until time.Time, any bool) {
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
	byPeers, any := c.heardUntil()
	if any && byPeers.After(byStore) {
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
