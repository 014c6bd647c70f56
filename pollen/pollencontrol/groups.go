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
	// reclaimGracePeriod is the time that a live owner whose lease is gone has to claim its groups again.
	reclaimGracePeriod = 300 * time.Millisecond
	// releaseDelay is how long another instance must be preferred before a group is released to it.
	releaseDelay = 3 * time.Second
	// maxConcurrentReleases limits the groups in state Releasing.
	maxConcurrentReleases = 4
	// maxConcurrentClaims limits the groups in states Claiming and Reclaiming.
	maxConcurrentClaims = 16
	// groupRetryInterval is the time between two claims or two releases of a group.
	groupRetryInterval = 200 * time.Millisecond
)

// groupState is the state of a group's ownership on this instance.
type groupState struct {
	machine *pollenchart.Machine
	// version is the version of the group's key while the group is owned.
	version uint64
	// deleteInFlight is set while the key is being deleted.
	deleteInFlight bool
	nextAttempt    time.Time
	// notPreferredSince is when another instance became the preferred owner, zero while this one is.
	notPreferredSince time.Time
}

// ownerState is a group's owner according to the replica.
type ownerState struct {
	claim   Claim
	version uint64
	// vacant is set once the key is deleted; claim is then the last one.
	vacant      bool
	vacantSince time.Time
}

// claimResult is the result of a claim.
type claimResult struct {
	group   pollenroute.Group
	lease   uint64
	version uint64
	err     error
}

// releaseResult is the result of a release.
type releaseResult struct {
	group pollenroute.Group
	err   error
}

