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
	"strings"
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
	// Text is the begin of the answer's body.
	Text string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answers with %s: %s", e.URL, e.Status, e.Text)
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

// maxErrorBytes bounds what is shown of the body of an error.
const maxErrorBytes = 300

// fetch decodes what an instance answers under a path of its metrics address.
func fetch(ctx context.Context, address netip.AddrPort, path string, answer any) error {
	url := "http://" + address.String() + path
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("%s: %w", url, err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("%s: %w", url, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		if err != nil {
			return fmt.Errorf("%s: %w", url, err)
		}
		return &StatusError{URL: url, Status: response.Status, Text: strings.TrimSpace(string(text))}
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return fmt.Errorf("%s: %w", url, err)
	}
	return nil
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
