package pollentrial

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"pollenline.example/pollen/pollencheck"
	"pollenline.example/pollen/pollenconfig"
	"pollenline.example/pollen/pollencontrol"
	"pollenline.example/pollen/pollenfakeserver"
	"pollenline.example/pollen/pollenfakestore"
	"pollenline.example/pollen/pollenfirm"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenschema"
	"pollenline.example/pollen/pollenstore"
)

// Config configures a Trial.
type Config struct {
	Instances int
	Seed      uint64
	// LateSends lets a node that was paused between its check and its send go on with the send.
	LateSends bool
	// ColdTime is how long backend servers take to warm up, and Cold starts them cold.
	ColdTime time.Duration
	Cold     bool
	// CrossShare of the answers between nodes are swapped with earlier ones.
	CrossShare float64
	// Baseline is that of the instances' settings.
	Baseline string
}

// Trial is a fleet of instances with fakes around it.
type Trial struct {
	Config  Config
	Firm    *pollenfirm.Firm
	Store   *pollenfakestore.Store
	Servers map[string]*pollenfakeserver.Server

	ctx         context.Context
	end         context.CancelFunc
	group       sync.WaitGroup
	fleet       []pollenfirm.Server
	mu          sync.Mutex
	random      *rand.Rand
	nodes       map[int]*Node
	cuts        map[cut]bool
	silent      map[*fakeBackend]bool
	connections map[*fakeBackend]bool
	crossed     *pollenmessage.SubAnswer
	faults      map[Fault]int
	violations  []*pollencheck.Violation
	running     map[*Node]int
	changes     int
	maps        map[string]*pollenschema.Snapshot
	results     []Result
	// Orders are the operators' changes that were stored.
	Orders    []Order
	snapshots int
	newest    map[string]string
	headAt    map[uint64]time.Time
	sends     []Send
}

// Send is a request that went to a backend server.
type Send struct {
	Time   time.Time
	Server string
	Zone   string
	Node   *Node
}

// cut names two nodes that cannot reach each other.
type cut struct {
	low, high int
}

const (
	// maximumDelay is that of calls between nodes and to the store.
	maximumDelay = 3 * time.Millisecond
	firstName    = "v1"
	settle       = 4 * time.Second
)

// Start starts the instances, creates the firm's services and waits until all is served.
func Start(config Config) *Trial {
	t := &Trial{
		Config: config, Firm: trialFirm(), Store: pollenfakestore.New(), Servers: make(map[string]*pollenfakeserver.Server),
		random: rand.New(rand.NewPCG(config.Seed, 3)), nodes: make(map[int]*Node), cuts: make(map[cut]bool),
		silent: make(map[*fakeBackend]bool), connections: make(map[*fakeBackend]bool), faults: make(map[Fault]int),
		running: make(map[*Node]int), newest: make(map[string]string), headAt: make(map[uint64]time.Time), maps: make(map[string]*pollenschema.Snapshot),
	}
	t.ctx, t.end = context.WithCancel(context.Background())
	pollencheck.SetHandler(t.violated)
	t.Store.Observe(t.noteHead)
	t.fleet = t.Firm.Servers(func(n int) netip.AddrPort { return nodeAddress(100 + n) })
	for n, s := range t.fleet {
		t.Servers[s.Name] = pollenfakeserver.New(pollenfakeserver.Config{
			Name: s.Name, Slots: s.Family.Slots, ServiceTime: s.Family.ServiceTime, ShardTime: s.Family.ShardTime,
			ColdTime: config.ColdTime, ColdFactor: coldFactor, Warm: !config.Cold, Seed: config.Seed + uint64(n),
		})
	}
	for n := range config.Instances {
		t.startNode(n)
	}
	time.Sleep(time.Second)
	t.create()
	time.Sleep(settle)
	return t
}

// End stops everything. Calls that were under way end by their own timeouts, within Linger.
func (t *Trial) End() {
	t.Store.SetFaults(pollenfakestore.Faults{})
	for _, n := range t.Nodes() {
		n.Kill()
	}
	t.end()
	t.group.Wait()
	pollencheck.SetHandler(nil)
}

// Linger is the time after which nothing that a trial has started runs any longer.
const Linger = time.Minute

