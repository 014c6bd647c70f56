package pollenquery

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"pollenline.example/pollen/pollencheck"
	"pollenline.example/pollen/pollenevent"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenonce"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenschema"
)

// Sender carries sub-queries to the owner of their backend server.
type Sender interface {
	// Send returns the outcome of a sub-query; a refusal means that it did not run.
	Send(ctx context.Context, owner pollenroute.Instance, q *pollenmessage.SubQuery) pollenmessage.SubAnswer
}

// Gate says whether this instance may take callers' requests.
type Gate interface {
	// Refusal returns why not, or unspecified.
	Refusal() pollenschema.Reason
}

// Config configures a Root.
type Config struct {
	Gate Gate
	// Table returns the table in force.
	Table    func() *pollenroute.Table
	Sender   Sender
	Register *pollenonce.Register
	Traces   *pollenevent.Traces
	Metrics  *Metrics
	Policy   Policy
}

// Root answers whole requests.
type Root struct {
	config Config
	scores *scores
	hedges *hedgeBudget
	stale  *staleSnapshots
}

// New returns a root.
func New(config Config) *Root {
	return &Root{config: config, scores: newScores(), hedges: newHedgeBudget(config.Policy.HedgeShare), stale: newStaleSnapshots()}
}

// Answer runs a request that the caller sent to this instance, at most once.
//
// The response always carries the request's id and an outcome.
func (r *Root) Answer(ctx context.Context, request *pollenschema.QueryRequest) *pollenschema.QueryResponse {
	started := time.Now()
	response := r.admit(ctx, request)
	response.Id = request.Id
	if response.Outcome != pollenschema.Outcome_OUTCOME_DONE && response.Coverage == nil {
		response.Coverage = &pollenschema.Coverage{}
	}
	r.config.Metrics.observe(request, response, time.Since(started))
	return response
}

// RequestID reads the id of a request.
func RequestID(request *pollenschema.QueryRequest) pollenmessage.RequestID {
	return pollenmessage.RequestID{
		Incarnation: request.GetId().GetIncarnation(),
		Nonce:       request.GetId().GetNonce(),
		Expiry:      request.GetId().GetExpiry().AsTime(),
	}
}

// job is one admitted request on its way.
type job struct {
	root    *Root
	request *pollenschema.QueryRequest
	id      pollenmessage.RequestID
	service *pollenroute.Service
	trace   *pollenevent.Trace
	// deadline is the caller's, less the time to merge and answer.
	deadline time.Time
	started  time.Time
}

const (
	// mergeMargin, and one part in mergeShare if that is more, is kept of the caller's timeout for merging and
	// answering.
	mergeMargin = 3 * time.Millisecond
	mergeShare  = 50
	// maximumTimeout bounds the caller's timeout.
	maximumTimeout = 30 * time.Second
	// maximumPayload bounds the caller's payload, in bytes.
	maximumPayload = 1 << 20
)

func (r *Root) admit(ctx context.Context, request *pollenschema.QueryRequest) *pollenschema.QueryResponse {
	id := RequestID(request)
	admission, err := r.config.Register.Begin(ctx, id, digest(request))
	if err != nil {
		return refusalResponse(err)
	}
	if admission.Response != nil {
		return proto.CloneOf(admission.Response)
	}
	response := r.run(ctx, request, id)
	admission.Ticket.Finish(proto.CloneOf(response))
	return response
}

