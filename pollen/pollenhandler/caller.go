package pollenhandler

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

// LocateLifetime is how long callers may use the response to Locate.
const LocateLifetime = 3 * time.Second

// Weights of instances in the response to Locate; those in the caller's zone are preferred.
const (
	sameZoneWeight  = 4
	otherZoneWeight = 1
)

// Forwarder forwards requests to other instances.
type Forwarder interface {
	// Forward forwards a request and returns the reply of the other instance.
	Forward(ctx context.Context, i pollenroute.Instance, request *pollenpeer.ForwardRequest) (*pollenpeer.ForwardReply, error)
}

// Answerer runs callers' requests.
type Answerer interface {
	// Answer returns the response to a request; it always has an outcome.
	Answer(ctx context.Context, request *pollenschema.QueryRequest) *pollenschema.QueryResponse
}

// CallerHandlerConfig holds the dependencies of a CallerHandler.
type CallerHandlerConfig struct {
	// Table returns the routing table in force.
	Table func() *pollenroute.Table
	// AcceptsCallers reports whether this instance may answer Locate; Root itself refuses queries.
	AcceptsCallers func() bool
	Root           Answerer
	Forwarder      Forwarder
}

// CallerHandler implements the schema's Entry service.
type CallerHandler struct {
	config CallerHandlerConfig
}

// NewCallerHandler returns a handler for callers' requests.
func NewCallerHandler(config CallerHandlerConfig) *CallerHandler {
	return &CallerHandler{config: config}
}

// Errors of calls that are answered without a response message.
var (
	// ErrNotServing is the error for Locate while this instance accepts no callers or no instance is listed.
	ErrNotServing = errors.New("this instance does not serve callers now; use another one")
	// ErrNoID is the error for a query without a complete ID.
	ErrNoID = errors.New("field Id: Incarnation, Nonce and Expiry are required")
)

// Locate returns the instances that the caller may connect to, with weights that prefer the caller's zone.
func (c *CallerHandler) Locate(_ context.Context, request *pollenschema.LocateRequest) (*pollenschema.LocateResponse, error) {
	if !c.config.AcceptsCallers() {
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
		weight := otherZoneWeight
		if i.Zone == request.Zone {
			weight = sameZoneWeight
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

// Query answers a request, or forwards it to the incarnation that its ID names.
func (c *CallerHandler) Query(ctx context.Context, request *pollenschema.QueryRequest) (*pollenschema.QueryResponse, error) {
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
		return unknownOutcome(request, pollenschema.Reason_REASON_INCARNATION_GONE, "no live instance has this incarnation"), nil
	}
	return c.forward(ctx, i, request), nil
}

// forward forwards a request; every failure is a response with an unknown outcome, since the request may have run.
func (c *CallerHandler) forward(ctx context.Context, i pollenroute.Instance, request *pollenschema.QueryRequest) *pollenschema.QueryResponse {
	data, err := proto.Marshal(request)
	if err != nil {
		return unknownOutcome(request, pollenschema.Reason_REASON_INVALID, err.Error())
	}
	timeout := max(request.GetTimeout().AsDuration(), 0)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := c.config.Forwarder.Forward(ctx, i, &pollenpeer.ForwardRequest{
		ID: forwardID(request), Request: data, Timeout: timeout,
	})
	if err != nil {
		return unknownOutcome(request, pollenschema.Reason_REASON_CONNECTION, err.Error())
	}
	response := &pollenschema.QueryResponse{}
	if err := proto.Unmarshal(reply.Response, response); err != nil {
		return unknownOutcome(request, pollenschema.Reason_REASON_GARBLED, err.Error())
	}
	if response.GetId().GetNonce() != request.GetId().GetNonce() {
		return unknownOutcome(request, pollenschema.Reason_REASON_GARBLED, "the response belongs to another request")
	}
	return response
}

// AnswerForwarded answers an encoded request that another instance forwarded, and returns the encoded response.
func (c *CallerHandler) AnswerForwarded(ctx context.Context, data []byte) ([]byte, error) {
	request := &pollenschema.QueryRequest{}
	if err := proto.Unmarshal(data, request); err != nil {
		return nil, err
	}
	return proto.Marshal(c.config.Root.Answer(ctx, request))
}

// forwardID returns the ID of the peer call that forwards a request.
func forwardID(request *pollenschema.QueryRequest) string {
	return "forward/" + request.GetId().GetIncarnation() + "/" + request.GetId().GetNonce()
}

// unknownOutcome returns the response to a request that may have run.
func unknownOutcome(request *pollenschema.QueryRequest, reason pollenschema.Reason, detail string) *pollenschema.QueryResponse {
	return &pollenschema.QueryResponse{
		Id: request.Id, Outcome: pollenschema.Outcome_OUTCOME_UNKNOWN, Reason: reason, Detail: detail,
		Coverage: &pollenschema.Coverage{},
	}
}
