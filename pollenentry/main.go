package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"pollenline.example/pollen/pollencommand"
	"pollenline.example/pollen/polleninstance"
	"pollenline.example/pollen/pollenlog"
	"pollenline.example/pollen/pollensettings"
)

func main() {
	var file string
	flags := func(f *flag.FlagSet) {
		f.StringVar(&file, "settings", "pollenentry.json", "settings `file`, JSON")
	}
	os.Exit(pollencommand.Main(
		&pollencommand.Command{
			CommandName: "serve",
			Summary:     "run an entry instance until SIGTERM",
			Help:        "serve -settings FILE\n\nRuns one entry instance. SIGTERM begins a graceful shutdown, which takes some seconds.",
			Flags:       flags,
			Run:         func(ctx context.Context, _ []string) error { return serve(ctx, file) },
		},
		&pollencommand.Command{
			CommandName: "check",
			Summary:     "check a settings file and exit",
			Help:        "check -settings FILE\n\nExits with status 2 and names file and field when the settings are refused.",
			Flags:       flags,
			Run:         func(context.Context, []string) error { return check(file) },
		},
	))
}

func serve(ctx context.Context, file string) error {
	settings := polleninstance.DefaultSettings()
	if err := pollensettings.Load(file, settings); err != nil {
		return err
	}
	logger := pollenlog.Setup(os.Stderr, "pollenentry", settings.Name)
	return polleninstance.New(polleninstance.Dial(settings, logger)).Run(pollencommand.UntilSignal(ctx))
}

func check(file string) error {
	if err := pollensettings.Load(file, polleninstance.DefaultSettings()); err != nil {
		return err
	}
	fmt.Printf("%s: settings are valid\n", file)
	return nil
}
