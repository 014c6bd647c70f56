package pollenowner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"pollenline.example/pollen/pollenbackend"
	"pollenline.example/pollen/pollenevent"
	"pollenline.example/pollen/pollenlimit"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenschema"
)

// Backend sends requests to one backend server.
type Backend interface {
	// Send sends a request at most once and returns its verified answer or an error type of package pollenbackend.
	Send(ctx context.Context, request *pollenbackend.Request) (*pollenbackend.Answer, error)
	// CloseIdleConnections makes the next request use a new connection.
	CloseIdleConnections()
}

// Ownership decides how much this instance may send to the servers of a group.
type Ownership interface {
	// Mode returns the current mode of a group; it is called immediately before each send.
	Mode(group pollenroute.Group) pollenlimit.Mode
}

// Config holds the dependencies of an Owner.
type Config struct {
	// Table returns the routing table in force.
	Table     func() *pollenroute.Table
	Ownership Ownership
	// Connect returns a client of a backend server.
	Connect func(server *pollenroute.Server) Backend
	Log     *pollenevent.Log
	Metrics *Metrics
}

// Owner holds the limiter and the client of each backend server in the owned groups.
type Owner struct {
	config  Config
	mu      sync.Mutex
	servers map[string]*ownedServer
	// inFlight is the number of sub-queries being sent in each group; a group is drained when it is zero.
	inFlight    map[pollenroute.Group]int
	lastAttempt atomic.Uint64
}

// NewOwner returns an Owner without backend servers; they are added on first use.
func NewOwner(config Config) *Owner {
	return &Owner{config: config, servers: make(map[string]*ownedServer), inFlight: make(map[pollenroute.Group]int)}
}

// Execute runs one sub-query against its backend server.
func (o *Owner) Execute(ctx context.Context, q *pollenmessage.SubQuery) pollenmessage.SubAnswer {
	if lateness := time.Since(q.Sent) - q.Timeout; lateness > maxClockSkew {
		return q.Refuse(pollenschema.Reason_REASON_DEADLINE, fmt.Sprintf("arrived %v after its deadline", lateness))
	}
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	id := pollenroute.ServerID(q.Service, q.Server)
	route, ok := o.config.Table().Servers[id]
	if !ok {
		return q.Refuse(pollenschema.Reason_REASON_NO_REPLICA, "unknown backend server")
	}
	if o.config.Ownership.Mode(route.Group) == pollenlimit.ModeStopped {
		return q.Refuse(pollenschema.Reason_REASON_NO_OWNER, "this instance does not own the server")
	}
	server := o.serverFor(route)
	deadline, _ := ctx.Deadline()
	permit, err := server.limiter.Acquire(ctx, pollenlimit.Work{Class: q.Class, Deadline: deadline, Hedge: q.Hedge})
	if err != nil {
		var refusal *pollenlimit.Refusal
		if errors.As(err, &refusal) {
			return q.Refuse(refusal.Reason, refusal.Detail)
		}
		return q.Refuse(pollenschema.Reason_REASON_OVERLOAD, err.Error())
	}
	o.config.Metrics.observeQueueTime(q, permit)
	answer := o.send(ctx, q, server, permit)
	answer.Warm = server.limiter.TakesHedges()
	answer.Typical = server.limiter.MedianLatency()
	return answer
}

// ProcessQueues processes all queues again after a change of the routing table or of the lease.
func (o *Owner) ProcessQueues() {
	for _, server := range o.allServers() {
		server.limiter.ProcessQueue()
	}
}

// RemoveUnowned removes the servers whose group is not owned, so that a later claim starts them cold.
func (o *Owner) RemoveUnowned(owned func(pollenroute.Group) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	table := o.config.Table()
	for id, server := range o.servers {
		_, known := table.Servers[id]
		if known && owned(server.route.Group) {
			continue
		}
		server.limiter.ProcessQueue()
		if o.inFlight[server.route.Group] == 0 {
			server.backend.CloseIdleConnections()
			delete(o.servers, id)
		}
	}
}

// InFlight returns the number of sub-queries of a group that are in flight.
func (o *Owner) InFlight(group pollenroute.Group) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.inFlight[group]
}

// maxClockSkew is how far the clocks of two instances may differ before sub-queries are refused as late.
const maxClockSkew = time.Second

// ownedServer holds the limiter and the client of one backend server.
type ownedServer struct {
	route   *pollenroute.Server
	limiter *pollenlimit.Limiter
	backend Backend
}

// serverFor returns the limiter and the client of a server, new ones if its address or its slots have changed.
func (o *Owner) serverFor(route *pollenroute.Server) *ownedServer {
	o.mu.Lock()
	defer o.mu.Unlock()
	if server, ok := o.servers[route.ID()]; ok && server.route.Address == route.Address && server.route.Slots == route.Slots {
		return server
	}
	server := &ownedServer{
		route: route,
		limiter: pollenlimit.NewLimiter(pollenlimit.Config{
			ID: route.ID(), Slots: route.Slots, Gate: &gate{owner: o, group: route.Group}, Log: o.config.Log,
		}),
		backend: o.config.Connect(route),
	}
	o.servers[route.ID()] = server
	return server
}

func (o *Owner) allServers() map[string]*ownedServer {
	o.mu.Lock()
	defer o.mu.Unlock()
	servers := make(map[string]*ownedServer, len(o.servers))
	for id, server := range o.servers {
		servers[id] = server
	}
	return servers
}

// gate decides by the routing table and the lease whether the servers of a group may be sent work.
type gate struct {
	owner *Owner
	group pollenroute.Group
}

// Decide implements pollenlimit.Gate.
func (g *gate) Decide(serverID string) pollenlimit.Decision {
	if reason := g.owner.config.Table().Refusal(serverID); reason != pollenschema.Reason_REASON_UNSPECIFIED {
		return pollenlimit.Decision{Mode: pollenlimit.ModeStopped, Reason: reason}
	}
	mode := g.owner.config.Ownership.Mode(g.group)
	return pollenlimit.Decision{Mode: mode, Reason: pollenschema.Reason_REASON_NO_OWNER}
}

// beginSend counts a sub-query as in flight, unless the gate no longer allows sends since the permit was granted.
func (o *Owner) beginSend(server *ownedServer) (pollenschema.Reason, bool) {
	group := server.route.Group
	o.mu.Lock()
	o.inFlight[group]++
	o.mu.Unlock()
	decision := (&gate{owner: o, group: group}).Decide(server.route.ID())
	if decision.Mode.AllowsSends() {
		return pollenschema.Reason_REASON_UNSPECIFIED, true
	}
	o.endSend(server)
	return decision.Reason, false
}

// endSend removes a sub-query that beginSend counted as in flight.
func (o *Owner) endSend(server *ownedServer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	group := server.route.Group
	o.inFlight[group]--
	if o.inFlight[group] == 0 {
		delete(o.inFlight, group)
	}
}
