package main

import (
	"context"
	"crypto/rand"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"

	"pollenline.example/pollen/pollencommand"
	"pollenline.example/pollen/pollenschema"
	"pollenline.example/pollen/pollenschema/pollenschemaconnect"
)

// operatorOptions are the flags of the operators' commands.
type operatorOptions struct {
	address  netip.AddrPort
	changeID string
	expected uint64
	name     string
	service  string
	state    string
	most     uint
	nonce    string
}

func (o *operatorOptions) flags(f *flag.FlagSet) {
	addressFlag(f, &o.address, "operators' `address` of any instance")
}

func (o *operatorOptions) changeFlags(f *flag.FlagSet) {
	o.flags(f)
	f.StringVar(&o.changeID, "change", rand.Text(), "`id` of the change; repeat it to ask again after a lost answer")
	f.Uint64Var(&o.expected, "expect", 0, "`revision` that must be in force; 0 takes any")
}

func operatorCommands() []*pollencommand.Command {
	o := &operatorOptions{}
	run := func(f func(context.Context, pollenschemaconnect.OperateClient, []string) error) func(context.Context, []string) error {
		return func(ctx context.Context, arguments []string) error { return o.call(ctx, arguments, f) }
	}
	return []*pollencommand.Command{
		{
			CommandName: "status", Summary: "show each instance with its state and revision",
			Help: "status -address ADDRESS", Flags: o.flags, Run: run(o.status),
		},
		{
			CommandName: "configuration", Summary: "print the configuration in force as JSON",
			Help: "configuration -address ADDRESS", Flags: o.flags, Run: run(o.configuration),
		},
		{
			CommandName: "apply", Summary: "make the changes of a file",
			Help: "apply -address ADDRESS [-expect REVISION] FILE\n\nThe file holds an ApplyRequest as JSON, " +
				`such as {"Changes": [{"PutZone": {"Name": "viti-1", "State": "ADMIN_IN"}}]}.`,
			Flags: o.changeFlags, Run: run(o.applyFile),
		},
		{
			CommandName: "zone", Summary: "take an availability zone out or bring it back",
			Help: "zone -address ADDRESS -name ZONE -state in|out",
			Flags: func(f *flag.FlagSet) {
				o.changeFlags(f)
				f.StringVar(&o.name, "name", "", "`zone`")
				f.StringVar(&o.state, "state", "", "`state`: in or out")
			},
			Run: run(o.zone),
		},
		{
			CommandName: "server", Summary: "drain a backend server or bring it back",
			Help: "server -address ADDRESS -service SERVICE -name SERVER -state in|out|draining",
			Flags: func(f *flag.FlagSet) {
				o.changeFlags(f)
				f.StringVar(&o.service, "service", "", "`service` of the server")
				f.StringVar(&o.name, "name", "", "backend `server`")
				f.StringVar(&o.state, "state", "", "`state`: in, out or draining")
			},
			Run: run(o.server),
		},
		{
			CommandName: "explain", Summary: "tell how a request was answered",
			Help:  "explain -address ADDRESS -request NONCE\n\nAsk the instance that answered the request.",
			Flags: func(f *flag.FlagSet) { o.flags(f); f.StringVar(&o.nonce, "request", "", "`nonce` of the request's id") },
			Run:   run(o.explain),
		},
		{
			CommandName: "events", Summary: "list an instance's newest control decisions",
			Help:  "events -address ADDRESS [-most NUMBER]",
			Flags: func(f *flag.FlagSet) { o.flags(f); f.UintVar(&o.most, "most", 50, "`number` of events") },
			Run:   run(o.events),
		},
	}
}

func (o *operatorOptions) call(ctx context.Context, arguments []string, f func(context.Context, pollenschemaconnect.OperateClient, []string) error) error {
	if err := requireAddress(o.address); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	return f(ctx, pollenschemaconnect.NewOperateClient(http.DefaultClient, "http://"+o.address.String()), arguments)
}

func (o *operatorOptions) status(ctx context.Context, client pollenschemaconnect.OperateClient, _ []string) error {
	response, err := client.Status(ctx, &pollenschema.StatusRequest{})
	if err != nil {
		return err
	}
	fmt.Printf("revision %d\n", response.Revision)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "Name\tZone\tState\tRevision\tGroups\tReachable\tIncarnation")
	for _, i := range response.Instances {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%t\t%s\n", i.Name, i.Zone, i.State, i.Revision, i.Groups, i.Reachable, i.Incarnation)
	}
	return table.Flush()
}

func (o *operatorOptions) configuration(ctx context.Context, client pollenschemaconnect.OperateClient, _ []string) error {
	response, err := client.Configuration(ctx, &pollenschema.ConfigurationRequest{})
	if err != nil {
		return err
	}
	fmt.Println(protojson.MarshalOptions{Multiline: true}.Format(response))
	return nil
}

