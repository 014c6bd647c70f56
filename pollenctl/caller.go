package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"pollenline.example/pollen/pollencaller"
	"pollenline.example/pollen/pollencommand"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenschema"
)

// callerOptions holds the flags of the commands for callers.
type callerOptions struct {
	address  netip.AddrPort
	zone     string
	service  string
	class    string
	key      string
	payload  string
	timeout  time.Duration
	showRows bool
}

func (o *callerOptions) flags(f *flag.FlagSet) {
	addressFlag(f, &o.address, "callers' `address` of any instance")
	f.StringVar(&o.zone, "zone", "", "availability `zone` closest to the caller")
}

func (o *callerOptions) requestFlags(f *flag.FlagSet) {
	o.flags(f)
	f.StringVar(&o.service, "service", "", "`service` to query")
	f.StringVar(&o.class, "class", "normal", "`class`: urgent, normal or archive")
	f.StringVar(&o.payload, "payload", "", "`text` passed to the backend servers")
	f.DurationVar(&o.timeout, "timeout", time.Second, "timeout of the request, including retries")
	f.BoolVar(&o.showRows, "rows", false, "print the rows")
}

func callerCommands() []*pollencommand.Command {
	o := &callerOptions{}
	return []*pollencommand.Command{
		{
			CommandName: "locate", Summary: "list the instances that accept callers",
			Help:  "locate -address ADDRESS [-zone ZONE]\n\nPrints name, address, availability zone, weight and incarnation of each instance.",
			Flags: o.flags,
			Run:   func(ctx context.Context, _ []string) error { return o.locate(ctx) },
		},
		{
			CommandName: "query", Summary: "query every shard of a service",
			Help:  "query -address ADDRESS -service NAME [-class CLASS] [-timeout TIME]\n\nPrints outcome, snapshot and coverage.",
			Flags: o.requestFlags,
			Run:   func(ctx context.Context, _ []string) error { return o.sendRequest(ctx, false) },
		},
		{
			CommandName: "act", Summary: "run an action at most once",
			Help: "act -address ADDRESS -service NAME -key KEY [-payload TEXT]\n\nRuns an action on the shard that the key maps to. " +
				"NotRun means that the action has not run and will not run. Unknown means that it may have run: check before sending it again.",
			Flags: func(f *flag.FlagSet) {
				o.requestFlags(f)
				f.StringVar(&o.key, "key", "", "`key` of the shard")
			},
			Run: func(ctx context.Context, _ []string) error { return o.sendRequest(ctx, true) },
		},
	}
}

func (o *callerOptions) newCaller() (*pollencaller.Caller, error) {
	if err := requireAddress(o.address); err != nil {
		return nil, err
	}
	return pollencaller.New(pollencaller.Config{Name: "pollenctl", Zone: o.zone, Addresses: []netip.AddrPort{o.address}}), nil
}

func (o *callerOptions) locate(ctx context.Context) error {
	caller, err := o.newCaller()
	if err != nil {
		return err
	}
	located, err := caller.Locate(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("valid for %v, revision %d\n", located.Lifetime.AsDuration(), located.Revision)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "Name\tAddress\tZone\tWeight\tIncarnation")
	for _, i := range located.Instances {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\n", i.Name, i.Address, i.Zone, i.Weight, i.Incarnation)
	}
	return table.Flush()
}

// OutcomeError reports a request with an outcome other than Done.
type OutcomeError struct {
	// Response is the response with that outcome.
	Response *pollenschema.QueryResponse
}

func (e *OutcomeError) Error() string {
	return fmt.Sprintf("%v: %v: %s", e.Response.Outcome, e.Response.Reason, e.Response.Detail)
}

// sendRequest sends a query or an action and prints the response; an outcome other than Done is an *OutcomeError.
func (o *callerOptions) sendRequest(ctx context.Context, action bool) error {
	caller, err := o.newCaller()
	if err != nil {
		return err
	}
	class, err := pollenmessage.ParseClass(o.class)
	if err != nil {
		return &pollencommand.UsageError{Problem: "flag -class", Err: err}
	}
	response, err := caller.Do(ctx, pollencaller.Request{
		Service: o.service, Class: class, Timeout: o.timeout, Action: action, Key: o.key, Payload: []byte(o.payload),
	})
	if err != nil {
		return err
	}
	o.printResponse(response)
	if response.Outcome != pollenschema.Outcome_OUTCOME_DONE {
		return &OutcomeError{Response: response}
	}
	return nil
}

func (o *callerOptions) printResponse(response *pollenschema.QueryResponse) {
	c := response.GetCoverage()
	fmt.Printf("%v  request %s\nsnapshot %s  coverage %d of %d\n", response.Outcome, response.GetId().GetNonce(), response.Snapshot, c.GetCovered(), c.GetTotal())
	for _, v := range response.Versions {
		fmt.Printf("index %s version %s\n", v.Index, v.Version)
	}
	for _, missing := range c.GetMissing() {
		fmt.Printf("missing %s: %v\n", missing.Shard, missing.Reason)
	}
	if !o.showRows {
		return
	}
	for _, s := range response.Shards {
		for _, row := range s.Rows {
			fmt.Printf("%s\t%s\n", s.Shard, row)
		}
	}
}
