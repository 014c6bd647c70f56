package pollenedge

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"pollenline.example/pollen/pollenpeer"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenschema"
)

// LocateLifetime is how long callers may use the answer to Locate.
const LocateLifetime = 3 * time.Second

// Weights of instances in the answer to Locate.
const (
	weightNear = 4
	weightFar  = 1
)

// Forwarder passes requests on to other instances.
type Forwarder interface {
	Forward(ctx context.Context, i pollenroute.Instance, request *pollenpeer.ForwardRequest) (*pollenpeer.ForwardReply, error)
}

// Answerer runs requests.
type Answerer interface {
	Answer(ctx context.Context, request *pollenschema.QueryRequest) *pollenschema.QueryResponse
}

// CallerConfig configures a Caller.
type CallerConfig struct {
	// Table returns the table in force.
	Table func() *pollenroute.Table
	// TakesCallers reports whether this instance may answer callers.
	TakesCallers func() bool
	Root         Answerer
	Forwarder    Forwarder
}

// Caller serves the schema's Entry service.
type Caller struct {
	config CallerConfig
}

// NewCaller returns the handler of callers' requests.
func NewCaller(config CallerConfig) *Caller {
	return &Caller{config: config}
}

// Errors of calls that have no response of their own.
var (
	ErrNotServing = errors.New("this instance does not serve callers now; use another one")
	ErrNoID       = errors.New("field Id: Incarnation, Nonce and Expiry are required")
)

// Locate names the instances that the caller may connect to.
func (c *Caller) Locate(_ context.Context, request *pollenschema.LocateRequest) (*pollenschema.LocateResponse, error) {
	if !c.config.TakesCallers() {
		return nil, connect.NewError(connect.CodeUnavailable, ErrNotServing)
	}
	table := c.config.Table()
	response := &pollenschema.LocateResponse{
		Generated: timestamppb.Now(),
		Lifetime:  durationpb.New(LocateLifetime),
		Revision:  table.Revision,
	}
	for _, i := range table.Instances {
		if !i.Listed || !table.ZoneAcceptsWork(i.Zone) {
			continue
		}
		weight := weightFar
		if i.Zone == request.Zone {
			weight = weightNear
		}
		response.Instances = append(response.Instances, &pollenschema.Instance{
			Name: i.Name, Address: i.Caller.String(), Zone: i.Zone, Weight: uint32(weight), Incarnation: i.Incarnation,
		})
	}
	if len(response.Instances) == 0 {
		return nil, connect.NewError(connect.CodeUnavailable, ErrNotServing)
	}
	return response, nil
}

// Query answers a request here, or passes it on to the incarnation that its id names.
func (c *Caller) Query(ctx context.Context, request *pollenschema.QueryRequest) (*pollenschema.QueryResponse, error) {
	id := request.GetId()
	if id.GetIncarnation() == "" || id.GetNonce() == "" || id.GetExpiry() == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, ErrNoID)
	}
	table := c.config.Table()
	if id.Incarnation == table.Self.Incarnation {
		return c.config.Root.Answer(ctx, request), nil
	}
	i, known := table.ByIncarnation(id.Incarnation)
	if !known {
		return unknown(request, pollenschema.Reason_REASON_INCARNATION_GONE, "no live instance has this incarnation"), nil
	}
	return c.forward(ctx, i, request), nil
}

func (c *Caller) forward(ctx context.Context, i pollenroute.Instance, request *pollenschema.QueryRequest) *pollenschema.QueryResponse {
	data, err := proto.Marshal(request)
	if err != nil {
		return unknown(request, pollenschema.Reason_REASON_INVALID, err.Error())
	}
	timeout := max(request.GetTimeout().AsDuration(), 0)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := c.config.Forwarder.Forward(ctx, i, &pollenpeer.ForwardRequest{
		ID: id(request), Request: data, Timeout: timeout,
	})
	if err != nil {
		return unknown(request, pollenschema.Reason_REASON_CONNECTION, err.Error())
	}
	response := &pollenschema.QueryResponse{}
	if err := proto.Unmarshal(reply.Response, response); err != nil {
		return unknown(request, pollenschema.Reason_REASON_GARBLED, err.Error())
	}
	if response.GetId().GetNonce() != request.GetId().GetNonce() {
		return unknown(request, pollenschema.Reason_REASON_GARBLED, "the response belongs to another request")
	}
	return response
}

// Forwarded answers a request that another instance passed on.
func (c *Caller) Forwarded(ctx context.Context, data []byte) ([]byte, error) {
	request := &pollenschema.QueryRequest{}
	if err := proto.Unmarshal(data, request); err != nil {
		return nil, err
	}
	return proto.Marshal(c.config.Root.Answer(ctx, request))
}

func id(request *pollenschema.QueryRequest) string {
	return "forward/" + request.GetId().GetIncarnation() + "/" + request.GetId().GetNonce()
}

func unknown(request *pollenschema.QueryRequest, reason pollenschema.Reason, detail string) *pollenschema.QueryResponse {
	return &pollenschema.QueryResponse{
		Id: request.Id, Outcome: pollenschema.Outcome_OUTCOME_UNKNOWN, Reason: reason, Detail: detail,
		Coverage: &pollenschema.Coverage{},
	}
}
