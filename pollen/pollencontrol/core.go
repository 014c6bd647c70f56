package pollencontrol

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"pollenline.example/pollen/pollenchart"
	"pollenline.example/pollen/pollencheck"
	"pollenline.example/pollen/pollenconfig"
	"pollenline.example/pollen/pollenevent"
	"pollenline.example/pollen/polleninventory"
	"pollenline.example/pollen/pollenpeer"
	"pollenline.example/pollen/pollenreplica"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenstore"
)

// Store is the platform's key-value store.
type Store interface {
	Get(ctx context.Context, key string) (pollenstore.Entry, error)
	List(ctx context.Context, prefix string) (pollenstore.Listing, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (pollenstore.Changes, error)
	CompareAndSwap(ctx context.Context, swap pollenstore.Swap) (uint64, error)
	Grant(ctx context.Context, duration time.Duration) (pollenstore.Lease, error)
	Renew(ctx context.Context, id uint64) error
	Revoke(ctx context.Context, id uint64) error
}

// Peers calls other instances.
type Peers interface {
	Ping(ctx context.Context, i pollenroute.Instance, request pollenpeer.PingRequest) (pollenpeer.PingReply, error)
	Watch(ctx context.Context, i pollenroute.Instance, request pollenpeer.WatchRequest) (pollenpeer.WatchReply, error)
	InForce(ctx context.Context, i pollenroute.Instance, request pollenpeer.InForceRequest) (pollenpeer.InForceReply, error)
}

// Inventory is the platform's list of instances; it may be out of date.
type Inventory interface {
	Instances(ctx context.Context) ([]polleninventory.Entry, error)
}

// Owner is the part of package pollenowner that the control state needs.
type Owner interface {
	// InFlight returns the number of sub-queries of a group that are in flight.
	InFlight(group pollenroute.Group) int
	// ProcessQueues dispatches queued sub-queries that may be sent after a change of table or ownership.
	ProcessQueues()
	// RemoveUnowned removes the state of servers whose group is not owned.
	RemoveUnowned(owned func(pollenroute.Group) bool)
}

// Config holds the settings and dependencies of a Core.
type Config struct {
	// Self is the record that this instance registers in the store.
	Self      Record
	Store     Store
	Peers     Peers
	Owner     Owner
	Replica   *pollenreplica.Replica
	Ownership *Ownership
	// Publish installs a new routing table.
	Publish func(*pollenroute.Table)
	// Post sends a message to the actor; it is safe for concurrent use.
	Post func(message any)
	Log  *pollenevent.Log
	// Seeds are the instances to follow while the store is down and no peer can be followed.
	Seeds []pollenroute.Instance
	// Inventory provides further seeds; it may be nil.
	Inventory Inventory
}

// Core holds the control state of an instance; only the actor calls Receive.
type Core struct {
	config   Config
	instance *pollenchart.Machine
	lease    leaseState
	groups   map[pollenroute.Group]*groupState
	owners   map[pollenroute.Group]ownerState
	// preferred holds the preferred owner of each group that this instance owns or should own.
	preferred map[pollenroute.Group]pollenroute.Instance
	records   map[string]Record
	peers     map[string]*peerState
	follow    followState

	configuration *pollenconfig.Configuration
	table         *pollenroute.Table
	// replicaLoaded is set once a full listing was applied.
	replicaLoaded bool
	// dirty is set when the published table is out of date.
	dirty     bool
	startedAt time.Time
	// syncedAt is the latest time at which the replica is known to have held every change.
	syncedAt time.Time
	// behindSince is when a peer was first found to have a newer store revision, zero while none has.
	behindSince time.Time
	leaving     atomic.Bool
	leaseID     atomic.Uint64
}

// NewCore returns the control state of an instance that has not registered yet.
func NewCore(config Config) *Core {
	c := &Core{
		config:        config,
		instance:      pollenchart.NewMachine(instanceChart),
		lease:         newLeaseState(),
		groups:        make(map[pollenroute.Group]*groupState),
		owners:        make(map[pollenroute.Group]ownerState),
		records:       make(map[string]Record),
		peers:         make(map[string]*peerState),
		follow:        followState{failedAt: make(map[string]time.Time)},
		configuration: pollenconfig.Empty(),
		startedAt:     time.Now(),
	}
	table, err := pollenroute.Build(c.configuration)
	if err != nil {
		panic(err)
	}
	c.table = table
	return c
}

// Tick is the message that starts all time-driven work; it is due every TickInterval.
type Tick struct{}

// Stop is the message that begins a graceful shutdown.
type Stop struct{}

// UnrecordedPeer is the message that an instance without a record in the replica has pinged this one.
type UnrecordedPeer struct {
	Instance pollenroute.Instance
}

// Unreferenced is the message that no caller can still hold this instance's address.
type Unreferenced struct{}

// Drained is the message that the wait for requests in flight and for the release of groups is over.
type Drained struct{}

// TickInterval is the time between ticks.
const TickInterval = 50 * time.Millisecond

// Receive handles one message.
func (c *Core) Receive(message any) {
	switch m := message.(type) {
	case Tick:
		c.tick()
	case followResult:
		c.handleFollowResult(m)
	case grantResult:
		c.handleGrantResult(m)
	case renewResult:
		c.handleRenewResult(m)
	case registerResult:
		c.handleRegisterResult(m)
	case claimResult:
		c.handleClaimResult(m)
	case releaseResult:
		c.handleReleaseResult(m)
	case pingResult:
		c.handlePingResult(m)
	case UnrecordedPeer:
		c.addUnrecordedPeer(m)
	case inventoryResult:
		c.handleInventoryResult(m)
	case Stop:
		c.beginShutdown()
	case Unreferenced:
		c.fireInstance(eventUnreferenced, "no caller has the address any longer")
	case Drained:
		c.fireInstance(eventDrained, "the last request has ended")
	}
	c.publish()
}

// State returns the current state of the instance's state chart; it is safe for concurrent use.
func (c *Core) State() string { return string(c.instance.State()) }

// TakesCallers reports whether the instance accepts callers' requests; it is safe for concurrent use.
func (c *Core) TakesCallers() bool { return c.instance.Has(traitTakesCallers) }

// ReplicaAge returns the time since the replica was last known to hold every change; it is safe for concurrent use.
func (c *Core) ReplicaAge() time.Duration {
	return time.Since(c.config.Ownership.current.Load().syncedAt)
}

// Leaving reports whether a graceful shutdown has begun; it is safe for concurrent use.
func (c *Core) Leaving() bool { return c.leaving.Load() }

// RevokeLease revokes the lease, which deletes the instance's keys at once; it is called at the end of a shutdown.
func (c *Core) RevokeLease(ctx context.Context) {
	if err := c.config.Store.Revoke(ctx, c.leaseID.Load()); err != nil {
		// The lease then expires.
		c.config.Log.Add(pollenevent.KindLease, c.config.Self.Name, "not revoked: "+err.Error())
	}
}

// callTimeout limits calls to the store and to other instances; a watch adds its wait.
const callTimeout = 400 * time.Millisecond

func (c *Core) tick() {
	c.tickLease()
	c.tickFollow()
	c.tickInventory()
	c.tickPeers()
	c.tickGroups()
	c.tickIsolation()
	c.config.Owner.ProcessQueues()
}

// async runs call in its own goroutine and posts its result to the actor.
func (c *Core) async(timeout time.Duration, call func(ctx context.Context) any) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		c.config.Post(call(ctx))
	}()
}

