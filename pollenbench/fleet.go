package main

import (
	"context"
	"os"
	"time"

	"pollenline.example/pollen/pollenfirm"
	"pollenline.example/pollen/pollenfleet"
	"pollenline.example/pollen/pollentraffic"
)

const (
	benchColdTime = 2 * time.Second
	// largeFleet is the number of instances above which the store's limits are lifted, to measure beyond them.
	largeFleet     = 60
	liftedStore    = 10_000
	snapshotName   = "2026-12-04"
	startLimitTime = time.Minute
)

// startFleet starts a firm's fleet with its services created; the returned function ends it, whatever the error.
func startFleet(ctx context.Context, programs, firmName string, instances int, baseline string) (*pollenfleet.Fleet, *pollenfirm.Firm, func(), error) {
	nothing := func() {}
	firm, err := pollenfirm.ByName(firmName)
	if err != nil {
		return nil, nil, nothing, &demoError{Step: "firm", Err: err}
	}
	directory, err := os.MkdirTemp("", "pollenline-bench-")
	if err != nil {
		return nil, nil, nothing, &demoError{Step: "directory", Err: err}
	}
	config := pollenfleet.Config{Firm: firm, Programs: programs, Directory: directory, Instances: instances, ColdTime: benchColdTime, Baseline: baseline}
	if instances > largeFleet {
		config.StoreWritesPerSecond, config.StoreReadsPerSecond = liftedStore, liftedStore
	}
	startCtx, cancel := context.WithTimeout(ctx, startLimitTime)
	defer cancel()
	fleet, err := pollenfleet.Start(startCtx, config)
	if err != nil {
		return nil, firm, func() { _ = os.RemoveAll(directory) }, &demoError{Step: "start", Err: err}
	}
	closeFleet := func() {
		fleet.Close()
		_ = os.RemoveAll(directory)
	}
	if err := fleet.Create(startCtx, snapshotName); err != nil {
		return fleet, firm, closeFleet, &demoError{Step: "create", Err: err}
	}
	return fleet, firm, closeFleet, nil
}

// fleetCallers returns a caller for each family, near one of the firm's zones.
func fleetCallers(fleet *pollenfleet.Fleet, firm *pollenfirm.Firm) map[string]pollentraffic.Doer {
	callers := make(map[string]pollentraffic.Doer)
	for n, family := range firm.Families {
		callers[family.Name] = fleet.Caller(family.Name, firm.Zones[n%len(firm.Zones)])
	}
	return callers
}

// lastWork returns when a backend server of a zone was last given a request.
func lastWork(ctx context.Context, fleet *pollenfleet.Fleet, zone string) (time.Time, error) {
	var last time.Time
	for _, s := range fleet.Servers {
		if s.Zone != zone || fleet.Host(s.Name).Ended() {
			continue
		}
		ledger, err := fleet.Ledger(ctx, s.Name)
		if err != nil {
			return last, err
		}
		if ledger.LastWork.After(last) {
			last = ledger.LastWork
		}
	}
	return last, nil
}
