package pollenfront

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenroster"
	"pollenline.example/pollen/pollenstore"
)

// maintainRegistration keeps the instance registered while it is among those that should serve callers, until ctx is done.
func (f *Frontend) maintainRegistration(ctx context.Context) {
	select {
	case <-f.configured:
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		if f.shouldRegister() && f.waitRegistrationDelay(ctx) {
			f.registerUntilReplaced(ctx)
			continue
		}
		select {
		case <-f.tableChanged:
		case <-ctx.Done():
		}
	}
}

// waitRegistrationDelay gives instances of a better rank time to register, and reports whether this one should still
// register.
func (f *Frontend) waitRegistrationDelay(ctx context.Context) bool {
	timer := time.NewTimer(pollenroster.RegistrationDelay(f.self, f.source.Rank()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil && f.shouldRegister()
}

// shouldRegister reports whether this instance, which is not registered, should be. One that reaches no servers replaces no other.
func (f *Frontend) shouldRegister() bool {
	return !f.reach.CutOff() && pollenroster.ShouldRegister(f.self, f.view.Table())
}

// registerUntilReplaced keeps the instance registered until other instances replace it or ctx is done.
func (f *Frontend) registerUntilReplaced(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	f.active.Store(true)
	go func() {
		defer close(done)
		f.registrar.Run(ctx)
	}()
	for pollenroster.ShouldRegister(f.self, f.view.Table()) {
		select {
		case <-f.tableChanged:
		case <-ctx.Done():
			<-done
			return
		}
	}
	klog.InfoS("Standing by, others are named to callers", "zone", f.self.Zone)
	f.active.Store(false)
	cancel()
	<-done
}

// countStandbys estimates the number of instances that are not registered, in all zones, from those of this instance's zone.
func (f *Frontend) countStandbys() int {
	zones := make(map[string]bool)
	for _, i := range f.view.Table().Instances() {
		zones[i.Zone] = true
	}
	return f.source.Standbys() * len(zones)
}

// repairRegistration rewrites the instance's key if the store lost it while the lease is still valid.
func (f *Frontend) repairRegistration(table *pollencatalog.Table) {
	inTable := slices.ContainsFunc(table.Instances(), func(i pollencatalog.Instance) bool { return i.Name == f.self.Name })
	if f.inTable && !inTable && f.active.Load() {
		f.registrar.Rewrite()
	}
	f.inTable = inTable
}

// listedWatcher returns the peer address of the instance that watches the store for this one's zone, other than this one,
// as a listing of the store names it.
func (f *Frontend) listedWatcher(listing pollenstore.Listing) (netip.AddrPort, bool) {
	instances := slices.DeleteFunc(pollenroster.DecodeInstances(listing), func(i pollencatalog.Instance) bool { return i.Name == f.self.Name })
	watcher, ok := pollenroster.ZoneWatcher(instances, f.self.Zone)
	return watcher.PeerAddress, ok && watcher.PeerAddress.IsValid()
}

// watcherAddress returns the peer address of the zone's watcher, or false if this instance reads the store itself.
func (f *Frontend) watcherAddress() (netip.AddrPort, bool) {
	watcher, ok := pollenroster.ZoneWatcher(f.view.Table().Instances(), f.self.Zone)
	if !ok || watcher.Name == f.self.Name || !watcher.PeerAddress.IsValid() {
		return netip.AddrPort{}, false
	}
	return watcher.PeerAddress, true
}

// otherWatchers returns the peer addresses of the other zones' watchers.
func (f *Frontend) otherWatchers() []netip.AddrPort {
	instances := f.view.Table().Instances()
	var addresses []netip.AddrPort
	zones := map[string]bool{f.self.Zone: true}
	for _, i := range instances {
		if zones[i.Zone] {
			continue
		}
		zones[i.Zone] = true
		if watcher, ok := pollenroster.ZoneWatcher(instances, i.Zone); ok && watcher.PeerAddress.IsValid() {
			addresses = append(addresses, watcher.PeerAddress)
		}
	}
	return addresses
}
