package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"pollenline.example/pollen/pollenbackend"
	"pollenline.example/pollen/pollencaller"
	"pollenline.example/pollen/pollenfirm"
	"pollenline.example/pollen/pollenroute"
)

const (
	// coldReturnRate is in queries per second.
	coldReturnRate         = 350
	coldReturnDuration     = 14 * time.Second
	coldReturnRestartDelay = 4 * time.Second
	tierCostRounds         = 600
	tierCostPause          = 15 * time.Millisecond
)

// runColdReturn restarts the servers of the firm's largest family in one zone under load. It returns the longest time
// from a server's start until all its slots are in use, divided by serverWarmupTime, and the number of overloads.
func runColdReturn(ctx context.Context, b *bench) ([]float64, error) {
	family := slices.MaxFunc(b.firm.Families, func(a, b pollenfirm.Family) int { return a.Servers - b.Servers })
	firm := &pollenfirm.Firm{Families: []pollenfirm.Family{family}}
	var load sync.WaitGroup
	load.Go(func() { b.sendFirmQueries(ctx, firm, coldReturnDuration, coldReturnRate) })
	time.Sleep(coldReturnRestartDelay)
	var restarted []string
	for _, s := range b.fleet.Servers {
		if s.Family.Name == family.Name && s.Zone == b.firm.Zones[0] {
			restarted = append(restarted, s.Name)
		}
	}
	for _, name := range restarted {
		if err := b.fleet.RestartServer(ctx, name); err != nil {
			return nil, err
		}
	}
	load.Wait()
	slowest, overloads := 0.0, 0
	for _, name := range restarted {
		ledger, err := b.fleet.Ledger(ctx, name)
		if err != nil {
			return nil, err
		}
		// A server whose slots were never all in use counts with the time from the restart to the end of the load.
		timeToFull := coldReturnDuration - coldReturnRestartDelay
		if !ledger.FullSince.IsZero() {
			timeToFull = ledger.FullSince.Sub(ledger.BootedAt)
		}
		slowest = max(slowest, timeToFull.Seconds()/serverWarmupTime.Seconds())
		overloads += ledger.Overloads
	}
	return []float64{slowest, float64(overloads)}, nil
}

// runTierCost alternates queries with direct requests to the same servers. It returns the difference of the 99th
// percentiles in milliseconds.
func runTierCost(ctx context.Context, b *bench) ([]float64, error) {
	family := b.firm.Families[0]
	service := pollenfirm.ServiceName(family, 1)
	client := newDirectClient(b, service)
	var tierLatencies, directLatencies []time.Duration
	for range tierCostRounds {
		started := time.Now()
		request := pollencaller.Request{Service: service, Class: family.Class, Timeout: queryTimeout}
		if _, err := b.callers[family.Name].Do(ctx, request); err != nil {
			return nil, err
		}
		tierLatencies = append(tierLatencies, time.Since(started))
		time.Sleep(tierCostPause)
		took, err := client.query(ctx)
		if err != nil {
			return nil, err
		}
		directLatencies = append(directLatencies, took)
		time.Sleep(tierCostPause)
	}
	cost := percentile99(tierLatencies) - percentile99(directLatencies)
	return []float64{float64(cost.Microseconds()) / 1000}, nil
}

// directClient queries all servers of a service concurrently, without the query tier.
type directClient struct {
	service    string
	servers    []*pollenbackend.Client
	shards     []string
	queryCount int
}

func newDirectClient(b *bench, service string) *directClient {
	d := &directClient{service: service}
	for _, s := range b.fleet.Servers {
		if s.Service != service {
			continue
		}
		d.servers = append(d.servers, pollenbackend.NewClient(&pollenroute.Server{Address: s.Address, Slots: s.Family.Slots, Connections: s.Family.Connections}))
		// Each server is asked for an equal share of the shards. A fake server's work depends on their number only, so
		// all are asked for the same names.
		d.shards = make([]string, s.Family.Shards/s.Family.Servers)
		for n := range d.shards {
			d.shards[n] = fmt.Sprintf("%s/%03d", s.Family.Indexes[0], n)
		}
	}
	return d
}

// query sends one request to each server and returns the time until all have answered.
func (d *directClient) query(ctx context.Context) (time.Duration, error) {
	d.queryCount++
	started := time.Now()
	results := make(chan error, len(d.servers))
	for n, server := range d.servers {
		go func() {
			_, err := server.Send(ctx, &pollenbackend.Request{
				ID: fmt.Sprintf("direct-%d-%d", d.queryCount, n), Service: d.service, Snapshot: snapshotName, Shards: d.shards,
				TimeoutMicroseconds: queryTimeout.Microseconds(),
			})
			results <- err
		}()
	}
	for range d.servers {
		if err := <-results; err != nil {
			return 0, err
		}
	}
	return time.Since(started), nil
}

// percentile99 returns the 99th percentile of values, which it sorts.
func percentile99(values []time.Duration) time.Duration {
	slices.Sort(values)
	return values[len(values)*99/100]
}
