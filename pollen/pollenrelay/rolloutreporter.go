package pollenrelay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenrollout"
)

// RolloutReporterConfig holds the parameters of a RolloutReporter.
type RolloutReporterConfig struct {
	// Timeout bounds one report.
	Timeout time.Duration
	// Dial connects to a driver.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Follow takes a driver's answer.
	Follow func(ruling pollenrollout.Ruling, now time.Time)
}

// RolloutReporter sends this instance's reports on rollouts to their drivers. It has no connections while there are none to send.
type RolloutReporter struct {
	config RolloutReporterConfig
	mu     sync.Mutex
	links  map[netip.AddrPort]*reportLink
}

// reportLink is the connection to one driver.
type reportLink struct {
	// busy is set during a report; conn is used by it alone then.
	busy bool
	conn peerConn
	// failing is set if the last report failed.
	failing bool
}

// NewRolloutReporter returns a RolloutReporter without connections.
func NewRolloutReporter(config RolloutReporterConfig) *RolloutReporter {
	return &RolloutReporter{config: config, links: make(map[netip.AddrPort]*reportLink)}
}

// Send starts to send reports to each driver, by its peer address, unless the last ones are still being sent: the counts of the next
// reports include theirs. It does not wait.
func (r *RolloutReporter) Send(ctx context.Context, reports map[netip.AddrPort][]pollenrollout.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, link := range r.links {
		if _, ok := reports[address]; !ok && !link.busy {
			link.conn.close()
			delete(r.links, address)
		}
	}
	for address, batch := range reports {
		link, ok := r.links[address]
		if !ok {
			link = &reportLink{conn: peerConn{dial: r.config.Dial}}
			r.links[address] = link
		}
		if !link.busy {
			link.busy = true
			go r.report(ctx, link, address, batch)
		}
	}
}

// report sends one batch of reports and follows the answers.
func (r *RolloutReporter) report(ctx context.Context, link *reportLink, address netip.AddrPort, batch []pollenrollout.Report) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
	defer cancel()
	reply, err := link.conn.call(ctx, address, methodRollouts, RolloutsRequest{Reports: batch})
	if err == nil {
		for _, ruling := range reply.Rulings {
			r.config.Follow(ruling, time.Now())
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && !link.failing {
		klog.InfoS("Rollout not reported", "driver", address.String(), "services", len(batch), "err", err.Error())
	}
	link.failing, link.busy = err != nil, false
}
