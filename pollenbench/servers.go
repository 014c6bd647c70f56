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
	coldRate     = 350
	coldLoadTime = 14 * time.Second
	coldAfter    = 4 * time.Second
	tierRounds   = 600
	tierPause    = 15 * time.Millisecond
)

// runColdReturn restarts the servers that the firm's largest service has in one zone, and reads their ledgers.
func runColdReturn(ctx context.Context, b *bench) ([]float64, error) {
	family := slices.MaxFunc(b.firm.Families, func(a, b pollenfirm.Family) int { return a.Servers - b.Servers })
	firm := &pollenfirm.Firm{Families: []pollenfirm.Family{family}}
	var load sync.WaitGroup
	load.Go(func() { b.driveFirm(ctx, firm, coldLoadTime, coldRate) })
	time.Sleep(coldAfter)
	var cold []string
	for _, s := range b.fleet.Servers {
		if s.Family.Name == family.Name && s.Zone == b.firm.Zones[0] {
			cold = append(cold, s.Name)
		}
	}
	for _, name := range cold {
		if err := b.fleet.RestartServer(ctx, name); err != nil {
			return nil, err
		}
	}
	load.Wait()
	slowest, overloads := 0.0, 0
	for _, name := range cold {
		ledger, err := b.fleet.Ledger(ctx, name)
		if err != nil {
			return nil, err
		}
		took := coldLoadTime - coldAfter
		if !ledger.FullSince.IsZero() {
			took = ledger.FullSince.Sub(ledger.BootedAt)
		}
		slowest = max(slowest, took.Seconds()/benchColdTime.Seconds())
		overloads += ledger.Overloads
	}
	return []float64{slowest, float64(overloads)}, nil
}

// runTierCost compares queries with direct requests to the same servers, in turn.
func runTierCost(ctx context.Context, b *bench) ([]float64, error) {
	family := b.firm.Families[0]
	service := pollenfirm.ServiceName(family, 1)
	direct := newDirect(b, service)
	var tier, plain []time.Duration
	for range tierRounds {
		started := time.Now()
		request := pollencaller.Request{Service: service, Class: family.Class, Timeout: queryTimeout}
		if _, err := b.callers[family.Name].Do(ctx, request); err != nil {
			return nil, err
		}
		tier = append(tier, time.Since(started))
		time.Sleep(tierPause)
		took, err := direct.ask(ctx)
		if err != nil {
			return nil, err
		}
		plain = append(plain, took)
		time.Sleep(tierPause)
	}
	cost := percentile99(tier) - percentile99(plain)
	return []float64{float64(cost.Microseconds()) / 1000}, nil
}

// direct asks all servers of a service at once, as a caller could that knew them.
type direct struct {
	service string
	servers []*pollenbackend.Client
	shards  []string
	asked   int
}

func newDirect(b *bench, service string) *direct {
	d := &direct{service: service}
	for _, s := range b.fleet.Servers {
		if s.Service != service {
			continue
		}
		d.servers = append(d.servers, pollenbackend.NewClient(&pollenroute.Server{Address: s.Address, Slots: s.Family.Slots, Connections: s.Family.Connections}))
		// Queries spread the shards evenly over the servers.
		d.shards = make([]string, s.Family.Shards/s.Family.Servers)
		for n := range d.shards {
			d.shards[n] = fmt.Sprintf("%s/%03d", s.Family.Indexes[0], n)
		}
	}
	return d
}

// ask returns how long the slowest server took.
func (d *direct) ask(ctx context.Context) (time.Duration, error) {
	d.asked++
	started := time.Now()
	failures := make(chan error, len(d.servers))
	for n, server := range d.servers {
		go func() {
			_, err := server.Send(ctx, &pollenbackend.Request{
				ID: fmt.Sprintf("direct-%d-%d", d.asked, n), Service: d.service, Snapshot: snapshotName, Shards: d.shards,
				TimeoutMicroseconds: queryTimeout.Microseconds(),
			})
			failures <- err
		}()
	}
	for range d.servers {
		if err := <-failures; err != nil {
			return 0, err
		}
	}
	return time.Since(started), nil
}

func percentile99(values []time.Duration) time.Duration {
	slices.Sort(values)
	return values[len(values)*99/100]
}
