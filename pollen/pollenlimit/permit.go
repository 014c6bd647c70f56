package pollenlimit

import (
	"fmt"
	"time"

	"pollenline.example/pollen/pollenchart"
	"pollenline.example/pollen/pollenevent"
)

// Signal states what one request shows about the health of the server.
type Signal int

// The signals that a request can end with.
const (
	// SignalAnswered is a complete answer after Observation.Latency.
	SignalAnswered Signal = iota + 1
	// SignalShed is a refusal by the server because of overload.
	SignalShed
	// SignalConnectionLost is a connection that was refused or broken.
	SignalConnectionLost
	// SignalNoProgress is a request without an answer within the progress timeout.
	SignalNoProgress
	// SignalFreshConnection is an answer on a new connection after another connection made no progress.
	SignalFreshConnection
	// SignalNone is a request that shows nothing about the server, or one that was cancelled after Observation.Latency.
	SignalNone
)

// Observation holds the result of one request as far as the limiter uses it.
type Observation struct {
	Signal Signal
	// Latency is the time from the send to the answer, or from the permit to the cancellation, or zero if neither is of
	// use to the limiter.
	Latency time.Duration
	// BootID identifies the server's process; it is empty if the server sent none.
	BootID string
}

// Permit is the right to send one request to the server.
type Permit struct {
	limiter  *Limiter
	started  time.Time
	finished bool
}

// Started returns when the permit was granted.
func (p *Permit) Started() time.Time { return p.started }

// Finish records the observation and releases the permit; later calls do nothing.
func (p *Permit) Finish(observation Observation) {
	if p.finished {
		return
	}
	p.finished = true
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.observeLocked(observation)
	l.processQueueLocked()
}

// Observe records an observation without releasing the permit.
func (p *Permit) Observe(observation Observation) {
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.limiter.observeLocked(observation)
}

// observeLocked updates the state of the server and its limit.
func (l *Limiter) observeLocked(o Observation) {
	if o.BootID != "" && o.BootID != l.bootID {
		if l.bootID != "" {
			l.fireLocked(eventBootChanged, fmt.Sprintf("boot id changed from %s to %s", l.bootID, o.BootID))
		}
		l.bootID = o.BootID
	}
	switch o.Signal {
	case SignalAnswered:
		l.recordAnswerLocked(o.Latency)
	case SignalNone:
		l.recordCancelledLocked(o.Latency)
	case SignalShed:
		l.fireLocked(eventShed, "server shed a request")
	case SignalConnectionLost:
		l.consecutiveFailures++
		l.nextProbe = time.Now().Add(l.probeDelayLocked())
		l.fireLocked(eventConnectionLost, "connection lost")
	case SignalNoProgress:
		l.fireLocked(eventSilent, "no progress on a connection")
	case SignalFreshConnection:
		l.fireLocked(eventFreshConnectionWorks, "fresh connection works")
		l.recordAnswerLocked(o.Latency)
	}
}

// recordAnswerLocked adds an answer time and increases the limit while answer times are steady.
func (l *Limiter) recordAnswerLocked(latency time.Duration) {
	l.consecutiveFailures = 0
	l.lastAnswer = time.Now()
	l.fireLocked(eventAnswered, "first answer")
	l.ramp.add(latency)
	if l.ramp.hasSlowBurst() {
		l.fireLocked(eventSlowBurst, fmt.Sprintf("answers far above %v", l.ramp.baseline))
		return
	}
	if !l.machine.Has(traitRamps) || !l.ramp.canIncrease(time.Now()) {
		return
	}
	l.fireLocked(eventSteady, "answers are steady")
	if l.limit < l.config.Slots {
		l.limit++
		l.config.Log.Add(pollenevent.KindServerLimit, l.config.ID, fmt.Sprintf("answers are steady: limit %d of %d", l.limit, l.config.Slots))
	}
	if l.limit >= l.config.Slots {
		l.fireLocked(eventFull, "limit has reached the slots")
	}
}

// recordCancelledLocked records a cancelled request if it was already far slower than the baseline.
func (l *Limiter) recordCancelledLocked(age time.Duration) {
	if age <= slowFactor*l.ramp.baseline {
		return
	}
	l.ramp.addRecent(age)
	if l.ramp.hasSlowBurst() {
		l.fireLocked(eventSlowBurst, fmt.Sprintf("requests given up far above %v", l.ramp.baseline))
	}
}

// fireLocked fires an event of the server's state chart and resets the limit to one if the server has become cold.
func (l *Limiter) fireLocked(event pollenchart.Event, cause string) {
	from, to, changed := l.machine.Fire(event)
	if !changed {
		return
	}
	l.config.Log.Add(pollenevent.KindServerState, l.config.ID, fmt.Sprintf("%s to %s: %s", from, to, cause))
	if to == serverChart.Initial {
		l.limit = 1
		l.ramp.reset()
	}
}
