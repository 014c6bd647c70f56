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

// operatorOptions holds the flags of the commands for operators.
type operatorOptions struct {
	address          netip.AddrPort
	changeID         string
	expectedRevision uint64
	name             string
	service          string
	state            string
	maxEvents        uint
	nonce            string
}

func (o *operatorOptions) flags(f *flag.FlagSet) {
	addressFlag(f, &o.address, "operators' `address` of any instance")
}

func (o *operatorOptions) changeFlags(f *flag.FlagSet) {
	o.flags(f)
	f.StringVar(&o.changeID, "change", rand.Text(), "`id` of the change; reuse it to repeat the call if its response was lost")
	f.Uint64Var(&o.expectedRevision, "expect", 0, "`revision` that must be in force; 0 accepts any")
}

func operatorCommands() []*pollencommand.Command {
	o := &operatorOptions{}
	handler := func(f func(context.Context, pollenschemaconnect.OperateClient, []string) error) func(context.Context, []string) error {
		return func(ctx context.Context, arguments []string) error { return o.call(ctx, arguments, f) }
	}
	return []*pollencommand.Command{
		{
			CommandName: "status", Summary: "show each instance with its state and revision",
			Help: "status -address ADDRESS", Flags: o.flags, Run: handler(o.status),
		},
		{
			CommandName: "configuration", Summary: "print the configuration in force as JSON",
			Help: "configuration -address ADDRESS", Flags: o.flags, Run: handler(o.configuration),
		},
		{
			CommandName: "apply", Summary: "apply the changes in a file",
			Help: "apply -address ADDRESS [-expect REVISION] FILE\n\nThe file holds an ApplyRequest as JSON, " +
				`such as {"Changes": [{"PutZone": {"Name": "viti-1", "State": "ADMIN_IN"}}]}.`,
			Flags: o.changeFlags, Run: handler(o.applyFile),
		},
		{
			CommandName: "zone", Summary: "take an availability zone out or bring it back",
			Help: "zone -address ADDRESS -name ZONE -state in|out",
			Flags: func(f *flag.FlagSet) {
				o.changeFlags(f)
				f.StringVar(&o.name, "name", "", "`zone`")
				f.StringVar(&o.state, "state", "", "`state`: in or out")
			},
			Run: handler(o.setZoneState),
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
			Run: handler(o.setServerState),
		},
		{
			CommandName: "explain", Summary: "print the steps by which a request was answered",
			Help:  "explain -address ADDRESS -request NONCE\n\nADDRESS must be that of the instance that answered the request.",
			Flags: func(f *flag.FlagSet) { o.flags(f); f.StringVar(&o.nonce, "request", "", "`nonce` of the request's id") },
			Run:   handler(o.explain),
		},
		{
			CommandName: "events", Summary: "list an instance's most recent control decisions",
			Help:  "events -address ADDRESS [-most NUMBER]",
			Flags: func(f *flag.FlagSet) { o.flags(f); f.UintVar(&o.maxEvents, "most", 50, "`number` of events") },
			Run:   handler(o.events),
		},
	}
}

// call runs f with a client for the instance at the -address flag.
func (o *operatorOptions) call(ctx context.Context, arguments []string, f func(context.Context, pollenschemaconnect.OperateClient, []string) error) error {
	if err := requireAddress(o.address); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
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
		return &pollencommand.UsageError{Problem: fmt.Sprintf("want one file, got %d arguments", len(arguments))}
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
		request.ExpectedRevision = o.expectedRevision
	}
	return apply(ctx, client, request)
}

func (o *operatorOptions) setZoneState(ctx context.Context, client pollenschemaconnect.OperateClient, _ []string) error {
	state, err := parseState(o.state)
	if err != nil {
		return err
	}
	return o.applyChange(ctx, client, &pollenschema.Change{Kind: &pollenschema.Change_PutZone{
		PutZone: &pollenschema.Zone{Name: o.name, State: state},
	}})
}

func (o *operatorOptions) setServerState(ctx context.Context, client pollenschemaconnect.OperateClient, _ []string) error {
	state, err := parseState(o.state)
	if err != nil {
		return err
	}
	return o.applyChange(ctx, client, &pollenschema.Change{Kind: &pollenschema.Change_SetServerState{
		SetServerState: &pollenschema.ServerState{Service: o.service, Server: o.name, State: state},
	}})
}

func (o *operatorOptions) applyChange(ctx context.Context, client pollenschemaconnect.OperateClient, change *pollenschema.Change) error {
	return apply(ctx, client, &pollenschema.ApplyRequest{
		ChangeId: o.changeID, ExpectedRevision: o.expectedRevision, Changes: []*pollenschema.Change{change},
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
		fmt.Printf("%s  %-8s %-24s %s %s\n", step.Time.AsTime().Format(time.RFC3339Nano), step.Kind, step.Server, formatReason(step.Reason), step.Detail)
	}
	return nil
}

func (o *operatorOptions) events(ctx context.Context, client pollenschemaconnect.OperateClient, _ []string) error {
	response, err := client.Events(ctx, &pollenschema.EventsRequest{Most: uint32(o.maxEvents)})
	if err != nil {
		return err
	}
	for _, event := range response.Events {
		fmt.Printf("%s  %-16s %-28s %s\n", event.Time.AsTime().Format(time.RFC3339Nano), event.Kind, event.Subject, event.Cause)
	}
	return nil
}

// NotFoundError reports a request of which the instance has no record.
type NotFoundError struct {
	// Nonce is the nonce of the request's id.
	Nonce string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("this instance has no record of request %q; -address must be the instance that answered it", e.Nonce)
}

// apply sends changes and prints whether they are in force or only stored.
func apply(ctx context.Context, client pollenschemaconnect.OperateClient, request *pollenschema.ApplyRequest) error {
	response, err := client.Apply(ctx, request)
	if err != nil {
		return wrapApplyError(request.ChangeId, err)
	}
	if response.Accepted {
		fmt.Printf("accepted: revision %d is in force everywhere (change %s)\n", response.Revision, request.ChangeId)
		return nil
	}
	fmt.Printf("stored: revision %d, waiting for %s (change %s)\n", response.Revision, strings.Join(response.WaitingFor, ", "), request.ChangeId)
	return nil
}

// wrapApplyError adds the change id or, after a conflict, the revision to retry with.
func wrapApplyError(changeID string, err error) error {
	var connectError *connect.Error
	if errors.As(err, &connectError) {
		for _, detail := range connectError.Details() {
			if message, decodeErr := detail.Value(); decodeErr == nil {
				if conflict, ok := message.(*pollenschema.Conflict); ok {
					return fmt.Errorf("conflict with another change; review revision %d and retry with -expect %d: %w", conflict.Revision, conflict.Revision, err)
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
	return 0, &pollencommand.UsageError{Problem: fmt.Sprintf("flag -state: got %q, want in, out or draining", text)}
}

func formatReason(reason pollenschema.Reason) string {
	if reason == pollenschema.Reason_REASON_UNSPECIFIED {
		return ""
	}
	return reason.String()
}
