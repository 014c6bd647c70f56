package pollenfront

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenroster"
)

// enlist keeps the instance registered while it is one of those that are named to callers, until ctx is done.
func (f *Front) enlist(ctx context.Context) {
	select {
	case <-f.listed:
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		if pollenroster.ShouldRegister(f.self, f.view.Table()) && f.stillServes(ctx) {
			f.serveCallers(ctx)
			continue
		}
		select {
		case <-f.changed:
		case <-ctx.Done():
		}
	}
}

// stillServes waits for instances that come first and reports whether this one is still to be named.
func (f *Front) stillServes(ctx context.Context) bool {
	timer := time.NewTimer(pollenroster.RegistrationDelay(f.self, f.source.Rank()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil && pollenroster.ShouldRegister(f.self, f.view.Table())
}

// serveCallers keeps the instance registered until others are to be named in its place or ctx is done.
func (f *Front) serveCallers(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	f.enlisted.Store(true)
	go func() {
		defer close(done)
		f.registrar.Run(ctx)
	}()
	for pollenroster.ShouldRegister(f.self, f.view.Table()) {
		select {
		case <-f.changed:
		case <-ctx.Done():
			<-done
			return
		}
	}
	klog.InfoS("Standing by, others are named to callers", "zone", f.self.Zone)
	f.enlisted.Store(false)
	cancel()
	<-done
}

// checkRegistration writes the instance's key again if the store has dropped it while the lease lives.
func (f *Front) checkRegistration(table *pollencatalog.Table) {
	named := slices.ContainsFunc(table.Instances(), func(i pollencatalog.Instance) bool { return i.Name == f.self.Name })
	if f.named && !named && f.enlisted.Load() {
		f.registrar.Rewrite()
	}
	f.named = named
}

// watcher returns the instance that follows the store for this one.
func (f *Front) watcher() (netip.AddrPort, bool) {
	watcher, ok := pollenroster.ZoneWatcher(f.view.Table().Instances(), f.self.Zone)
	if !ok || watcher.Name == f.self.Name || !watcher.PeerAddress.IsValid() {
		return netip.AddrPort{}, false
	}
	return watcher.PeerAddress, true
}
