package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"pollenline.example/pollen/pollencommand"
	"pollenline.example/pollenbench/pollensoak"
)

const (
	soakInstances = 4
	soakDuration  = 10 * time.Second
	// soakCallers and soakStopCallers are the numbers of callers of the loads "faults" and "stops".
	soakCallers     = 12
	soakStopCallers = 120
	soakMeanWork    = 220 * time.Millisecond
)

// soakFlags holds the flags of the soak command.
type soakFlags struct {
	programs    string
	production  string
	logs        string
	only        string
	seed        uint64
	seeds       int
	parallel    int
	quiet       bool
	regressions bool
	config      pollensoak.Config
}

func soakCommand() *pollencommand.Command {
	flags := &soakFlags{}
	return &pollencommand.Command{
		CommandName: "soak",
		Summary:     "run entry instances under random faults and check promises",
		Help: "soak -programs DIRECTORY [-production COMMIT] [-seed N] [-seeds COUNT] [-regressions] [-duration D] [-only LIST]\n\nStarts entry instances as processes, injects faults from outside " +
			"them, and checks the promises below on what callers and backend servers observe. Exits with status 1 if a promise was broken.\n\nFaults:\n" + pollensoak.Describe(),
		Flags: flags.register,
		Run:   func(ctx context.Context, _ []string) error { return flags.run(pollencommand.UntilSignal(ctx)) },
	}
}

func (s *soakFlags) register(f *flag.FlagSet) {
	f.StringVar(&s.programs, "programs", "bin", "`directory` of the built programs")
	f.StringVar(&s.production, "production", "", "`commit` of this repository with which the instances start, before they are replaced one after the other by those of -programs")
	f.StringVar(&s.logs, "logs", "", "`directory` for settings and logs (default a temporary directory)")
	f.StringVar(&s.only, "only", "", "comma-separated `list` of fault kinds to draw from (default all)")
	f.Uint64Var(&s.seed, "seed", 1, "first seed")
	f.IntVar(&s.seeds, "seeds", 1, "number of consecutive seeds to run")
	f.IntVar(&s.parallel, "parallel", 1, "maximum number of concurrent runs")
	f.BoolVar(&s.quiet, "quiet", false, "do not print a line for each fault")
	f.BoolVar(&s.regressions, "regressions", false, "run the recorded seeds of earlier failures")
	f.DurationVar(&s.config.Duration, "duration", soakDuration, "period in which faults start")
	f.IntVar(&s.config.Instances, "instances", soakInstances, "number of entry instances")
	f.IntVar(&s.config.Callers, "callers", 0, fmt.Sprintf("number of concurrent callers (default %d, with -load stops %d)", soakCallers, soakStopCallers))
	f.StringVar(&s.config.Load, "load", pollensoak.LoadFaults, fmt.Sprintf("`kind` of load: %s, or %s for planned stops under kept connections", pollensoak.LoadFaults, pollensoak.LoadStops))
	f.DurationVar(&s.config.MeanWork, "work", soakMeanWork, "mean work of a request with -load stops")
	f.BoolVar(&s.config.SlowServers, "slow", false, "slow some servers at times with -load stops")
}

// BrokenPromisesError reports the seeds whose runs violated a promise.
type BrokenPromisesError struct {
	Seeds []uint64
}

func (e *BrokenPromisesError) Error() string {
	return fmt.Sprintf("promises were broken in the runs with seeds %v", e.Seeds)
}

