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

// Config holds the size, the seed and the fault options of a Trial.
type Config struct {
	Instances int
	Seed      uint64
	// LateSends lets a node that was paused between the check before a send and the send itself complete the send.
	LateSends bool
	// ColdTime is how long backend servers take to warm up.
	ColdTime time.Duration
	// Cold starts the backend servers cold.
	Cold bool
	// SwappedAnswerShare is the share of answers between nodes that are replaced by the answer to an earlier sub-query.
	SwappedAnswerShare float64
	// Baseline is the Baseline setting of the instances.
	Baseline string
}

// Trial is a simulated fleet of entry instances with a fake store and fake backend servers.
type Trial struct {
	Config Config
	Firm   *pollenfirm.Firm
	Store  *pollenfakestore.Store
	// Servers holds the fake backend servers by name.
	Servers map[string]*pollenfakeserver.Server

	ctx                context.Context
	stopAll            context.CancelFunc
	background         sync.WaitGroup
	backendServers     []pollenfirm.Server
	mu                 sync.Mutex
	random             *rand.Rand
	nodes              map[int]*Node
	partitioned        map[nodePair]bool
	silentConnections  map[*fakeBackend]bool
	usedConnections    map[*fakeBackend]bool
	heldAnswer         *pollenmessage.SubAnswer
	faultCounts        map[Fault]int
	violations         []*pollencheck.Violation
	inFlight           map[*Node]int
	changeCount        int
	publishedSnapshots map[string]*pollenschema.Snapshot
	results            []Result
	// StoredChanges holds the changes that were stored, in the order of their responses.
	StoredChanges   []StoredChange
	publishCount    int
	newestSnapshots map[string]string
	revisionTimes   map[uint64]time.Time
	sends           []Send
}

// Send records a request that a node sent to a backend server; Zone is the server's.
type Send struct {
	Time   time.Time
	Server string
	Zone   string
	Node   *Node
}

// nodePair holds the numbers of two nodes, the lower one first.
type nodePair struct {
	low, high int
}

const (
	// maxLatency bounds the simulated latency of calls between nodes and to the store.
	maxLatency = 3 * time.Millisecond
	// firstSnapshot is the name of the snapshot with which the services are created.
	firstSnapshot = "v1"
	// settleTime is how long Start waits for the created services to be in force.
	settleTime = 4 * time.Second
)

// Start starts the instances, creates the firm's services and waits for settleTime, so that the instances serve them.
func Start(config Config) *Trial {
	t := &Trial{
		Config: config, Firm: newFirm(), Store: pollenfakestore.New(), Servers: make(map[string]*pollenfakeserver.Server),
		random: rand.New(rand.NewPCG(config.Seed, 3)), nodes: make(map[int]*Node), partitioned: make(map[nodePair]bool),
		silentConnections: make(map[*fakeBackend]bool), usedConnections: make(map[*fakeBackend]bool), faultCounts: make(map[Fault]int),
		inFlight: make(map[*Node]int), newestSnapshots: make(map[string]string), revisionTimes: make(map[uint64]time.Time), publishedSnapshots: make(map[string]*pollenschema.Snapshot),
	}
	t.ctx, t.stopAll = context.WithCancel(context.Background())
	pollencheck.SetHandler(t.recordViolation)
	t.Store.SetObserver(t.recordRevision)
	t.backendServers = t.Firm.Servers(func(n int) netip.AddrPort { return nodeAddress(100 + n) })
	for n, s := range t.backendServers {
		t.Servers[s.Name] = pollenfakeserver.New(pollenfakeserver.Config{
			Name: s.Name, Slots: s.Family.Slots, ServiceTime: s.Family.ServiceTime, ShardTime: s.Family.ShardTime,
			ColdTime: config.ColdTime, ColdFactor: coldFactor, Warm: !config.Cold, Seed: config.Seed + uint64(n),
		})
	}
	for n := range config.Instances {
		t.startNode(n)
	}
	time.Sleep(time.Second)
	t.createServices()
	time.Sleep(settleTime)
	return t
}

// Stop stops all nodes; calls in flight end by their own timeouts within ShutdownTime.
func (t *Trial) Stop() {
	t.Store.SetFaults(pollenfakestore.Faults{})
	for _, n := range t.Nodes() {
		n.Kill()
	}
	t.stopAll()
	t.background.Wait()
	pollencheck.SetHandler(nil)
}

// ShutdownTime is how long goroutines of a stopped trial may still run.
const ShutdownTime = time.Minute

// Nodes returns the current node of each number, in ascending order.
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

// AvailableNode returns the available node at the index modulo their count, or false if no node is available.
func (t *Trial) AvailableNode(index int) (*Node, bool) {
	var available []*Node
	for _, n := range t.Nodes() {
		if n.IsAvailable() {
			available = append(available, n)
		}
	}
	if len(available) == 0 {
		return nil, false
	}
	return available[index%len(available)], true
}

// Violations returns the invariant violations that were recorded.
func (t *Trial) Violations() []*pollencheck.Violation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.violations
}

