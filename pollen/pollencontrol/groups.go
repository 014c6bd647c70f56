package pollencontrol

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"pollenline.example/pollen/pollenchart"
	"pollenline.example/pollen/pollenevent"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenstore"
)

const (
	// claimGrace gives a live owner whose lease is gone the time to claim its groups again.
	claimGrace = 300 * time.Millisecond
	// settleTime is how long another instance must be preferred before a group is released to it.
	settleTime = 3 * time.Second
	// maximumReleases bounds the groups that are being released at once.
	maximumReleases = 4
	// maximumClaims bounds the claims that are under way at once.
	maximumClaims = 16
	// claimRetryTime is the pause after a claim that failed.
	claimRetryTime = 200 * time.Millisecond
)

// groupState is this instance's part in a group.
type groupState struct {
	machine *pollenchart.Machine
	// version is that of the group's key, while it is owned.
	version uint64
	// releasing is set while the key is being deleted.
	releasing bool
	nextTry   time.Time
	// otherSince is when another instance became the preferred one.
	otherSince time.Time
}

// ownerState is what the replica says of a group's owner.
type ownerState struct {
	claim   Claim
	version uint64
	// vacant is set once the key is gone; the claim is then the last known.
	vacant   bool
	vacantAt time.Time
}

// claimed is the result of a claim.
type claimed struct {
	group   pollenroute.Group
	lease   uint64
	version uint64
	err     error
}

// released is the result of a release.
type released struct {
	group pollenroute.Group
	err   error
}

// takeClaim takes in a change of a group's key.
func (c *Core) takeClaim(name string, event pollenstore.Event) {
	group, err := pollenroute.ParseGroup(name)
	if err != nil {
		c.config.Log.Add(pollenevent.KindGroup, name, "ignored: "+err.Error())
		return
	}
	if event.Deleted {
		if owner, ok := c.owners[group]; ok && !owner.vacant {
			owner.vacant, owner.vacantAt = true, time.Now()
			c.owners[group] = owner
		}
		return
	}
	var claim Claim
	if err := json.Unmarshal(event.Entry.Value, &claim); err != nil {
		c.config.Log.Add(pollenevent.KindGroup, name, (&ValueError{Key: event.Entry.Key, Err: err}).Error())
		return
	}
	c.owners[group] = ownerState{claim: claim, version: event.Entry.Version}
	g, mine := c.groups[group]
	switch {
	case claim.Incarnation != c.config.Self.Incarnation:
		if mine {
			c.fireGroup(group, g, eventClaimLost, "owned by "+claim.Instance)
		}
	case event.Entry.Lease == c.lease.id && mine && g.machine.State() != stateOwned:
		// The answer to the claim was lost; the key shows that it took effect.
		g.version = event.Entry.Version
		c.fireGroup(group, g, eventClaimed, "the store shows the claim")
	}
}

func (c *Core) tickGroups() {
	if !c.replicaRead {
		return
	}
	now := time.Now()
	claims, releases := c.busyGroups()
	for group, preferred := range c.preferred {
		g := c.group(group)
		ok := preferred.Name != ""
		mine := ok && preferred.Incarnation == c.config.Self.Incarnation
		switch {
		case g.machine.State() == stateOwned && (!mine || !c.instance.Has(traitClaims)):
			if c.releaseDue(g, ok, now) && releases < maximumReleases {
				releases++
				c.fireGroup(group, g, eventRelease, "preferred owner is "+preferred.Name)
			}
		case g.machine.State() == stateReleasing:
			c.release(group, g)
		case g.machine.Has(traitReclaims) || mine:
			if claims < maximumClaims && c.claimDue(group, g, now) {
				claims++
				c.claim(group, g, now)
			}
		}
		if mine {
			g.otherSince = time.Time{}
		}
	}
	c.config.Traffic.RemoveUnowned(func(group pollenroute.Group) bool {
		g, ok := c.groups[group]
		return ok && (g.machine.Has(traitSends) || g.machine.Has(traitWaits))
	})
}

// preferOwners finds the preferred owners of the groups that this instance owns or should own.
//
// A group whose last backend server was retired may still be owned, and is to be released when the instance leaves.
func (c *Core) preferOwners(table *pollenroute.Table) {
	c.preferred = make(map[pollenroute.Group]pollenroute.Instance)
	candidates := table.Candidates()
	for _, group := range table.GroupsWithServers {
		if preferred, _ := candidates.Preferred(group); preferred.Incarnation == c.config.Self.Incarnation {
			c.preferred[group] = preferred
		}
	}
	for group := range c.groups {
		c.preferred[group], _ = candidates.Preferred(group)
	}
}

func (c *Core) group(group pollenroute.Group) *groupState {
	g, ok := c.groups[group]
	if !ok {
		g = &groupState{machine: pollenchart.NewMachine(groupChart)}
		c.groups[group] = g
	}
	return g
}

func (c *Core) busyGroups() (claims, releases int) {
	for _, g := range c.groups {
		switch g.machine.State() {
		case stateClaiming, stateReclaiming:
			claims++
		case stateReleasing:
			releases++
		}
	}
	return claims, releases
}

// releaseDue reports whether an owned group is to be given up to another instance.
func (c *Core) releaseDue(g *groupState, preferredKnown bool, now time.Time) bool {
	if !preferredKnown {
		return false
	}
	if c.config.Self.Leaving {
		return true
	}
	if g.otherSince.IsZero() {
		g.otherSince = now
	}
	return now.Sub(g.otherSince) >= settleTime
}

