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
	stragglerShare  = 0.01
	stragglerFactor = 20
	zoneAway        = 8 * time.Second
	silentTime      = 5 * time.Second
	outageTime      = 60 * time.Second
	takeoverLimit   = 10 * time.Second
	urgentShare     = 0.2
)

func runStraggler(ctx context.Context, b *bench) ([]float64, error) {
	quiet := b.drive(ctx, phaseTime, experimentRate).Total()
	faults := pollenfakeserver.Faults{StragglerShare: stragglerShare, StragglerFactor: stragglerFactor}
	if err := b.setFaults(ctx, faults, everyServer); err != nil {
		return nil, err
	}
	before, err := b.fleet.Counters(ctx)
	if err != nil {
		return nil, err
	}
	slow := b.drive(ctx, phaseTime, experimentRate).Total()
	after, err := b.fleet.Counters(ctx)
	if err != nil {
		return nil, err
	}
	return []float64{ratio(slow.P99, quiet.P99), (after.Sent - before.Sent) / (after.Needed - before.Needed)}, nil
}

func runCoverage(ctx context.Context, b *bench) ([]float64, error) {
	// Neighbouring servers hold each other's shards; every tenth, and the next one never, leaves a replica.
	err := b.setFaults(ctx, pollenfakeserver.Faults{Down: true}, func(n int, _ pollenfirm.Server) bool { return n%10 == 0 })
	if err != nil {
		return nil, err
	}
	total := b.drive(ctx, phaseTime, experimentRate).Total()
	return []float64{total.Coverage, float64(total.Untruthful)}, nil
}

func runZone(ctx context.Context, b *bench) ([]float64, error) {
	quiet := b.drive(ctx, phaseTime, experimentRate).Total()
	zone := b.firm.Zones[1]
	var during pollentraffic.Summary
	var load sync.WaitGroup
	load.Go(func() { during = b.drive(ctx, zoneAway+6*time.Second, experimentRate).Total() })
	ordered := time.Now()
	_, outErr := b.fleet.Apply(ctx, "zone-out", pollenfleet.PutZone(zone, pollenschema.Admin_ADMIN_OUT))
	time.Sleep(time.Until(ordered.Add(zoneAway)))
	last, err := lastWork(ctx, b.fleet, zone)
	_, inErr := b.fleet.Apply(ctx, "zone-in", pollenfleet.PutZone(zone, pollenschema.Admin_ADMIN_IN))
	load.Wait()
	for _, err := range []error{outErr, err, inErr} {
		if err != nil {
			return nil, err
		}
	}
	return []float64{max(0, last.Sub(ordered).Seconds()), failed(during), ratio(during.P99, quiet.P99)}, nil
}

// runOverload loads one service of the first family; its capacity is what its slots give at the warm service time.
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
				generator.Run(ctx, phaseTime)
			})
		}
		group.Wait()
		return tally
	}
	half, once, twice := phase(0.5), phase(1), phase(2)
	urgentTwice := twice.Class(pollenschema.Class_CLASS_URGENT)
	return []float64{
		ratio(urgentTwice.P99, half.Class(pollenschema.Class_CLASS_URGENT).P99),
		failed(urgentTwice),
		float64(twice.Total().Whole) / float64(max(1, once.Total().Whole)),
	}, nil
}

func runSilent(ctx context.Context, b *bench) ([]float64, error) {
	quiet := b.drive(ctx, phaseTime, experimentRate).Total()
	for _, s := range b.fleet.Servers {
		if err := b.fleet.Silence(ctx, s.Name); err != nil {
			return nil, err
		}
	}
	first := b.drive(ctx, silentTime, experimentRate).Total()
	later := b.drive(ctx, silentTime, experimentRate).Total()
	return []float64{ratio(later.P999, quiet.P999), failed(first)}, nil
}

func runOutage(ctx context.Context, b *bench) ([]float64, error) {
	if err := b.fleet.SetStoreFaults(ctx, pollenfakestore.Faults{Down: true}); err != nil {
		return nil, err
	}
	during := b.drive(ctx, outageTime, experimentRate).Total()
	if err := b.fleet.SetStoreFaults(ctx, pollenfakestore.Faults{}); err != nil {
		return nil, err
	}
	returned := time.Now()
	for {
		response, err := b.fleet.Apply(ctx, "after-outage", pollenfleet.PutZone(b.firm.Zones[0], pollenschema.Admin_ADMIN_IN))
		if err == nil && response.Accepted {
			return []float64{failed(during), time.Since(returned).Seconds()}, nil
		}
		if time.Since(returned) > takeoverLimit {
			return []float64{failed(during), takeoverLimit.Seconds()}, nil
		}
	}
}

// runTakeover kills the instance that owns most groups and waits until each of its zone's servers has new work.
func runTakeover(ctx context.Context, b *bench) ([]float64, error) {
	var load sync.WaitGroup
	load.Go(func() { b.drive(ctx, takeoverLimit, 2*experimentRate) })
	defer load.Wait()
	time.Sleep(time.Second)
	victim := 0
	zone := b.fleet.Settings[victim].Zone
	b.fleet.Instances[victim].Kill()
	killed := time.Now()
	for time.Since(killed) < takeoverLimit-3*time.Second {
		time.Sleep(100 * time.Millisecond)
		oldest, err := oldestWork(ctx, b, zone)
		if err != nil {
			return nil, err
		}
		if oldest.After(killed) {
			return []float64{time.Since(killed).Seconds()}, nil
		}
	}
	return []float64{takeoverLimit.Seconds()}, nil
}

// oldestWork returns when the server of a zone that waits longest was last given work.
func oldestWork(ctx context.Context, b *bench, zone string) (time.Time, error) {
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
