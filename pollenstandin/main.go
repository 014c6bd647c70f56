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
			Summary:     "stand in for the platform's key-value service",
			Help:        "store -settings FILE\n\nServes compare-and-swap, leases and watches from memory, with the platform's rate limits.",
			Flags:       flags,
			Run:         func(ctx context.Context, _ []string) error { return store(ctx, file) },
		},
		&pollencommand.Command{
			CommandName: "servers",
			Summary:     "stand in for backend servers",
			Help:        "servers -settings FILE\n\nServes any number of backend servers with slots, connection limits, cold starts and faults.",
			Flags:       flags,
			Run:         func(ctx context.Context, _ []string) error { return servers(ctx, file) },
		},
		&pollencommand.Command{
			CommandName: "inventory",
			Summary:     "stand in for the platform's list of instances",
			Help:        "inventory -settings FILE\n\nServes a list of instances that lags behind what it is told.",
			Flags:       flags,
			Run:         func(ctx context.Context, _ []string) error { return inventory(ctx, file) },
		},
	))
}

func inventory(ctx context.Context, file string) error {
	settings := &pollenfakehost.InventorySettings{}
	if err := pollensettings.Load(file, settings); err != nil {
		return err
	}
	pollenlog.Setup(os.Stderr, "pollenstandin", "inventory")
	return pollenfakehost.RunInventory(pollencommand.UntilSignal(ctx), settings)
}

func store(ctx context.Context, file string) error {
	settings := &pollenfakehost.StoreSettings{}
	if err := pollensettings.Load(file, settings); err != nil {
		return err
	}
	pollenlog.Setup(os.Stderr, "pollenstandin", "store")
	return pollenfakehost.RunStore(pollencommand.UntilSignal(ctx), settings)
}

func servers(ctx context.Context, file string) error {
	settings := &pollenfakehost.ServersSettings{}
	if err := pollensettings.Load(file, settings); err != nil {
		return err
	}
	pollenlog.Setup(os.Stderr, "pollenstandin", "servers")
	return pollenfakehost.RunServers(pollencommand.UntilSignal(ctx), settings)
}