func (c *Core) beginShutdown() {
	c.fireInstance(eventStopAsked, "a graceful shutdown was asked for")
	c.config.Self.Leaving = true
	c.leaving.Store(true)
	c.lease.registered = false
	c.register()
	c.dirty = true
}

// fireInstance fires an event in the instance's state chart and logs a change of state.
func (c *Core) fireInstance(event pollenchart.Event, cause string) {
	from, to, changed := c.instance.Fire(event)
	if !changed {
		return
	}
	c.config.Log.Add(pollenevent.KindInstanceState, c.config.Self.Name, fmt.Sprintf("%s to %s: %s", from, to, cause))
	c.dirty = true
}

// applyEvents updates the state derived from changed keys.
func (c *Core) applyEvents(events []pollenstore.Event) {
	headChanged := false
	for _, event := range events {
		switch key := event.Entry.Key; {
		case key == KeyHead:
			headChanged = true
		case strings.HasPrefix(key, PrefixInstance):
			c.applyRecord(strings.TrimPrefix(key, PrefixInstance), event)
		case strings.HasPrefix(key, PrefixGroup):
			c.applyClaim(strings.TrimPrefix(key, PrefixGroup), event)
		}
	}
	if headChanged {
		c.applyHead()
	}
	if len(events) > 0 {
		c.dirty = true
	}
}

