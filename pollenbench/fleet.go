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
	// serverWarmupTime is how long a fake backend server takes to warm up after a start.
	serverWarmupTime = 2 * time.Second
	// maxInstancesWithStoreLimits is the largest fleet that runs with the platform's store limits. Larger fleets get
	// raisedStoreLimit calls per second, so that demand beyond those limits can be measured.
	maxInstancesWithStoreLimits = 60
	raisedStoreLimit            = 10_000
	snapshotName                = "2026-12-04"
	startTimeout                = time.Minute
)

// startFleet starts a firm's fleet and creates its services. baseline is the policy that replaces the instances' query
// policy: empty for none, or polleninstance.BaselineNaive. The returned function closes the fleet and must be called even
// if there is an error.
func startFleet(ctx context.Context, programs, firmName string, instances int, baseline string) (*pollenfleet.Fleet, *pollenfirm.Firm, func(), error) {
	noop := func() {}
	firm, err := pollenfirm.ByName(firmName)
	if err != nil {
		return nil, nil, noop, &StepError{Step: "firm", Err: err}
	}
	directory, err := os.MkdirTemp("", "pollenline-bench-")
	if err != nil {
		return nil, nil, noop, &StepError{Step: "directory", Err: err}
	}
	config := pollenfleet.Config{Firm: firm, Programs: programs, Directory: directory, Instances: instances, ColdTime: serverWarmupTime, Baseline: baseline}
	if instances > maxInstancesWithStoreLimits {
		config.StoreWritesPerSecond, config.StoreReadsPerSecond = raisedStoreLimit, raisedStoreLimit
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := pollenfleet.Start(startCtx, config)
	if err != nil {
		return nil, firm, func() { _ = os.RemoveAll(directory) }, &StepError{Step: "start", Err: err}
	}
	closeFleet := func() {
		fleet.Close()
		_ = os.RemoveAll(directory)
	}
	if err := fleet.CreateServices(startCtx, snapshotName); err != nil {
		return fleet, firm, closeFleet, &StepError{Step: "create", Err: err}
	}
	return fleet, firm, closeFleet, nil
}

// fleetCallers returns a caller for each family, by family name, distributed over the firm's zones.
func fleetCallers(fleet *pollenfleet.Fleet, firm *pollenfirm.Firm) map[string]pollentraffic.Sender {
	callers := make(map[string]pollentraffic.Sender)
	for n, family := range firm.Families {
		callers[family.Name] = fleet.Caller(family.Name, firm.Zones[n%len(firm.Zones)])
	}
	return callers
}

// lastWorkInZone returns when any running backend server of a zone last received a request, whether it ran or refused it.
func lastWorkInZone(ctx context.Context, fleet *pollenfleet.Fleet, zone string) (time.Time, error) {
	var last time.Time
	for _, s := range fleet.Servers {
		if s.Zone != zone || fleet.HostProcess(s.Name).Ended() {
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
