package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencaller"
	"pollenline.example/pollen/pollencommand"
	"pollenline.example/pollen/pollenfirm"
	"pollenline.example/pollen/pollentraffic"
)

// runOptions holds the flags of the run command.
type runOptions struct {
	addresses   string
	firm        string
	rate        float64
	actionShare float64
	duration    time.Duration
	timeout     time.Duration
	seed        uint64
}

func main() {
	o := &runOptions{}
	commands := []*pollencommand.Command{
		{
			CommandName: "run", Summary: "send a firm's requests at a given rate and print the results",
			Help: "run -addresses LIST -firm NAME [-rate NUMBER] [-duration TIME]\n\n" +
				"The load is open-loop: requests are sent without waiting for answers, and latencies count from when a request was due.",
			Flags: o.flags,
			Run:   func(ctx context.Context, _ []string) error { return o.run(ctx) },
		},
	}
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(pollencommand.Main(append(commands, traceCommands()...)...))
}

func (o *runOptions) flags(f *flag.FlagSet) {
	f.StringVar(&o.addresses, "addresses", "", "comma-separated `list` of instances' addresses for callers")
	f.StringVar(&o.firm, "firm", "vunivalu", "firm whose services are queried: vunivalu or dunhlyja")
	f.Float64Var(&o.rate, "rate", 100, "requests per second")
	f.Float64Var(&o.actionShare, "actions", 0, "share of requests that are actions, 0 to 1")
	f.DurationVar(&o.duration, "duration", 10*time.Second, "how long requests are sent")
	f.DurationVar(&o.timeout, "timeout", 2*time.Second, "timeout of each request")
	f.Uint64Var(&o.seed, "seed", 1, "random seed of the requests")
}

// run generates load for the duration and prints a table of the results.
func (o *runOptions) run(ctx context.Context) error {
	firm, err := pollenfirm.ByName(o.firm)
	if err != nil {
		return &pollencommand.UsageError{Problem: "flag -firm", Err: err}
	}
	addresses, err := parseAddresses(o.addresses)
	if err != nil {
		return err
	}
	callers := make(map[string]pollentraffic.Sender)
	for n, family := range firm.Families {
		callers[family.Name] = pollencaller.New(pollencaller.Config{
			Name: family.Name, Zone: firm.Zones[n%len(firm.Zones)], Addresses: addresses,
		})
	}
	generator := pollentraffic.NewGenerator(pollentraffic.Config{
		Firm: firm, Callers: callers, Rate: o.rate, ActionShare: o.actionShare, Timeout: o.timeout, Seed: o.seed,
	})
	generator.Run(ctx, o.duration)
	if err := generator.Tally().Print(os.Stdout); err != nil {
		return fmt.Errorf("print results: %w", err)
	}
	return nil
}

func parseAddresses(list string) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for text := range strings.SplitSeq(list, ",") {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, &pollencommand.UsageError{Problem: fmt.Sprintf("flag -addresses: invalid address %q", text), Err: err}
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}
