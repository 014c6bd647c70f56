package main

import (
	"context"
	"flag"
	"os"

	"pollenline.example/pollen/pollencommand"
)

func main() {
	var programs, firm string
	var seed uint64
	os.Exit(pollencommand.Main(
		&pollencommand.Command{
			CommandName: "demo",
			Summary:     "show a firm's fleet under load and faults",
			Help: "demo -programs DIRECTORY -firm NAME\n\nStarts the stand-ins and 9 entry instances, creates the firm's services, sends requests, " +
				"kills an instance and a backend server, takes a zone out and brings it back, and stops an instance gracefully. " +
				"Exits with status 1 if an invariant failed.",
			Flags: func(f *flag.FlagSet) {
				f.StringVar(&programs, "programs", "bin", "`directory` of the built programs")
				f.StringVar(&firm, "firm", "vunivalu", "firm: vunivalu or dunhlyja")
				f.Uint64Var(&seed, "seed", 1, "seed of the requests")
			},
			Run: func(ctx context.Context, _ []string) error { return runDemo(ctx, programs, firm, seed) },
		},
	))
}
