package main

import (
	"context"
	"sync"
	"time"

	"pollenline.example/pollen/pollenfakeserver"
	"pollenline.example/pollen/pollenfakestore"
	"pollenline.example/pollen/pollenfirm"
	"pollenline.example/pollen/pollenfleet"
	"pollenline.example/pollen/pollenschema"
	"pollenline.example/pollen/pollentraffic"
)

const (
	stragglerShare      = 0.01
	stragglerFactor     = 20
	zoneOutDuration     = 8 * time.Second
	silentPhaseDuration = 5 * time.Second
	outageDuration      = 60 * time.Second
	// recoveryTimeout is how long the experiments wait for a takeover, or for an accepted change after a store outage.
	recoveryTimeout = 10 * time.Second
	urgentShare     = 0.2
)

// runStraggler returns the 99th percentile with stragglers relative to that without, and the sub-queries sent per
// sub-query needed.
func runStraggler(ctx context.Context, b *bench) ([]float64, error) {
	undisturbed := b.sendQueries(ctx, phaseDuration, experimentQueriesPerSecond).Total()
	faults := pollenfakeserver.Faults{StragglerShare: stragglerShare, StragglerFactor: stragglerFactor}
	if err := b.setFaults(ctx, faults, allServers); err != nil {
		return nil, err
	}
	before, err := b.fleet.Counters(ctx)
	if err != nil {
		return nil, err
	}
	withStragglers := b.sendQueries(ctx, phaseDuration, experimentQueriesPerSecond).Total()
	after, err := b.fleet.Counters(ctx)
	if err != nil {
		return nil, err
	}
	return []float64{ratio(withStragglers.P99, undisturbed.P99), (after.SubQueriesSent - before.SubQueriesSent) / (after.SubQueriesNeeded - before.SubQueriesNeeded)}, nil
}

// runCoverage takes down one server in ten and returns the share of shards covered and the number of untruthful answers.
func runCoverage(ctx context.Context, b *bench) ([]float64, error) {
	// Adjacent servers hold each other's replicas, so taking down every tenth one leaves a replica of each shard.
	err := b.setFaults(ctx, pollenfakeserver.Faults{Down: true}, func(n int, _ pollenfirm.Server) bool { return n%10 == 0 })
	if err != nil {
		return nil, err
	}
	total := b.sendQueries(ctx, phaseDuration, experimentQueriesPerSecond).Total()
	return []float64{total.Coverage, float64(total.Untruthful)}, nil
}

// runZoneLeaveReturn takes a zone out and back in under load. It returns the seconds until the zone's last new work, the
// number of incomplete queries, and the 99th percentile relative to that before.
func runZoneLeaveReturn(ctx context.Context, b *bench) ([]float64, error) {
	undisturbed := b.sendQueries(ctx, phaseDuration, experimentQueriesPerSecond).Total()
	zone := b.firm.Zones[1]
	var during pollentraffic.Summary
	var load sync.WaitGroup
	load.Go(func() { during = b.sendQueries(ctx, zoneOutDuration+6*time.Second, experimentQueriesPerSecond).Total() })
	requestedAt := time.Now()
	_, outErr := b.fleet.Apply(ctx, "zone-out", pollenfleet.PutZone(zone, pollenschema.Admin_ADMIN_OUT))
	time.Sleep(time.Until(requestedAt.Add(zoneOutDuration)))
	latest, err := lastWorkInZone(ctx, b.fleet, zone)
	_, inErr := b.fleet.Apply(ctx, "zone-in", pollenfleet.PutZone(zone, pollenschema.Admin_ADMIN_IN))
	load.Wait()
	for _, err := range []error{outErr, err, inErr} {
		if err != nil {
			return nil, err
		}
	}
	return []float64{max(0, latest.Sub(requestedAt).Seconds()), incompleteQueries(during), ratio(during.P99, undisturbed.P99)}, nil
}

