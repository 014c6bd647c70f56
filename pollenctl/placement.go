package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"text/tabwriter"

	"pollenline.example/pollen/pollencommand"
	"pollenline.example/pollen/pollenforward"
)

// placementOptions holds the flags of the placement command.
type placementOptions struct {
	address netip.AddrPort
	route   string
	asJSON  bool
}

func placementCommands() []*pollencommand.Command {
	o := &placementOptions{}
	return []*pollencommand.Command{{
		CommandName: "placement", Summary: "explain where a request of a route would go now, without sending it",
		Help: "placement -address ADDRESS -route NAME [-json]\n\nPrints for each service of the route the servers with the reason that holds them back, the " +
			"probability of being chosen, the expected latency and the age of what the instance knows, and what would happen to the request.",
		Flags: func(f *flag.FlagSet) {
			addressFlag(f, &o.address, "metrics `address` of the instance")
			f.StringVar(&o.route, "route", "", "`name` of the route")
			f.BoolVar(&o.asJSON, "json", false, "print JSON")
		},
		Run: func(ctx context.Context, _ []string) error { return o.show(ctx, os.Stdout) },
	}}
}

func (o *placementOptions) show(ctx context.Context, w io.Writer) error {
	if err := requireAddress(o.address); err != nil {
		return err
	}
	if o.route == "" {
		return &pollencommand.UsageError{Problem: "flag -route is required"}
	}
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	var placement pollenforward.Placement
	if err := fetch(ctx, o.address, "/placement?route="+url.QueryEscape(o.route), &placement); err != nil {
		return err
	}
	if o.asJSON {
		return json.NewEncoder(w).Encode(placement)
	}
	return printPlacement(w, placement)
}

// printPlacement writes the outcome and a table of servers.
func printPlacement(w io.Writer, p pollenforward.Placement) error {
	fmt.Fprintf(w, "%s: %s", p.Route, p.Outcome)
	if p.Reason != "" {
		fmt.Fprintf(w, " (%s)", p.Reason)
	}
	fmt.Fprintf(w, "\nservices: %d, available %d of %d needed, with capacity %d of %d needed at the start\n", len(p.Services), p.Available, p.Needed, p.WithCapacity, p.NeededAtStart)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "Service\tServer\tZone\tHeld back\tProbability\tExpected ms\tAge ms\tIn flight\tCapacity")
	for _, service := range p.Services {
		for _, s := range service.Servers {
			heldBack := s.HeldBack
			if heldBack == "" {
				heldBack = "-"
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.2f\t%.1f\t%.0f\t%d\t%v\n", service.Service, s.ID, s.Zone, heldBack, s.Probability, s.ExpectedMillis, s.AgeMillis, s.InFlight, s.HasCapacity)
		}
	}
	return table.Flush()
}
