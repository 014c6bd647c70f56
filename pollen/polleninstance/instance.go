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
	"pollenline.example/pollen/pollencontrol"
	"pollenline.example/pollen/pollenedge"
	"pollenline.example/pollen/pollenevent"
	"pollenline.example/pollen/polleninventory"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollennaive"
	"pollenline.example/pollen/pollenonce"
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
	eventCapacity             = 2000
	traceCapacity             = 2000
)

// Peers calls other instances.
type Peers interface {
	pollencontrol.Peers
	// Execute runs a sub-query on the instance that owns its backend server.
	Execute(ctx context.Context, i pollenroute.Instance, q *pollenmessage.SubQuery) pollenmessage.SubAnswer
	// Forward passes a caller's request on to the instance that its id names.
	Forward(ctx context.Context, i pollenroute.Instance, request *pollenpeer.ForwardRequest) (*pollenpeer.ForwardReply, error)
}

// Actor delivers messages to one function, one at a time and in order.
type Actor interface {
	Post(message any)
	Stop()
}

// Config configures an Instance with its ways to the outside.
type Config struct {
	Settings *Settings
	Store    pollencontrol.Store
	Peers    Peers
	// Inventory, if set, names instances to ask while the store is down.
	Inventory pollencontrol.Inventory
	// Connect returns the way to a backend server.
	Connect func(server *pollenroute.Server) pollenowner.Backend
	// Spawn starts the actor that holds the control state.
	Spawn func(receive func(message any)) Actor
}

// Instance is one running entry instance.
type Instance struct {
	config   Config
	settings *Settings
	registry *prometheus.Registry
	errors   *prometheus.CounterVec
	events   *pollenevent.Log
	traces   *pollenevent.Traces
	replica  *pollenreplica.Replica
	table    atomic.Pointer[tableBox]
	core     *pollencontrol.Core
	actor    Actor
	owner    *pollenowner.Owner
	caller   *pollenedge.Caller
	operator *pollenedge.Operator
	inFlight atomic.Int64

	ownership *pollencontrol.Ownership
}

// tableBox is a table with a channel that is closed when a newer one is published.
type tableBox struct {
	table *pollenroute.Table
	newer chan struct{}
}

// Dial returns the configuration of an instance that reaches the outside over the network.
func Dial(settings *Settings, logger *slog.Logger) Config {
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

// New puts an instance together; it does nothing until it is ticked.
func New(config Config) *Instance {
	settings := config.Settings
	i := &Instance{
		config:   config,
		settings: settings,
		registry: prometheus.NewRegistry(),
		events:   pollenevent.NewLog(eventCapacity),
		traces:   pollenevent.NewTraces(traceCapacity),
		replica:  pollenreplica.New(),

		ownership: pollencontrol.NewOwnership(),
	}
	i.errors = newErrorCounter(i.registry)
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
		Self: self, Store: config.Store, Peers: config.Peers, Traffic: i.owner, Replica: i.replica, Ownership: i.ownership,
		Publish: i.publish, Post: i.Post, Log: i.events, Seeds: seeds(settings.SeedAddresses),
		Inventory: config.Inventory,
	})
	i.actor = config.Spawn(i.core.Receive)
	i.buildEdge(self)
	return i
}

// Post sends a message to the control state.
func (i *Instance) Post(message any) { i.actor.Post(message) }

// Caller returns the handler of callers' requests.
func (i *Instance) Caller() *pollenedge.Caller { return i.caller }

// Operator returns the handler of operators' requests.
func (i *Instance) Operator() *pollenedge.Operator { return i.operator }

// State returns the state of the instance's chart.
func (i *Instance) State() string { return i.core.State() }

// Table returns the table in force.
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

func (i *Instance) takesCallers() bool {
	return i.core.TakesCallers() && i.ownership.Fresh()
}

// Send implements pollenquery.Sender: a sub-query goes to this instance's owner role or to another instance.
func (i *Instance) Send(ctx context.Context, owner pollenroute.Instance, q *pollenmessage.SubQuery) pollenmessage.SubAnswer {
	if owner.Incarnation == i.Table().Self.Incarnation {
		return i.owner.Execute(ctx, q)
	}
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	return i.config.Peers.Execute(ctx, owner, q)
}

// Forward implements pollenedge.Forwarder.
func (i *Instance) Forward(ctx context.Context, to pollenroute.Instance, request *pollenpeer.ForwardRequest) (*pollenpeer.ForwardReply, error) {
	return i.config.Peers.Forward(ctx, to, request)
}

func (i *Instance) buildEdge(self pollencontrol.Record) {
	i.caller = pollenedge.NewCaller(pollenedge.CallerConfig{
		Table: i.Table, TakesCallers: i.takesCallers, Root: i.answerer(self.Incarnation), Forwarder: i,
	})
	i.operator = pollenedge.NewOperator(pollenedge.OperatorConfig{
		Table: i.Table, Peers: i.config.Peers, Self: i.status, Configuration: i.configuration, Events: i.events, Traces: i.traces,
		Applier: &pollencontrol.Applier{
			Store: i.config.Store, Peers: i.config.Peers, Table: i.Table, InForce: i.inForce, Incarnation: self.Incarnation, Started: time.Now(),
		},
	})
}

// answerer returns the root role, or the baseline that the settings name.
func (i *Instance) answerer(incarnation string) pollenedge.Answerer {
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
		Register: pollenonce.NewRegister(pollenonce.Config{Incarnation: incarnation, Capacity: i.settings.RememberedRequests}),
	})
}

func (i *Instance) publish(table *pollenroute.Table) {
	previous := i.table.Swap(&tableBox{table: table, newer: make(chan struct{})})
	if previous != nil {
		close(previous.newer)
	}
}

// inForce waits until a revision is in force here, and returns the one that is.
func (i *Instance) inForce(ctx context.Context, revision uint64) uint64 {
	for {
		box := i.table.Load()
		if box.table.Revision >= revision {
			return box.table.Revision
		}
		select {
		case <-ctx.Done():
			return box.table.Revision
		case <-box.newer:
		}
	}
}

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

func (i *Instance) configuration() (*pollenconfig.Configuration, error) {
	return pollencontrol.ReadConfiguration(i.replica, pollenconfig.Empty())
}

func seeds(addresses []netip.AddrPort) []pollenroute.Instance {
	var instances []pollenroute.Instance
	for _, address := range addresses {
		instances = append(instances, pollenroute.Instance{Name: fmt.Sprintf("seed %s", address), Peer: address})
	}
	return instances
}

func listen(address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, &ListenError{Address: address, Err: err}
	}
	return listener, nil
}

// ListenError reports an address that cannot be served.
type ListenError struct {
	Address netip.AddrPort
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("cannot listen on %s: %v", e.Address, e.Err) }

func (e *ListenError) Unwrap() error { return e.Err }
