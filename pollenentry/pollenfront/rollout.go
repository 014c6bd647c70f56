package pollenfront

import (
	"context"
	"net/netip"
	"time"

	"pollenline.example/platform"
	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenrelay"
	"pollenline.example/pollen/pollenrollout"
)

// rolloutReportTimeout bounds one report on rollouts to their driver.
const rolloutReportTimeout = 500 * time.Millisecond

// newRollouts creates what moves traffic between versions of servers.
func (f *Frontend) newRollouts(settings *Settings, store *pollenplatform.Store) {
	f.rollouts = pollenrollout.NewRouter(pollenrollout.RouterConfig{
		Policy: settings.rolloutPolicy(), Instance: f.self.Name, Incarnation: f.self.Incarnation, OnState: f.metrics.setRollout,
	})
	f.rolloutDriver = pollenrollout.NewDriver(pollenrollout.DriverConfig{
		Policy: settings.rolloutPolicy(), Store: store, Router: f.rollouts, Collector: pollenrollout.NewCollector(), Instance: f.self.Name,
		Table: func() *pollencatalog.Table { return f.view.Table() },
	})
	f.versionRecorder = pollenrollout.NewRecorder(pollenrollout.RecorderConfig{
		Store: store, Router: f.rollouts, Instance: f.self.Name, Table: func() *pollencatalog.Table { return f.view.Table() },
	})
	f.rolloutReporter = pollenrelay.NewRolloutReporter(pollenrelay.RolloutReporterConfig{Timeout: rolloutReportTimeout, Dial: dialPeer, Follow: f.rollouts.Follow})
}

// observeVersions takes a new table before requests are served from it: servers of a version that no order has named must get none.
func (f *Frontend) observeVersions(table *pollencatalog.Table) {
	if f.rollouts != nil {
		f.rollouts.Observe(table, time.Now())
	}
}

// reportRollouts tells the drivers of the open rollouts what this instance has counted, decides on those that it drives, and stores the
// versions in force if that falls to it.
func (f *Frontend) reportRollouts(ctx context.Context) {
	if f.rollouts == nil {
		return
	}
	senders, now := f.view.Table().Senders(), time.Now()
	reports := make(map[netip.AddrPort][]pollenrollout.Report)
	for _, report := range f.rollouts.Reports(now) {
		driver, ok := pollenrollout.DriverOf(report.Service, senders)
		switch {
		case !ok:
		case driver.Name == f.self.Name:
			f.rollouts.Follow(f.rolloutDriver.Receive(report, now), now)
		case driver.PeerAddress.IsValid():
			reports[driver.PeerAddress] = append(reports[driver.PeerAddress], report)
		}
	}
	f.rolloutReporter.Send(ctx, reports)
	f.rolloutDriver.Tick(ctx)
	if !f.viewStale.Load() {
		f.versionRecorder.Tick(ctx, now)
	}
}
