package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
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

// StatusError reports an HTTP answer with a status other than 200.
type StatusError struct {
	URL    string
	Status string
}

func (e *StatusError) Error() string { return fmt.Sprintf("%s answers with %s", e.URL, e.Status) }

func (o *teamOptions) list(ctx context.Context) error {
	if err := requireAddress(o.address); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	teams, err := fetchTeams(ctx, o.address)
	if err != nil {
		return err
	}
	return printTeams(os.Stdout, teams)
}

// fetchTeams returns the teams of the configuration that is in force at an instance.
func fetchTeams(ctx context.Context, address netip.AddrPort) ([]pollenteam.Status, error) {
	url := "http://" + address.String() + "/teams"
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("teams: %w", err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, fmt.Errorf("teams: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{URL: url, Status: response.Status}
	}
	var teams []pollenteam.Status
	if err := json.NewDecoder(response.Body).Decode(&teams); err != nil {
		return nil, fmt.Errorf("%s: %w", url, err)
	}
	return teams, nil
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
