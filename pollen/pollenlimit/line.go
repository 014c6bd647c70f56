package pollenlimit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"pollenline.example/pollen/pollenchart"
	"pollenline.example/pollen/pollencheck"
	"pollenline.example/pollen/pollenevent"
	"pollenline.example/pollen/pollenschema"
)

// Mode is how much of a server's limit the gate leaves.
type Mode int

// The modes of a gate.
const (
	// ModeStopped refuses new and queued work.
	ModeStopped Mode = iota
	// ModeHeld keeps work queued until the gate decides.
	ModeHeld
	// ModeShared allows half of the limit of a warm server and nothing for others.
	ModeShared
	// ModeUnclaimed allows half of the limit of a warm server and one request to others.
	ModeUnclaimed
	// ModeFull allows the whole limit.
	ModeFull
)

// Sends reports whether the mode lets requests through at all.
func (m Mode) Sends() bool { return m >= ModeShared }

// Verdict is what a gate says of a server at one moment.
type Verdict struct {
	Mode Mode
	// Reason is why the mode is ModeStopped.
	Reason pollenschema.Reason
}

// Gate decides whether a server may be sent work now.
type Gate interface {
	Verdict(serverID string) Verdict
}

// Config configures a Line.
type Config struct {
	// ID is the backend server's name.
	ID string
	// Slots is the number of requests that the warm server runs at once.
	Slots int
	Gate  Gate
	Log   *pollenevent.Log
}

// Work describes one request for the queue.
type Work struct {
	Class    pollenschema.Class
	Deadline time.Time
	// Hedge work is refused rather than queued.
	Hedge bool
}

// Refusal reports work that was not given to the server.
type Refusal struct {
	Reason pollenschema.Reason
	Detail string
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %v: %s", r.Reason, r.Detail)
}

// Line is the queue and the limit of one backend server.
type Line struct {
	config  Config
	machine *pollenchart.Machine

	mu       sync.Mutex
	limit    int
	inFlight int
	queue    queue
	ramp     ramp
	bootID   string
	// lastAnswer is when the server last gave a whole answer.
	lastAnswer time.Time
	failures   int
	retryAt    time.Time
}

// NewLine returns the line of a server that is taken to be cold.
func NewLine(config Config) *Line {
	return &Line{config: config, machine: pollenchart.NewMachine(serverChart), limit: 1}
}

// Acquire waits until the server may be sent the work.
//
// It returns a *Refusal when it may not; nothing was sent then. The permit must be finished.
func (l *Line) Acquire(ctx context.Context, work Work) (*Permit, error) {
	l.mu.Lock()
	if refusal := l.refuseLocked(work); refusal != nil {
		l.mu.Unlock()
		return nil, refusal
	}
	w := &waiter{work: work, ready: make(chan *Refusal, 1)}
	if evicted := l.queue.add(w, maximumQueuePerSlot*l.config.Slots); evicted != nil {
		evicted.ready <- &Refusal{Reason: pollenschema.Reason_REASON_OVERLOAD, Detail: "queue is full"}
	}
	l.pumpLocked()
	l.mu.Unlock()

	select {
	case refusal := <-w.ready:
		if refusal != nil {
			return nil, refusal
		}
		return &Permit{line: l, started: time.Now()}, nil
	case <-ctx.Done():
		return nil, l.abandon(w)
	}
}

// Pump looks at the gate again and grants or refuses queued work.
func (l *Line) Pump() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pumpLocked()
}

// TakesHedges reports whether the server takes hedges.
func (l *Line) TakesHedges() bool {
	return l.machine.Has(traitTakesHedges)
}

// Typical returns the server's median answer time when warm, or zero if it is not known yet.
func (l *Line) Typical() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ramp.baseline
}

// ProgressTimeout returns how long a request may stay without an answer before its connection is doubted.
func (l *Line) ProgressTimeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(progressFactor*l.ramp.baseline, minimumProgress), maximumProgress)
}

const (
	// maximumQueuePerSlot bounds the queue of a line.
	maximumQueuePerSlot = 32
	// idleTime without an answer makes the next request a trial of the server.
	idleTime = 300 * time.Millisecond
	// progressFactor is in multiples of the server's median answer time.
	progressFactor  = 25
	minimumProgress = 250 * time.Millisecond
	maximumProgress = 2 * time.Second
	// Connection failures in a row make a line refuse work between trials.
	failuresBeforeBreak = 2
	minimumRetryDelay   = 100 * time.Millisecond
	maximumRetryDelay   = time.Second
)

