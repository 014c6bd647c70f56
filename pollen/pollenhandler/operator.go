package pollenhandler

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"pollenline.example/pollen/pollenconfig"
	"pollenline.example/pollen/pollencontrol"
	"pollenline.example/pollen/pollenevent"
	"pollenline.example/pollen/pollenpeer"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenschema"
)

// pingTimeout bounds the wait for another instance's status.
const pingTimeout = 500 * time.Millisecond

// OperatorHandlerConfig holds the dependencies of an OperatorHandler.
type OperatorHandlerConfig struct {
	// Table returns the routing table in force.
	Table   func() *pollenroute.Table
	Applier *pollencontrol.Applier
	// Peers is called for the status of other instances.
	Peers pollencontrol.Peers
	// SelfStatus returns the status of this instance.
	SelfStatus func() pollenpeer.PingReply
	// Configuration returns the configuration in force.
	Configuration func() (*pollenconfig.Configuration, error)
	Events        *pollenevent.Log
	Traces        *pollenevent.Traces
}

// OperatorHandler implements the schema's Operate service.
type OperatorHandler struct {
	config OperatorHandlerConfig
}

// NewOperatorHandler returns a handler for operators' requests.
func NewOperatorHandler(config OperatorHandlerConfig) *OperatorHandler {
	return &OperatorHandler{config: config}
}

// ErrNoChangeID is the error for a change without an ID, which could not be recognized when it is sent again.
var ErrNoChangeID = errors.New("field ChangeId: missing value")

// Apply applies one change to the configuration.
func (o *OperatorHandler) Apply(ctx context.Context, request *pollenschema.ApplyRequest) (*pollenschema.ApplyResponse, error) {
	if request.ChangeId == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, ErrNoChangeID)
	}
	result, err := o.config.Applier.Apply(ctx, request)
	if err != nil {
		return nil, applyError(err)
	}
	return &pollenschema.ApplyResponse{Revision: result.Revision, Accepted: result.Accepted, WaitingFor: result.WaitingFor}, nil
}

// Status returns the status of each instance, with the configuration revision in force there.
func (o *OperatorHandler) Status(ctx context.Context, _ *pollenschema.StatusRequest) (*pollenschema.StatusResponse, error) {
	table := o.config.Table()
	response := &pollenschema.StatusResponse{Revision: table.Revision, Instances: make([]*pollenschema.InstanceStatus, len(table.Instances))}
	var wg sync.WaitGroup
	for n, i := range table.Instances {
		wg.Go(func() { response.Instances[n] = o.instanceStatus(ctx, table, i) })
	}
	wg.Wait()
	return response, nil
}

// Configuration returns the configuration documents in force, ordered by name.
func (o *OperatorHandler) Configuration(context.Context, *pollenschema.ConfigurationRequest) (*pollenschema.ConfigurationResponse, error) {
	c, err := o.config.Configuration()
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	response := &pollenschema.ConfigurationResponse{Revision: c.Revision}
	for _, name := range slices.Sorted(maps.Keys(c.Zones)) {
		response.Zones = append(response.Zones, c.Zones[name])
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		response.Services = append(response.Services, c.Services[name])
	}
	return response, nil
}

// Explain returns the steps by which this instance answered a request, if their trace is still stored.
func (o *OperatorHandler) Explain(_ context.Context, request *pollenschema.ExplainRequest) (*pollenschema.ExplainResponse, error) {
	trace, ok := o.config.Traces.Find(request.Nonce)
	if !ok {
		return &pollenschema.ExplainResponse{}, nil
	}
	response := &pollenschema.ExplainResponse{Found: true}
	for _, step := range trace.Steps() {
		response.Steps = append(response.Steps, &pollenschema.Step{
			Time: timestamppb.New(step.Time), Kind: string(step.Kind), Server: step.Server, Detail: step.Detail, Reason: step.Reason,
		})
	}
	return response, nil
}

// Events returns the newest control decisions of this instance with their causes.
func (o *OperatorHandler) Events(_ context.Context, request *pollenschema.EventsRequest) (*pollenschema.EventsResponse, error) {
	response := &pollenschema.EventsResponse{}
	name := o.config.Table().Self.Name
	for _, event := range o.config.Events.Newest(int(request.Most)) {
		response.Events = append(response.Events, &pollenschema.Event{
			Time: timestamppb.New(event.Time), Instance: name, Kind: string(event.Kind), Subject: event.Subject, Cause: event.Cause,
		})
	}
	return response, nil
}

// instanceStatus returns the status of an instance, which is not Reachable if it does not reply.
func (o *OperatorHandler) instanceStatus(ctx context.Context, table *pollenroute.Table, i pollenroute.Instance) *pollenschema.InstanceStatus {
	status := &pollenschema.InstanceStatus{Name: i.Name, Incarnation: i.Incarnation, Zone: i.Zone}
	reply, err := o.config.SelfStatus(), error(nil)
	if i.Incarnation != table.Self.Incarnation {
		ctx, cancel := context.WithTimeout(ctx, pingTimeout)
		defer cancel()
		reply, err = o.config.Peers.Ping(ctx, i, pollenpeer.PingRequest{From: table.Self})
	}
	if err != nil {
		return status
	}
	status.State, status.Revision, status.Reachable, status.Groups = reply.State, reply.Revision, true, uint32(reply.Groups)
	return status
}

// applyError maps an error of the configuration to a Connect error.
func applyError(err error) error {
	var conflict *pollenconfig.ConflictError
	var document *pollenconfig.DocumentError
	switch {
	case errors.As(err, &conflict):
		return withDetail(connect.NewError(connect.CodeAborted, err),
			&pollenschema.Conflict{Revision: conflict.Revision, ChangeId: conflict.ChangeID})
	case errors.As(err, &document), errors.Is(err, pollenconfig.ErrNoChange):
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

// withDetail adds a message to an error, unless the message cannot be encoded.
func withDetail(err *connect.Error, message proto.Message) *connect.Error {
	if detail, encodeErr := connect.NewErrorDetail(message); encodeErr == nil {
		err.AddDetail(detail)
	}
	return err
}
