package polleninstance

import (
	"context"
	"crypto/rand"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"pollenline.example/pollen/pollenactor"
	"pollenline.example/pollen/pollenbackend"
	"pollenline.example/pollen/pollencheck"
	"pollenline.example/pollen/pollenconfig"
	"pollenline.example/pollen/pollenconn"
	"pollenline.example/pollen/pollencontrol"
	"pollenline.example/pollen/pollenevent"
	"pollenline.example/pollen/pollenhandler"
	"pollenline.example/pollen/pollenidempotency"
	"pollenline.example/pollen/polleninventory"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollennaive"
	"pollenline.example/pollen/pollenowner"
	"pollenline.example/pollen/pollenpeer"
	"pollenline.example/pollen/pollenquery"
	"pollenline.example/pollen/pollenreplica"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenschema"
	"pollenline.example/pollen/pollenstore"
)

const (
	defaultStoreTimeout       = 400 * time.Millisecond
	defaultRememberedRequests = 100_000
	// eventCapacity and traceCapacity bound the control decisions and the traces of requests that are kept in memory.
	eventCapacity = 2000
	traceCapacity = 2000
)

// Peers calls other instances.
type Peers interface {
	pollencontrol.Peers
	// Execute runs a sub-query on the instance that owns its backend server.
	Execute(ctx context.Context, i pollenroute.Instance, q *pollenmessage.SubQuery) pollenmessage.SubAnswer
	// Forward forwards a caller's request to the instance that the request's ID names.
	Forward(ctx context.Context, i pollenroute.Instance, request *pollenpeer.ForwardRequest) (*pollenpeer.ForwardReply, error)
}

// Actor delivers messages to one function, one at a time and in order.
type Actor interface {
	// Post enqueues a message.
	Post(message any)
	// Stop ends the delivery of messages.
	Stop()
}

// Config holds the settings of an Instance and its connections to other systems.
type Config struct {
	Settings *Settings
	Store    pollencontrol.Store
	Peers    Peers
	// Inventory, if set, supplies instances to contact while the store is down.
	Inventory pollencontrol.Inventory
	// Connect returns a client of a backend server.
	Connect func(server *pollenroute.Server) pollenowner.Backend
	// Spawn starts the actor that owns the control state.
	Spawn func(receive func(message any)) Actor
}

// Instance is one running entry instance.
type Instance struct {
	config          Config
	settings        *Settings
	registry        *prometheus.Registry
	httpErrors      *prometheus.CounterVec
	events          *pollenevent.Log
	traces          *pollenevent.Traces
	replica         *pollenreplica.Replica
	table           atomic.Pointer[publishedTable]
	core            *pollencontrol.Core
	actor           Actor
	owner           *pollenowner.Owner
	callerHandler   *pollenhandler.CallerHandler
	operatorHandler *pollenhandler.OperatorHandler
	ownership       *pollencontrol.Ownership
	// inFlight is the number of running calls of other instances.
	inFlight atomic.Int64
}

// publishedTable is a routing table with a channel that is closed when a newer table is published.
type publishedTable struct {
	table      *pollenroute.Table
	superseded chan struct{}
}

// NetworkConfig returns the configuration of an instance that uses network connections, as in production.
func NetworkConfig(settings *Settings, logger *slog.Logger) Config {
	config := Config{
		Settings: settings,
		Store: pollenstore.NewClient(pollenstore.ClientConfig{
			Address: settings.StoreAddress, Timeout: settings.StoreTimeout.Std(),
		}),
		Peers:   pollenpeer.NewClient(),
		Connect: func(s *pollenroute.Server) pollenowner.Backend { return pollenbackend.NewClient(s) },
		Spawn:   func(receive func(any)) Actor { return pollenactor.Spawn(logger, receive) },
	}
	if settings.InventoryAddress.IsValid() {
		config.Inventory = polleninventory.NewClient(polleninventory.ClientConfig{
			Address: settings.InventoryAddress, Timeout: settings.StoreTimeout.Std(),
		})
	}
	return config
}

