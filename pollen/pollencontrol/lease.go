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
	// LeaseDuration is how long the store keeps an instance's keys without a renewal.
	LeaseDuration = 1500 * time.Millisecond
	// leaseMargin is how much earlier the holder considers the lease lapsed than the store does.
	leaseMargin = 200 * time.Millisecond
	// renewInterval is the time between calls to grant or renew the lease.
	renewInterval = 400 * time.Millisecond
	// outageDuration is how long after a failed renewal the holder considers the store down.
	outageDuration = 1500 * time.Millisecond
)

// leaseState is this instance's lease.
type leaseState struct {
	machine *pollenchart.Machine
	id      uint64
	// deadline is when the lease lapses, counted from when its last successful renewal was sent.
	deadline time.Time
	// outageUntil is the time until which the store counts as down, zero after a renewal.
	outageUntil time.Time
	// callInFlight is set during a call to grant or renew the lease.
	callInFlight bool
	nextAttempt  time.Time
	// registered is set while the instance's record is stored under the lease.
	registered bool
	// registering is set while the record is being written.
	registering bool
	// recordInReplica is set once the replica holds the record under this lease. The replica then also holds every
	// change made before others could see the record.
	recordInReplica bool
	// recordVisibleUntil is the time until which others are certain to see this instance's record.
	recordVisibleUntil time.Time
}

// grantResult is the result of a call that grants a lease.
type grantResult struct {
	lease pollenstore.Lease
	sent  time.Time
	err   error
}

// renewResult is the result of a renewal.
type renewResult struct {
	id   uint64
	sent time.Time
	err  error
}

// registerResult is the result of writing the instance's record.
type registerResult struct {
	lease uint64
	err   error
}

func newLeaseState() leaseState {
	return leaseState{machine: pollenchart.NewMachine(leaseChart)}
}

// tickLease detects that the lease has lapsed, and starts a call to grant or renew it when one is due.
func (c *Core) tickLease() {
	l := &c.lease
	now := time.Now()
	if l.machine.Has(traitExclusive) && !now.Before(l.deadline) {
		c.fireLease(eventLapsed, "no renewal in time")
	}
	if l.callInFlight || now.Before(l.nextAttempt) || c.instance.State() == stateDrained {
		return
	}
	l.callInFlight = true
	l.nextAttempt = now.Add(renewInterval)
	store := c.config.Store
	if l.machine.Has(traitGrants) {
		c.async(callTimeout, func(ctx context.Context) any {
			lease, err := store.Grant(ctx, LeaseDuration)
			return grantResult{lease: lease, sent: now, err: err}
		})
		return
	}
	id := l.id
	c.async(callTimeout, func(ctx context.Context) any {
		return renewResult{id: id, sent: now, err: store.Renew(ctx, id)}
	})
}

func (c *Core) handleGrantResult(m grantResult) {
	c.lease.callInFlight = false
	if m.err != nil {
		return
	}
	c.lease.id = m.lease.ID
	c.leaseID.Store(m.lease.ID)
	c.lease.deadline = m.sent.Add(m.lease.Duration - leaseMargin)
	c.lease.registered, c.lease.recordInReplica = false, false
	c.fireLease(eventGranted, fmt.Sprintf("lease %d", m.lease.ID))
	c.register()
}

func (c *Core) handleRenewResult(m renewResult) {
	l := &c.lease
	l.callInFlight = false
	if m.id != l.id {
		return
	}
	var gone *pollenstore.LeaseGoneError
	switch {
	case m.err == nil:
		l.deadline = m.sent.Add(LeaseDuration - leaseMargin)
		l.outageUntil = time.Time{}
		if l.recordInReplica {
			l.recordVisibleUntil = l.deadline
		}
		c.fireLease(eventRenewed, "the store answers")
		c.register()
	case errors.As(m.err, &gone):
		l.outageUntil = time.Time{}
		l.registered = false
		c.fireLease(eventGone, "the store has dropped the lease")
		c.fireGroups(eventLeaseGone, "lease gone")
		l.nextAttempt = time.Time{}
	default:
		c.fireLease(eventStoreFailed, m.err.Error())
		l.outageUntil = time.Now().Add(outageDuration)
		// The renewal may have taken effect; the deadline counts from the last one known to have succeeded.
	}
}

// register writes the instance's record under the lease, unless it is already stored.
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
		return registerResult{lease: id, err: err}
	})
}

func (c *Core) handleRegisterResult(m registerResult) {
	l := &c.lease
	l.registering = false
	if m.err != nil || m.lease != l.id {
		// The next renewal calls register again.
		return
	}
	l.registered = true
}

// fireLease fires an event in the lease's state chart and logs a change of state.
func (c *Core) fireLease(event pollenchart.Event, cause string) {
	from, to, changed := c.lease.machine.Fire(event)
	if changed {
		c.config.Log.Add(pollenevent.KindLease, c.config.Self.Name, fmt.Sprintf("%s to %s: %s", from, to, cause))
	}
}