// runOverload loads one service of the first family at half, once and twice its capacity, which follows from its slots
// and the service time of warm servers. It returns the urgent 99th percentile at twice relative to half the capacity, the
// urgent requests incomplete at twice, and the goodput at twice relative to once.
func runOverload(ctx context.Context, b *bench) ([]float64, error) {
	urgent := b.firm.Families[0]
	urgent.Services = 1
	archive := urgent
	archive.Class = pollenschema.Class_CLASS_ARCHIVE
	perServer := urgent.ServiceTime + time.Duration(urgent.Shards/urgent.Servers)*urgent.ShardTime
	capacity := float64(urgent.Slots) / perServer.Seconds()
	phase := func(load float64) *pollentraffic.Tally {
		tally := pollentraffic.NewTally()
		var group sync.WaitGroup
		for seed, part := range []struct {
			family pollenfirm.Family
			share  float64
		}{{urgent, urgentShare}, {archive, 1 - urgentShare}} {
			group.Go(func() {
				generator := pollentraffic.NewGenerator(pollentraffic.Config{
					Firm: &pollenfirm.Firm{Families: []pollenfirm.Family{part.family}}, Callers: b.callers,
					Rate: capacity * load * part.share, Timeout: queryTimeout, Seed: uint64(seed),
				})
				generator.SetTally(tally)
				generator.Run(ctx, phaseDuration)
			})
		}
		group.Wait()
		return tally
	}
	half, once, twice := phase(0.5), phase(1), phase(2)
	urgentTwice := twice.Class(pollenschema.Class_CLASS_URGENT)
	return []float64{
		ratio(urgentTwice.P99, half.Class(pollenschema.Class_CLASS_URGENT).P99),
		incompleteQueries(urgentTwice),
		float64(twice.Total().Complete) / float64(max(1, once.Total().Complete)),
	}, nil
}

// runSilentConnections makes half of the open connections to each server silent. It returns the 99.9th percentile of the
// second phase relative to that before, and the number of incomplete queries in the first phase.
func runSilentConnections(ctx context.Context, b *bench) ([]float64, error) {
	undisturbed := b.sendQueries(ctx, phaseDuration, experimentQueriesPerSecond).Total()
	for _, s := range b.fleet.Servers {
		if err := b.fleet.SilenceConnections(ctx, s.Name); err != nil {
			return nil, err
		}
	}
	firstPhase := b.sendQueries(ctx, silentPhaseDuration, experimentQueriesPerSecond).Total()
	secondPhase := b.sendQueries(ctx, silentPhaseDuration, experimentQueriesPerSecond).Total()
	return []float64{ratio(secondPhase.P999, undisturbed.P999), incompleteQueries(firstPhase)}, nil
}

// runStoreOutage takes the store down under load. It returns the number of incomplete queries and the seconds from the
// store's return until a change is accepted, at most recoveryTimeout.
func runStoreOutage(ctx context.Context, b *bench) ([]float64, error) {
	if err := b.fleet.SetStoreFaults(ctx, pollenfakestore.Faults{Down: true}); err != nil {
		return nil, err
	}
	during := b.sendQueries(ctx, outageDuration, experimentQueriesPerSecond).Total()
	if err := b.fleet.SetStoreFaults(ctx, pollenfakestore.Faults{}); err != nil {
		return nil, err
	}
	restoredAt := time.Now()
	for {
		response, err := b.fleet.Apply(ctx, "after-outage", pollenfleet.PutZone(b.firm.Zones[0], pollenschema.Admin_ADMIN_IN))
		if err == nil && response.Accepted {
			return []float64{incompleteQueries(during), time.Since(restoredAt).Seconds()}, nil
		}
		if time.Since(restoredAt) > recoveryTimeout {
			return []float64{incompleteQueries(during), recoveryTimeout.Seconds()}, nil
		}
	}
}

// runTakeover kills the first instance, which owns server groups. It returns the seconds until every server of its zone
// has received new work, or recoveryTimeout.
func runTakeover(ctx context.Context, b *bench) ([]float64, error) {
	var load sync.WaitGroup
	load.Go(func() { b.sendQueries(ctx, recoveryTimeout, 2*experimentQueriesPerSecond) })
	defer load.Wait()
	time.Sleep(time.Second)
	owner := 0
	zone := b.fleet.Settings[owner].Zone
	b.fleet.Instances[owner].Kill()
	killedAt := time.Now()
	// The checks end before the load does, since servers receive no work without it.
	for time.Since(killedAt) < recoveryTimeout-3*time.Second {
		time.Sleep(100 * time.Millisecond)
		oldest, err := leastRecentWork(ctx, b, zone)
		if err != nil {
			return nil, err
		}
		if oldest.After(killedAt) {
			return []float64{time.Since(killedAt).Seconds()}, nil
		}
	}
	return []float64{recoveryTimeout.Seconds()}, nil
}

// leastRecentWork returns the earliest of the times at which the servers of a zone last received work.
func leastRecentWork(ctx context.Context, b *bench, zone string) (time.Time, error) {
	var oldest time.Time
	for _, s := range b.fleet.Servers {
		if s.Zone != zone {
			continue
		}
		ledger, err := b.fleet.Ledger(ctx, s.Name)
		if err != nil {
			return oldest, err
		}
		if oldest.IsZero() || ledger.LastWork.Before(oldest) {
			oldest = ledger.LastWork
		}
	}
	return oldest, nil
}
