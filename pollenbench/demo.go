package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"pollenline.example/pollen/pollenfirm"
	"pollenline.example/pollen/pollenfleet"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenschema"
	"pollenline.example/pollen/pollentraffic"
)

const (
	demoInstances        = 9
	demoQueriesPerSecond = 150
	demoActionShare      = 0.1
	demoQueryTimeout     = 4 * time.Second
	demoWarmupTime       = 2 * time.Second
	// zoneOutBound is the time after which a zone taken out must receive no new work.
	zoneOutBound = 6 * time.Second
	stopTimeout  = 25 * time.Second
)

// InvariantError reports that an invariant was violated during the demonstration.
type InvariantError struct {
	Problem string
}

func (e *InvariantError) Error() string { return "invariant violated: " + e.Problem }

// demo holds the state of a running demonstration.
type demo struct {
	fleet     *pollenfleet.Fleet
	firm      *pollenfirm.Firm
	generator *pollentraffic.Generator
	started   time.Time
	problems  []string
	// killedIndex is the index of the instance that is killed, stoppedIndex of the one that is stopped gracefully.
	killedIndex, stoppedIndex int
}

func runDemo(ctx context.Context, programs, firmName string, seed uint64) error {
	firm, err := pollenfirm.ByName(firmName)
	if err != nil {
		return &StepError{Step: "firm", Err: err}
	}
	directory, err := os.MkdirTemp("", "pollenline-demo-")
	if err != nil {
		return &StepError{Step: "directory", Err: err}
	}
	d := &demo{firm: firm, started: time.Now(), killedIndex: 1, stoppedIndex: 5}
	d.logStep("start", "logs and settings in %s", directory)
	d.fleet, err = pollenfleet.Start(ctx, pollenfleet.Config{
		Firm: firm, Programs: programs, Directory: directory, Instances: demoInstances, ColdTime: demoWarmupTime,
	})
	if err != nil {
		return &StepError{Step: "start", Err: err}
	}
	defer d.fleet.Close()
	d.logStep("started", "%d entry instances in %d availability zones, %d backend servers", demoInstances, len(firm.Zones), len(d.fleet.Servers))
	if err := d.fleet.CreateServices(ctx, snapshotName); err != nil {
		return &StepError{Step: "create", Err: err}
	}
	d.logStep("created", "services through the operators' API, in force on all instances")
	d.newGenerator(seed)
	return d.run(ctx)
}

// StepError reports the step of a demonstration or measurement that failed.
type StepError struct {
	Step string
	Err  error
}

func (e *StepError) Error() string { return fmt.Sprintf("step %s: %v", e.Step, e.Err) }

func (e *StepError) Unwrap() error { return e.Err }

func (d *demo) newGenerator(seed uint64) {
	d.generator = pollentraffic.NewGenerator(pollentraffic.Config{
		Firm: d.firm, Callers: fleetCallers(d.fleet, d.firm), Rate: demoQueriesPerSecond, ActionShare: demoActionShare, Timeout: demoQueryTimeout, Seed: seed,
	})
}

// run performs the steps under continuous traffic and prints the report once the traffic has ended.
func (d *demo) run(ctx context.Context) error {
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var generating sync.WaitGroup
	stepsDone := make(chan struct{})
	generating.Go(func() {
		for {
			select {
			case <-stepsDone:
				return
			default:
				d.generator.Run(trafficCtx, time.Second)
			}
		}
	})
	err := d.runSteps(ctx)
	close(stepsDone)
	generating.Wait()
	if err != nil {
		return err
	}
	return d.report(ctx)
}

func (d *demo) runSteps(ctx context.Context) error {
	time.Sleep(3 * time.Second)
	d.logTally("quiet")

	d.fleet.Instances[d.killedIndex].Kill()
	d.logStep("killed", "instance %s", d.fleet.Settings[d.killedIndex].Name)
	time.Sleep(4 * time.Second)
	d.logTally("after the kill")

	server := d.fleet.Servers[0].Name
	d.fleet.HostProcess(server).Kill()
	d.logStep("killed", "backend server %s", server)
	time.Sleep(3 * time.Second)
	d.logTally("after the kill")

	if err := d.takeZoneOutAndIn(ctx); err != nil {
		return err
	}

	name := d.fleet.Settings[d.stoppedIndex].Name
	d.logStep("stopping", "instance %s gracefully", name)
	if err := d.fleet.Instances[d.stoppedIndex].Stop(stopTimeout); err != nil {
		d.addProblem("graceful stop of %s: %v", name, err)
	}
	d.logStep("stopped", "instance %s", name)
	d.logTally("after the stop")
	return nil
}

// takeZoneOutAndIn takes a zone out, checks that it receives no new work after zoneOutBound, and takes it back in.
func (d *demo) takeZoneOutAndIn(ctx context.Context) error {
	zone := d.firm.Zones[1]
	if _, err := d.fleet.Apply(ctx, "zone-out", pollenfleet.PutZone(zone, pollenschema.Admin_ADMIN_OUT)); err != nil {
		return &StepError{Step: "zone out", Err: err}
	}
	acceptedAt := time.Now()
	d.logStep("zone out", "%s", zone)
	time.Sleep(zoneOutBound)
	latest, err := lastWorkInZone(ctx, d.fleet, zone)
	if err != nil {
		return &StepError{Step: "ledger", Err: err}
	}
	d.logStep("zone out", "last new work in %s %v after the change was accepted", zone, latest.Sub(acceptedAt).Round(time.Millisecond))
	d.logTally("while out")
	time.Sleep(time.Second)
	lateWork, err := lastWorkInZone(ctx, d.fleet, zone)
	if err != nil {
		return &StepError{Step: "ledger", Err: err}
	}
	if lateWork.After(acceptedAt.Add(zoneOutBound)) {
		d.addProblem("new work in zone %s %v after the change to take it out was accepted, bound %v", zone, lateWork.Sub(acceptedAt), zoneOutBound)
	}
	if _, err := d.fleet.Apply(ctx, "zone-in", pollenfleet.PutZone(zone, pollenschema.Admin_ADMIN_IN)); err != nil {
		return &StepError{Step: "zone in", Err: err}
	}
	d.logStep("zone in", "%s", zone)
	time.Sleep(4 * time.Second)
	d.logTally("after the return")
	return nil
}

// report prints the final tally and checks the invariants.
func (d *demo) report(ctx context.Context) error {
	counters, err := d.fleet.Counters(ctx)
	if err != nil {
		return &StepError{Step: "metrics", Err: err}
	}
	overloads, runTwice, err := d.checkLedgers(ctx)
	if err != nil {
		return &StepError{Step: "ledger", Err: err}
	}
	total := d.generator.Tally().Total()
	if err := d.generator.Tally().Print(os.Stdout); err != nil {
		return &StepError{Step: "table", Err: err}
	}
	fmt.Printf("ExtraLoad %.4f (sub-queries sent per sub-query needed, on running instances)\n", counters.SubQueriesSent/counters.SubQueriesNeeded)
	fmt.Printf("Violations %.0f  Untruthful %d  Overloaded %d  RunTwice %d\n", counters.Violations, total.Untruthful, overloads, runTwice)
	printReasons(total.Reasons)
	if counters.Violations > 0 || total.Untruthful > 0 || overloads > 0 || runTwice > 0 {
		d.addProblem("%.0f violations, %d untruthful answers, %d overloads, %d actions run twice", counters.Violations, total.Untruthful, overloads, runTwice)
	}
	if len(d.problems) > 0 {
		return &InvariantError{Problem: fmt.Sprint(d.problems)}
	}
	d.logStep("end", "no invariant was violated")
	return nil
}

// checkLedgers returns how often the running servers were overloaded and how many actions ran more than once.
func (d *demo) checkLedgers(ctx context.Context) (overloads, runTwice int, err error) {
	runs := make(map[string]int)
	for _, s := range d.fleet.Servers {
		if d.fleet.HostProcess(s.Name).Ended() {
			continue
		}
		ledger, ledgerErr := d.fleet.Ledger(ctx, s.Name)
		err = errors.Join(err, ledgerErr)
		overloads += ledger.Overloads
		for action, n := range ledger.Runs {
			runs[action] += n
		}
	}
	for _, n := range runs {
		if n > 1 {
			runTwice++
		}
	}
	return overloads, runTwice, err
}

func (d *demo) logStep(step, format string, arguments ...any) {
	fmt.Printf("%6.2fs  %-10s %s\n", time.Since(d.started).Seconds(), step, fmt.Sprintf(format, arguments...))
}

func (d *demo) logTally(when string) {
	total := d.generator.Tally().Total()
	urgent := d.generator.Tally().Class(pollenschema.Class_CLASS_URGENT)
	d.logStep("so far", "%s: %d requests, p50 %v, p99 %v, coverage %.5f, %s p99 %v, not run %d, unknown %d, failed %d", when,
		total.Requests, total.P50, total.P99, total.Coverage, pollenmessage.ClassName(pollenschema.Class_CLASS_URGENT), urgent.P99,
		total.NotRun, total.Unknown, total.Failed)
}

func (d *demo) addProblem(format string, arguments ...any) {
	problem := fmt.Sprintf(format, arguments...)
	d.problems = append(d.problems, problem)
	d.logStep("PROBLEM", "%s", problem)
}

func printReasons(reasons map[string]int) {
	var lines []string
	for reason, n := range reasons {
		lines = append(lines, fmt.Sprintf("  %d x %s", n, reason))
	}
	slices.Sort(lines)
	for _, line := range lines {
		fmt.Println(line)
	}
}