func (l *Line) refuseLocked(work Work) *Refusal {
	verdict := l.config.Gate.Verdict(l.config.ID)
	now := time.Now()
	switch {
	case verdict.Mode == ModeStopped:
		return &Refusal{Reason: verdict.Reason, Detail: "server takes no new work"}
	case verdict.Mode == ModeShared && !l.machine.Has(traitTakesFullLimit):
		return &Refusal{Reason: pollenschema.Reason_REASON_COLD, Detail: "lease lapsed and server not warm"}
	case !work.Deadline.After(now):
		return &Refusal{Reason: pollenschema.Reason_REASON_DEADLINE, Detail: "deadline has passed"}
	case l.failures >= failuresBeforeBreak && now.Before(l.retryAt):
		return &Refusal{Reason: pollenschema.Reason_REASON_CONNECTION, Detail: "server does not take connections"}
	case work.Hedge && !l.machine.Has(traitTakesHedges):
		return &Refusal{Reason: pollenschema.Reason_REASON_COLD, Detail: "no hedges to a server that is not warm"}
	case work.Hedge && (l.inFlight >= l.allowedLocked(verdict.Mode) || len(l.queue) > 0):
		return &Refusal{Reason: pollenschema.Reason_REASON_OVERLOAD, Detail: "no free slot for a hedge"}
	}
	if wait := l.expectedWaitLocked(work); now.Add(wait).After(work.Deadline) {
		return &Refusal{Reason: pollenschema.Reason_REASON_OVERLOAD, Detail: fmt.Sprintf("expected wait %v", wait)}
	}
	if l.failures >= failuresBeforeBreak {
		// This work is the trial; others are refused until it is answered.
		l.retryAt = now.Add(l.retryDelayLocked())
	}
	return nil
}

func (l *Line) expectedWaitLocked(work Work) time.Duration {
	ahead := l.inFlight - l.limit + 1 + l.queue.ahead(work)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * l.ramp.baseline / time.Duration(max(1, l.limit))
}

// allowedLocked returns how many requests may be in flight.
func (l *Line) allowedLocked(mode Mode) int {
	full := 1
	// After some idleness the first request goes alone: the server may have started anew without a sign.
	heard := time.Since(l.lastAnswer) < idleTime
	if heard && (l.machine.Has(traitTakesFullLimit) || l.machine.Has(traitRamps)) {
		full = l.limit
	}
	switch {
	case mode == ModeFull:
		return full
	case mode == ModeUnclaimed, mode == ModeShared && l.machine.Has(traitTakesFullLimit):
		return max(1, full/2)
	}
	return 0
}

func (l *Line) pumpLocked() {
	if len(l.queue) == 0 {
		return
	}
	verdict := l.config.Gate.Verdict(l.config.ID)
	if verdict.Mode == ModeStopped {
		l.refuseAllLocked(&Refusal{Reason: verdict.Reason, Detail: "server takes no new work"})
		return
	}
	allowed := l.allowedLocked(verdict.Mode)
	if verdict.Mode == ModeShared && allowed == 0 {
		l.refuseAllLocked(&Refusal{Reason: pollenschema.Reason_REASON_COLD, Detail: "lease lapsed and server not warm"})
		return
	}
	now := time.Now()
	for len(l.queue) > 0 && l.inFlight < allowed {
		w := l.queue[0]
		l.queue.pop()
		if !w.work.Deadline.After(now) {
			w.ready <- &Refusal{Reason: pollenschema.Reason_REASON_DEADLINE, Detail: "deadline passed in the queue"}
			continue
		}
		l.inFlight++
		pollencheck.Assert(l.inFlight <= l.config.Slots, pollencheck.ColdStart,
			"%s has %d requests in %d slots", l.config.ID, l.inFlight, l.config.Slots)
		w.ready <- nil
	}
}

func (l *Line) refuseAllLocked(refusal *Refusal) {
	for _, w := range l.queue {
		w.ready <- refusal
	}
	l.queue = nil
}

// abandon takes a waiter out of the queue; a grant that crossed it is handed back.
func (l *Line) abandon(w *waiter) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.queue.remove(w) && <-w.ready == nil {
		l.inFlight--
		l.pumpLocked()
	}
	return &Refusal{Reason: pollenschema.Reason_REASON_CANCELLED, Detail: "cancelled in the queue"}
}

func (l *Line) retryDelayLocked() time.Duration {
	delay := minimumRetryDelay
	for range min(l.failures-failuresBeforeBreak, 4) {
		delay *= 2
	}
	return min(delay, maximumRetryDelay)
}
