package pollenfront

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"pollenline.example/pollen/pollencatalog"
)

// watchReach reviews whether the instance reaches the servers, and probes them while it does not, until ctx is done.
func (f *Frontend) watchReach(ctx context.Context) {
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	var lastProbes time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if !f.reach.CutOff() {
			f.reach.Review(f.view.Table(), now)
			if f.reach.CutOff() {
				f.registrar.Rewrite()
			}
			continue
		}
		if now.Sub(lastProbes) < probeInterval {
			continue
		}
		lastProbes = now
		connected, tried := f.probeServers(ctx)
		if f.reach.RecordProbes(connected, tried, time.Now()) {
			f.ranking.ForgetFailures()
			f.registrar.Rewrite()
			f.noteTableChanged()
		}
	}
}

// probeServers tries to connect to random servers, and returns to how many it could and how many it tried.
func (f *Frontend) probeServers(ctx context.Context) (connected, tried int) {
	table := f.view.Table()
	var servers []*pollencatalog.Server
	table.ForEachServer(func(s *pollencatalog.Server) {
		if table.Eligible(s) {
			servers = append(servers, s)
		}
	})
	var successes atomic.Int32
	var probes sync.WaitGroup
	for _, n := range rand.Perm(len(servers))[:min(probedServers, len(servers))] {
		tried++
		probes.Go(func() {
			if f.exchanger.Connect(ctx, servers[n], f.probeLimit(table, servers[n])) == nil {
				successes.Add(1)
			}
		})
	}
	probes.Wait()
	return int(successes.Load()), tried
}

// probeLimit returns the number of connections to a server up to which a probe may open one: those that hang do not count, as
// they end soon.
func (f *Frontend) probeLimit(table *pollencatalog.Table, server *pollencatalog.Server) int {
	return max(1, table.Configuration().Services[server.Service].Connections)
}