// Nodes returns all nodes in order.
func (t *Trial) Nodes() []*Node {
	t.mu.Lock()
	defer t.mu.Unlock()
	nodes := make([]*Node, 0, len(t.nodes))
	for number := range t.Config.Instances {
		if n, ok := t.nodes[number]; ok {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// LiveNode returns some node that runs.
func (t *Trial) LiveNode(pick int) (*Node, bool) {
	var live []*Node
	for _, n := range t.Nodes() {
		if n.Live() {
			live = append(live, n)
		}
	}
	if len(live) == 0 {
		return nil, false
	}
	return live[pick%len(live)], true
}

// Violations returns the failed assertions.
func (t *Trial) Violations() []*pollencheck.Violation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.violations
}

// Apply makes changes through some live node and returns whether they are in force everywhere.
func (t *Trial) Apply(changes ...*pollenschema.Change) (*pollenschema.ApplyResponse, error) {
	n, ok := t.LiveNode(t.intN(1000))
	if !ok {
		return nil, errCut
	}
	t.mu.Lock()
	t.changes++
	id := fmt.Sprintf("change-%d", t.changes)
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, applyTimeout)
	defer cancel()
	return n.Instance.Operator().Apply(ctx, &pollenschema.ApplyRequest{ChangeId: id, Changes: changes})
}

const (
	coldFactor   = 4
	applyTimeout = 8 * time.Second
)

func (t *Trial) create() {
	var changes []*pollenschema.Change
	for _, zone := range t.Firm.Zones {
		changes = append(changes, PutZone(zone, pollenschema.Admin_ADMIN_IN))
	}
	for _, s := range t.Firm.Services(t.fleet, firstName) {
		t.maps[s.Name+"/"+firstName] = s.Snapshots[0]
		changes = append(changes, &pollenschema.Change{Kind: &pollenschema.Change_PutService{PutService: s}})
	}
	if _, err := t.Apply(changes...); err != nil {
		t.violated(&pollencheck.Violation{Invariant: pollencheck.ConfigurationInForce, Detail: "create: " + err.Error()})
	}
}

// PutZone returns a change that sets the state of an availability zone.
func PutZone(name string, state pollenschema.Admin) *pollenschema.Change {
	return &pollenschema.Change{Kind: &pollenschema.Change_PutZone{PutZone: &pollenschema.Zone{Name: name, State: state}}}
}

func (t *Trial) violated(v *pollencheck.Violation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violations = append(t.violations, v)
}

func (t *Trial) intN(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.IntN(n)
}

func (t *Trial) chance(share float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64() < share
}

func (t *Trial) delay(ctx context.Context) {
	select {
	case <-time.After(time.Duration(t.intN(int(maximumDelay)))):
	case <-ctx.Done():
	}
}

// reach returns the node that serves an address, unless it is dead or cut off.
func (t *Trial) reach(ctx context.Context, from *Node, i pollenroute.Instance) (*Node, error) {
	for _, n := range t.Nodes() {
		if nodeAddress(n.number) != i.Peer {
			continue
		}
		if n.isDead() || from.isDead() {
			return nil, errCut
		}
		if t.isCut(from, n) {
			<-ctx.Done()
			return nil, errCut
		}
		return n, nil
	}
	return nil, errCut
}

func (t *Trial) isCut(a, b *Node) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cuts[cut{min(a.number, b.number), max(a.number, b.number)}]
}

func (t *Trial) setCut(a, b *Node, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cuts[cut{min(a.number, b.number), max(a.number, b.number)}] = on
}

// cross sometimes gives the answer to an earlier sub-query instead.
func (t *Trial) cross(answer pollenmessage.SubAnswer) pollenmessage.SubAnswer {
	if t.Config.CrossShare == 0 || !t.chance(t.Config.CrossShare) {
		return answer
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	earlier := t.crossed
	t.crossed = &answer
	if earlier == nil {
		return answer
	}
	t.faults[FaultCrossed]++
	return *earlier
}

func (t *Trial) observe(b *fakeBackend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connections[b] = true
	t.sends = append(t.sends, Send{Time: time.Now(), Server: b.server.Name, Zone: b.server.Zone, Node: b.node})
}

// Sends returns every request that went to a backend server.
func (t *Trial) Sends() []Send {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sends
}

// HeadAt returns when each revision was written to the store.
func (t *Trial) HeadAt() map[uint64]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.headAt)
}

// Map returns the partition map of a snapshot as it was published.
func (t *Trial) Map(service, snapshot string) (*pollenschema.Snapshot, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.maps[service+"/"+snapshot]
	return m, ok
}

// noteHead takes down when a revision takes effect.
func (t *Trial) noteHead(event pollenstore.Event) {
	if event.Entry.Key != pollencontrol.KeyHead {
		return
	}
	var head pollenconfig.Head
	if json.Unmarshal(event.Entry.Value, &head) == nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.headAt[head.Revision] = time.Now()
	}
}

func (t *Trial) silentConnection(b *fakeBackend) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silent[b]
}

func (t *Trial) retire(b *fakeBackend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.silent, b)
}

// waitRequests waits until a node has answered its callers.
func (t *Trial) waitRequests(n *Node) {
	for {
		t.mu.Lock()
		running := t.running[n]
		t.mu.Unlock()
		if running == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
