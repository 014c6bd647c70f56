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

// experiment is one named measurement.
type experiment struct {
	Name string
	// Doc says what is measured and against which bound.
	Doc string
	// Measures are the lines that one run gives, in order.
	Measures []measure
	// Alone is set when the naive policy has nothing to compare.
	Alone bool
	Run   func(ctx context.Context, b *bench) ([]float64, error)
}

// measure is one figure with its bound.
type measure struct {
	Name  string
	Unit  string
	Bound float64
	// AtLeast is set for a bound from below.
	AtLeast bool
}

// result is one figure of one firm, ours beside the baseline's.
type result struct {
	Measure  measure
	Firm     string
	Baseline float64
	Now      float64
}

// experiments are in the order of the users' measures.
var experiments = []experiment{
	{
		Name: "Straggler",
		Doc:  "One sub-query in 100 is 20 times slower. StragglerTail is the 99th percentile against that of the same fleet without stragglers; ExtraLoad is sub-queries sent for each one needed in the same run.",
		Measures: []measure{
			{Name: "StragglerTail", Unit: "ratio", Bound: 1.5},
			{Name: "ExtraLoad", Unit: "ratio", Bound: 1.05},
		},
		Run: runStraggler,
	},
	{
		Name: "Coverage",
		Doc:  "One server in 10 fails; replicas exist. Coverage is the share of shards covered over all queries; Untruthful counts answers whose rows, snapshot and coverage disagree.",
		Measures: []measure{
			{Name: "Coverage", Unit: "share", Bound: 0.999, AtLeast: true},
			{Name: "Untruthful", Unit: "answers", Bound: 0},
		},
		Run: runCoverage,
	},
	{
		Name: "ZoneLeaveReturn",
		Doc:  "A zone is taken out for 8 s and brought back. ZoneLastWork is the last new work in it after the order; ZoneFailed counts queries not done or not whole; ZoneTail is the 99th percentile during against before.",
		Measures: []measure{
			{Name: "ZoneLastWork", Unit: "s", Bound: 6},
			{Name: "ZoneFailed", Unit: "queries", Bound: 0},
			{Name: "ZoneTail", Unit: "ratio", Bound: 1.5},
		},
		Run: runZone,
	},
	{
		Name: "Overload",
		Doc:  "One service at half, once and twice its capacity; one request in five is urgent, the others archive. UrgentTail is the urgent 99th percentile at twice against half; UrgentRefused counts urgent requests not done at twice; Goodput is requests done a second at twice against once.",
		Measures: []measure{
			{Name: "UrgentTail", Unit: "ratio", Bound: 1.5},
			{Name: "UrgentRefused", Unit: "requests", Bound: 0},
			{Name: "Goodput", Unit: "ratio", Bound: 0.95, AtLeast: true},
		},
		Run: runOverload,
	},
	{
		Name: "SilentConnections",
		Doc:  "Half of the open connections to every server go silent. SilentTail is the 99.9th percentile of the 5 s after the first 5 s, against before; SilentFailed counts queries not done or not whole in the first 5 s.",
		Measures: []measure{
			{Name: "SilentTail", Unit: "ratio", Bound: 2},
			{Name: "SilentFailed", Unit: "queries", Bound: 0},
		},
		Run: runSilent,
	},
	{
		Name:     "Takeover",
		Doc:      "The owner of a server is killed. Takeover is the time until that server gets work again.",
		Measures: []measure{{Name: "Takeover", Unit: "s", Bound: 3}},
		Run:      runTakeover,
	},
	{
		Name: "ColdReturn",
		Doc:  "All servers of the largest service in one zone start cold under load. ColdReturn is the time until all slots of each are in use, against the time that it takes to warm up; ColdOverloads counts servers given more than they bear.",
		Measures: []measure{
			{Name: "ColdReturn", Unit: "ratio", Bound: 1.5},
			{Name: "ColdOverloads", Unit: "times", Bound: 0},
		},
		Run: runColdReturn,
	},
	{
		Name:     "TierCost",
		Doc:      "Idle servers. TierCost is the 99th percentile of a query against that of asking the same servers directly and at once.",
		Measures: []measure{{Name: "TierCost", Unit: "ms", Bound: 2}},
		Run:      runTierCost,
		Alone:    true,
	},
	{
		Name: "StoreOutage",
		Doc:  "The store is down for 60 s. OutageFailed counts queries not done or not whole; OutageAccepted is the time from its return until a change is in force everywhere.",
		Measures: []measure{
			{Name: "OutageFailed", Unit: "queries", Bound: 0},
			{Name: "OutageAccepted", Unit: "s", Bound: 6},
		},
		Run:   runOutage,
		Alone: true,
	},
}

