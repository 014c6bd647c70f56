package pollenrelay

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollensuspect"
)

// SharerConfig holds the parameters of a Sharer.
type SharerConfig struct {
	Suspects *pollensuspect.Registry
	// Peers returns the registered instances other than this one.
	Peers func() []pollencatalog.Instance
	// Timeout bounds one exchange with a peer.
	Timeout time.Duration
	// Dial connects to a peer.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// Sharer sends this instance's evidence against requests to the registered instances; those on standby get it from the watcher
// that they follow. It makes no calls while there is no evidence, and none of the store.
type Sharer struct {
	config SharerConfig
	// peers holds what is known of the registered instances, by name; only Run uses it.
	peers map[string]*sharedPeer
	// results receives the result of each exchange.
	results chan shareResult
}

// sharedPeer is the state of the exchanges with one peer.
type sharedPeer struct {
	incarnation string
	// busy is set during an exchange; stale is set while the peer lacks evidence.
	busy, stale bool
	// unsupported is set if this incarnation does not know the exchange; another build may after a restart.
	unsupported bool
	// told is the number of this instance's changes that the peer was told of, or could not be told of.
	told int
}

type shareResult struct {
	name string
	// changes is the number of this instance's changes that were sent.
	changes int
	err     error
}

// shareRetryInterval is how often peers are tried again that did not answer, and newly registered ones are noticed.
const shareRetryInterval = time.Second

// NewSharer returns a Sharer that shares evidence while Run runs.
func NewSharer(config SharerConfig) *Sharer {
	return &Sharer{config: config, peers: make(map[string]*sharedPeer), results: make(chan shareResult)}
}

// Run shares new evidence until ctx is done.
func (s *Sharer) Run(ctx context.Context) {
	ticker := time.NewTicker(shareRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.config.Suspects.Changed():
			for _, p := range s.peers {
				p.stale = true
			}
			s.shareWithStale(ctx)
		case <-ticker.C:
			s.shareWithStale(ctx)
		case r := <-s.results:
			s.recordResult(r)
			if r.err == nil {
				s.shareWithStale(ctx)
			}
		}
		s.reportShared()
	}
}

// shareWithStale starts an exchange with each peer that lacks evidence, if there is any.
func (s *Sharer) shareWithStale(ctx context.Context) {
	if s.config.Suspects.Empty() {
		return
	}
	known := make(map[string]*sharedPeer, len(s.peers))
	for _, instance := range s.config.Peers() {
		p, ok := s.peers[instance.Name]
		if !ok || p.incarnation != instance.Incarnation {
			p = &sharedPeer{incarnation: instance.Incarnation, stale: true}
		}
		known[instance.Name] = p
		if p.busy || !p.stale || p.unsupported || !instance.PeerAddress.IsValid() {
			continue
		}
		p.busy, p.stale = true, false
		changes := s.config.Suspects.OwnChanges()
		go func() {
			r := shareResult{name: instance.Name, changes: changes, err: s.share(ctx, instance.PeerAddress)}
			select {
			case s.results <- r:
			case <-ctx.Done():
			}
		}()
	}
	s.peers = known
}

// recordResult records the result of an exchange; a peer that did not answer lacks the evidence still.
func (s *Sharer) recordResult(r shareResult) {
	p, ok := s.peers[r.name]
	if !ok {
		return
	}
	p.busy = false
	p.told = r.changes
	if r.err != nil {
		p.stale = true
		p.unsupported = errors.As(r.err, new(*UnsupportedError))
		klog.InfoS("Evidence against requests not shared", "peer", r.name, "err", r.err.Error())
	}
}

// reportShared tells the registry how many of this instance's changes were sent to all peers.
func (s *Sharer) reportShared() {
	shared := s.config.Suspects.OwnChanges()
	for _, p := range s.peers {
		if (p.busy || p.stale) && !p.unsupported {
			shared = min(shared, p.told)
		}
	}
	s.config.Suspects.SetShared(shared)
}

// share exchanges all evidence with one peer.
func (s *Sharer) share(ctx context.Context, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.Timeout)
	defer cancel()
	conn := peerConn{dial: s.config.Dial}
	defer conn.close()
	// The ages in the message count from when it is sent.
	if err := conn.connect(ctx, address); err != nil {
		return err
	}
	reply, err := conn.call(ctx, address, methodSuspects, SuspectsRequest{Suspects: s.config.Suspects.Message(time.Now())})
	if err != nil {
		return err
	}
	s.config.Suspects.Merge(reply.Suspects, time.Now())
	return nil
}