func (s *soakFlags) run(ctx context.Context) error {
	programs, err := filepath.Abs(s.programs)
	if err != nil {
		return fmt.Errorf("programs directory %q: %w", s.programs, err)
	}
	s.config.Program = filepath.Join(programs, "pollenentry")
	s.config.Directory, s.config.Output = s.logs, io.Writer(os.Stdout)
	if s.quiet {
		s.config.Output = io.Discard
	}
	if s.config.Callers == 0 {
		s.config.Callers = soakCallers
		if s.config.Load == pollensoak.LoadStops {
			s.config.Callers = soakStopCallers
		}
	}
	if s.only != "" {
		s.config.FaultKinds = strings.Split(s.only, ",")
	}
	if s.logs == "" {
		directory, err := os.MkdirTemp("", "pollenline-soak-")
		if err != nil {
			return fmt.Errorf("create temporary directory: %w", err)
		}
		s.config.Directory = directory
	}
	fmt.Printf("settings and logs in %s\n", s.config.Directory)
	if s.production != "" {
		directory, err := os.MkdirTemp("", "pollenline-production-")
		if err != nil {
			return fmt.Errorf("create temporary directory: %w", err)
		}
		defer os.RemoveAll(directory)
		if s.config.Production, err = pollensoak.BuildCommit(ctx, s.production, directory); err != nil {
			return err
		}
	}
	configs, err := s.selectRuns()
	if err != nil {
		return err
	}
	return s.runAll(ctx, configs)
}

// selectRuns returns the configurations of the runs, one for each seed or for each recorded one with its kinds of faults.
func (s *soakFlags) selectRuns() ([]pollensoak.Config, error) {
	var configs []pollensoak.Config
	if !s.regressions {
		for n := range s.seeds {
			config := s.config
			config.Seed = s.seed + uint64(n)
			configs = append(configs, config)
		}
		return configs, nil
	}
	regressions, err := pollensoak.Regressions()
	for _, r := range regressions {
		config := r.Config(s.config)
		if !slices.ContainsFunc(configs, func(c pollensoak.Config) bool { return reflect.DeepEqual(c, config) }) {
			configs = append(configs, config)
		}
	}
	return configs, err
}

// runAll makes the runs, at most s.parallel of them concurrently, and prints their reports.
func (s *soakFlags) runAll(ctx context.Context, configs []pollensoak.Config) error {
	var mu sync.Mutex
	var broken BrokenPromisesError
	var runErr error
	var runs sync.WaitGroup
	slots := make(chan struct{}, max(1, s.parallel))
	// The addresses of a run depend on its seed, so that runs with the same seed can't be concurrent.
	seedLocks := make(map[uint64]*sync.Mutex)
	for _, config := range configs {
		if seedLocks[config.Seed] == nil {
			seedLocks[config.Seed] = &sync.Mutex{}
		}
		seedLock := seedLocks[config.Seed]
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			seedLock.Lock()
			defer seedLock.Unlock()
			report, err := pollensoak.Run(ctx, config)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				runErr = err
				return
			}
			printSoakReport(report)
			if len(report.Violations) > 0 {
				broken.Seeds = append(broken.Seeds, config.Seed)
			}
		})
	}
	runs.Wait()
	if runErr == nil && len(broken.Seeds) > 0 {
		return &broken
	}
	return runErr
}

// maxPrintedViolations is the maximum number of violations printed for one promise of one seed, maxPrintedStopViolations that with the load
// "stops", whose violations can't be replayed exactly.
const (
	maxPrintedViolations     = 3
	maxPrintedStopViolations = 100
)

func printSoakReport(report *pollensoak.Report) {
	fmt.Printf("seed %d: %d requests, %d served, %d runs on servers, %d violations; faults: %s\n", report.Seed, report.Requests, report.Served,
		report.Runs, len(report.Violations), strings.Join(report.Faults, " "))
	printed := maxPrintedViolations
	if report.Stops > 0 {
		printed = maxPrintedStopViolations
		fmt.Printf("  %d stops; %d refused (503), %d with 502, %d with 504, %d connection failures, %d without an answer, %d of them cut\n", report.Stops,
			report.Statuses[http.StatusServiceUnavailable], report.Statuses[http.StatusBadGateway], report.Statuses[http.StatusGatewayTimeout], report.ConnectFailed, report.Unanswered, report.Cut)
	}
	count := make(map[string]int)
	for _, v := range report.Violations {
		if count[v.Promise]++; count[v.Promise] <= printed {
			fmt.Printf("  %s\n", v)
		}
	}
	for _, promise := range slices.Sorted(maps.Keys(count)) {
		fmt.Printf("  %s broken %d times\n", promise, count[promise])
	}
}
