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
	// Send sends a request once; its errors are those of package pollenbackend.
	Send(ctx context.Context, request *pollenbackend.Request) (*pollenbackend.Answer, error)
	// Retire makes the next request take a fresh connection.
	Retire()
}

// Ownership says what this instance may send to the servers of a group.
type Ownership interface {
	// Mode is checked immediately before each send.
	Mode(group pollenroute.Group) pollenlimit.Mode
}

// Config configures an Owner.
type Config struct {
	// Table returns the table in force.
	Table     func() *pollenroute.Table
	Ownership Ownership
	// Connect returns the way to a backend server.
	Connect func(server *pollenroute.Server) Backend
	Log     *pollenevent.Log
	Metrics *Metrics
}

// Owner holds the lines of all backend servers of the owned groups.
type Owner struct {
	config Config
	mu     sync.Mutex
	lines  map[string]*serverLine
	// sending counts the sub-queries in each group, so that a group can be drained.
	sending map[pollenroute.Group]int
	attempt atomic.Uint64
}

// NewOwner returns an owner without lines.
func NewOwner(config Config) *Owner {
	return &Owner{config: config, lines: make(map[string]*serverLine), sending: make(map[pollenroute.Group]int)}
}

// Execute runs one sub-query against its backend server.
func (o *Owner) Execute(ctx context.Context, q *pollenmessage.SubQuery) pollenmessage.SubAnswer {
	if late := time.Since(q.Sent) - q.Timeout; late > clockAllowance {
		return q.Refuse(pollenschema.Reason_REASON_DEADLINE, fmt.Sprintf("arrived %v after its deadline", late))
	}
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	id := pollenroute.ServerID(q.Service, q.Server)
	server, ok := o.config.Table().Servers[id]
	if !ok {
		return q.Refuse(pollenschema.Reason_REASON_NO_REPLICA, "unknown backend server")
	}
	if o.config.Ownership.Mode(server.Group) == pollenlimit.ModeStopped {
		return q.Refuse(pollenschema.Reason_REASON_NO_OWNER, "this instance does not own the server")
	}
	line := o.line(server)
	deadline, _ := ctx.Deadline()
	permit, err := line.limit.Acquire(ctx, pollenlimit.Work{Class: q.Class, Deadline: deadline, Hedge: q.Hedge})
	if err != nil {
		var refusal *pollenlimit.Refusal
		if errors.As(err, &refusal) {
			return q.Refuse(refusal.Reason, refusal.Detail)
		}
		return q.Refuse(pollenschema.Reason_REASON_OVERLOAD, err.Error())
	}
	o.config.Metrics.observeQueue(q, permit)
	answer := o.send(ctx, q, line, permit)
	answer.Warm = line.limit.TakesHedges()
	answer.Typical = line.limit.Typical()
	return answer
}

// Pump looks at every queue again, as after a change of the table or of the lease.
func (o *Owner) Pump() {
	for _, line := range o.allLines() {
		line.limit.Pump()
	}
}

// Forget drops the lines of servers whose group is not owned, so that a later claim starts them cold.
func (o *Owner) Forget(owned func(pollenroute.Group) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	table := o.config.Table()
	for id, line := range o.lines {
		_, known := table.Servers[id]
		if known && owned(line.server.Group) {
			continue
		}
		line.limit.Pump()
		if o.sending[line.server.Group] == 0 {
			line.backend.Retire()
			delete(o.lines, id)
		}
	}
}

// Sending returns the number of sub-queries of a group that are being sent.
func (o *Owner) Sending(group pollenroute.Group) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sending[group]
}

// clockAllowance is how far the clocks of two instances may differ before sub-queries are refused as late.
const clockAllowance = time.Second

// serverLine is a backend server with its queue and its connections.
type serverLine struct {
	server  *pollenroute.Server
	limit   *pollenlimit.Line
	backend Backend
}

func (o *Owner) line(server *pollenroute.Server) *serverLine {
	o.mu.Lock()
	defer o.mu.Unlock()
	if line, ok := o.lines[server.ID()]; ok && line.server.Address == server.Address && line.server.Slots == server.Slots {
		return line
	}
	line := &serverLine{
		server: server,
		limit: pollenlimit.NewLine(pollenlimit.Config{
			ID: server.ID(), Slots: server.Slots, Gate: &gate{owner: o, group: server.Group}, Log: o.config.Log,
		}),
		backend: o.config.Connect(server),
	}
	o.lines[server.ID()] = line
	return line
}

func (o *Owner) allLines() map[string]*serverLine {
	o.mu.Lock()
	defer o.mu.Unlock()
	lines := make(map[string]*serverLine, len(o.lines))
	for id, line := range o.lines {
		lines[id] = line
	}
	return lines
}

// gate joins the table's and the lease's view of one server.
type gate struct {
	owner *Owner
	group pollenroute.Group
}

// Verdict implements pollenlimit.Gate.
func (g *gate) Verdict(serverID string) pollenlimit.Verdict {
	if reason := g.owner.config.Table().Refusal(serverID); reason != pollenschema.Reason_REASON_UNSPECIFIED {
		return pollenlimit.Verdict{Mode: pollenlimit.ModeStopped, Reason: reason}
	}
	mode := g.owner.config.Ownership.Mode(g.group)
	return pollenlimit.Verdict{Mode: mode, Reason: pollenschema.Reason_REASON_NO_OWNER}
}

// enterGroup counts a send, unless the gate has closed since the permit was granted.
func (o *Owner) enterGroup(line *serverLine) (pollenschema.Reason, bool) {
	o.mu.Lock()
	o.sending[line.server.Group]++
	o.mu.Unlock()
	verdict := (&gate{owner: o, group: line.server.Group}).Verdict(line.server.ID())
	if verdict.Mode.Sends() {
		return pollenschema.Reason_REASON_UNSPECIFIED, true
	}
	o.leaveGroup(line)
	return verdict.Reason, false
}

func (o *Owner) leaveGroup(line *serverLine) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sending[line.server.Group]--
	if o.sending[line.server.Group] == 0 {
		delete(o.sending, line.server.Group)
	}
}
