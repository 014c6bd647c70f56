package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"pollenline.example/pollen/pollenfakeserver"
	"pollenline.example/pollen/pollenfirm"
	"pollenline.example/pollen/pollenfleet"
	"pollenline.example/pollen/polleninstance"
	"pollenline.example/pollen/pollentraffic"
)

// experiment is a named measurement that yields one or more figures.
type experiment struct {
	Name string
	// Description defines the measures and is part of the written report.
	Description string
	// Measures describes the figures that Run returns, in order.
	Measures []measure
	// NoBaseline is set if the naive policy offers no meaningful comparison.
	NoBaseline bool
	Run        func(ctx context.Context, b *bench) ([]float64, error)
}

// measure describes a figure by its name, unit and bound.
type measure struct {
	Name  string
	Unit  string
	Bound float64
	// AtLeast is set if Bound is a lower bound rather than an upper one.
	AtLeast bool
}

// result is one figure of one firm: Now with the product's policy, Baseline with the naive one.
type result struct {
	Measure  measure
	Firm     string
	Baseline float64
	Now      float64
}

// experiments lists all experiments in the order of the users' list of measures.
var experiments = []experiment{
	{
		Name:        "Straggler",
		Description: "One sub-query in 100 is 20 times slower. StragglerTail is the 99th percentile relative to that of the same fleet without stragglers; ExtraLoad is the number of sub-queries sent per sub-query needed in the same run.",
		Measures: []measure{
			{Name: "StragglerTail", Unit: "ratio", Bound: 1.5},
			{Name: "ExtraLoad", Unit: "ratio", Bound: 1.05},
		},
		Run: runStraggler,
	},
	{
		Name:        "Coverage",
		Description: "One server in 10 is down; the shards have replicas. Coverage is the share of shards covered over all queries; Untruthful counts answers whose rows, snapshot and coverage disagree.",
		Measures: []measure{
			{Name: "Coverage", Unit: "share", Bound: 0.999, AtLeast: true},
			{Name: "Untruthful", Unit: "answers", Bound: 0},
		},
		Run: runCoverage,
	},
	{
		Name:        "ZoneLeaveReturn",
		Description: "A zone is taken out for 8 s and brought back. ZoneLastWork is the time from the request to take it out until its last new work; ZoneFailed counts queries that failed or lacked shards; ZoneTail is the 99th percentile from that request until 6 s after the return, relative to that before.",
		Measures: []measure{
			{Name: "ZoneLastWork", Unit: "s", Bound: 6},
			{Name: "ZoneFailed", Unit: "queries", Bound: 0},
			{Name: "ZoneTail", Unit: "ratio", Bound: 1.5},
		},
		Run: runZoneLeaveReturn,
	},
	{
		Name:        "Overload",
		Description: "One service runs at half, once and twice its capacity; one request in five is of class urgent, the others of class archive. UrgentTail is the 99th percentile of urgent requests at twice relative to half the capacity; UrgentRefused counts urgent requests that failed or lacked shards at twice; Goodput is the number of complete requests at twice relative to once.",
		Measures: []measure{
			{Name: "UrgentTail", Unit: "ratio", Bound: 1.5},
			{Name: "UrgentRefused", Unit: "requests", Bound: 0},
			{Name: "Goodput", Unit: "ratio", Bound: 0.95, AtLeast: true},
		},
		Run: runOverload,
	},
	{
		Name:        "SilentConnections",
		Description: "Half of the open connections to every server go silent. SilentTail is the 99.9th percentile from 5 s to 10 s afterwards, relative to that before; SilentFailed counts queries that failed or lacked shards in the first 5 s.",
		Measures: []measure{
			{Name: "SilentTail", Unit: "ratio", Bound: 2},
			{Name: "SilentFailed", Unit: "queries", Bound: 0},
		},
		Run: runSilentConnections,
	},
	{
		Name:        "Takeover",
		Description: "An instance that owns server groups is killed. Takeover is the time until every server of its zone has received new work.",
		Measures:    []measure{{Name: "Takeover", Unit: "s", Bound: 3}},
		Run:         runTakeover,
	},
	{
		Name:        "ColdReturn",
		Description: "All servers of the largest family in one zone restart cold under load. ColdReturn is the longest time until all slots of a server are in use, relative to the time that a server takes to warm up; ColdOverloads counts how often one of them received more work than it could handle although it had signalled that it was cold or had been idle.",
		Measures: []measure{
			{Name: "ColdReturn", Unit: "ratio", Bound: 1.5},
			{Name: "ColdOverloads", Unit: "times", Bound: 0},
		},
		Run: runColdReturn,
	},
	{
		Name:        "TierCost",
		Description: "No other requests are sent. TierCost is the 99th percentile of a query minus that of querying the same servers directly and concurrently.",
		Measures:    []measure{{Name: "TierCost", Unit: "ms", Bound: 2}},
		Run:         runTierCost,
		NoBaseline:  true,
	},
	{
		Name:        "StoreOutage",
		Description: "The store is down for 60 s. OutageFailed counts queries that failed or lacked shards; OutageAccepted is the time from the store's return until a change is in force everywhere.",
		Measures: []measure{
			{Name: "OutageFailed", Unit: "queries", Bound: 0},
			{Name: "OutageAccepted", Unit: "s", Bound: 6},
		},
		Run:        runStoreOutage,
		NoBaseline: true,
	},
}