// New returns an instance, which is passive until Tick runs.
func New(config Config) *Instance {
	settings := config.Settings
	i := &Instance{
		config:    config,
		settings:  settings,
		registry:  prometheus.NewRegistry(),
		events:    pollenevent.NewLog(eventCapacity),
		traces:    pollenevent.NewTraces(traceCapacity),
		replica:   pollenreplica.New(),
		ownership: pollencontrol.NewOwnership(),
	}
	i.httpErrors = newHTTPErrorCounter(i.registry)
	i.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), pollencheck.ViolationsTotal, pollenpeer.Bytes)
	self := pollencontrol.Record{
		Name: settings.Name, Incarnation: rand.Text(), Zone: settings.Zone,
		Peer: settings.PeerAddress, Caller: settings.CallerAddress, Operator: settings.OperatorAddress,
	}
	i.publish(&pollenroute.Table{Self: pollenroute.Instance{Name: self.Name, Incarnation: self.Incarnation}})
	i.owner = pollenowner.NewOwner(pollenowner.Config{
		Table: i.Table, Ownership: i.ownership, Log: i.events, Metrics: pollenowner.NewMetrics(i.registry), Connect: config.Connect,
	})
	i.core = pollencontrol.NewCore(pollencontrol.Config{
		Self: self, Store: config.Store, Peers: config.Peers, Owner: i.owner, Replica: i.replica, Ownership: i.ownership,
		Publish: i.publish, Post: i.Post, Log: i.events, Seeds: seedInstances(settings.SeedAddresses),
		Inventory: config.Inventory,
	})
	i.actor = config.Spawn(i.core.Receive)
	i.buildHandlers(self)
	return i
}

// Post sends a message to the actor that owns the control state.
func (i *Instance) Post(message any) { i.actor.Post(message) }

// CallerHandler returns the handler for callers' requests.
func (i *Instance) CallerHandler() *pollenhandler.CallerHandler { return i.callerHandler }

// OperatorHandler returns the handler for operators' requests.
func (i *Instance) OperatorHandler() *pollenhandler.OperatorHandler { return i.operatorHandler }

// State returns the name of the current state in the instance's state chart.
func (i *Instance) State() string { return i.core.State() }

// Table returns the routing table in force.
func (i *Instance) Table() *pollenroute.Table {
	return i.table.Load().table
}

// Refusal implements pollenquery.Gate.
func (i *Instance) Refusal() pollenschema.Reason {
	switch {
	case !i.ownership.Fresh():
		return pollenschema.Reason_REASON_STALE
	case !i.core.TakesCallers():
		return pollenschema.Reason_REASON_LEAVING
	case !i.Table().ZoneAcceptsWork(i.settings.Zone):
		return pollenschema.Reason_REASON_ZONE_OUT
	}
	return pollenschema.Reason_REASON_UNSPECIFIED
}

// acceptsCallers reports whether the instance may answer Locate: it serves callers and its replica is fresh.
func (i *Instance) acceptsCallers() bool {
	return i.core.TakesCallers() && i.ownership.Fresh()
}

// Send implements pollenquery.Sender: it sends a sub-query to this instance's owner role or to another instance.
func (i *Instance) Send(ctx context.Context, owner pollenroute.Instance, q *pollenmessage.SubQuery) pollenmessage.SubAnswer {
	if owner.Incarnation == i.Table().Self.Incarnation {
		return i.owner.Execute(ctx, q)
	}
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	return i.config.Peers.Execute(ctx, owner, q)
}

// Forward implements pollenhandler.Forwarder.
func (i *Instance) Forward(ctx context.Context, to pollenroute.Instance, request *pollenpeer.ForwardRequest) (*pollenpeer.ForwardReply, error) {
	return i.config.Peers.Forward(ctx, to, request)
}

