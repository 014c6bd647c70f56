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

// Store is the platform's key-value service.
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

// Inventory is the platform's list of instances, which lags.
type Inventory interface {
	Instances(ctx context.Context) ([]polleninventory.Entry, error)
}

// Traffic is the part of the owner role that control waits for.
type Traffic interface {
	// InFlight returns the number of sub-queries of a group that are in flight.
	InFlight(group pollenroute.Group) int
	// ProcessQueues processes all queues again.
	ProcessQueues()
	// RemoveUnowned removes the state of servers whose group is not owned.
	RemoveUnowned(owned func(pollenroute.Group) bool)
}

// Config configures a Core.
type Config struct {
	Self  Record
	Store Store
	Peers Peers
	// Traffic is asked about the owner role.
	Traffic   Traffic
	Replica   *pollenreplica.Replica
	Ownership *Ownership
	// Publish is given every new table.
	Publish func(*pollenroute.Table)
	// Post sends a message to the actor; it may be called from any goroutine.
	Post func(message any)
	Log  *pollenevent.Log
	// Seeds are instances to ask before any is known, as when the store is down.
	Seeds []pollenroute.Instance
	// Inventory, if set, names further seeds.
	Inventory Inventory
}

// Core is the control state; only the actor calls Receive.
type Core struct {
	config   Config
	instance *pollenchart.Machine
	lease    leaseState
	groups   map[pollenroute.Group]*groupState
	owners   map[pollenroute.Group]ownerState
	// preferred names the owner that each group should have, for the groups that concern this instance.
	preferred map[pollenroute.Group]pollenroute.Instance
	records   map[string]Record
	peers     map[string]*peerState
	follow    followState

	configuration *pollenconfig.Configuration
	table         *pollenroute.Table
	// replicaRead is set once a whole listing was taken in.
	replicaRead bool
	dirty       bool
	startedAt   time.Time
	// freshAt is a time up to which the replica is known to be complete.
	freshAt time.Time
	// behindSince is since when a peer is ahead of this instance, zero while none is.
	behindSince time.Time
	leaving     atomic.Bool
	leaseID     atomic.Uint64
}

// NewCore returns the control state of an instance that has not joined yet.
func NewCore(config Config) *Core {
	c := &Core{
		config:        config,
		instance:      pollenchart.NewMachine(instanceChart),
		lease:         newLeaseState(),
		groups:        make(map[pollenroute.Group]*groupState),
		owners:        make(map[pollenroute.Group]ownerState),
		records:       make(map[string]Record),
		peers:         make(map[string]*peerState),
		follow:        followState{failed: make(map[string]time.Time)},
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

// Tick is the message that drives everything that depends on time; it is due every TickTime.
type Tick struct{}

// Stop is the message that asks for a graceful shutdown.
type Stop struct{}

// Contact is the message that an instance without a record in the replica has called.
type Contact struct {
	Instance pollenroute.Instance
}

// Unreferenced is the message that no caller may have this instance's address any longer.
type Unreferenced struct{}

// Drained is the message that the last request has ended and the last group is given up.
type Drained struct{}

// TickTime is the pause between ticks.
const TickTime = 50 * time.Millisecond

// Receive handles one message.
func (c *Core) Receive(message any) {
	switch m := message.(type) {
	case Tick:
		c.tick()
	case followed:
		c.followed(m)
	case leaseGranted:
		c.leaseGranted(m)
	case leaseRenewed:
		c.leaseRenewed(m)
	case registered:
		c.registered(m)
	case claimed:
		c.claimed(m)
	case released:
		c.released(m)
	case pinged:
		c.pinged(m)
	case Contact:
		c.contact(m)
	case listed:
		c.listed(m)
	case Stop:
		c.stop()
	case Unreferenced:
		c.fire(eventUnreferenced, "no caller has the address any longer")
	case Drained:
		c.fire(eventDrained, "the last request has ended")
	}
	c.publish()
}

// State returns the state of the instance's chart; it may be called from any goroutine.
func (c *Core) State() string { return string(c.instance.State()) }

// TakesCallers reports whether requests of callers are taken; it may be called from any goroutine.
func (c *Core) TakesCallers() bool { return c.instance.Has(traitTakesCallers) }

// Age returns for how long the replica is not known to be complete; it may be called from any goroutine.
func (c *Core) Age() time.Duration { return time.Since(c.config.Ownership.current.Load().freshAt) }

// Leaving reports whether a graceful shutdown has begun; it may be called from any goroutine.
func (c *Core) Leaving() bool { return c.leaving.Load() }

// RevokeLease gives the lease back, so that the instance's keys go at once; it is called when the actor is done.
func (c *Core) RevokeLease(ctx context.Context) {
	if err := c.config.Store.Revoke(ctx, c.leaseID.Load()); err != nil {
		// The lease then ends by itself.
		c.config.Log.Add(pollenevent.KindLease, c.config.Self.Name, "not revoked: "+err.Error())
	}
}

// callTimeout bounds calls to the store and to other instances that have no wait of their own.
const callTimeout = 400 * time.Millisecond

func (c *Core) tick() {
	c.tickLease()
	c.tickFollow()
	c.tickInventory()
	c.tickPeers()
	c.tickGroups()
	c.tickIsolation()
	c.config.Traffic.ProcessQueues()
}

// async runs a call beside the actor and posts its result.
func (c *Core) async(timeout time.Duration, call func(ctx context.Context) any) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		c.config.Post(call(ctx))
	}()
}

