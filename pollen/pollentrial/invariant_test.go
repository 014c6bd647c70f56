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

// invariantTest describes a randomised test of one invariant.
type invariantTest struct {
	config pollentrial.Config
	load   pollentrial.Load
	// faults are the faults that plans are generated from; each must occur at least once.
	faults []pollentrial.Fault
	// maxDuration bounds how long a fault lasts.
	maxDuration  time.Duration
	loadDuration time.Duration
	// steps is the number of faults in one plan.
	steps int
	// required are faults of the load and observations that must occur at least once.
	required []pollentrial.Fault
	// startObserver, if set, is called before the load begins and returns a function that stops it and returns its problems.
	startObserver func(t *pollentrial.Trial) func() []string
	// check returns the problems that it finds after the load and the plan have ended.
	check func(t *pollentrial.Trial) []string
}

const (
	// settleTimeAfterLoad is the time between the end of the load and the plan and the check.
	settleTimeAfterLoad     = 12 * time.Second
	maxDelayMilliseconds    = 3000
	minDurationMilliseconds = 100
	// seedStride separates the seeds of rounds, since rapid increments the seed within a round.
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

// setDefault sets a flag unless the command line has set it.
func setDefault(name, value string) {
	isSet := false
	flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == name })
	if !isSet {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// secondsPerTest is how long each invariant is tested, in rounds with new seeds; zero runs one round.
var secondsPerTest = flag.Int("proof.seconds", 0, "seconds for which each invariant is tested, with a new seed for each round")

// testInvariant runs rounds of generated plans, fails on the first problem that the check finds, and prints one line.
func testInvariant(t *testing.T, test invariantTest) {
	t.Helper()
	faultCounts := make(map[pollentrial.Fault]int)
	steps := 0
	firstSeed := flag.Lookup("rapid.seed").Value.String()
	defer flag.Set("rapid.seed", firstSeed)
	end := time.Now().Add(time.Duration(*secondsPerTest) * time.Second)
	for round := uint64(1); ; round++ {
		steps += runRound(t, test, faultCounts)
		if t.Failed() || !time.Now().Before(end) {
			break
		}
		seed, err := strconv.ParseUint(firstSeed, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		if err := flag.Set("rapid.seed", strconv.FormatUint(seed+round*seedStride, 10)); err != nil {
			t.Fatal(err)
		}
	}
	reportResult(t, test, firstSeed, steps, faultCounts)
}

// runRound runs one round of plans and returns the number of their steps.
func runRound(t *testing.T, test invariantTest, faultCounts map[pollentrial.Fault]int) int {
	t.Helper()
	steps := 0
	rapid.Check(t, func(rt *rapid.T) {
		plan := generatePlan(rt, test)
		config := test.config
		config.Seed = rapid.Uint64().Draw(rt, "seed")
		var problems []string
		synctest.Test(t, func(*testing.T) {
			problems = runPlan(config, test, plan, faultCounts)
		})
		steps += len(plan)
		if len(problems) > 0 {
			rt.Fatalf("%d problems, first: %s", len(problems), problems[0])
		}
	})
	return steps
}

// reportResult prints the line with the test's result; the test fails if a fault or a required observation never occurred.
func reportResult(t *testing.T, test invariantTest, seed string, steps int, faultCounts map[pollentrial.Fault]int) {
	t.Helper()
	total := 0
	for _, fault := range append(slices.Clone(test.faults), test.required...) {
		if faultCounts[fault] == 0 && !t.Failed() {
			t.Errorf("%s was never met", fault)
		}
	}
	for _, fault := range slices.Compact(slices.Sorted(slices.Values(test.faults))) {
		total += faultCounts[fault]
	}
	result := "Pass"
	if t.Failed() {
		result = "Fail"
	}
	fmt.Printf("Proof %s Seed=%s Steps=%d Faults=%d %s\n", strings.TrimPrefix(t.Name(), "TestInvariant"), seed, steps, total, result)
	t.Logf("occurrences: %v", faultCounts)
}

func generatePlan(rt *rapid.T, test invariantTest) []pollentrial.Step {
	maximum := int(test.maxDuration / time.Millisecond)
	step := rapid.Custom(func(rt *rapid.T) pollentrial.Step {
		// Rapid prefers small numbers, so half of the faults get a larger minimum duration.
		minimum := rapid.SampledFrom([]int{minDurationMilliseconds, maximum / 2}).Draw(rt, "shortest")
		return pollentrial.Step{
			Fault:  rapid.SampledFrom(test.faults).Draw(rt, "fault"),
			Target: rapid.IntRange(0, 1000).Draw(rt, "target"),
			After:  time.Duration(rapid.IntRange(0, maxDelayMilliseconds).Draw(rt, "after")) * time.Millisecond,
			For:    time.Duration(rapid.IntRange(minimum, maximum).Draw(rt, "for")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(step, test.steps, test.steps).Draw(rt, "plan")
}

func runPlan(config pollentrial.Config, test invariantTest, plan []pollentrial.Step, faultCounts map[pollentrial.Fault]int) []string {
	trial := pollentrial.Start(config)
	defer func() {
		trial.Stop()
		time.Sleep(pollentrial.ShutdownTime)
	}()
	observedProblems := func() []string { return nil }
	if test.startObserver != nil {
		observedProblems = test.startObserver(trial)
	}
	planDone := make(chan struct{})
	go func() {
		trial.InjectPlan(plan)
		close(planDone)
	}()
	trial.RunLoad(test.load, test.loadDuration)
	<-planDone
	time.Sleep(settleTimeAfterLoad)
	problems := append(observedProblems(), test.check(trial)...)
	for fault, n := range trial.FaultCounts() {
		faultCounts[fault] += n
	}
	for _, v := range trial.Violations() {
		problems = append(problems, v.Error())
	}
	if len(trial.Results()) == 0 {
		problems = append(problems, "no request was answered")
	}
	return problems
}

func problemf(format string, arguments ...any) string {
	return fmt.Sprintf(format, arguments...)
}
