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

// Node is a simulated process that runs one entry instance.
type Node struct {
	Instance *polleninstance.Instance
	Name     string
	Zone     string
	trial    *Trial
	number   int
	ctx      context.Context
	cancel   context.CancelFunc
	actor    *fakeActor

	mu sync.Mutex
	// resumed is closed unless the node is paused.
	resumed chan struct{}
	stopped bool
	// storePartitioned is set while the node cannot reach the store.
	storePartitioned bool
	// stopping is set when a graceful shutdown begins, and stopFinished when it ends.
	stopping     bool
	stopFinished bool
}

// startNode starts an instance; a further start with the same number is a new incarnation.
func (t *Trial) startNode(number int) *Node {
	n := &Node{trial: t, number: number, Zone: t.Firm.Zones[number%len(t.Firm.Zones)], resumed: closedChannel()}
	n.ctx, n.cancel = context.WithCancel(t.ctx)
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
		Store:    &fakeStoreClient{node: n},
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

// Kill stops the node immediately, as SIGKILL would.
func (n *Node) Kill() {
	n.mu.Lock()
	n.stopped = true
	n.mu.Unlock()
	n.Resume()
	n.cancel()
}

// Pause suspends the node, as SIGSTOP would.
func (n *Node) Pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if isClosed(n.resumed) {
		n.resumed = make(chan struct{})
	}
}

// Resume continues a paused node, as SIGCONT would.
func (n *Node) Resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !isClosed(n.resumed) {
		close(n.resumed)
	}
}

// StopGracefully begins a graceful shutdown, after which the node is stopped.
func (n *Node) StopGracefully() {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.trial.background.Go(func() {
		n.Instance.Shutdown(func(context.Context) error { n.trial.waitForRequests(n); return nil })
		n.mu.Lock()
		n.stopFinished = true
		n.mu.Unlock()
		n.Kill()
	})
}

// IsAvailable reports whether the node is running, neither paused nor in a graceful shutdown.
func (n *Node) IsAvailable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopped && !n.stopping && isClosed(n.resumed)
}

// IsServing reports whether the node is available and accepts callers' requests.
func (n *Node) IsServing() bool {
	return n.IsAvailable() && n.Instance.Refusal() != pollenschema.Reason_REASON_STALE && n.Instance.State() == "Serving"
}

// waitWhilePaused blocks while the node is paused and ctx is not done, and reports whether the node was paused.
func (n *Node) waitWhilePaused(ctx context.Context) (paused bool) {
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

func (n *Node) isStopped() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopped
}

// fakeActor delivers messages in one goroutine, which waits while the node is paused.
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
			for _, message := range a.takeMessages() {
				n.waitWhilePaused(a.ctx)
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

func (a *fakeActor) takeMessages() []any {
	a.mu.Lock()
	defer a.mu.Unlock()
	messages := a.queue
	a.queue = nil
	return messages
}

// storeNumber is the number from which the store's address is derived, outside the range of the nodes.
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
