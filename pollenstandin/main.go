package main

import (
	"context"
	"flag"
	"os"

	"pollenline.example/pollen/pollencommand"
	"pollenline.example/pollen/pollenfakehost"
	"pollenline.example/pollen/pollenlog"
	"pollenline.example/pollen/pollensettings"
)

func main() {
	var file string
	flags := func(f *flag.FlagSet) {
		f.StringVar(&file, "settings", "pollenstandin.json", "settings `file`, JSON")
	}
	os.Exit(pollencommand.Main(
		&pollencommand.Command{
			CommandName: "store",
			Summary:     "run a fake of the platform's key-value store",
			Help:        "store -settings FILE\n\nServes compare-and-swap, leases and watches from memory, subject to the platform's rate limits.",
			Flags:       flags,
			Run:         func(ctx context.Context, _ []string) error { return runStore(ctx, file) },
		},
		&pollencommand.Command{
			CommandName: "servers",
			Summary:     "run fakes of backend servers",
			Help:        "servers -settings FILE\n\nRuns the backend servers in the settings with their slots, connection limits, cold starts and injected faults.",
			Flags:       flags,
			Run:         func(ctx context.Context, _ []string) error { return runServers(ctx, file) },
		},
		&pollencommand.Command{
			CommandName: "inventory",
			Summary:     "run a fake of the platform's list of instances",
			Help:        "inventory -settings FILE\n\nServes a list of instances in which updates become visible after a delay.",
			Flags:       flags,
			Run:         func(ctx context.Context, _ []string) error { return runInventory(ctx, file) },
		},
	))
}

// runInventory serves the fake instance list until SIGTERM or SIGINT.
func runInventory(ctx context.Context, file string) error {
	settings := &pollenfakehost.InventorySettings{}
	if err := pollensettings.Load(file, settings); err != nil {
		return err
	}
	pollenlog.Setup(os.Stderr, "pollenstandin", "inventory")
	return pollenfakehost.RunInventory(pollencommand.UntilSignal(ctx), settings)
}

// runStore serves the fake store until SIGTERM or SIGINT.
func runStore(ctx context.Context, file string) error {
	settings := &pollenfakehost.StoreSettings{}
	if err := pollensettings.Load(file, settings); err != nil {
		return err
	}
	pollenlog.Setup(os.Stderr, "pollenstandin", "store")
	return pollenfakehost.RunStore(pollencommand.UntilSignal(ctx), settings)
}

// runServers serves the fake backend servers until SIGTERM or SIGINT.
func runServers(ctx context.Context, file string) error {
	settings := &pollenfakehost.ServersSettings{}
	if err := pollensettings.Load(file, settings); err != nil {
		return err
	}
	pollenlog.Setup(os.Stderr, "pollenstandin", "servers")
	return pollenfakehost.RunServers(pollencommand.UntilSignal(ctx), settings)
}
