package pollenrelay

import (
	"context"
	"net"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenallowance"
	"pollenline.example/pollen/pollencatalog"
)

// UsageRequest is the argument of Relay.ShareUsage, which exchanges the usage reports of two instances.
type UsageRequest struct {
	Usage pollenallowance.Message
}

// ReporterConfig holds the parameters of a Reporter.
type ReporterConfig struct {
	Allowances *pollenallowance.Allowances
	// Peers returns the registered instances other than this one.
	Peers func() []pollencatalog.Instance
	// Timeout bounds one exchange with a peer.
	Timeout time.Duration
	// Dial connects to a peer.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// Reporter exchanges usage reports with the registered instances. It makes no calls while no limited team sends requests, and keeps one
// connection to each peer.
type Reporter struct {
	config ReporterConfig
	// peers holds the exchanges with the registered instances, by name; only Run uses it.
	peers map[string]*reportedPeer
}

// reportedPeer receives the exchanges that its goroutine makes one after the other.
type reportedPeer struct {
	address   netip.AddrPort
	exchanges chan pollenallowance.Message
	stop      context.CancelFunc
}

// NewReporter returns a Reporter that reports while Run runs.
func NewReporter(config ReporterConfig) *Reporter {
	return &Reporter{config: config, peers: make(map[string]*reportedPeer)}
}

// Run exchanges reports until ctx is done.
func (r *Reporter) Run(ctx context.Context) {
	defer r.retain(nil)
	for ctx.Err() == nil {
		now := time.Now()
		var tick <-chan time.Time
		if r.config.Allowances.Active(now) {
			r.report(ctx)
			tick = time.After(pollenallowance.UrgentInterval)
		} else {
			r.retain(nil)
		}
		select {
		case <-ctx.Done():
		case <-tick:
		case <-r.config.Allowances.Changed():
		}
	}
}

// report starts the exchanges that are due.
func (r *Reporter) report(ctx context.Context) {
	known := make(map[string]bool)
	for _, instance := range r.config.Peers() {
		if !instance.PeerAddress.IsValid() {
			continue
		}
		p, ok := r.peers[instance.Name]
		if !ok || p.address != instance.PeerAddress {
			if ok {
				p.stop()
			}
			p = r.startPeer(ctx, instance)
		}
		known[instance.Name] = true
		if report, due := r.config.Allowances.Begin(instance.Name, time.Now()); due {
			// The channel has room: Begin returns no report before the last exchange has ended.
			p.exchanges <- report
		}
	}
	r.retain(known)
}

// retain ends the exchanges with the peers that are not among the given ones.
func (r *Reporter) retain(known map[string]bool) {
	for name, p := range r.peers {
		if !known[name] {
			p.stop()
			delete(r.peers, name)
		}
	}
}

func (r *Reporter) startPeer(ctx context.Context, instance pollencatalog.Instance) *reportedPeer {
	ctx, cancel := context.WithCancel(ctx)
	p := &reportedPeer{address: instance.PeerAddress, exchanges: make(chan pollenallowance.Message, 1), stop: cancel}
	r.peers[instance.Name] = p
	go r.runPeer(ctx, instance, p.exchanges)
	return p
}

// runPeer makes the exchanges with one peer over one connection until ctx is done.
func (r *Reporter) runPeer(ctx context.Context, instance pollencatalog.Instance, exchanges <-chan pollenallowance.Message) {
	conn := peerConn{dial: r.config.Dial}
	defer conn.close()
	failed := false
	for {
		select {
		case <-ctx.Done():
			// A report that was handed over and not sent must be ended, or none would follow for this peer.
			select {
			case report := <-exchanges:
				r.config.Allowances.End(instance.Name, report, nil, time.Now(), time.Now())
			default:
			}
			return
		case report := <-exchanges:
			sentAt := time.Now()
			reply, err := r.exchange(ctx, &conn, instance.PeerAddress, report)
			if err != nil && !failed && ctx.Err() == nil {
				klog.InfoS("Usage of teams not reported", "peer", instance.Name, "err", err.Error())
			}
			failed = err != nil
			r.config.Allowances.End(instance.Name, report, reply, sentAt, time.Now())
		}
	}
}

// exchange sends a report and returns the peer's.
func (r *Reporter) exchange(ctx context.Context, conn *peerConn, address netip.AddrPort, report pollenallowance.Message) (*pollenallowance.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	reply, err := conn.call(ctx, address, methodUsage, UsageRequest{Usage: report})
	if err != nil {
		return nil, err
	}
	return &reply.Usage, nil
}
