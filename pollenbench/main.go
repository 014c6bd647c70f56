package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"pollenline.example/pollen/pollencommand"
)

func main() {
	var programs, firm, out string
	var seed uint64
	instances := []int{9, 30, 100}
	os.Exit(pollencommand.Main(
		&pollencommand.Command{
			CommandName: "demo",
			Summary:     "show a firm's fleet under load and faults",
			Help: "demo -programs DIRECTORY -firm NAME\n\nStarts the stand-ins and 9 entry instances, creates the firm's services, sends requests, " +
				"kills an instance and a backend server, takes a zone out and back in, and stops an instance gracefully. " +
				"Exits with status 1 if an invariant was violated.",
			Flags: func(f *flag.FlagSet) {
				f.StringVar(&programs, "programs", "bin", "`directory` of the built programs")
				f.StringVar(&firm, "firm", "vunivalu", "firm: vunivalu or dunhlyja")
				f.Uint64Var(&seed, "seed", 1, "seed of the requests")
			},
			Run: func(ctx context.Context, _ []string) error { return runDemo(ctx, programs, firm, seed) },
		},
		soakCommand(),
		&pollencommand.Command{
			CommandName: "experiment",
			Summary:     "run named experiments, each against its baseline",
			Help:        "experiment -programs DIRECTORY [-firm NAME] NAME...\n\nRuns experiments against real processes over loopback, first with the naive policy, and prints a line for each figure.\n\n" + describeExperiments(),
			Flags: func(f *flag.FlagSet) {
				f.StringVar(&programs, "programs", "bin", "`directory` of the built programs")
				f.StringVar(&firm, "firm", "vunivalu", "firm: vunivalu or dunhlyja")
			},
			Run: func(ctx context.Context, names []string) error {
				return runNamedExperiments(ctx, programs, firm, names)
			},
		},
		&pollencommand.Command{
			CommandName: "measure",
			Summary:     "run all experiments for both firms and write the report",
			Help:        "measure -programs DIRECTORY -out DIRECTORY\n\nWrites MEASURES.md and its plots.",
			Flags: func(f *flag.FlagSet) {
				f.StringVar(&programs, "programs", "bin", "`directory` of the built programs")
				f.StringVar(&out, "out", "docs", "`directory` to write the report to")
			},
			Run: func(ctx context.Context, _ []string) error { return measureAll(ctx, programs, out) },
		},
		&pollencommand.Command{
			CommandName: "slopes",
			Summary:     "measure how control costs grow with servers and instances",
			Help: "slopes -programs DIRECTORY [-instances LIST]\n\nMeasures tables of up to 41,000 backend servers, memberships of up to 7,300 instances, " +
				"idle fleets of processes, and a fleet under load. Prints one line for each size; docs/CAPACITY.md is derived from these lines.",
			Flags: func(f *flag.FlagSet) {
				f.StringVar(&programs, "programs", "bin", "`directory` of the built programs")
				f.Func("instances", "comma-separated `list` of numbers of processes (default 9,30,100)", func(list string) error {
					var err error
					instances, err = parseInstances(list)
					return err
				})
			},
			Run: func(ctx context.Context, _ []string) error { return runSlopes(ctx, programs, instances) },
		},
	))
}

// parseInstances parses a comma-separated list of positive numbers.
func parseInstances(list string) ([]int, error) {
	var instances []int
	for text := range strings.SplitSeq(list, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return nil, &pollencommand.UsageError{Problem: fmt.Sprintf("number of processes %q is not a positive integer", text), Err: err}
		}
		instances = append(instances, n)
	}
	return instances, nil
}