// bench is a fleet for one run of an experiment.
type bench struct {
	fleet    *pollenfleet.Fleet
	firm     *pollenfirm.Firm
	callers  map[string]pollentraffic.Doer
	baseline string
}

const (
	experimentRate = 150
	warmTime       = 4 * time.Second
	phaseTime      = 8 * time.Second
	queryTimeout   = 2 * time.Second
)

// pass reports whether a figure keeps its bound.
func (m measure) pass(value float64) bool {
	if m.AtLeast {
		return value >= m.Bound
	}
	return value <= m.Bound
}

// line writes a result in one line.
func (r result) line() string {
	verdict := "Fail"
	if r.Measure.pass(r.Now) {
		verdict = "Pass"
	}
	ratio := 0.0
	if r.Baseline != 0 {
		ratio = r.Now / r.Baseline
	}
	return fmt.Sprintf("Measure %s Firm=%s Baseline=%.4g Now=%.4g Ratio=%.3g Bound=%.4g %s",
		r.Measure.Name, r.Firm, r.Baseline, r.Now, ratio, r.Measure.Bound, verdict)
}

// UnknownExperimentError reports an experiment that does not exist.
type UnknownExperimentError struct {
	Name string
}

func (e *UnknownExperimentError) Error() string {
	var names []string
	for _, x := range experiments {
		names = append(names, x.Name)
	}
	return fmt.Sprintf("no experiment %q: want one of %s", e.Name, strings.Join(names, ", "))
}

// runExperiment runs one experiment for one firm, the baseline first.
func runExperiment(ctx context.Context, programs string, x experiment, firm string) ([]result, error) {
	baseline := make([]float64, len(x.Measures))
	if !x.Alone {
		var err error
		if baseline, err = runOnce(ctx, programs, x, firm, polleninstance.BaselineNaive); err != nil {
			return nil, &demoError{Step: x.Name + " baseline", Err: err}
		}
	}
	now, err := runOnce(ctx, programs, x, firm, "")
	if err != nil {
		return nil, &demoError{Step: x.Name, Err: err}
	}
	results := make([]result, 0, len(x.Measures))
	for n, m := range x.Measures {
		results = append(results, result{Measure: m, Firm: firm, Baseline: baseline[n], Now: now[n]})
	}
	return results, nil
}

func runOnce(ctx context.Context, programs string, x experiment, firmName, baseline string) ([]float64, error) {
	fleet, firm, closeFleet, err := startFleet(ctx, programs, firmName, demoInstances, baseline)
	defer closeFleet()
	if err != nil {
		return nil, err
	}
	b := &bench{fleet: fleet, firm: firm, callers: fleetCallers(fleet, firm), baseline: baseline}
	b.drive(ctx, warmTime, experimentRate)
	return x.Run(ctx, b)
}

// drive sends the firm's queries for a time and returns what came back.
func (b *bench) drive(ctx context.Context, duration time.Duration, rate float64) *pollentraffic.Tally {
	return b.driveFirm(ctx, b.firm, duration, rate)
}

func (b *bench) driveFirm(ctx context.Context, firm *pollenfirm.Firm, duration time.Duration, rate float64) *pollentraffic.Tally {
	generator := pollentraffic.NewGenerator(pollentraffic.Config{Firm: firm, Callers: b.callers, Rate: rate, Timeout: queryTimeout, Seed: 1})
	generator.Run(ctx, duration)
	return generator.Tally()
}

// setFaults puts the chosen servers into trouble.
func (b *bench) setFaults(ctx context.Context, faults pollenfakeserver.Faults, chosen func(n int, s pollenfirm.Server) bool) error {
	for n, s := range b.fleet.Servers {
		if chosen(n, s) {
			if err := b.fleet.SetFaults(ctx, s.Name, faults); err != nil {
				return err
			}
		}
	}
	return nil
}

func everyServer(int, pollenfirm.Server) bool { return true }

// failed counts queries that were not done or not whole.
func failed(s pollentraffic.Summary) float64 {
	return float64(s.Requests - s.Whole)
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }
