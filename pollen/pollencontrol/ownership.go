package pollencontrol

import (
	"sync/atomic"
	"time"

	"pollenline.example/pollen/pollenlimit"
	"pollenline.example/pollen/pollenroute"
)

// Ownership is what traffic may send to each group, read without locks.
type Ownership struct {
	current atomic.Pointer[ownershipView]
}

// NewOwnership returns an ownership of nothing.
func NewOwnership() *Ownership {
	o := &Ownership{}
	o.current.Store(&ownershipView{groups: make(map[pollenroute.Group]groupMode)})
	return o
}

// Mode returns what may be sent to the servers of a group now.
//
// It compares the lease's deadline with the monotonic clock, so that a process that was paused finds it lapsed.
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

// Fresh reports whether the table in force may be relied on now.
//
// It compares with the monotonic clock, so that a process that was paused finds its table stale.
func (o *Ownership) Fresh() bool {
	return time.Now().Before(o.current.Load().freshUntil)
}

// groupMode is a group's state as far as traffic needs to know it.
type groupMode int

const (
	groupWaits groupMode = iota + 1
	groupSends
)

// ownershipView is an immutable view of the lease and the groups.
type ownershipView struct {
	groups map[pollenroute.Group]groupMode
	// leaseDeadline is when the lease lapses by this instance's own clock.
	leaseDeadline time.Time
	// sharedUntil bounds sending without a lease in an outage of the store.
	sharedUntil time.Time
	// unclaimed is set while all peers are heard and none can have claimed a group.
	unclaimed bool
	// freshUntil is until when the table may be relied on without further word.
	freshUntil time.Time
	// freshAt is a time up to which the replica is known to be complete.
	freshAt time.Time
}
