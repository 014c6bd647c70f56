package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"pollenline.example/pollen/pollencommand"
	"pollenline.example/pollenbench/pollensoak"
)

const (
	soakInstances = 4
	soakCallers   = 12
	soakDuration  = 10 * time.Second
)

// soakFlags are the choices of the soak command.
type soakFlags struct {
	programs string
	logs     string
	only     string
	seed     uint64
	seeds    int
	parallel int
	quiet    bool
	again    bool
	config   pollensoak.Config
}

func soakCommand() *pollencommand.Command {
	choices := &soakFlags{}
	return &pollencommand.Command{
		CommandName: "soak",
		Summary:     "run entry instances under random faults and check the promises",
		Help: "soak -programs DIRECTORY [-seed N] [-seeds COUNT] [-regressions] [-duration D] [-only LIST]\n\nStarts entry instances as processes, injects faults from outside " +
			"them, and checks what callers and backend servers see. Exits with status 1 if a promise was broken.\n\nFaults:\n" + pollensoak.Describe(),
		Flags: choices.set,
		Run:   func(ctx context.Context, _ []string) error { return choices.run(pollencommand.UntilSignal(ctx)) },
	}
}

func (s *soakFlags) set(f *flag.FlagSet) {
	f.StringVar(&s.programs, "programs", "bin", "`directory` of the built programs")
	f.StringVar(&s.logs, "logs", "", "`directory` of settings and logs (default a temporary one)")
	f.StringVar(&s.only, "only", "", "kinds of faults to draw from, as a `list` with commas (default all)")
	f.Uint64Var(&s.seed, "seed", 1, "first seed")
	f.IntVar(&s.seeds, "seeds", 1, "number of seeds")
	f.IntVar(&s.parallel, "parallel", 1, "runs at a time")
	f.BoolVar(&s.quiet, "quiet", false, "leave out the lines of single faults")
	f.BoolVar(&s.again, "regressions", false, "play the recorded seeds that have failed once")
	f.DurationVar(&s.config.Duration, "duration", soakDuration, "how long faults may begin")
	f.IntVar(&s.config.Instances, "instances", soakInstances, "entry instances")
	f.IntVar(&s.config.Callers, "callers", soakCallers, "callers")
}

// SoakError reports seeds that broke a promise.
type SoakError struct {
	Seeds []uint64
}

func (e *SoakError) Error() string { return fmt.Sprintf("promises were broken with seeds %v", e.Seeds) }

func (s *soakFlags) run(ctx context.Context) error {
	programs, err := filepath.Abs(s.programs)
	if err != nil {
		return fmt.Errorf("programs: %w", err)
	}
	s.config.Program = filepath.Join(programs, "pollenentry")
	s.config.Directory, s.config.Output = s.logs, io.Writer(os.Stdout)
	if s.quiet {
		s.config.Output = io.Discard
	}
	if s.only != "" {
		s.config.FaultKinds = strings.Split(s.only, ",")
	}
	if s.logs == "" {
		directory, err := os.MkdirTemp("", "pollenline-soak-")
		if err != nil {
			return fmt.Errorf("directory: %w", err)
		}
		s.config.Directory = directory
	}
	fmt.Printf("settings and logs in %s\n", s.config.Directory)
	seeds, err := s.chosen()
	if err != nil {
		return err
	}
	return s.all(ctx, seeds)
}

// chosen returns the seeds to play.
func (s *soakFlags) chosen() ([]uint64, error) {
	var seeds []uint64
	if !s.again {
		for n := range s.seeds {
			seeds = append(seeds, s.seed+uint64(n))
		}
		return seeds, nil
	}
	regressions, err := pollensoak.Regressions()
	for _, r := range regressions {
		seeds = append(seeds, r.Seed)
	}
	slices.Sort(seeds)
	return slices.Compact(seeds), err
}

// all plays seeds, some at a time.
func (s *soakFlags) all(ctx context.Context, seeds []uint64) error {
	var mu sync.Mutex
	var broken SoakError
	var failed error
	var runs sync.WaitGroup
	places := make(chan struct{}, max(1, s.parallel))
	for _, seed := range seeds {
		places <- struct{}{}
		runs.Go(func() {
			defer func() { <-places }()
			config := s.config
			config.Seed = seed
			report, err := pollensoak.Run(ctx, config)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			printSoak(report)
			if len(report.Violations) > 0 {
				broken.Seeds = append(broken.Seeds, config.Seed)
			}
		})
	}
	runs.Wait()
	if failed == nil && len(broken.Seeds) > 0 {
		return &broken
	}
	return failed
}

// mostViolations bounds what is printed for one promise of one seed.
const mostViolations = 3

func printSoak(report *pollensoak.Report) {
	fmt.Printf("seed %d: %d requests, %d served, %d runs on servers, %d violations; faults: %s\n", report.Seed, report.Requests, report.Served,
		report.Runs, len(report.Violations), strings.Join(report.Faults, " "))
	count := make(map[string]int)
	for _, v := range report.Violations {
		if count[v.Promise]++; count[v.Promise] <= mostViolations {
			fmt.Printf("  %s\n", v)
		}
	}
	for _, promise := range slices.Sorted(maps.Keys(count)) {
		fmt.Printf("  %s broken %d times\n", promise, count[promise])
	}
}