// claimDue reports whether a group may be claimed now.
func (c *Core) claimDue(group pollenroute.Group, g *groupState, now time.Time) bool {
	if !c.lease.machine.Has(traitExclusive) || !c.lease.registered || now.Before(g.nextTry) {
		return false
	}
	if state := g.machine.State(); state != stateOther && !g.machine.Has(traitReclaims) {
		return false
	}
	owner, known := c.owners[group]
	switch {
	case !known || g.machine.Has(traitReclaims):
		return true
	case !owner.vacant:
		return false
	case c.releasedByOwner(owner):
		return true
	}
	p, live := c.peers[owner.claim.Instance]
	return !live || p.silent() || now.Sub(owner.vacantAt) >= claimGrace
}

// releasedByOwner reports whether a vacant group was given up by an owner that still holds its lease.
func (c *Core) releasedByOwner(owner ownerState) bool {
	record, ok := c.records[owner.claim.Instance]
	return ok && record.Incarnation == owner.claim.Incarnation
}

func (c *Core) claim(group pollenroute.Group, g *groupState, now time.Time) {
	g.nextTry = now.Add(claimRetryTime)
	c.fireGroup(group, g, eventClaim, "no owner holds it")
	value := encode(Claim{Instance: c.config.Self.Name, Incarnation: c.config.Self.Incarnation})
	store, lease := c.config.Store, c.lease.id
	c.async(callTimeout, func(ctx context.Context) any {
		version, err := store.CompareAndSwap(ctx, pollenstore.Swap{Key: PrefixGroup + group.String(), Value: value, Lease: lease})
		return claimed{group: group, lease: lease, version: version, err: err}
	})
}

func (c *Core) claimed(m claimed) {
	g := c.group(m.group)
	if state := g.machine.State(); state != stateClaiming && state != stateReclaiming {
		return
	}
	var conflict *pollenstore.ConflictError
	switch {
	case m.err == nil && m.lease == c.lease.id:
		g.version = m.version
		c.fireGroup(m.group, g, eventClaimed, "claim stored")
	case errors.As(m.err, &conflict):
		if owner := c.owners[m.group]; !owner.vacant && owner.claim.Incarnation == c.config.Self.Incarnation && owner.version == conflict.Current {
			g.version = conflict.Current
			c.fireGroup(m.group, g, eventClaimed, "an earlier claim took effect")
			return
		}
		c.fireGroup(m.group, g, eventClaimLost, "another instance was first")
	default:
		c.fireGroup(m.group, g, eventClaimFailed, "the store did not answer")
	}
}

// release deletes the key of a group once nothing is being sent to its servers.
func (c *Core) release(group pollenroute.Group, g *groupState) {
	now := time.Now()
	if g.releasing || now.Before(g.nextTry) || c.config.Traffic.InFlight(group) > 0 {
		return
	}
	g.releasing = true
	g.nextTry = now.Add(claimRetryTime)
	store, version := c.config.Store, g.version
	c.async(callTimeout, func(ctx context.Context) any {
		_, err := store.CompareAndSwap(ctx, pollenstore.Swap{Key: PrefixGroup + group.String(), Expected: version, Delete: true})
		return released{group: group, err: err}
	})
}

func (c *Core) released(m released) {
	g := c.group(m.group)
	g.releasing = false
	var conflict *pollenstore.ConflictError
	if m.err == nil || errors.As(m.err, &conflict) {
		c.fireGroup(m.group, g, eventReleased, "key deleted")
	}
}

func (c *Core) fireGroups(event pollenchart.Event, cause string) {
	for group, g := range c.groups {
		c.fireGroup(group, g, event, cause)
	}
}

func (c *Core) fireGroup(group pollenroute.Group, g *groupState, event pollenchart.Event, cause string) {
	from, to, changed := g.machine.Fire(event)
	if !changed {
		return
	}
	c.config.Log.Add(pollenevent.KindGroup, group.String(), fmt.Sprintf("%s to %s: %s", from, to, cause))
	c.dirty = true
}

// ownersByGroup returns the owner of each group, or the last known one while nobody else has claimed it.
func (c *Core) ownersByGroup() map[pollenroute.Group]pollenroute.Instance {
	owners := make(map[pollenroute.Group]pollenroute.Instance, len(c.owners))
	for group, owner := range c.owners {
		if owner.claim.Incarnation == c.config.Self.Incarnation {
			if g, ok := c.groups[group]; ok && g.machine.State() != stateOther {
				owners[group] = c.self()
			}
			continue
		}
		p, known := c.peers[owner.claim.Instance]
		if known && p.instance.Incarnation == owner.claim.Incarnation && !(owner.vacant && p.silent()) {
			owners[group] = p.instance
		}
	}
	return owners
}

func (c *Core) publishOwnership() {
	modes := make(map[pollenroute.Group]groupMode)
	for group, g := range c.groups {
		switch {
		case g.machine.Has(traitSends):
			modes[group] = groupSends
		case g.machine.Has(traitWaits):
			modes[group] = groupWaits
		}
	}
	c.config.Ownership.current.Store(&ownershipView{
		groups: modes, leaseDeadline: c.lease.deadlineIfHeld(), sharedUntil: c.sharedUntil(), unclaimed: c.allHeard(),
		freshUntil: c.freshUntil(), freshAt: c.freshAt,
	})
}

func (l *leaseState) deadlineIfHeld() time.Time {
	if l.machine.Has(traitExclusive) {
		return l.deadline
	}
	return time.Time{}
}

// sharedUntil returns until when work may be sent without a lease: while the store is down and peers are heard.
func (c *Core) sharedUntil() time.Time {
	if !c.lease.machine.Has(traitShared) || !c.hearsPeers() {
		return time.Time{}
	}
	return c.lease.sharedUntil
}