func (o *operatorOptions) applyFile(ctx context.Context, client pollenschemaconnect.OperateClient, arguments []string) error {
	if len(arguments) != 1 {
		return &pollencommand.UsageError{Problem: "want one file"}
	}
	data, err := os.ReadFile(arguments[0])
	if err != nil {
		return &pollencommand.UsageError{Problem: "changes", Err: err}
	}
	request := &pollenschema.ApplyRequest{}
	if err := protojson.Unmarshal(data, request); err != nil {
		return &pollencommand.UsageError{Problem: arguments[0], Err: err}
	}
	if request.ChangeId == "" {
		request.ChangeId = o.changeID
	}
	if request.ExpectedRevision == 0 {
		request.ExpectedRevision = o.expected
	}
	return apply(ctx, client, request)
}

func (o *operatorOptions) zone(ctx context.Context, client pollenschemaconnect.OperateClient, _ []string) error {
	state, err := parseState(o.state)
	if err != nil {
		return err
	}
	return o.applyOne(ctx, client, &pollenschema.Change{Kind: &pollenschema.Change_PutZone{
		PutZone: &pollenschema.Zone{Name: o.name, State: state},
	}})
}

func (o *operatorOptions) server(ctx context.Context, client pollenschemaconnect.OperateClient, _ []string) error {
	state, err := parseState(o.state)
	if err != nil {
		return err
	}
	return o.applyOne(ctx, client, &pollenschema.Change{Kind: &pollenschema.Change_SetServerState{
		SetServerState: &pollenschema.ServerState{Service: o.service, Server: o.name, State: state},
	}})
}

func (o *operatorOptions) applyOne(ctx context.Context, client pollenschemaconnect.OperateClient, change *pollenschema.Change) error {
	return apply(ctx, client, &pollenschema.ApplyRequest{
		ChangeId: o.changeID, ExpectedRevision: o.expected, Changes: []*pollenschema.Change{change},
	})
}

func (o *operatorOptions) explain(ctx context.Context, client pollenschemaconnect.OperateClient, _ []string) error {
	response, err := client.Explain(ctx, &pollenschema.ExplainRequest{Nonce: o.nonce})
	if err != nil {
		return err
	}
	if !response.Found {
		return &NotFoundError{Nonce: o.nonce}
	}
	for _, step := range response.Steps {
		fmt.Printf("%s  %-8s %-24s %s %s\n", step.Time.AsTime().Format(time.RFC3339Nano), step.Kind, step.Server, reasonText(step.Reason), step.Detail)
	}
	return nil
}

func (o *operatorOptions) events(ctx context.Context, client pollenschemaconnect.OperateClient, _ []string) error {
	response, err := client.Events(ctx, &pollenschema.EventsRequest{Most: uint32(o.most)})
	if err != nil {
		return err
	}
	for _, event := range response.Events {
		fmt.Printf("%s  %-16s %-28s %s\n", event.Time.AsTime().Format(time.RFC3339Nano), event.Kind, event.Subject, event.Cause)
	}
	return nil
}

// NotFoundError reports a request that the instance does not remember.
type NotFoundError struct {
	Nonce string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("request %q is not remembered here; ask the instance that answered it", e.Nonce)
}

func apply(ctx context.Context, client pollenschemaconnect.OperateClient, request *pollenschema.ApplyRequest) error {
	response, err := client.Apply(ctx, request)
	if err != nil {
		return explainConflict(request.ChangeId, err)
	}
	if response.Accepted {
		fmt.Printf("accepted: revision %d is in force everywhere (change %s)\n", response.Revision, request.ChangeId)
		return nil
	}
	fmt.Printf("stored: revision %d, waiting for %s (change %s)\n", response.Revision, strings.Join(response.WaitingFor, ", "), request.ChangeId)
	return nil
}

// explainConflict adds what an operator needs to try again.
func explainConflict(changeID string, err error) error {
	var failure *connect.Error
	if errors.As(err, &failure) {
		for _, detail := range failure.Details() {
			if message, decodeErr := detail.Value(); decodeErr == nil {
				if conflict, ok := message.(*pollenschema.Conflict); ok {
					return fmt.Errorf("another change was first; look at revision %d and apply again with -expect %d: %w", conflict.Revision, conflict.Revision, err)
				}
			}
		}
	}
	return fmt.Errorf("change %s: %w", changeID, err)
}

func parseState(text string) (pollenschema.Admin, error) {
	switch text {
	case "in":
		return pollenschema.Admin_ADMIN_IN, nil
	case "out":
		return pollenschema.Admin_ADMIN_OUT, nil
	case "draining":
		return pollenschema.Admin_ADMIN_DRAINING, nil
	}
	return 0, &pollencommand.UsageError{Problem: "flag -state: want in, out or draining"}
}

func reasonText(reason pollenschema.Reason) string {
	if reason == pollenschema.Reason_REASON_UNSPECIFIED {
		return ""
	}
	return reason.String()
}