// Apply sends changes to a random available node and returns its response.
func (t *Trial) Apply(changes ...*pollenschema.Change) (*pollenschema.ApplyResponse, error) {
	n, ok := t.AvailableNode(t.randomIntN(1000))
	if !ok {
		return nil, errUnreachable
	}
	t.mu.Lock()
	t.changeCount++
	id := fmt.Sprintf("change-%d", t.changeCount)
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, applyTimeout)
	defer cancel()
	return n.Instance.OperatorHandler().Apply(ctx, &pollenschema.ApplyRequest{ChangeId: id, Changes: changes})
}

const (
	// coldFactor is how many times slower a backend server is right after a cold start.
	coldFactor = 4
	// applyTimeout limits a change; it is longer than pollencontrol.AcceptTimeout.
	applyTimeout = 8 * time.Second
)

func (t *Trial) createServices() {
	var changes []*pollenschema.Change
	for _, zone := range t.Firm.Zones {
		changes = append(changes, PutZone(zone, pollenschema.Admin_ADMIN_IN))
	}
	for _, s := range t.Firm.Services(t.backendServers, firstSnapshot) {
		t.publishedSnapshots[s.Name+"/"+firstSnapshot] = s.Snapshots[0]
		changes = append(changes, &pollenschema.Change{Kind: &pollenschema.Change_PutService{PutService: s}})
	}
	if _, err := t.Apply(changes...); err != nil {
		t.recordViolation(&pollencheck.Violation{Invariant: pollencheck.ConfigurationInForce, Detail: "create: " + err.Error()})
	}
}

// PutZone returns a change that sets the state of an availability zone.
func PutZone(name string, state pollenschema.Admin) *pollenschema.Change {
	return &pollenschema.Change{Kind: &pollenschema.Change_PutZone{PutZone: &pollenschema.Zone{Name: name, State: state}}}
}

func (t *Trial) recordViolation(v *pollencheck.Violation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violations = append(t.violations, v)
}

func (t *Trial) randomIntN(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.IntN(n)
}

func (t *Trial) randomBool(share float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64() < share
}

func (t *Trial) simulateLatency(ctx context.Context) {
	select {
	case <-time.After(time.Duration(t.randomIntN(int(maxLatency)))):
	case <-ctx.Done():
	}
}

// reachableNode returns the node that serves an address, or an error if there is none or it or the sender is stopped.
//
// If the two are partitioned, it fails only once ctx is done, as a call whose packets are lost.
func (t *Trial) reachableNode(ctx context.Context, from *Node, i pollenroute.Instance) (*Node, error) {
	for _, n := range t.Nodes() {
		if nodeAddress(n.number) != i.Peer {
			continue
		}
		if n.isStopped() || from.isStopped() {
			return nil, errUnreachable
		}
		if t.isPartitioned(from, n) {
			<-ctx.Done()
			return nil, errUnreachable
		}
		return n, nil
	}
	return nil, errUnreachable
}

func (t *Trial) isPartitioned(a, b *Node) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.partitioned[nodePair{min(a.number, b.number), max(a.number, b.number)}]
}

func (t *Trial) setPartitioned(a, b *Node, partitioned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.partitioned[nodePair{min(a.number, b.number), max(a.number, b.number)}] = partitioned
}

// swapAnswer holds back a share of the answers and returns the answer that was held back before instead.
func (t *Trial) swapAnswer(answer pollenmessage.SubAnswer) pollenmessage.SubAnswer {
	if t.Config.SwappedAnswerShare == 0 || !t.randomBool(t.Config.SwappedAnswerShare) {
		return answer
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	earlier := t.heldAnswer
	t.heldAnswer = &answer
	if earlier == nil {
		return answer
	}
	t.faultCounts[FaultCrossed]++
	return *earlier
}

func (t *Trial) recordSend(b *fakeBackend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usedConnections[b] = true
	t.sends = append(t.sends, Send{Time: time.Now(), Server: b.server.Name, Zone: b.server.Zone, Node: b.node})
}

// Sends returns the requests that nodes sent to backend servers.
func (t *Trial) Sends() []Send {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sends
}

// RevisionTimes returns when each revision was written to the store.
func (t *Trial) RevisionTimes() map[uint64]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.revisionTimes)
}

// PublishedSnapshot returns a snapshot with its partition map as it was published.
func (t *Trial) PublishedSnapshot(service, snapshot string) (*pollenschema.Snapshot, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	published, ok := t.publishedSnapshots[service+"/"+snapshot]
	return published, ok
}

// recordRevision records when a revision was written to the store.
func (t *Trial) recordRevision(event pollenstore.Event) {
	if event.Entry.Key != pollencontrol.KeyHead {
		return
	}
	var head pollenconfig.Head
	if json.Unmarshal(event.Entry.Value, &head) == nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.revisionTimes[head.Revision] = time.Now()
	}
}

func (t *Trial) isSilent(b *fakeBackend) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silentConnections[b]
}

func (t *Trial) clearSilence(b *fakeBackend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.silentConnections, b)
}

// waitForRequests waits until no caller's request to a node is in flight.
func (t *Trial) waitForRequests(n *Node) {
	for {
		t.mu.Lock()
		count := t.inFlight[n]
		t.mu.Unlock()
		if count == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
