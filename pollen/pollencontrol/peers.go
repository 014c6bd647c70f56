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
	// pingInterval is the time between pings of a peer.
	pingInterval = 400 * time.Millisecond
	// PeerTimeout is how long a peer may leave pings unanswered before it counts as unresponsive.
	PeerTimeout = 1500 * time.Millisecond
	// peerRetention is how long a peer is still pinged after its record is deleted.
	peerRetention = 30 * time.Second
	// Instances with up to maxFullMeshPeers peers ping all of them. With more, each pings monitoredPeers of them, so
	// that the pings that an instance sends don't grow with the fleet.
	maxFullMeshPeers = 16
	monitoredPeers   = 8
)

// peerState is what this instance knows about a peer.
type peerState struct {
	instance pollenroute.Instance
	// lastHeard is when the peer was added, when it last pinged this instance without having a record, or when the
	// last ping that it answered was sent.
	lastHeard time.Time
	// recordGoneAt is when its record was deleted or found missing, zero while it is stored.
	recordGoneAt time.Time
	// loggedUnresponsive is the value of unresponsive that was last logged.
	loggedUnresponsive bool
	// monitored is set for the peers that this instance pings.
	monitored    bool
	pingInFlight bool
	nextPing     time.Time
	leaving      bool
	// storeRevision is the store revision of the peer's replica according to its last answer to a ping.
	storeRevision uint64
}

// unresponsive reports whether a monitored peer has not answered for PeerTimeout; other peers never count as such.
func (p *peerState) unresponsive() bool { return p.monitored && time.Since(p.lastHeard) > PeerTimeout }

// mustBeStale reports whether a peer without a record has been partitioned for so long that its table is too stale to
// serve from: both the store, until the record was deleted, and other peers, until it was last heard, may have kept it
// fresh.
func (p *peerState) mustBeStale() bool {
	return time.Since(p.recordGoneAt) > isolationTimeout && time.Since(p.lastHeard) > isolationTimeout
}

// pingResult is the result of a ping.
type pingResult struct {
	name  string
	sent  time.Time
	reply pollenpeer.PingReply
	err   error
}

// applyRecord applies a change of an instance's record.
func (c *Core) applyRecord(name string, event pollenstore.Event) {
	if event.Deleted {
		delete(c.records, name)
		if p, ok := c.peers[name]; ok && p.recordGoneAt.IsZero() {
			p.recordGoneAt = time.Now()
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
		c.applyOwnRecord(record, event)
		return
	}
	p, known := c.peers[name]
	if !known || p.instance.Incarnation != record.Incarnation {
		p = c.addPeer(name, record.Incarnation)
	}
	p.instance = record.instance()
	p.recordGoneAt = time.Time{}
	p.leaving = record.Leaving
}

// addUnrecordedPeer adds an instance that has pinged this one and has no record in the replica.
func (c *Core) addUnrecordedPeer(m UnrecordedPeer) {
	p, known := c.peers[m.Instance.Name]
	if known && p.instance.Incarnation == m.Instance.Incarnation {
		// Its ping shows that it still runs: until it counts as stale again, it must acknowledge changes.
		p.lastHeard = time.Now()
		c.dirty = true
		return
	}
	if known && p.recordGoneAt.IsZero() {
		return
	}
	p = c.addPeer(m.Instance.Name, m.Instance.Incarnation)
	p.instance = m.Instance
	p.recordGoneAt = time.Now()
	c.dirty = true
}

func (c *Core) addPeer(name, incarnation string) *peerState {
	p := &peerState{lastHeard: time.Now()}
	c.peers[name] = p
	c.selectMonitoredPeers()
	c.config.Log.Add(pollenevent.KindInstanceJoined, name, "incarnation "+incarnation)
	return p
}

// selectMonitoredPeers chooses the peers to ping: those that follow this instance on a ring of hashed names.
func (c *Core) selectMonitoredPeers() {
	self := xxhash.Sum64String(c.config.Self.Name)
	names := slices.Collect(maps.Keys(c.peers))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a)-self, xxhash.Sum64String(b)-self)
	})
	size := len(names)
	if size > maxFullMeshPeers {
		size = monitoredPeers
	}
	for n, name := range names {
		c.peers[name].monitored = n < size
	}
}

// applyOwnRecord detects that the record is stored, or that another process has registered under the same name.
func (c *Core) applyOwnRecord(record Record, event pollenstore.Event) {
	if record.Incarnation != c.config.Self.Incarnation {
		c.lease.registered = false
		return
	}
	if event.Entry.Lease == c.lease.id {
		c.lease.registered = record.Leaving == c.config.Self.Leaving
		c.lease.recordInReplica = true
		c.lease.recordVisibleUntil = c.lease.deadline
		c.fireInstance(eventRegistered, "record stored")
	}
}

// tickPeers pings the monitored peers that are due and drops those whose records were deleted long ago.
func (c *Core) tickPeers() {
	now := time.Now()
	request := pollenpeer.PingRequest{From: c.self()}
	for name, p := range c.peers {
		if !p.recordGoneAt.IsZero() && now.Sub(p.recordGoneAt) > peerRetention {
			delete(c.peers, name)
			c.selectMonitoredPeers()
			continue
		}
		c.updateResponsiveness(name, p)
		if !p.monitored || p.pingInFlight || now.Before(p.nextPing) {
			continue
		}
		p.pingInFlight = true
		p.nextPing = now.Add(pingInterval)
		i := p.instance
		c.async(callTimeout, func(ctx context.Context) any {
			reply, err := c.config.Peers.Ping(ctx, i, request)
			return pingResult{name: name, sent: now, reply: reply, err: err}
		})
	}
}

func (c *Core) handlePingResult(m pingResult) {
	p, ok := c.peers[m.name]
	if !ok {
		return
	}
	p.pingInFlight = false
	if m.err == nil && m.reply.Incarnation == p.instance.Incarnation {
		p.lastHeard = m.sent
		p.storeRevision = m.reply.StoreRevision
		if m.reply.Leaving && !p.leaving {
			p.leaving = true
			c.dirty = true
		}
	}
	c.updateResponsiveness(m.name, p)
}

// updateResponsiveness logs that a peer became unresponsive or responsive again, and marks the table as changed.
func (c *Core) updateResponsiveness(name string, p *peerState) {
	if p.unresponsive() == p.loggedUnresponsive {
		return
	}
	p.loggedUnresponsive = p.unresponsive()
	cause := "heard again"
	if p.loggedUnresponsive {
		cause = "does not answer"
	}
	c.config.Log.Add(pollenevent.KindPeer, name, cause)
	c.dirty = true
}
