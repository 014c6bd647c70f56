package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"
	"text/tabwriter"

	"pollenline.example/pollen/pollencommand"
	"pollenline.example/pollen/pollenteam"
)

// teamOptions holds the flags of the commands about teams.
type teamOptions struct {
	address netip.AddrPort
}

func teamCommands() []*pollencommand.Command {
	o := &teamOptions{}
	return []*pollencommand.Command{{
		CommandName: "teams", Summary: "list the teams with their limits and what they use",
		Help: "teams -address ADDRESS\n\nPrints name, priority, rate, burst and the requests that the instance at the address has served in the last " +
			"window of seconds.",
		Flags: func(f *flag.FlagSet) { addressFlag(f, &o.address, "metrics `address` of any instance") },
		Run:   func(ctx context.Context, _ []string) error { return o.list(ctx) },
	}}
}

func (o *teamOptions) list(ctx context.Context) error {
	if err := requireAddress(o.address); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	var teams []pollenteam.Status
	if err := fetch(ctx, o.address, "/teams", &teams); err != nil {
		return err
	}
	return printTeams(os.Stdout, teams)
}

// printTeams writes a table of teams; a limit or priority that a team does not have is "-".
func printTeams(w io.Writer, teams []pollenteam.Status) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "Name\tPriority\tPer second\tBurst\tUsed\tBy all\tWindow")
	for _, t := range teams {
		priority, rate, burst := "-", "-", "-"
		if t.Priority != nil {
			priority = strconv.Itoa(*t.Priority)
		}
		if t.PerSecond > 0 {
			rate, burst = fmt.Sprint(t.PerSecond), fmt.Sprint(t.Burst)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%vs\n", t.Name, priority, rate, burst, t.Used, t.UsedByAll, t.WindowSeconds)
	}
	return table.Flush()
}
