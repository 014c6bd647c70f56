package pollenfront

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"pollenline.example/pollen/pollencatalog"
)

// reviewReach reviews whether the instance reaches the servers, and probes them while it does not. It does not wait for the probes.
func (f *Frontend) reviewReach(ctx context.Context) {
	if f.reach.CutOff() {
		if f.probing.CompareAndSwap(false, true) {
			go f.probe(ctx)
		}
		return
	}
	f.reach.Review(f.view.Table(), time.Now())
	if f.reach.CutOff() {
		f.registrar.Rewrite()
	}
}

// probe makes one round of probes, and resumes direct sending if the servers are regained.
func (f *Frontend) probe(ctx context.Context) {
	defer f.probing.Store(false)
	connected, tried := f.probeServers(ctx)
	if f.reach.RecordProbes(connected, tried, time.Now()) {
		f.ranking.ForgetFailures()
		f.registrar.Rewrite()
		f.noteTableChanged()
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
