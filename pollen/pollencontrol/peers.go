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