// applyListing rebuilds the state derived from the replica after the replica was reset.
func (c *Core) applyListing() {
	listing := c.config.Replica.List(Prefix)
	present := make(map[string]bool, len(listing.Entries))
	events := make([]pollenstore.Event, 0, len(listing.Entries))
	for _, entry := range listing.Entries {
		present[entry.Key] = true
		events = append(events, pollenstore.Event{Entry: entry})
	}
	for name := range c.records {
		if !present[PrefixInstance+name] {
			c.applyRecord(name, pollenstore.Event{Deleted: true})
		}
	}
	for group := range c.owners {
		if !present[PrefixGroup+group.String()] {
			c.applyClaim(group.String(), pollenstore.Event{Deleted: true})
		}
	}
	c.replicaLoaded = true
	c.applyEvents(events)
	c.dirty = true
}

// applyHead puts the configuration that the replica's head refers to into force.
func (c *Core) applyHead() {
	next, err := ReadConfiguration(c.config.Replica, c.configuration)
	if err != nil {
		c.config.Log.Add(pollenevent.KindConfiguration, c.config.Self.Name, "refused: "+err.Error())
		return
	}
	if next.Revision <= c.configuration.Revision {
		return
	}
	table, err := pollenroute.Build(next)
	if err != nil {
		c.config.Log.Add(pollenevent.KindConfiguration, c.config.Self.Name, "refused: "+err.Error())
		return
	}
	pollencheck.Assert(table.Revision > c.table.Revision, pollencheck.ConfigurationInForce,
		"revision %d after %d", table.Revision, c.table.Revision)
	c.configuration = next
	c.table = table
	c.config.Log.Add(pollenevent.KindConfiguration, fmt.Sprintf("revision %d", next.Revision), "change "+next.ChangeID)
}

// publish installs a new routing table if anything in it has changed, and publishes the lease and group states.
//
// The table is installed first, so that the data path never considers an old table fresh.
func (c *Core) publish() {
	changed := c.dirty
	c.dirty = false
	if changed {
		table := c.table.WithOwners(c.self(), c.instances(), c.ownersByGroup())
		c.config.Publish(table)
		c.updatePreferred(table)
	}
	c.publishOwnership()
	if changed {
		c.config.Owner.ProcessQueues()
	}
}

// self returns this instance as it appears in the routing table.
func (c *Core) self() pollenroute.Instance {
	self := c.config.Self.instance()
	self.Listed = c.instance.Has(traitListed)
	self.Claims = c.instance.Has(traitClaims)
	return self
}

// instances returns the known live instances, including this one.
func (c *Core) instances() []pollenroute.Instance {
	instances := []pollenroute.Instance{c.self()}
	for name, record := range c.records {
		if name == c.config.Self.Name {
			continue
		}
		i := record.instance()
		if p, ok := c.peers[name]; ok && (p.leaving || p.unresponsive()) {
			i.Listed = false
			i.Claims = i.Claims && !p.leaving
		}
		instances = append(instances, i)
	}
	return append(instances, c.unrecordedInstances()...)
}

// unrecordedInstances returns instances that have no record but may still serve.
//
// They get no new work, but must acknowledge changes and still get the requests whose IDs hold their incarnation.
func (c *Core) unrecordedInstances() []pollenroute.Instance {
	var instances []pollenroute.Instance
	for name, p := range c.peers {
		if _, recorded := c.records[name]; recorded {
			continue
		}
		if p.unresponsive() && (p.leaving || p.mustBeStale()) {
			continue
		}
		i := p.instance
		i.Listed, i.Claims, i.Unrecorded = false, false, true
		instances = append(instances, i)
	}
	return instances
}