// buildHandlers creates the handlers for callers and operators.
func (i *Instance) buildHandlers(self pollencontrol.Record) {
	i.callerHandler = pollenhandler.NewCallerHandler(pollenhandler.CallerHandlerConfig{
		Table: i.Table, AcceptsCallers: i.acceptsCallers, Root: i.newAnswerer(self.Incarnation), Forwarder: i,
	})
	i.operatorHandler = pollenhandler.NewOperatorHandler(pollenhandler.OperatorHandlerConfig{
		Table: i.Table, Peers: i.config.Peers, SelfStatus: i.status, Configuration: i.configuration, Events: i.events, Traces: i.traces,
		Applier: &pollencontrol.Applier{
			Store: i.config.Store, Peers: i.config.Peers, Table: i.Table, InForce: i.waitForRevision, Incarnation: self.Incarnation, Started: time.Now(),
		},
	})
}

// newAnswerer returns the root role, or the baseline selected in the settings.
func (i *Instance) newAnswerer(incarnation string) pollenhandler.Answerer {
	metrics := pollenquery.NewMetrics(i.registry)
	if i.settings.Baseline == BaselineNaive {
		return pollennaive.New(pollennaive.Config{
			Table: i.Table, Connect: i.config.Connect, OnSend: func() { metrics.CountSends(1) }, OnAnswer: metrics.CountNeeded,
		})
	}
	policy := pollenquery.DefaultPolicy()
	policy.HedgeShare = i.settings.HedgeShare
	return pollenquery.New(pollenquery.Config{
		Gate: i, Table: i.Table, Sender: i, Traces: i.traces, Metrics: metrics, Policy: policy,
		Register: pollenidempotency.NewRegister(pollenidempotency.Config{Incarnation: incarnation, Capacity: i.settings.RememberedRequests}),
	})
}

// publish sets the routing table in force and wakes the waiters for a newer revision.
func (i *Instance) publish(table *pollenroute.Table) {
	previous := i.table.Swap(&publishedTable{table: table, superseded: make(chan struct{})})
	if previous != nil {
		close(previous.superseded)
	}
}

// waitForRevision waits until at least the given configuration revision is in force or ctx is done, and returns the
// revision in force.
func (i *Instance) waitForRevision(ctx context.Context, revision uint64) uint64 {
	for {
		published := i.table.Load()
		if published.table.Revision >= revision {
			return published.table.Revision
		}
		select {
		case <-ctx.Done():
			return published.table.Revision
		case <-published.superseded:
		}
	}
}

// status returns the status that this instance reports to operators and other instances.
func (i *Instance) status() pollenpeer.PingReply {
	table := i.Table()
	groups := 0
	for _, owner := range table.Owners {
		if owner.Incarnation == table.Self.Incarnation {
			groups++
		}
	}
	return pollenpeer.PingReply{
		Name: table.Self.Name, Incarnation: table.Self.Incarnation, State: i.core.State(),
		StoreRevision: i.replica.Revision(), Revision: table.Revision, Groups: groups,
		Leaving: i.core.Leaving(),
	}
}

// configuration returns the configuration that the replica holds.
func (i *Instance) configuration() (*pollenconfig.Configuration, error) {
	return pollencontrol.ReadConfiguration(i.replica, pollenconfig.Empty())
}

// seedInstances returns the instances at the seed addresses, of which only the peer address is known.
func seedInstances(addresses []netip.AddrPort) []pollenroute.Instance {
	var instances []pollenroute.Instance
	for _, address := range addresses {
		instances = append(instances, pollenroute.Instance{Name: fmt.Sprintf("seed %s", address), Peer: address})
	}
	return instances
}

// listen listens on a TCP address for connections of a registry, and returns a *ListenError if that fails.
func listen(registry *pollenconn.Registry, address netip.AddrPort) (net.Listener, error) {
	listener, err := registry.Listen(address.String())
	if err != nil {
		return nil, &ListenError{Address: address, Err: err}
	}
	return listener, nil
}

// ListenError reports an address on which the instance cannot listen.
type ListenError struct {
	Address netip.AddrPort
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("cannot listen on %s: %v", e.Address, e.Err) }

func (e *ListenError) Unwrap() error { return e.Err }
