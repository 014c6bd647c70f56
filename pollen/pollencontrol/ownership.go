package pollencontrol

import (
	"sync/atomic"
	"time"

	"pollenline.example/pollen/pollenlimit"
	"pollenline.example/pollen/pollenroute"
)

// Ownership holds how much may be sent to the servers of each group; the data path reads it without locks.
type Ownership struct {
	current atomic.Pointer[ownershipView]
}

// NewOwnership returns an Ownership without groups.
func NewOwnership() *Ownership {
	o := &Ownership{}
	o.current.Store(&ownershipView{groups: make(map[pollenroute.Group]groupMode)})
	return o
}

// Mode returns the current mode of a group.
//
// It compares the lease's deadline with the monotonic clock, so that a process that was paused sees the lease lapsed.
func (o *Ownership) Mode(group pollenroute.Group) pollenlimit.Mode {
	view := o.current.Load()
	mode, ok := view.groups[group]
	switch {
	case !ok:
		return pollenlimit.ModeStopped
	case mode == groupWaits:
		return pollenlimit.ModeHeld
	}
	now := time.Now()
	switch {
	case !now.Before(view.freshUntil):
		return pollenlimit.ModeHeld
	case now.Before(view.leaseDeadline):
		return pollenlimit.ModeFull
	case now.Before(view.sharedUntil) && view.unclaimed:
		return pollenlimit.ModeUnclaimed
	case now.Before(view.sharedUntil):
		return pollenlimit.ModeShared
	}
	return pollenlimit.ModeHeld
}

// Fresh reports whether the table in force may be used now.
//
// It uses the monotonic clock, so that a process that was paused sees its table as stale.
func (o *Ownership) Fresh() bool {
	return time.Now().Before(o.current.Load().freshUntil)
}

// groupMode is the part of a group's state that the data path needs.
type groupMode int

const (
	// groupWaits keeps work queued until the ownership is decided.
	groupWaits groupMode = iota + 1
	// groupSends allows sends while the lease permits them.
	groupSends
)

// ownershipView is an immutable view of the lease and the groups.
type ownershipView struct {
	groups map[pollenroute.Group]groupMode
	// leaseDeadline is when the lease lapses by this instance's clock, zero if it is not held.
	leaseDeadline time.Time
	// sharedUntil is the time until which work may be sent without a lease in an outage of the store.
	sharedUntil time.Time
	// unclaimed is set while all peers are responsive and none can have claimed a group.
	unclaimed bool
	// freshUntil is the time until which the table may be used.
	freshUntil time.Time
	// syncedAt is the latest time at which the replica is known to have held every change.
	syncedAt time.Time
}
