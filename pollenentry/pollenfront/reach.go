package pollenfront

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenreach"
)

// reviewReach reviews whether the instance reaches the servers. It probes suspected servers, and random ones while it is cut off; it does
// not wait for the probes.
func (f *Frontend) reviewReach(ctx context.Context) {
	if f.reach.CutOff() {
		if f.probing.CompareAndSwap(false, true) {
			go f.probe(ctx)
		}
		return
	}
	f.reviewEvidence()
	suspects := f.reach.Suspects(f.view.Table(), time.Now())
	if len(suspects) > 0 && f.probing.CompareAndSwap(false, true) {
		go f.probeSuspects(ctx, suspects)
	}
}

// reviewEvidence decides by the evidence so far whether the instance has lost the servers, and says so in its key if it has just done so.
func (f *Frontend) reviewEvidence() {
	if f.reach.CutOff() {
		return
	}
	f.reach.Review(f.view.Table(), time.Now())
	if f.reach.CutOff() {
		f.registrar.Rewrite()
	}
}

// probeSlack is by how much a probe may end later than its timeout. If it ends later still, the instance itself was paused.
const probeSlack = 100 * time.Millisecond

// probeSuspects makes a round of probes of suspected servers, and reviews the evidence at its end. The connections are closed at once: an
// instance's share of a server's connections may be in use.
func (f *Frontend) probeSuspects(ctx context.Context, suspects []*pollencatalog.Server) {
	defer f.probing.Store(false)
	var probes sync.WaitGroup
	for _, server := range suspects {
		probes.Go(func() {
			start := time.Now()
			conn, err := f.probeDialer.DialContext(ctx, "tcp", server.Address.String())
			if err != nil && (ctx.Err() != nil || time.Since(start) > pollenreach.ProbeTimeout+probeSlack) {
				return
			}
			f.reach.RecordProbe(server, err == nil, time.Now())
			if err == nil {
				// Nothing was sent on the connection, so a close error is irrelevant.
				_ = conn.Close()
			}
		})
	}
	probes.Wait()
	f.reviewEvidence()
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
