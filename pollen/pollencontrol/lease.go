package pollencontrol

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pollenline.example/pollen/pollenchart"
	"pollenline.example/pollen/pollenevent"
	"pollenline.example/pollen/pollenstore"
)

const (
	// LeaseTime is how long the store keeps an instance's keys without a renewal.
	LeaseTime = 1500 * time.Millisecond
	// leaseMargin makes the holder's own deadline end before the store's.
	leaseMargin = 200 * time.Millisecond
	renewTime   = 400 * time.Millisecond
	// sharedTime is how long after a failed renewal the holder takes the store to be down.
	sharedTime = 1500 * time.Millisecond
)

// leaseState is this instance's lease.
type leaseState struct {
	machine *pollenchart.Machine
	id      uint64
	// deadline is when the lease lapses, counted from when its renewal was sent.
	deadline    time.Time
	sharedUntil time.Time
	busy        bool
	nextTry     time.Time
	// registered is set while the instance's record stands under the lease.
	registered  bool
	registering bool
	// recordSeen is set once the replica shows the record under this lease; the replica then holds every change that
	// was made before others could know of the record.
	recordSeen bool
	// recordedUntil is until when others certainly know this instance by its record.
	recordedUntil time.Time
}

// leaseGranted is the result of asking for a lease.
type leaseGranted struct {
	lease pollenstore.Lease
	sent  time.Time
	err   error
}

// leaseRenewed is the result of a renewal.
type leaseRenewed struct {
	id   uint64
	sent time.Time
	err  error
}

// registered is the result of writing the instance's record.
type registered struct {
	lease uint64
	err   error
}

func newLeaseState() leaseState {
	return leaseState{machine: pollenchart.NewMachine(leaseChart)}
}

func (c *Core) tickLease() {
	l := &c.lease
	now := time.Now()
	if l.machine.Has(traitExclusive) && !now.Before(l.deadline) {
		c.fireLease(eventLapsed, "no renewal in time")
	}
	if l.busy || now.Before(l.nextTry) || c.instance.State() == stateDrained {
		return
	}
	l.busy = true
	l.nextTry = now.Add(renewTime)
	store := c.config.Store
	if l.machine.Has(traitGrants) {
		c.async(callTimeout, func(ctx context.Context) any {
			lease, err := store.Grant(ctx, LeaseTime)
			return leaseGranted{lease: lease, sent: now, err: err}
		})
		return
	}
	id := l.id
	c.async(callTimeout, func(ctx context.Context) any {
		return leaseRenewed{id: id, sent: now, err: store.Renew(ctx, id)}
	})
}

func (c *Core) leaseGranted(m leaseGranted) {
	c.lease.busy = false
	if m.err != nil {
		return
	}
	c.lease.id = m.lease.ID
	c.leaseID.Store(m.lease.ID)
	c.lease.deadline = m.sent.Add(m.lease.Duration - leaseMargin)
	c.lease.registered, c.lease.recordSeen = false, false
	c.fireLease(eventGranted, fmt.Sprintf("lease %d", m.lease.ID))
	c.register()
}

func (c *Core) leaseRenewed(m leaseRenewed) {
	l := &c.lease
	l.busy = false
	if m.id != l.id {
		return
	}
	var gone *pollenstore.LeaseGoneError
	switch {
	case m.err == nil:
		l.deadline = m.sent.Add(LeaseTime - leaseMargin)
		l.sharedUntil = time.Time{}
		if l.recordSeen {
			l.recordedUntil = l.deadline
		}
		c.fireLease(eventRenewed, "the store answers")
		c.register()
	case errors.As(m.err, &gone):
		l.sharedUntil = time.Time{}
		l.registered = false
		c.fireLease(eventGone, "the store has dropped the lease")
		c.fireGroups(eventLeaseGone, "lease gone")
		l.nextTry = time.Time{}
	default:
		c.fireLease(eventStoreFailed, m.err.Error())
		l.sharedUntil = time.Now().Add(sharedTime)
		// The renewal may have taken effect; the deadline counts from the last one that is known to have.
	}
}

// register writes the instance's record under the lease.
func (c *Core) register() {
	l := &c.lease
	if l.registered || l.registering || !l.machine.Has(traitExclusive) {
		return
	}
	l.registering = true
	key := PrefixInstance + c.config.Self.Name
	value := encode(c.config.Self)
	store, id := c.config.Store, l.id
	c.async(2*callTimeout, func(ctx context.Context) any {
		current, err := store.Get(ctx, key)
		if err == nil {
			_, err = store.CompareAndSwap(ctx, pollenstore.Swap{Key: key, Value: value, Expected: current.Version, Lease: id})
		}
		return registered{lease: id, err: err}
	})
}

func (c *Core) registered(m registered) {
	l := &c.lease
	l.registering = false
	if m.err != nil || m.lease != l.id {
		// The next renewal tries again.
		return
	}
	l.registered = true
}

func (c *Core) fireLease(event pollenchart.Event, cause string) {
	from, to, changed := c.lease.machine.Fire(event)
	if changed {
		c.config.Log.Add(pollenevent.KindLease, c.config.Self.Name, fmt.Sprintf("%s to %s: %s", from, to, cause))
	}
}
