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

// Mode states how much of a server's limit may be used.
type Mode int

// The modes of a gate.
const (
	// ModeStopped refuses new and queued work, since this instance does not own the server or the server accepts none.
	ModeStopped Mode = iota
	// ModeHeld keeps work queued until the mode changes.
	ModeHeld
	// ModeShared allows half of the limit, at least one request, for a warm server and nothing for any other, since
	// another instance may have claimed the server.
	ModeShared
	// ModeUnclaimed allows half of the limit, at least one request, whether or not the server is warm.
	ModeUnclaimed
	// ModeFull allows the full limit.
	ModeFull
)

// AllowsSends reports whether the mode allows any requests to be sent.
func (m Mode) AllowsSends() bool { return m >= ModeShared }

// Decision is the result of a gate for one server at one moment.
type Decision struct {
	Mode Mode
	// Reason states why the mode is ModeStopped.
	Reason pollenschema.Reason
}

// Gate decides whether a server may be sent work.
type Gate interface {
	// Decide returns the current decision for a server.
	Decide(serverID string) Decision
}

// Config holds the parameters and dependencies of a Limiter.
type Config struct {
	// ID is the backend server's ID.
	ID string
	// Slots is the number of requests that the warm server runs concurrently.
	Slots int
	Gate  Gate
	Log   *pollenevent.Log
}

// Work describes one request that waits for a permit.
type Work struct {
	Class    pollenschema.Class
	Deadline time.Time
	// Hedge is set for a hedge, which is refused rather than queued.
	Hedge bool
}

// Refusal is the error for work that was not sent to the server.
type Refusal struct {
	Reason pollenschema.Reason
	Detail string
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %v: %s", r.Reason, r.Detail)
}

// Limiter holds the queue and the concurrency limit of one backend server.
type Limiter struct {
	config  Config
	machine *pollenchart.Machine

	mu sync.Mutex
	// limit is the maximum number of requests in flight while the server ramps or is warm, from 1 to Config.Slots.
	limit    int
	inFlight int
	queue    queue
	ramp     ramp
	// bootID is the latest boot ID that the server sent, or empty.
	bootID string
	// lastAnswer is the time of the server's last complete answer.
	lastAnswer time.Time
	// consecutiveFailures is the number of connection failures since the last answer.
	consecutiveFailures int
	// nextProbe is when an open circuit breaker admits the next request.
	nextProbe time.Time
}

// NewLimiter returns the limiter of a server that is assumed to be cold.
func NewLimiter(config Config) *Limiter {
	return &Limiter{config: config, machine: pollenchart.NewMachine(serverChart), limit: 1}
}

// Acquire waits until the work may be sent to the server and returns a permit, which must be finished.
//
// It returns a *Refusal if the work may not be sent.
func (l *Limiter) Acquire(ctx context.Context, work Work) (*Permit, error) {
	l.mu.Lock()
	if refusal := l.checkAdmissionLocked(work); refusal != nil {
		l.mu.Unlock()
		return nil, refusal
	}
	w := &waiter{work: work, result: make(chan *Refusal, 1)}
	if evicted := l.queue.add(w, maxQueuePerSlot*l.config.Slots); evicted != nil {
		evicted.result <- &Refusal{Reason: pollenschema.Reason_REASON_OVERLOAD, Detail: "queue is full"}
	}
	l.processQueueLocked()
	l.mu.Unlock()

	select {
	case refusal := <-w.result:
		if refusal != nil {
			return nil, refusal
		}
		return &Permit{limiter: l, started: time.Now()}, nil
	case <-ctx.Done():
		return nil, l.cancelWaiter(w)
	}
}

// ProcessQueue asks the gate again and grants or refuses queued work.
func (l *Limiter) ProcessQueue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processQueueLocked()
}

// TakesHedges reports whether the server is warm enough for hedges.
func (l *Limiter) TakesHedges() bool {
	return l.machine.Has(traitTakesHedges)
}

// MedianLatency returns the warm server's median answer time, an average until the server is warm, or zero before the
// first answer.
func (l *Limiter) MedianLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ramp.baseline
}

// ProgressTimeout returns how long to wait for an answer before a connection counts as unresponsive.
func (l *Limiter) ProgressTimeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(progressTimeoutFactor*l.ramp.baseline, minProgressTimeout), maxProgressTimeout)
}

const (
	// maxQueuePerSlot bounds the queue in multiples of the server's slots.
	maxQueuePerSlot = 32
	// idleThreshold is the time without an answer after which only one request at a time is sent.
	idleThreshold = 300 * time.Millisecond
	// progressTimeoutFactor is in multiples of the server's median answer time.
	progressTimeoutFactor = 25
	minProgressTimeout    = 250 * time.Millisecond
	maxProgressTimeout    = 2 * time.Second
	// circuitBreakerThreshold consecutive connection failures open the circuit breaker, which then admits single probes.
	circuitBreakerThreshold = 2
	minProbeDelay           = 100 * time.Millisecond
	maxProbeDelay           = time.Second
)

