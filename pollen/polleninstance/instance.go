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

	"pollenline.example/pollen/pollenbackend"
	"pollenline.example/pollen/pollencheck"
	"pollenline.example/pollen/pollenconfig"
	"pollenline.example/pollen/pollencontrol"
	"pollenline.example/pollen/pollenedge"
	"pollenline.example/pollen/pollenevent"
	"pollenline.example/pollen/pollenmessage"
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

// Instance is one running entry instance.
type Instance struct {
	settings *Settings
	registry *prometheus.Registry
	events   *pollenevent.Log
	traces   *pollenevent.Traces
	replica  *pollenreplica.Replica
	table    atomic.Pointer[tableBox]
	control  *controlActor
	owner    *pollenowner.Owner
	peers    *pollenpeer.Client
	store    *pollenstore.Client
	caller   *pollenedge.Caller
	operator *pollenedge.Operator
	inFlight atomic.Int64
}

// tableBox is a table with a channel that is closed when a newer one is published.
type tableBox struct {
	table *pollenroute.Table
	newer chan struct{}
}

// New puts an instance together; nothing runs yet.
func New(settings *Settings, logger *slog.Logger) *Instance {
	i := &Instance{
		settings: settings,
		registry: prometheus.NewRegistry(),
		events:   pollenevent.NewLog(eventCapacity),
		traces:   pollenevent.NewTraces(traceCapacity),
		replica:  pollenreplica.New(),
		peers:    pollenpeer.NewClient(),
		store: pollenstore.NewClient(pollenstore.ClientConfig{
			Address: settings.StoreAddress, Timeout: settings.StoreTimeout.Std(),
		}),
	}
	i.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), pollencheck.Violations)
	self := pollencontrol.Record{
		Name: settings.Name, Incarnation: rand.Text(), Zone: settings.Zone,
		Peer: settings.PeerAddress, Caller: settings.CallerAddress, Operator: settings.OperatorAddress,
	}
	ownership := pollencontrol.NewOwnership()
	i.owner = pollenowner.NewOwner(pollenowner.Config{
		Table: i.Table, Ownership: ownership, Log: i.events, Metrics: pollenowner.NewMetrics(i.registry),
		Connect: func(s *pollenroute.Server) pollenowner.Backend { return pollenbackend.NewClient(s) },
	})
	i.control = newControlActor(logger, func(post func(any)) *pollencontrol.Core {
		return pollencontrol.NewCore(pollencontrol.Config{
			Self: self, Store: i.store, Peers: i.peers, Traffic: i.owner, Replica: i.replica, Ownership: ownership,
			Publish: i.publish, Post: post, Log: i.events, Seeds: seeds(settings.SeedAddresses),
		})
	})
	i.publish(&pollenroute.Table{Self: pollenroute.Instance{Name: self.Name, Incarnation: self.Incarnation}})
	i.buildEdge(self)
	return i
}

// Table returns the table in force.
func (i *Instance) Table() *pollenroute.Table {
	return i.table.Load().table
}

// Refusal implements pollenquery.Gate.
func (i *Instance) Refusal() pollenschema.Reason {
	switch {
	case !i.control.core.TakesCallers() && i.control.core.State() == "Isolated":
		return pollenschema.Reason_REASON_STALE
	case !i.control.core.TakesCallers():
		return pollenschema.Reason_REASON_LEAVING
	case !i.Table().ZoneTakesWork(i.settings.Zone):
		return pollenschema.Reason_REASON_ZONE_OUT
	}
	return pollenschema.Reason_REASON_UNSPECIFIED
}

// Send implements pollenquery.Sender: a sub-query goes to this instance's owner role or to another instance.
func (i *Instance) Send(ctx context.Context, owner pollenroute.Instance, q *pollenmessage.SubQuery) pollenmessage.SubAnswer {
	if owner.Incarnation == i.Table().Self.Incarnation {
		return i.owner.Execute(ctx, q)
	}
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	return i.peers.Execute(ctx, owner.Peer, q)
}

// Forward implements pollenedge.Forwarder.
func (i *Instance) Forward(ctx context.Context, to pollenroute.Instance, request *pollenpeer.ForwardRequest) (*pollenpeer.ForwardReply, error) {
	return i.peers.Forward(ctx, to.Peer, request)
}

func (i *Instance) buildEdge(self pollencontrol.Record) {
	policy := pollenquery.DefaultPolicy()
	policy.HedgeShare = i.settings.HedgeShare
	root := pollenquery.New(pollenquery.Config{
		Gate: i, Table: i.Table, Sender: i, Traces: i.traces, Metrics: pollenquery.NewMetrics(i.registry), Policy: policy,
		Register: pollenonce.NewRegister(pollenonce.Config{Incarnation: self.Incarnation, Capacity: i.settings.RememberedRequests}),
	})
	i.caller = pollenedge.NewCaller(pollenedge.CallerConfig{
		Table: i.Table, TakesCallers: i.control.core.TakesCallers, Root: root, Forwarder: i,
	})
	i.operator = pollenedge.NewOperator(pollenedge.OperatorConfig{
		Table: i.Table, Peers: i.peers, Self: i.status, Configuration: i.configuration, Events: i.events, Traces: i.traces,
		Applier: &pollencontrol.Applier{
			Store: i.store, Peers: i.peers, Table: i.Table, InForce: i.inForce, Incarnation: self.Incarnation,
		},
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
		Name: table.Self.Name, Incarnation: table.Self.Incarnation, State: i.control.core.State(),
		StoreRevision: i.replica.Revision(), Revision: table.Revision, Groups: groups,
		Leaving: i.control.core.Leaving(),
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