// applyClaim applies a change of a group's key.
func (c *Core) applyClaim(name string, event pollenstore.Event) {
	group, err := pollenroute.ParseGroup(name)
	if err != nil {
		c.config.Log.Add(pollenevent.KindGroup, name, "ignored: "+err.Error())
		return
	}
	if event.Deleted {
		if owner, ok := c.owners[group]; ok && !owner.vacant {
			owner.vacant, owner.vacantSince = true, time.Now()
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
	g, tracked := c.groups[group]
	switch {
	case claim.Incarnation != c.config.Self.Incarnation:
		if tracked {
			c.fireGroup(group, g, eventClaimLost, "owned by "+claim.Instance)
		}
	case event.Entry.Lease == c.lease.id && tracked && g.machine.State() != stateOwned:
		// The response to the claim was lost, but the key shows that it took effect.
		g.version = event.Entry.Version
		c.fireGroup(group, g, eventClaimed, "the store shows the claim")
	}
}

// tickGroups claims and releases groups that are due, and drops the state of servers in groups no longer owned.
func (c *Core) tickGroups() {
	if !c.replicaLoaded {
		return
	}
	now := time.Now()
	claims, releases := c.pendingTransitions()
	for group, preferred := range c.preferred {
		g := c.ensureGroup(group)
		hasPreferred := preferred.Name != ""
		selfPreferred := hasPreferred && preferred.Incarnation == c.config.Self.Incarnation
		switch {
		case g.machine.State() == stateOwned && (!selfPreferred || !c.instance.Has(traitClaims)):
			if c.releaseDue(g, hasPreferred, now) && releases < maxConcurrentReleases {
				releases++
				c.fireGroup(group, g, eventRelease, "preferred owner is "+preferred.Name)
			}
		case g.machine.State() == stateReleasing:
			c.release(group, g)
		case g.machine.Has(traitReclaims) || selfPreferred:
			if claims < maxConcurrentClaims && c.claimDue(group, g, now) {
				claims++
				c.claim(group, g, now)
			}
		}
		if selfPreferred {
			g.notPreferredSince = time.Time{}
		}
	}
	c.config.Owner.RemoveUnowned(func(group pollenroute.Group) bool {
		g, ok := c.groups[group]
		return ok && (g.machine.Has(traitSends) || g.machine.Has(traitWaits))
	})
}

// updatePreferred computes the preferred owners of the groups that this instance owns or should own.
//
// A group whose last backend server was retired may still be owned, and must be released when the instance leaves.
func (c *Core) updatePreferred(table *pollenroute.Table) {
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

// ensureGroup returns the state of a group, adding it if it is new.
func (c *Core) ensureGroup(group pollenroute.Group) *groupState {
	g, ok := c.groups[group]
	if !ok {
		g = &groupState{machine: pollenchart.NewMachine(groupChart)}
		c.groups[group] = g
	}
	return g
}

// pendingTransitions returns the numbers of groups that are being claimed and released.
func (c *Core) pendingTransitions() (claims, releases int) {
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

// releaseDue reports whether an owned group must be released to another instance now.
func (c *Core) releaseDue(g *groupState, hasPreferred bool, now time.Time) bool {
	if !hasPreferred {
		return false
	}
	if c.config.Self.Leaving {
		return true
	}
	if g.notPreferredSince.IsZero() {
		g.notPreferredSince = now
	}
	return now.Sub(g.notPreferredSince) >= releaseDelay
}

// claimDue reports whether a group may be claimed now.
func (c *Core) claimDue(group pollenroute.Group, g *groupState, now time.Time) bool {
	if !c.lease.machine.Has(traitExclusive) || !c.lease.registered || now.Before(g.nextAttempt) {
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
	return !live || p.unresponsive() || now.Sub(owner.vacantSince) >= reclaimGracePeriod
}

// releasedByOwner reports whether a vacant group was released by an owner that still holds its lease.
func (c *Core) releasedByOwner(owner ownerState) bool {
	record, ok := c.records[owner.claim.Instance]
	return ok && record.Incarnation == owner.claim.Incarnation
}

// claim starts a call that writes the group's key, which must not exist, under this instance's lease.
func (c *Core) claim(group pollenroute.Group, g *groupState, now time.Time) {
	g.nextAttempt = now.Add(groupRetryInterval)
	c.fireGroup(group, g, eventClaim, "no owner holds it")
	value := encode(Claim{Instance: c.config.Self.Name, Incarnation: c.config.Self.Incarnation})
	store, lease := c.config.Store, c.lease.id
	c.async(callTimeout, func(ctx context.Context) any {
		version, err := store.CompareAndSwap(ctx, pollenstore.Swap{Key: PrefixGroup + group.String(), Value: value, Lease: lease})
		return claimResult{group: group, lease: lease, version: version, err: err}
	})
}

func (c *Core) handleClaimResult(m claimResult) {
	g := c.ensureGroup(m.group)
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

// release deletes a group's key once no sub-queries to its servers are in flight.
func (c *Core) release(group pollenroute.Group, g *groupState) {
	now := time.Now()
	if g.deleteInFlight || now.Before(g.nextAttempt) || c.config.Owner.InFlight(group) > 0 {
		return
	}
	g.deleteInFlight = true
	g.nextAttempt = now.Add(groupRetryInterval)
	store, version := c.config.Store, g.version
	c.async(callTimeout, func(ctx context.Context) any {
		_, err := store.CompareAndSwap(ctx, pollenstore.Swap{Key: PrefixGroup + group.String(), Expected: version, Delete: true})
		return releaseResult{group: group, err: err}
	})
}

func (c *Core) handleReleaseResult(m releaseResult) {
	g := c.ensureGroup(m.group)
	g.deleteInFlight = false
	var conflict *pollenstore.ConflictError
	if m.err == nil || errors.As(m.err, &conflict) {
		c.fireGroup(m.group, g, eventReleased, "key deleted")
	}
}

// fireGroups fires an event in the state charts of all groups.
func (c *Core) fireGroups(event pollenchart.Event, cause string) {
	for group, g := range c.groups {
		c.fireGroup(group, g, event, cause)
	}
}

// fireGroup fires an event in a group's state chart and logs a change of state.
func (c *Core) fireGroup(group pollenroute.Group, g *groupState, event pollenchart.Event, cause string) {
	from, to, changed := g.machine.Fire(event)
	if !changed {
		return
	}
	c.config.Log.Add(pollenevent.KindGroup, group.String(), fmt.Sprintf("%s to %s: %s", from, to, cause))
	c.dirty = true
}

// ownersByGroup returns the owner of each group, or its last known owner until another instance claims it.
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
		if known && p.instance.Incarnation == owner.claim.Incarnation && !(owner.vacant && p.unresponsive()) {
			owners[group] = p.instance
		}
	}
	return owners
}

// publishOwnership publishes the lease and group states to Ownership.
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
		groups: modes, leaseDeadline: c.lease.deadlineIfHeld(), sharedUntil: c.sharedUntil(), unclaimed: c.allPeersInSync(),
		freshUntil: c.freshUntil(), syncedAt: c.syncedAt,
	})
}

// deadlineIfHeld returns the lease's deadline, or zero if the lease is not held.
func (l *leaseState) deadlineIfHeld() time.Time {
	if l.machine.Has(traitExclusive) {
		return l.deadline
	}
	return time.Time{}
}

// sharedUntil returns the time until which work may be sent without a lease.
//
// It is zero unless the store is down and at least half of the peers are responsive.
func (c *Core) sharedUntil() time.Time {
	if !c.lease.machine.Has(traitShared) || !c.halfOfPeersResponsive() {
		return time.Time{}
	}
	return c.lease.outageUntil
}
