package pollenlimit

import (
	"fmt"
	"time"

	"pollenline.example/pollen/pollenchart"
	"pollenline.example/pollen/pollenevent"
)

// Sign is what one request showed of the server.
type Sign int

// The signs that a request can end with.
const (
	// SignAnswered is a whole answer in Observation.Latency.
	SignAnswered Sign = iota + 1
	// SignShed is a refusal by the server.
	SignShed
	// SignConnectionLost is a connection that was refused or broke.
	SignConnectionLost
	// SignSilent is a request without progress.
	SignSilent
	// SignFresh is an answer on a fresh connection after another went silent.
	SignFresh
	// SignNothing is a request that ended without an answer for a reason of its sender, after Observation.Latency.
	SignNothing
)

// Observation is the end of one request.
type Observation struct {
	Sign    Sign
	Latency time.Duration
	// BootID is the server's, if it gave one.
	BootID string
}

// Permit is the right to send one request to the server.
type Permit struct {
	line     *Line
	started  time.Time
	finished bool
}

// Started returns when the permit was granted.
func (p *Permit) Started() time.Time { return p.started }

// Finish hands the permit back with what the request showed; later calls do nothing.
func (p *Permit) Finish(observation Observation) {
	if p.finished {
		return
	}
	p.finished = true
	l := p.line
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.observeLocked(observation)
	l.pumpLocked()
}

// Note records what a part of the request showed, without handing the permit back.
func (p *Permit) Note(observation Observation) {
	p.line.mu.Lock()
	defer p.line.mu.Unlock()
	p.line.observeLocked(observation)
}

func (l *Line) observeLocked(o Observation) {
	if o.BootID != "" && o.BootID != l.bootID {
		if l.bootID != "" {
			l.fireLocked(eventBootChanged, fmt.Sprintf("boot id changed from %s to %s", l.bootID, o.BootID))
		}
		l.bootID = o.BootID
	}
	switch o.Sign {
	case SignAnswered:
		l.answeredLocked(o.Latency)
	case SignNothing:
		l.abandonedLocked(o.Latency)
	case SignShed:
		l.fireLocked(eventShed, "server shed a request")
	case SignConnectionLost:
		l.failures++
		l.retryAt = time.Now().Add(l.retryDelayLocked())
		l.fireLocked(eventConnectionLost, "connection lost")
	case SignSilent:
		l.fireLocked(eventSilent, "no progress on a connection")
	case SignFresh:
		l.fireLocked(eventFreshConnectionWorks, "fresh connection works")
		l.answeredLocked(o.Latency)
	}
}

func (l *Line) answeredLocked(latency time.Duration) {
	l.failures = 0
	l.lastAnswer = time.Now()
	l.fireLocked(eventAnswered, "first answer")
	l.ramp.add(latency)
	if l.ramp.slowBurst() {
		l.fireLocked(eventSlowBurst, fmt.Sprintf("answers far above %v", l.ramp.baseline))
		return
	}
	if !l.machine.Has(traitRamps) || !l.ramp.settled(time.Now()) {
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

// abandonedLocked counts a request that was cancelled because it was much slower than usual.
func (l *Line) abandonedLocked(age time.Duration) {
	if age <= burstFactor*l.ramp.baseline {
		return
	}
	l.ramp.note(age)
	if l.ramp.slowBurst() {
		l.fireLocked(eventSlowBurst, fmt.Sprintf("requests given up far above %v", l.ramp.baseline))
	}
}

// fireLocked fires an event of the server's chart; a state that neither ramps nor is warm starts from one.
func (l *Line) fireLocked(event pollenchart.Event, cause string) {
	from, to, changed := l.machine.Fire(event)
	if !changed {
		return
	}
	l.config.Log.Add(pollenevent.KindServerState, l.config.ID, fmt.Sprintf("%s to %s: %s", from, to, cause))
	if to == serverChart.Initial {
		l.limit = 1
		l.ramp.restart()
	}
}
