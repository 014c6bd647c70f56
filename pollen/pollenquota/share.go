package pollenquota

import (
	"slices"
	"time"

	"pollenline.example/pollen/pollencatalog"
)

const (
	// minPerSecond is the least rate that is divided: without requests the end of a limit would not be noticed.
	minPerSecond = 0.25
	// minSenders and sendersPerRequest bound the instances that share a rate: after a pause all of them may send at once,
	// and a server may get at most half of its rate and five requests more in any four seconds.
	minSenders        = 3
	sendersPerRequest = 2
	// probeInterval is the mean time between two requests from all registered instances that have no share of the rate, and
	// standbyProbeInterval that from all instances that are not registered. Their requests show them the end of the limit.
	probeInterval        = 4 * time.Second
	standbyProbeInterval = 8 * time.Second
	// probeWindow is how long an instance without a share may use its turn.
	probeWindow = time.Second
)

// share is how one instance may send to a limited server.
type share struct {
	// interval is the time between two requests.
	interval time.Duration
	// delay is the wait before the first one, which differs between instances.
	delay time.Duration
	// probe is set if the instance has no share of the rate and only sends to notice the end of the limit.
	probe bool
}

// divide returns an instance's share of the rate of a server.
//
// Load pattern: hundreds of instances stand by, and each gets a few requests. Only registered instances have a share.
func (q *Quotas) divide(perSecond float64, server *pollencatalog.Server, table *pollencatalog.Table) share {
	perSecond = max(perSecond, minPerSecond)
	instances := table.Instances()
	isRegistered := slices.ContainsFunc(instances, func(i pollencatalog.Instance) bool { return i.Name == q.config.InstanceName })
	if !isRegistered && len(instances) > 0 {
		return probeShare(standbyProbeInterval, int(server.SenderRank(q.config.InstanceName)>>1), q.config.Standbys())
	}
	sharers := table.SharerCount()
	senders := min(sharers, minSenders+int(sendersPerRequest*perSecond))
	position := countPreceding(instances, server, q.config.InstanceName)
	if position >= senders {
		return probeShare(probeInterval, position-senders, sharers-senders)
	}
	interval := time.Duration(float64(senders) / perSecond * float64(time.Second))
	return share{interval: interval, delay: interval * time.Duration(position+1) / time.Duration(senders)}
}

// probeShare returns the share of one of several probers, which take turns.
func probeShare(interval time.Duration, position, probers int) share {
	probers = max(probers, 1)
	return share{interval: interval * time.Duration(probers), delay: interval * time.Duration(1+position%probers), probe: true}
}

// countPreceding returns how many other instances come before an instance in the server's order of senders.
func countPreceding(instances []pollencatalog.Instance, server *pollencatalog.Server, instanceName string) int {
	own := server.SenderRank(instanceName)
	preceding := 0
	for _, i := range instances {
		if i.Name != instanceName && server.SenderRank(i.Name) > own {
			preceding++
		}
	}
	return preceding
}