// checkAdmissionLocked returns why work may be neither sent nor queued, or nil.
func (l *Limiter) checkAdmissionLocked(work Work) *Refusal {
	decision := l.config.Gate.Decide(l.config.ID)
	now := time.Now()
	switch {
	case decision.Mode == ModeStopped:
		return &Refusal{Reason: decision.Reason, Detail: "server takes no new work"}
	case decision.Mode == ModeShared && !l.machine.Has(traitTakesFullLimit):
		return &Refusal{Reason: pollenschema.Reason_REASON_COLD, Detail: "lease lapsed and server not warm"}
	case !work.Deadline.After(now):
		return &Refusal{Reason: pollenschema.Reason_REASON_DEADLINE, Detail: "deadline has passed"}
	case l.consecutiveFailures >= circuitBreakerThreshold && now.Before(l.nextProbe):
		return &Refusal{Reason: pollenschema.Reason_REASON_CONNECTION, Detail: "server does not take connections"}
	case work.Hedge && !l.machine.Has(traitTakesHedges):
		return &Refusal{Reason: pollenschema.Reason_REASON_COLD, Detail: "no hedges to a server that is not warm"}
	case work.Hedge && (l.inFlight >= l.allowedLocked(decision.Mode) || len(l.queue) > 0):
		return &Refusal{Reason: pollenschema.Reason_REASON_OVERLOAD, Detail: "no free slot for a hedge"}
	}
	if wait := l.expectedWaitLocked(work); now.Add(wait).After(work.Deadline) {
		return &Refusal{Reason: pollenschema.Reason_REASON_OVERLOAD, Detail: fmt.Sprintf("expected wait %v", wait)}
	}
	if l.consecutiveFailures >= circuitBreakerThreshold {
		// This work is the probe; other work is refused until the probe is answered or the next one is due.
		l.nextProbe = now.Add(l.probeDelayLocked())
	}
	return nil
}

// expectedWaitLocked estimates the queueing time of work from the requests ahead of it and the answer time.
func (l *Limiter) expectedWaitLocked(work Work) time.Duration {
	ahead := l.inFlight - l.limit + 1 + l.queue.countAhead(work)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * l.ramp.baseline / time.Duration(max(1, l.limit))
}

// allowedLocked returns how many requests may be in flight in a mode.
func (l *Limiter) allowedLocked(mode Mode) int {
	full := 1
	// After an idle period only one request is sent, since the server may have restarted unnoticed.
	recentlyAnswered := time.Since(l.lastAnswer) < idleThreshold
	if recentlyAnswered && (l.machine.Has(traitTakesFullLimit) || l.machine.Has(traitRamps)) {
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

// processQueueLocked grants queued work up to the allowed number, or refuses all of it if the gate requires that.
func (l *Limiter) processQueueLocked() {
	if len(l.queue) == 0 {
		return
	}
	decision := l.config.Gate.Decide(l.config.ID)
	if decision.Mode == ModeStopped {
		l.refuseAllLocked(&Refusal{Reason: decision.Reason, Detail: "server takes no new work"})
		return
	}
	allowed := l.allowedLocked(decision.Mode)
	if decision.Mode == ModeShared && allowed == 0 {
		l.refuseAllLocked(&Refusal{Reason: pollenschema.Reason_REASON_COLD, Detail: "lease lapsed and server not warm"})
		return
	}
	now := time.Now()
	for len(l.queue) > 0 && l.inFlight < allowed {
		w := l.queue[0]
		l.queue.pop()
		if !w.work.Deadline.After(now) {
			w.result <- &Refusal{Reason: pollenschema.Reason_REASON_DEADLINE, Detail: "deadline passed in the queue"}
			continue
		}
		l.inFlight++
		pollencheck.Assert(l.inFlight <= l.config.Slots, pollencheck.ColdStart,
			"%s has %d requests in %d slots", l.config.ID, l.inFlight, l.config.Slots)
		w.result <- nil
	}
}

// refuseAllLocked refuses all queued work.
func (l *Limiter) refuseAllLocked(refusal *Refusal) {
	for _, w := range l.queue {
		w.result <- refusal
	}
	l.queue = nil
}

// cancelWaiter removes a waiter from the queue and returns a permit that was granted concurrently.
func (l *Limiter) cancelWaiter(w *waiter) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.queue.remove(w) && <-w.result == nil {
		l.inFlight--
		l.processQueueLocked()
	}
	return &Refusal{Reason: pollenschema.Reason_REASON_CANCELLED, Detail: "cancelled in the queue"}
}

// probeDelayLocked returns the delay until the next probe; it doubles with each failure up to maxProbeDelay.
func (l *Limiter) probeDelayLocked() time.Duration {
	delay := minProbeDelay
	for range min(l.consecutiveFailures-circuitBreakerThreshold, 4) {
		delay *= 2
	}
	return min(delay, maxProbeDelay)
}
