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
	"pollenline.example/pollen/pollenidempotency"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenschema"
)

// Sender sends sub-queries to the instance that owns their backend server.
type Sender interface {
	// Send returns the outcome of a sub-query; OUTCOME_NOT_RUN guarantees that it did not run.
	Send(ctx context.Context, owner pollenroute.Instance, q *pollenmessage.SubQuery) pollenmessage.SubAnswer
}

// Gate decides whether this instance accepts requests from callers.
type Gate interface {
	// Refusal returns why requests are refused, or REASON_UNSPECIFIED if they are accepted.
	Refusal() pollenschema.Reason
}

// Config holds the dependencies and the policy of a Root.
type Config struct {
	Gate Gate
	// Table returns the routing table in force.
	Table    func() *pollenroute.Table
	Sender   Sender
	Register *pollenidempotency.Register
	Traces   *pollenevent.Traces
	Metrics  *Metrics
	Policy   Policy
}

// Root answers callers' requests by sending sub-queries to owners and merging their answers.
type Root struct {
	config           Config
	scores           *scores
	hedgeBudget      *hedgeBudget
	missingSnapshots *missingSnapshots
}

// New returns a Root without statistics of backend servers.
func New(config Config) *Root {
	return &Root{config: config, scores: newScores(), hedgeBudget: newHedgeBudget(config.Policy.HedgeShare), missingSnapshots: newMissingSnapshots()}
}

// Answer runs a caller's request at most once.
//
// The response always carries the request's ID and an outcome.
func (r *Root) Answer(ctx context.Context, request *pollenschema.QueryRequest) *pollenschema.QueryResponse {
	started := time.Now()
	response := r.answerOnce(ctx, request)
	response.Id = request.Id
	if response.Outcome != pollenschema.Outcome_OUTCOME_DONE && response.Coverage == nil {
		response.Coverage = &pollenschema.Coverage{}
	}
	r.config.Metrics.observe(request, response, time.Since(started))
	return response
}

// RequestID returns the ID of a request; missing fields are zero.
func RequestID(request *pollenschema.QueryRequest) pollenmessage.RequestID {
	return pollenmessage.RequestID{
		Incarnation: request.GetId().GetIncarnation(),
		Nonce:       request.GetId().GetNonce(),
		Expiry:      request.GetId().GetExpiry().AsTime(),
	}
}

// job holds the state of one admitted request.
type job struct {
	root    *Root
	request *pollenschema.QueryRequest
	id      pollenmessage.RequestID
	service *pollenroute.Service
	trace   *pollenevent.Trace
	// deadline is the caller's deadline less the time reserved for merging and answering.
	deadline time.Time
	started  time.Time
}

const (
	// The time reserved for merging and answering is timeout/mergeReserveDivisor, but at least minMergeReserve.
	minMergeReserve     = 3 * time.Millisecond
	mergeReserveDivisor = 50
	// maxTimeout bounds the caller's timeout.
	maxTimeout = 30 * time.Second
	// maxPayloadBytes bounds the caller's payload.
	maxPayloadBytes = 1 << 20
)

// answerOnce runs a request, or returns the stored response if the request was already answered.
func (r *Root) answerOnce(ctx context.Context, request *pollenschema.QueryRequest) *pollenschema.QueryResponse {
	id := RequestID(request)
	admission, err := r.config.Register.Begin(ctx, id, requestDigest(request))
	if err != nil {
		return refusalResponse(err)
	}
	if admission.Response != nil {
		return proto.CloneOf(admission.Response)
	}
	response := r.execute(ctx, request, id)
	admission.Permit.Finish(proto.CloneOf(response))
	return response
}

// execute validates an admitted request and runs it within its deadline.
func (r *Root) execute(ctx context.Context, request *pollenschema.QueryRequest, id pollenmessage.RequestID) *pollenschema.QueryResponse {
	j := &job{root: r, request: request, id: id, trace: r.config.Traces.Start(id.Nonce), started: time.Now()}
	if refusal := j.validate(); refusal != nil {
		j.trace.Add(pollenevent.StepRefuse, "", refusal.Reason, refusal.Detail)
		return refusal
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if request.Idempotent {
		return j.runQuery(ctx)
	}
	return j.runAction(ctx)
}

// validate sets the service and the deadline of the job, or returns the refusal of an invalid request.
func (j *job) validate() *pollenschema.QueryResponse {
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
	case timeout <= minMergeReserve:
		return notRun(pollenschema.Reason_REASON_DEADLINE, fmt.Sprintf("timeout %v leaves no time", timeout))
	case timeout > maxTimeout:
		return notRun(pollenschema.Reason_REASON_INVALID, fmt.Sprintf("timeout %v is more than %v", timeout, maxTimeout))
	case len(request.Payload) > maxPayloadBytes:
		return notRun(pollenschema.Reason_REASON_TOO_LARGE, fmt.Sprintf("payload of more than %d bytes", maxPayloadBytes))
	case request.Class == pollenschema.Class_CLASS_UNSPECIFIED:
		return notRun(pollenschema.Reason_REASON_INVALID, "field Class: missing value")
	case !request.Idempotent && request.Key == "":
		return notRun(pollenschema.Reason_REASON_INVALID, "field Key: an action needs one")
	}
	j.service = service
	j.deadline = j.started.Add(timeout - max(minMergeReserve, timeout/mergeReserveDivisor))
	return nil
}

// requestDigest returns a hash of the fields that must not differ between two requests with the same ID.
func requestDigest(request *pollenschema.QueryRequest) uint64 {
	d := xxhash.New()
	// A Digest never returns an error from Write.
	_, _ = fmt.Fprintf(d, "%q|%d|%t|%q|%q", request.Service, request.Class, request.Idempotent, request.Key, request.Payload)
	return d.Sum64()
}

// notRun returns the response to a request that did not run.
func notRun(reason pollenschema.Reason, detail string) *pollenschema.QueryResponse {
	return &pollenschema.QueryResponse{Outcome: pollenschema.Outcome_OUTCOME_NOT_RUN, Reason: reason, Detail: detail}
}

// refusalResponse returns the response for an error of the register; an unexpected error has an unknown outcome.
func refusalResponse(err error) *pollenschema.QueryResponse {
	var refusal *pollenidempotency.Refusal
	if errors.As(err, &refusal) {
		return &pollenschema.QueryResponse{Outcome: refusal.Outcome, Reason: refusal.Reason, Detail: refusal.Detail}
	}
	return &pollenschema.QueryResponse{Outcome: pollenschema.Outcome_OUTCOME_UNKNOWN, Detail: err.Error()}
}

// isValidAnswer reports whether an answer matches its sub-query and, if it is done, has the right snapshot and checksum.
func isValidAnswer(q *pollenmessage.SubQuery, answer *pollenmessage.SubAnswer) bool {
	if answer.ID != q.ID {
		return false
	}
	if answer.Outcome != pollenschema.Outcome_OUTCOME_DONE {
		return true
	}
	return answer.Snapshot == q.Snapshot && answer.Checksum == pollenmessage.Checksum(answer.Shards)
}

// finalize sets the snapshot, the checksum and the other derived fields of a response whose shards are final.
func (j *job) finalize(response *pollenschema.QueryResponse, snapshot *pollenroute.Snapshot) {
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
