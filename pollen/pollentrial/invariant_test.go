package pollentrial_test

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"
	"pgregory.net/rapid"

	"pollenline.example/pollen/pollentrial"
)

// proof is a randomised test of one invariant.
type proof struct {
	config pollentrial.Config
	load   pollentrial.Load
	// menu are the failures that plans are drawn from; each must be met at least once.
	menu []pollentrial.Fault
	// longest is how long a failure lasts at most.
	longest time.Duration
	drive   time.Duration
	// steps is the number of failures in one plan.
	steps int
	// met are failures that come with the load rather than from the menu.
	met []pollentrial.Fault
	// watch, if set, is called before the load begins; what it returns judges what it saw.
	watch func(t *pollentrial.Trial) func() []string
	judge func(t *pollentrial.Trial) []string
}

const (
	settleTime  = 12 * time.Second
	maximumStep = 3000
	minimumFor  = 100
	// seedStride keeps the seeds of rounds apart; rapid counts up from a seed.
	seedStride = 1_000_003
)

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "1")
	setDefault("rapid.checks", "10")
	setDefault("rapid.shrinktime", "5s")
	setDefault("rapid.nofailfile", "true")
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// setDefault sets a flag that the command line has not set.
func setDefault(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// proofSeconds is how long each proof goes on with fresh seeds; zero runs one round.
var proofSeconds = flag.Int("proof.seconds", 0, "seconds that each proof goes on, with a new seed for each round")

// prove runs rounds of plans of failures, fails on the first problem that the judges find, and prints one line.
func prove(t *testing.T, p proof) {
	t.Helper()
	met := make(map[pollentrial.Fault]int)
	steps := 0
	first := flag.Lookup("rapid.seed").Value.String()
	defer flag.Set("rapid.seed", first)
	end := time.Now().Add(time.Duration(*proofSeconds) * time.Second)
	for round := uint64(1); ; round++ {
		steps += proveRound(t, p, met)
		if t.Failed() || !time.Now().Before(end) {
			break
		}
		seed, err := strconv.ParseUint(first, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		if err := flag.Set("rapid.seed", strconv.FormatUint(seed+round*seedStride, 10)); err != nil {
			t.Fatal(err)
		}
	}
	report(t, p, first, steps, met)
}

// proveRound runs one round of plans and returns the number of failures that were planned.
func proveRound(t *testing.T, p proof, met map[pollentrial.Fault]int) int {
	t.Helper()
	steps := 0
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt, p)
		config := p.config
		config.Seed = rapid.Uint64().Draw(rt, "seed")
		var problems []string
		synctest.Test(t, func(*testing.T) {
			problems = run(config, p, plan, met)
		})
		steps += len(plan)
		if len(problems) > 0 {
			rt.Fatalf("%d problems, first: %s", len(problems), problems[0])
		}
	})
	return steps
}

// report prints the proof's line; a failure that was never met makes the proof fail.
func report(t *testing.T, p proof, seed string, steps int, met map[pollentrial.Fault]int) {
	t.Helper()
	total := 0
	for _, fault := range append(slices.Clone(p.menu), p.met...) {
		if met[fault] == 0 && !t.Failed() {
			t.Errorf("%s was never met", fault)
		}
	}
	for _, fault := range slices.Compact(slices.Sorted(slices.Values(p.menu))) {
		total += met[fault]
	}
	verdict := "Pass"
	if t.Failed() {
		verdict = "Fail"
	}
	fmt.Printf("Proof %s Seed=%s Steps=%d Faults=%d %s\n", strings.TrimPrefix(t.Name(), "TestInvariant"), seed, steps, total, verdict)
	t.Logf("met: %v", met)
}

func drawPlan(rt *rapid.T, p proof) []pollentrial.Step {
	longest := int(p.longest / time.Millisecond)
	step := rapid.Custom(func(rt *rapid.T) pollentrial.Step {
		// Rapid prefers small numbers; half of the failures are to be long ones.
		shortest := rapid.SampledFrom([]int{minimumFor, longest / 2}).Draw(rt, "shortest")
		return pollentrial.Step{
			Fault:  rapid.SampledFrom(p.menu).Draw(rt, "fault"),
			Target: rapid.IntRange(0, 1000).Draw(rt, "target"),
			After:  time.Duration(rapid.IntRange(0, maximumStep).Draw(rt, "after")) * time.Millisecond,
			For:    time.Duration(rapid.IntRange(shortest, longest).Draw(rt, "for")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(step, p.steps, p.steps).Draw(rt, "plan")
}

func run(config pollentrial.Config, p proof, plan []pollentrial.Step, met map[pollentrial.Fault]int) []string {
	trial := pollentrial.Start(config)
	defer func() {
		trial.End()
		time.Sleep(pollentrial.Linger)
	}()
	watched := func() []string { return nil }
	if p.watch != nil {
		watched = p.watch(trial)
	}
	done := make(chan struct{})
	go func() {
		trial.Play(plan)
		close(done)
	}()
	trial.Drive(p.load, p.drive)
	<-done
	time.Sleep(settleTime)
	problems := append(watched(), p.judge(trial)...)
	for fault, n := range trial.Faults() {
		met[fault] += n
	}
	for _, v := range trial.Violations() {
		problems = append(problems, v.Error())
	}
	if len(trial.Results()) == 0 {
		problems = append(problems, "no request was answered")
	}
	return problems
}

func problem(format string, arguments ...any) string {
	return fmt.Sprintf(format, arguments...)
}