func (c *Core) stop() {
	c.fire(eventStopAsked, "a graceful shutdown was asked for")
	c.config.Self.Leaving = true
	c.leaving.Store(true)
	c.lease.registered = false
	c.register()
	c.dirty = true
}

func (c *Core) fire(event pollenchart.Event, cause string) {
	from, to, changed := c.instance.Fire(event)
	if !changed {
		return
	}
	c.config.Log.Add(pollenevent.KindInstanceState, c.config.Self.Name, fmt.Sprintf("%s to %s: %s", from, to, cause))
	c.dirty = true
}

// takeEvents brings the derived state up to date with changed keys.
func (c *Core) takeEvents(events []pollenstore.Event) {
	head := false
	for _, event := range events {
		switch key := event.Entry.Key; {
		case key == KeyHead:
			head = true
		case strings.HasPrefix(key, PrefixInstance):
			c.takeRecord(strings.TrimPrefix(key, PrefixInstance), event)
		case strings.HasPrefix(key, PrefixGroup):
			c.takeClaim(strings.TrimPrefix(key, PrefixGroup), event)
		}
	}
	if head {
		c.takeHead()
	}
	if len(events) > 0 {
		c.dirty = true
	}
}

// takeListing replaces the derived state after the replica was reset.
func (c *Core) takeListing() {
	listing := c.config.Replica.List(Prefix)
	present := make(map[string]bool, len(listing.Entries))
	events := make([]pollenstore.Event, 0, len(listing.Entries))
	for _, entry := range listing.Entries {
		present[entry.Key] = true
		events = append(events, pollenstore.Event{Entry: entry})
	}
	for name := range c.records {
		if !present[PrefixInstance+name] {
			c.takeRecord(name, pollenstore.Event{Deleted: true})
		}
	}
	for group := range c.owners {
		if !present[PrefixGroup+group.String()] {
			c.takeClaim(group.String(), pollenstore.Event{Deleted: true})
		}
	}
	c.replicaRead = true
	c.takeEvents(events)
	c.dirty = true
}

// takeHead puts the configuration that the replica's head names into force.
func (c *Core) takeHead() {
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

// publish hands traffic a new table if anything in it has changed, and the state of lease and groups.
//
// The table goes first, so that traffic never takes an old one for fresh.
func (c *Core) publish() {
	changed := c.dirty
	c.dirty = false
	if changed {
		table := c.table.WithOwners(c.self(), c.instances(), c.ownersByGroup())
		c.config.Publish(table)
		c.preferOwners(table)
	}
	c.publishOwnership()
	if changed {
		c.config.Traffic.ProcessQueues()
	}
}

func (c *Core) self() pollenroute.Instance {
	self := c.config.Self.instance()
	self.Listed = c.instance.Has(traitListed)
	self.Claims = c.instance.Has(traitClaims)
	return self
}

// instances returns the live instances as far as they are known, this one included.
func (c *Core) instances() []pollenroute.Instance {
	instances := []pollenroute.Instance{c.self()}
	for name, record := range c.records {
		if name == c.config.Self.Name {
			continue
		}
		i := record.instance()
		if p, ok := c.peers[name]; ok && (p.leaving || p.silent()) {
			i.Listed = false
			i.Claims = i.Claims && !p.leaving
		}
		instances = append(instances, i)
	}
	return append(instances, c.unrecorded()...)
}

// unrecorded returns instances whose record is gone but that may still serve: they get no new work, but must have
// changes in force and answer for their incarnation.
func (c *Core) unrecorded() []pollenroute.Instance {
	var instances []pollenroute.Instance
	for name, p := range c.peers {
		if _, stands := c.records[name]; stands {
			continue
		}
		if p.silent() && (p.leaving || p.mustBeStale()) {
			continue
		}
		i := p.instance
		i.Listed, i.Claims, i.Unrecorded = false, false, true
		instances = append(instances, i)
	}
	return instances
}