// bench is the environment of one run of an experiment: a fleet and its callers.
type bench struct {
	fleet    *pollenfleet.Fleet
	firm     *pollenfirm.Firm
	callers  map[string]pollentraffic.Sender
	baseline string
}

const (
	experimentQueriesPerSecond = 150
	initialLoadDuration        = 4 * time.Second
	phaseDuration              = 8 * time.Second
	queryTimeout               = 2 * time.Second
)

// passes reports whether a figure is within the bound.
func (m measure) passes(value float64) bool {
	if m.AtLeast {
		return value >= m.Bound
	}
	return value <= m.Bound
}

// summary returns a line with the result, its ratio to the baseline, its bound and the verdict.
func (r result) summary() string {
	verdict := "Fail"
	if r.Measure.passes(r.Now) {
		verdict = "Pass"
	}
	ratio := 0.0
	if r.Baseline != 0 {
		ratio = r.Now / r.Baseline
	}
	return fmt.Sprintf("Measure %s Firm=%s Baseline=%.4g Now=%.4g Ratio=%.3g Bound=%.4g %s",
		r.Measure.Name, r.Firm, r.Baseline, r.Now, ratio, r.Measure.Bound, verdict)
}

// UnknownExperimentError reports a name that no experiment has.
type UnknownExperimentError struct {
	Name string
}

func (e *UnknownExperimentError) Error() string {
	var names []string
	for _, x := range experiments {
		names = append(names, x.Name)
	}
	return fmt.Sprintf("unknown experiment %q: want one of %s", e.Name, strings.Join(names, ", "))
}

// runExperiment runs an experiment for one firm, first with the naive policy unless it has no baseline.
func runExperiment(ctx context.Context, programs string, x experiment, firm string) ([]result, error) {
	baseline := make([]float64, len(x.Measures))
	if !x.NoBaseline {
		var err error
		if baseline, err = runOnFreshFleet(ctx, programs, x, firm, polleninstance.BaselineNaive); err != nil {
			return nil, &StepError{Step: x.Name + " baseline", Err: err}
		}
	}
	now, err := runOnFreshFleet(ctx, programs, x, firm, "")
	if err != nil {
		return nil, &StepError{Step: x.Name, Err: err}
	}
	results := make([]result, 0, len(x.Measures))
	for n, m := range x.Measures {
		results = append(results, result{Measure: m, Firm: firm, Baseline: baseline[n], Now: now[n]})
	}
	return results, nil
}

// runOnFreshFleet runs an experiment on a new fleet that has served queries for initialLoadDuration, and closes the fleet.
func runOnFreshFleet(ctx context.Context, programs string, x experiment, firmName, baseline string) ([]float64, error) {
	fleet, firm, closeFleet, err := startFleet(ctx, programs, firmName, demoInstances, baseline)
	defer closeFleet()
	if err != nil {
		return nil, err
	}
	b := &bench{fleet: fleet, firm: firm, callers: fleetCallers(fleet, firm), baseline: baseline}
	b.sendQueries(ctx, initialLoadDuration, experimentQueriesPerSecond)
	return x.Run(ctx, b)
}

// sendQueries sends the firm's queries at a rate per second for a duration and returns the tally of the answers.
func (b *bench) sendQueries(ctx context.Context, duration time.Duration, rate float64) *pollentraffic.Tally {
	return b.sendFirmQueries(ctx, b.firm, duration, rate)
}

// sendFirmQueries is like sendQueries for a firm other than the fleet's, such as one with a subset of its families.
func (b *bench) sendFirmQueries(ctx context.Context, firm *pollenfirm.Firm, duration time.Duration, rate float64) *pollentraffic.Tally {
	generator := pollentraffic.NewGenerator(pollentraffic.Config{Firm: firm, Callers: b.callers, Rate: rate, Timeout: queryTimeout, Seed: 1})
	generator.Run(ctx, duration)
	return generator.Tally()
}

// setFaults injects faults into the selected servers.
func (b *bench) setFaults(ctx context.Context, faults pollenfakeserver.Faults, selected func(n int, s pollenfirm.Server) bool) error {
	for n, s := range b.fleet.Servers {
		if selected(n, s) {
			if err := b.fleet.SetFaults(ctx, s.Name, faults); err != nil {
				return err
			}
		}
	}
	return nil
}

func allServers(int, pollenfirm.Server) bool { return true }

// incompleteQueries returns the number of queries that failed or lacked some of their shards.
func incompleteQueries(s pollentraffic.Summary) float64 {
	return float64(s.Requests - s.Complete)
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }
