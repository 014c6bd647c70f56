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
	demoInstances = 9
	demoRate      = 150
	demoActions   = 0.1
	demoTimeout   = 4 * time.Second
	demoColdTime  = 2 * time.Second
	// zoneOutTime is the time within which a zone that is out must get no new work.
	zoneOutTime = 6 * time.Second
	stopLimit   = 25 * time.Second
)

// InvariantError reports a demonstration in which an invariant failed.
type InvariantError struct {
	Problem string
}

func (e *InvariantError) Error() string { return "invariant failed: " + e.Problem }

// demo is one demonstration under way.
type demo struct {
	fleet     *pollenfleet.Fleet
	firm      *pollenfirm.Firm
	generator *pollentraffic.Generator
	started   time.Time
	problems  []string
	// leaver is the instance that is stopped gracefully, and victim the one that is killed.
	victim, leaver int
}

func runDemo(ctx context.Context, programs, firmName string, seed uint64) error {
	firm, err := pollenfirm.ByName(firmName)
	if err != nil {
		return &demoError{Step: "firm", Err: err}
	}
	directory, err := os.MkdirTemp("", "pollenline-demo-")
	if err != nil {
		return &demoError{Step: "directory", Err: err}
	}
	d := &demo{firm: firm, started: time.Now(), victim: 1, leaver: 5}
	d.say("start", "logs and settings in %s", directory)
	d.fleet, err = pollenfleet.Start(ctx, pollenfleet.Config{
		Firm: firm, Programs: programs, Directory: directory, Instances: demoInstances, ColdTime: demoColdTime,
	})
	if err != nil {
		return &demoError{Step: "start", Err: err}
	}
	defer d.fleet.Close()
	d.say("started", "%d entry instances in %d availability zones, %d backend servers", demoInstances, len(firm.Zones), len(d.fleet.Servers))
	if err := d.fleet.Create(ctx, snapshotName); err != nil {
		return &demoError{Step: "create", Err: err}
	}
	d.say("created", "services through the operators' calls, in force everywhere")
	d.newGenerator(seed)
	return d.run(ctx)
}

// demoError reports a step that could not be taken.
type demoError struct {
	Step string
	Err  error
}

func (e *demoError) Error() string { return fmt.Sprintf("step %s: %v", e.Step, e.Err) }

func (e *demoError) Unwrap() error { return e.Err }

func (d *demo) newGenerator(seed uint64) {
	d.generator = pollentraffic.NewGenerator(pollentraffic.Config{
		Firm: d.firm, Callers: fleetCallers(d.fleet, d.firm), Rate: demoRate, ActionShare: demoActions, Timeout: demoTimeout, Seed: seed,
	})
}

func (d *demo) run(ctx context.Context) error {
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var group sync.WaitGroup
	done := make(chan struct{})
	group.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				d.generator.Run(traffic, time.Second)
			}
		}
	})
	err := d.steps(ctx)
	close(done)
	group.Wait()
	if err != nil {
		return err
	}
	return d.report(ctx)
}

func (d *demo) steps(ctx context.Context) error {
	time.Sleep(3 * time.Second)
	d.sayTally("quiet")

	d.fleet.Instances[d.victim].Kill()
	d.say("killed", "instance %s", d.fleet.Settings[d.victim].Name)
	time.Sleep(4 * time.Second)
	d.sayTally("after the kill")

	server := d.fleet.Servers[0].Name
	d.fleet.Host(server).Kill()
	d.say("killed", "backend server %s", server)
	time.Sleep(3 * time.Second)
	d.sayTally("after the kill")

	if err := d.zoneOutAndIn(ctx); err != nil {
		return err
	}

	name := d.fleet.Settings[d.leaver].Name
	d.say("stopping", "instance %s gracefully", name)
	if err := d.fleet.Instances[d.leaver].Stop(stopLimit); err != nil {
		d.problem("graceful stop of %s: %v", name, err)
	}
	d.say("stopped", "instance %s", name)
	d.sayTally("after the stop")
	return nil
}

func (d *demo) zoneOutAndIn(ctx context.Context) error {
	zone := d.firm.Zones[1]
	if _, err := d.fleet.Apply(ctx, "zone-out", pollenfleet.PutZone(zone, pollenschema.Admin_ADMIN_OUT)); err != nil {
		return &demoError{Step: "zone out", Err: err}
	}
	ordered := time.Now()
	d.say("zone out", "%s", zone)
	time.Sleep(zoneOutTime)
	last, err := lastWork(ctx, d.fleet, zone)
	if err != nil {
		return &demoError{Step: "ledger", Err: err}
	}
	d.say("zone out", "last new work in %s %v after the change was accepted", zone, last.Sub(ordered).Round(time.Millisecond))
	d.sayTally("while out")
	time.Sleep(time.Second)
	later, err := lastWork(ctx, d.fleet, zone)
	if err != nil {
		return &demoError{Step: "ledger", Err: err}
	}
	if later.After(ordered.Add(zoneOutTime)) {
		d.problem("new work in %s %v after it was taken out", zone, later.Sub(ordered))
	}
	if _, err := d.fleet.Apply(ctx, "zone-in", pollenfleet.PutZone(zone, pollenschema.Admin_ADMIN_IN)); err != nil {
		return &demoError{Step: "zone in", Err: err}
	}
	d.say("zone in", "%s", zone)
	time.Sleep(4 * time.Second)
	d.sayTally("after the return")
	return nil
}

// report prints the last table and judges the invariants.
func (d *demo) report(ctx context.Context) error {
	counters, err := d.fleet.Counters(ctx)
	if err != nil {
		return &demoError{Step: "metrics", Err: err}
	}
	overloads, twice, err := d.judgeServers(ctx)
	if err != nil {
		return &demoError{Step: "ledger", Err: err}
	}
	total := d.generator.Tally().Total()
	if err := d.generator.Tally().Print(os.Stdout); err != nil {
		return &demoError{Step: "table", Err: err}
	}
	fmt.Printf("ExtraLoad %.4f (sub-queries sent for each one needed, instances that still run)\n", counters.Sent/counters.Needed)
	fmt.Printf("Violations %.0f  Untruthful %d  Overloaded %d  RunTwice %d\n", counters.Violations, total.Untruthful, overloads, twice)
	printReasons(total.Reasons)
	if counters.Violations > 0 || total.Untruthful > 0 || overloads > 0 || twice > 0 {
		d.problem("see the counts above")
	}
	if len(d.problems) > 0 {
		return &InvariantError{Problem: fmt.Sprint(d.problems)}
	}
	d.say("end", "no invariant failed")
	return nil
}

func (d *demo) judgeServers(ctx context.Context) (overloads, twice int, err error) {
	runs := make(map[string]int)
	for _, s := range d.fleet.Servers {
		if d.fleet.Host(s.Name).Ended() {
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
			twice++
		}
	}
	return overloads, twice, err
}

func (d *demo) say(step, format string, arguments ...any) {
	fmt.Printf("%6.2fs  %-10s %s\n", time.Since(d.started).Seconds(), step, fmt.Sprintf(format, arguments...))
}

func (d *demo) sayTally(when string) {
	total := d.generator.Tally().Total()
	urgent := d.generator.Tally().Class(pollenschema.Class_CLASS_URGENT)
	d.say("so far", "%s: %d requests, p50 %v, p99 %v, coverage %.5f, %s p99 %v, not run %d, unknown %d, failed %d", when,
		total.Requests, total.P50, total.P99, total.Coverage, pollenmessage.ClassName(pollenschema.Class_CLASS_URGENT), urgent.P99,
		total.NotRun, total.Unknown, total.Failed)
}

func (d *demo) problem(format string, arguments ...any) {
	problem := fmt.Sprintf(format, arguments...)
	d.problems = append(d.problems, problem)
	d.say("PROBLEM", "%s", problem)
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
