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

// Event is one control decision with its cause.
type Event struct {
	Time    time.Time
	Kind    Kind
	Subject string
	Cause   string
}

// Log is a bounded ring of events.
type Log struct {
	mu     sync.Mutex
	events []Event
	next   int
	full   bool
}

// NewLog returns a ring for the given number of events.
func NewLog(capacity int) *Log {
	return &Log{events: make([]Event, capacity)}
}

// Add records an event and writes it as a log line.
func (l *Log) Add(kind Kind, subject, cause string) {
	klog.InfoS("Event", "kind", string(kind), "subject", subject, "cause", cause)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events[l.next] = Event{Time: time.Now(), Kind: kind, Subject: subject, Cause: cause}
	l.next = (l.next + 1) % len(l.events)
	l.full = l.full || l.next == 0
}

// Newest returns at most the given number of events, oldest first.
func (l *Log) Newest(most int) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ordered []Event
	if l.full {
		ordered = append(ordered, l.events[l.next:]...)
	}
	ordered = append(ordered, l.events[:l.next]...)
	if len(ordered) > most {
		ordered = ordered[len(ordered)-most:]
	}
	return ordered
}

// Step is one decision about one request.
type Step struct {
	Time   time.Time
	Kind   StepKind
	Server string
	Detail string
	Reason pollenschema.Reason
}

// StepKind classifies a step.
type StepKind string

// The kinds of steps of a request.
const (
	StepPin     StepKind = "Pin"
	StepSend    StepKind = "Send"
	StepAnswer  StepKind = "Answer"
	StepHedge   StepKind = "Hedge"
	StepRetry   StepKind = "Retry"
	StepLate    StepKind = "Late"
	StepRestart StepKind = "Restart"
	StepSeal    StepKind = "Seal"
	StepRefuse  StepKind = "Refuse"
	StepForward StepKind = "Forward"
)

// Trace collects the steps of one request.
type Trace struct {
	mu    sync.Mutex
	steps []Step
}

// Add records a step; steps beyond the limit are dropped.
func (t *Trace) Add(kind StepKind, server string, reason pollenschema.Reason, detail string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.steps) < maxSteps {
		t.steps = append(t.steps, Step{Time: time.Now(), Kind: kind, Server: server, Reason: reason, Detail: detail})
	}
}

// Steps returns the steps so far.
func (t *Trace) Steps() []Step {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Step(nil), t.steps...)
}

// Traces is a bounded ring of traces, found by the nonce of the request.
type Traces struct {
	mu      sync.Mutex
	order   []string
	next    int
	byNonce map[string]*Trace
}

// NewTraces returns a ring for the given number of traces.
func NewTraces(capacity int) *Traces {
	return &Traces{order: make([]string, capacity), byNonce: make(map[string]*Trace)}
}

// Start returns a new trace for a request, and forgets the oldest.
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

// Find returns the trace of a request, if it is still kept.
func (t *Traces) Find(nonce string) (*Trace, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	trace, ok := t.byNonce[nonce]
	return trace, ok
}

// maxSteps bounds the memory of one trace.
const maxSteps = 200