func (r *Root) run(ctx context.Context, request *pollenschema.QueryRequest, id pollenmessage.RequestID) *pollenschema.QueryResponse {
	j := &job{root: r, request: request, id: id, trace: r.config.Traces.Start(id.Nonce), started: time.Now()}
	if refusal := j.check(); refusal != nil {
		j.trace.Add(pollenevent.StepRefuse, "", refusal.Reason, refusal.Detail)
		return refusal
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if request.Idempotent {
		return j.query(ctx)
	}
	return j.action(ctx)
}

// check fills in the service and the deadline, and refuses bad requests.
func (j *job) check() *pollenschema.QueryResponse {
	request := j.request
	timeout := request.GetTimeout().AsDuration()
	service, known := j.root.config.Table().Services[request.Service]
	if reason := j.root.config.Gate.Refusal(); reason != pollenschema.Reason_REASON_UNSPECIFIED {
		return notRun(reason, "this instance takes no new requests; ask for others by Locate")
	}
	switch {
	case !known:
		return notRun(pollenschema.Reason_REASON_UNKNOWN_SERVICE, fmt.Sprintf("no service %q", request.Service))
	case len(service.Snapshots) == 0:
		return notRun(pollenschema.Reason_REASON_NO_REPLICA, fmt.Sprintf("service %q has no snapshot", request.Service))
	case timeout <= mergeMargin:
		return notRun(pollenschema.Reason_REASON_DEADLINE, fmt.Sprintf("timeout %v leaves no time", timeout))
	case timeout > maximumTimeout:
		return notRun(pollenschema.Reason_REASON_INVALID, fmt.Sprintf("timeout %v is more than %v", timeout, maximumTimeout))
	case len(request.Payload) > maximumPayload:
		return notRun(pollenschema.Reason_REASON_TOO_LARGE, fmt.Sprintf("payload of more than %d bytes", maximumPayload))
	case request.Class == pollenschema.Class_CLASS_UNSPECIFIED:
		return notRun(pollenschema.Reason_REASON_INVALID, "field Class: missing value")
	case !request.Idempotent && request.Key == "":
		return notRun(pollenschema.Reason_REASON_INVALID, "field Key: an action needs one")
	}
	j.service = service
	j.deadline = j.started.Add(timeout - max(mergeMargin, timeout/mergeShare))
	return nil
}

func digest(request *pollenschema.QueryRequest) uint64 {
	d := xxhash.New()
	// A Digest never returns an error from Write.
	_, _ = fmt.Fprintf(d, "%q|%d|%t|%q|%q", request.Service, request.Class, request.Idempotent, request.Key, request.Payload)
	return d.Sum64()
}

func notRun(reason pollenschema.Reason, detail string) *pollenschema.QueryResponse {
	return &pollenschema.QueryResponse{Outcome: pollenschema.Outcome_OUTCOME_NOT_RUN, Reason: reason, Detail: detail}
}

func refusalResponse(err error) *pollenschema.QueryResponse {
	var refusal *pollenonce.Refusal
	if errors.As(err, &refusal) {
		return &pollenschema.QueryResponse{Outcome: refusal.Outcome, Reason: refusal.Reason, Detail: refusal.Detail}
	}
	return &pollenschema.QueryResponse{Outcome: pollenschema.Outcome_OUTCOME_UNKNOWN, Detail: err.Error()}
}

// verify checks that a sub-answer is the whole answer to its sub-query.
func verify(q *pollenmessage.SubQuery, answer *pollenmessage.SubAnswer) bool {
	if answer.ID != q.ID {
		return false
	}
	if answer.Outcome != pollenschema.Outcome_OUTCOME_DONE {
		return true
	}
	return answer.Snapshot == q.Snapshot && answer.Checksum == pollenmessage.Checksum(answer.Shards)
}

// seal completes a response whose shards are final.
func (j *job) seal(response *pollenschema.QueryResponse, snapshot *pollenroute.Snapshot) {
	response.Snapshot = snapshot.Name
	response.Versions = snapshot.Versions
	response.Length, response.Checksum = pollenmessage.RowsChecksum(response.Shards)
	c := response.Coverage
	pollencheck.Assert(int(c.Covered) == len(response.Shards), pollencheck.TruthfulCoverage,
		"%d shards counted, %d attached", c.Covered, len(response.Shards))
	pollencheck.Assert(int(c.Covered)+len(c.Missing) == int(c.Total), pollencheck.TruthfulCoverage,
		"%d covered and %d missing of %d", c.Covered, len(c.Missing), c.Total)
	j.trace.Add(pollenevent.StepSeal, "", response.Reason,
		fmt.Sprintf("snapshot %s, %d of %d shards", snapshot.Name, c.Covered, c.Total))
}
