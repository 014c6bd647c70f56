package pollenevent

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenschema"
)

// Kind classifies a control decision.
type Kind string

// The kinds of control decisions.
const (
	KindInstanceState  Kind = "InstanceState"
	KindInstanceJoined Kind = "InstanceJoined"
	KindInstanceLeft   Kind = "InstanceLeft"
	KindLease          Kind = "Lease"
	KindGroup          Kind = "Group"
	KindServerState    Kind = "ServerState"
	KindServerLimit    Kind = "ServerLimit"
	KindConfiguration  Kind = "Configuration"
	KindStore          Kind = "Store"
	KindConnection     Kind = "Connection"
	KindPeer           Kind = "Peer"
)

// Event is a control decision with its cause.
type Event struct {
	Time time.Time
	Kind Kind
	// Subject names what the decision is about, such as an instance or a group.
	Subject string
	Cause   string
}

// Log is a ring buffer of the most recent events; it is safe for concurrent use.
type Log struct {
	mu     sync.Mutex
	events []Event
	// next is the index of the next event; the oldest event is there if full is set.
	next int
	full bool
}

// NewLog returns a Log that keeps the given number of events.
func NewLog(capacity int) *Log {
	return &Log{events: make([]Event, capacity)}
}

// Add records an event and writes it to the process's log.
func (l *Log) Add(kind Kind, subject, cause string) {
	klog.InfoS("Event", "kind", string(kind), "subject", subject, "cause", cause)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events[l.next] = Event{Time: time.Now(), Kind: kind, Subject: subject, Cause: cause}
	l.next = (l.next + 1) % len(l.events)
	l.full = l.full || l.next == 0
}

// Newest returns the most recent events, at most limit of them, oldest first.
func (l *Log) Newest(limit int) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ordered []Event
	if l.full {
		ordered = append(ordered, l.events[l.next:]...)
	}
	ordered = append(ordered, l.events[:l.next]...)
	if len(ordered) > limit {
		ordered = ordered[len(ordered)-limit:]
	}
	return ordered
}

// Step is a decision about a request; Server, Detail and Reason are set where they apply.
type Step struct {
	Time   time.Time
	Kind   StepKind
	Server string
	Detail string
	Reason pollenschema.Reason
}

// StepKind classifies a decision about a request.
type StepKind string

// The kinds of decisions about a request.
const (
	// StepPin is the choice of the snapshot that a query runs on.
	StepPin StepKind = "Pin"
	// StepSend is a sub-query or action that is sent to a backend server.
	StepSend StepKind = "Send"
	// StepAnswer is the answer to a sub-query or action.
	StepAnswer StepKind = "Answer"
	// StepHedge is a sub-query that is sent while an earlier one for the same shards is in flight.
	StepHedge StepKind = "Hedge"
	// StepRestart is the restart of a query on another snapshot.
	StepRestart StepKind = "Restart"
	// StepSeal is the final response to a request, with its coverage.
	StepSeal StepKind = "Seal"
	// StepRefuse is the refusal of a request before it runs.
	StepRefuse StepKind = "Refuse"

	// No package records these kinds.
	StepRetry   StepKind = "Retry"
	StepLate    StepKind = "Late"
	StepForward StepKind = "Forward"
)

// Trace collects the steps of one request; it is safe for concurrent use.
type Trace struct {
	mu    sync.Mutex
	steps []Step
}

// Add records a step; steps beyond maxTraceSteps are dropped.
func (t *Trace) Add(kind StepKind, server string, reason pollenschema.Reason, detail string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.steps) < maxTraceSteps {
		t.steps = append(t.steps, Step{Time: time.Now(), Kind: kind, Server: server, Reason: reason, Detail: detail})
	}
}

// Steps returns a copy of the steps recorded so far.
func (t *Trace) Steps() []Step {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Step(nil), t.steps...)
}

// Traces keeps the most recent traces, keyed by the nonce of the request; it is safe for concurrent use.
type Traces struct {
	mu sync.Mutex
	// order is a ring buffer of nonces; the oldest is at index next.
	order   []string
	next    int
	byNonce map[string]*Trace
}

// NewTraces returns a Traces that keeps the given number of traces.
func NewTraces(capacity int) *Traces {
	return &Traces{order: make([]string, capacity), byNonce: make(map[string]*Trace)}
}

// Start adds an empty trace for a request and drops the oldest.
func (t *Traces) Start(nonce string) *Trace {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byNonce, t.order[t.next])
	t.order[t.next] = nonce
	t.next = (t.next + 1) % len(t.order)
	trace := &Trace{}
	t.byNonce[nonce] = trace
	return trace
}

// Find returns the trace of a request if it has not been dropped.
func (t *Traces) Find(nonce string) (*Trace, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	trace, ok := t.byNonce[nonce]
	return trace, ok
}

// maxTraceSteps limits the memory of one trace.
const maxTraceSteps = 200
