package pollenrelay

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollensuspect"
)

// RefusalsRequest is the argument of Relay.ShareRefusals, which tells an instance what another one has refused.
type RefusalsRequest struct {
	// Refusals are in the order in which they were observed.
	Refusals []Refusal
}

// Refusal is a content that an instance has refused, or whose repetition it has received.
type Refusal struct {
	Content pollensuspect.Fingerprint
	// TimeLeft is how long the caller of a refused request may still repeat it; zero if it has repeated it.
	TimeLeft time.Duration
}

// RefusalReceiver takes what other instances have refused; pollenforward.Forwarder is one.
type RefusalReceiver interface {
	RecordRefusal(content pollensuspect.Fingerprint, until time.Time)
	RecordRepeat(content pollensuspect.Fingerprint)
}

// RefusalSharerConfig holds the parameters of a RefusalSharer.
type RefusalSharerConfig struct {
	// Peers returns the registered instances other than this one.
	Peers func() []pollencatalog.Instance
	// Timeout bounds a call of a peer.
	Timeout time.Duration
	// Dial connects to a peer.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// RefusalSharer tells the registered instances which requests this one has refused. It makes no calls while none are refused. What can't
// be sent in time is dropped: repetitions then count as first tries.
type RefusalSharer struct {
	config RefusalSharerConfig

	mu sync.Mutex
	// pending holds what was observed since the last batch.
	pending []observedRefusal
	// observed has room for one value, which stands for pending refusals.
	observed chan struct{}
	// peers holds the instances that are told, by name; only Run uses it.
	peers map[string]*refusalPeer
}

// observedRefusal is a refusal until a time, or a repetition if that is zero.
type observedRefusal struct {
	content pollensuspect.Fingerprint
	until   time.Time
}

const (
	// refusalBatchDelay lets several refusals share a call; callers take longer to repeat a request over a new connection.
	refusalBatchDelay = 2 * time.Millisecond
	// maxPendingRefusals bounds a batch; the rest is dropped.
	maxPendingRefusals = 1000
	// maxPendingBatches bounds the batches that wait for a slow peer.
	maxPendingBatches = 4
	// idlePeerPeriod is how long a connection to a peer is kept without refusals.
	idlePeerPeriod = 10 * time.Second
)

// refusalPeer receives the batches that its goroutine sends.
type refusalPeer struct {
	instance pollencatalog.Instance
	batches  chan []observedRefusal
	stop     context.CancelFunc
}

// NewRefusalSharer returns a RefusalSharer that tells others while Run runs.
func NewRefusalSharer(config RefusalSharerConfig) *RefusalSharer {
	return &RefusalSharer{config: config, observed: make(chan struct{}, 1), peers: make(map[string]*refusalPeer)}
}

// ObserveRefusal tells the others of a refused request, whose caller may repeat the content until a time.
func (r *RefusalSharer) ObserveRefusal(content pollensuspect.Fingerprint, until time.Time) {
	r.observe(observedRefusal{content, until})
}

// ObserveRepeat tells the others that a refused request was repeated here.
func (r *RefusalSharer) ObserveRepeat(content pollensuspect.Fingerprint) {
	r.observe(observedRefusal{content: content})
}

func (r *RefusalSharer) observe(refusal observedRefusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) == maxPendingRefusals {
		return
	}
	r.pending = append(r.pending, refusal)
	select {
	case r.observed <- struct{}{}:
	default:
	}
}

// Run tells the others until ctx is done.
func (r *RefusalSharer) Run(ctx context.Context) {
	defer r.retain(nil)
	idle := time.NewTimer(idlePeerPeriod)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			r.retain(nil)
		case <-r.observed:
			time.Sleep(refusalBatchDelay)
			r.sendBatch(ctx)
			idle.Reset(idlePeerPeriod)
		}
	}
}

// sendBatch hands what is pending to the goroutines of the peers.
func (r *RefusalSharer) sendBatch(ctx context.Context) {
	r.mu.Lock()
	batch := r.pending
	r.pending = nil
	r.mu.Unlock()
	known := make(map[string]bool)
	for _, instance := range r.config.Peers() {
		if !instance.PeerAddress.IsValid() {
			continue
		}
		known[instance.Name] = true
		select {
		case r.peer(ctx, instance).batches <- batch:
		default:
		}
	}
	r.retain(known)
}

// peer returns the peer of an instance, and starts its goroutine if it is new.
func (r *RefusalSharer) peer(ctx context.Context, instance pollencatalog.Instance) *refusalPeer {
	p, ok := r.peers[instance.Name]
	if ok && p.instance.PeerAddress == instance.PeerAddress && p.instance.Incarnation == instance.Incarnation {
		return p
	}
	if ok {
		p.stop()
	}
	ctx, cancel := context.WithCancel(ctx)
	p = &refusalPeer{instance: instance, batches: make(chan []observedRefusal, maxPendingBatches), stop: cancel}
	r.peers[instance.Name] = p
	go r.runPeer(ctx, p)
	return p
}

// retain stops the goroutines of the peers that are not among the given ones.
func (r *RefusalSharer) retain(known map[string]bool) {
	for name, p := range r.peers {
		if !known[name] {
			p.stop()
			delete(r.peers, name)
		}
	}
}

// runPeer sends the batches to one peer over one connection until ctx is done. A build that does not know the call is told nothing.
func (r *RefusalSharer) runPeer(ctx context.Context, p *refusalPeer) {
	conn := peerConn{dial: r.config.Dial}
	defer conn.close()
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-p.batches:
			err := r.send(ctx, &conn, p.instance.PeerAddress, batch)
			if err != nil && !failed && ctx.Err() == nil {
				klog.InfoS("Refusals not shared", "peer", p.instance.Name, "err", err.Error())
			}
			failed = err != nil
			if errors.As(err, new(*UnsupportedError)) {
				<-ctx.Done()
				return
			}
		}
	}
}

func (r *RefusalSharer) send(ctx context.Context, conn *peerConn, address netip.AddrPort, batch []observedRefusal) error {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	request := RefusalsRequest{}
	now := time.Now()
	for _, refusal := range batch {
		message := Refusal{Content: refusal.content}
		if !refusal.until.IsZero() {
			if message.TimeLeft = refusal.until.Sub(now); message.TimeLeft <= 0 {
				continue
			}
		}
		request.Refusals = append(request.Refusals, message)
	}
	if len(request.Refusals) == 0 {
		return nil
	}
	_, err := conn.call(ctx, address, methodRefusals, request)
	return err
}

// ShareRefusals takes what another instance has refused.
func (s *service) ShareRefusals(request RefusalsRequest, _ *Reply) error {
	receiver := s.server.config.Refusals
	if receiver == nil {
		return errNoPart
	}
	now := time.Now()
	for _, refusal := range request.Refusals[:min(len(request.Refusals), maxPendingRefusals)] {
		if refusal.TimeLeft > 0 {
			receiver.RecordRefusal(refusal.Content, now.Add(refusal.TimeLeft))
		} else {
			receiver.RecordRepeat(refusal.Content)
		}
	}
	return nil
}
