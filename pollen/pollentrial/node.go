package pollentrial

import (
	"context"
	"net/netip"
	"sync"

	"pollenline.example/pollen/polleninstance"
	"pollenline.example/pollen/pollenowner"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenschema"
)

// Node is one entry instance of a trial.
type Node struct {
	Instance *polleninstance.Instance
	Name     string
	Zone     string
	trial    *Trial
	number   int
	ctx      context.Context
	kill     context.CancelFunc
	actor    *fakeActor

	mu      sync.Mutex
	resumed chan struct{}
	dead    bool
	// cutStore cuts the node from the store.
	cutStore bool
	leaving  bool
	left     bool
}

// startNode starts an instance; a later one with the same number is a new incarnation.
func (t *Trial) startNode(number int) *Node {
	n := &Node{trial: t, number: number, Zone: t.Firm.Zones[number%len(t.Firm.Zones)], resumed: closedChannel()}
	n.ctx, n.kill = context.WithCancel(t.ctx)
	settings := polleninstance.DefaultSettings()
	settings.Name = nodeName(number)
	n.Name = settings.Name
	settings.Zone = n.Zone
	settings.PeerAddress = nodeAddress(number)
	settings.CallerAddress = nodeAddress(number)
	settings.OperatorAddress = nodeAddress(number)
	settings.StoreAddress = nodeAddress(storeNumber)
	settings.Baseline = t.Config.Baseline
	for other := range t.Config.Instances {
		settings.SeedAddresses = append(settings.SeedAddresses, nodeAddress(other))
	}
	n.Instance = polleninstance.New(polleninstance.Config{
		Settings: settings,
		Store:    &fakeLink{node: n},
		Peers:    &fakePeers{node: n},
		Connect:  func(s *pollenroute.Server) pollenowner.Backend { return &fakeBackend{node: n, server: s} },
		Spawn: func(receive func(any)) polleninstance.Actor {
			n.actor = newFakeActor(n, receive)
			return n.actor
		},
	})
	t.mu.Lock()
	t.nodes[number] = n
	t.mu.Unlock()
	go n.Instance.Tick(n.ctx)
	return n
}

// Kill ends the node at once.
func (n *Node) Kill() {
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	n.Resume()
	n.kill()
}

// Pause stops everything that the node does, as SIGSTOP would.
func (n *Node) Pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if isClosed(n.resumed) {
		n.resumed = make(chan struct{})
	}
}

// Resume lets the node go on, as SIGCONT would.
func (n *Node) Resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !isClosed(n.resumed) {
		close(n.resumed)
	}
}

// Leave begins a graceful shutdown; the node ends when it is over.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.trial.group.Go(func() {
		n.Instance.Shutdown(func(context.Context) error { n.trial.waitRequests(n); return nil })
		n.mu.Lock()
		n.left = true
		n.mu.Unlock()
		n.Kill()
	})
}

// Live reports whether the node runs, is not paused and is not leaving.
func (n *Node) Live() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.dead && !n.leaving && isClosed(n.resumed)
}

// Serving reports whether the node runs and takes callers' requests.
func (n *Node) Serving() bool {
	return n.Live() && n.Instance.Refusal() != pollenschema.Reason_REASON_STALE && n.Instance.State() == "Serving"
}

// pass waits while the node is paused; paused is set if it had to.
func (n *Node) pass(ctx context.Context) (paused bool) {
	for {
		n.mu.Lock()
		resumed := n.resumed
		n.mu.Unlock()
		if isClosed(resumed) {
			return paused
		}
		paused = true
		select {
		case <-resumed:
		case <-ctx.Done():
			return paused
		}
	}
}

func (n *Node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

// fakeActor delivers messages in one goroutine, which a pause of the node stops.
type fakeActor struct {
	mu      sync.Mutex
	queue   []any
	arrived chan struct{}
	ctx     context.Context
	stop    context.CancelFunc
}

func newFakeActor(n *Node, receive func(any)) *fakeActor {
	a := &fakeActor{arrived: make(chan struct{}, 1)}
	a.ctx, a.stop = context.WithCancel(n.ctx)
	go func() {
		for {
			select {
			case <-a.ctx.Done():
				return
			case <-a.arrived:
			}
			for _, message := range a.take() {
				n.pass(a.ctx)
				if a.ctx.Err() != nil {
					return
				}
				receive(message)
			}
		}
	}()
	return a
}

// Post implements polleninstance.Actor.
func (a *fakeActor) Post(message any) {
	a.mu.Lock()
	a.queue = append(a.queue, message)
	a.mu.Unlock()
	select {
	case a.arrived <- struct{}{}:
	default:
	}
}

// Stop implements polleninstance.Actor.
func (a *fakeActor) Stop() { a.stop() }

func (a *fakeActor) take() []any {
	a.mu.Lock()
	defer a.mu.Unlock()
	messages := a.queue
	a.queue = nil
	return messages
}

// storeNumber is the address of the store among those of the nodes.
const storeNumber = 200

func nodeName(number int) string { return "entry-" + string(rune('a'+number)) }

func nodeAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(number + 1)}), 7102)
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
