package pollenfakeserver

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pollenline.example/pollen/pollenbackend"
	"pollenline.example/pollen/pollenmessage"
)

// Config holds the capacity and the service times of a Server.
type Config struct {
	Name string
	// Slots is the number of requests that the warm server runs at the same time.
	Slots int
	// ServiceTime is the warm server's fixed time for one request.
	ServiceTime time.Duration
	// ShardTime is the warm server's additional time for each shard of a request.
	ShardTime time.Duration
	// ColdTime is how long the server takes to warm up.
	ColdTime time.Duration
	// ColdFactor is how many times slower the server is right after its start.
	ColdFactor float64
	// Warm starts the server warm.
	Warm bool
	Seed uint64
}

// Faults are the faults that can be injected into a server.
type Faults struct {
	// Down breaks the connection of every request before it runs.
	Down bool
	// Garble answers with the id of another request.
	Garble bool
	// Truncate omits the last shard from answers.
	Truncate bool
	// LoseAnswers runs requests and then breaks the connection instead of answering.
	LoseAnswers bool
	// StragglerShare is the share of requests that take StragglerFactor times as long.
	StragglerShare  float64
	StragglerFactor float64
	// Missing lists the snapshots that the server does not hold.
	Missing []string
	// LostShards lists the shards whose data the server has lost.
	LostShards []string
}

// Ledger records what a server has done since it was created, across its restarts.
type Ledger struct {
	// Requests counts the requests that arrived, except those while Faults.Down was set.
	Requests int
	// Runs counts the runs of each action, by "incarnation/nonce" of its request.
	Runs map[string]int
	// Peak is the maximum number of requests that ran at the same time.
	Peak int
	// Overloads counts the restarts caused by more requests than the cold server's capacity, if the sender could have
	// detected the cold start or must have expected it after an idle period.
	Overloads int
	// OverloadedAt is the time of the last of the Overloads.
	OverloadedAt time.Time
	// Unsignalled counts the other restarts by overload, whose cold start the sender could not have detected yet.
	Unsignalled int
	// Sheds counts the requests refused because all slots were in use.
	Sheds int
	// LastWork is when the last request arrived.
	LastWork time.Time
	// Boots counts the starts of the server, including the first.
	Boots int
	// FullSince is when all slots were first in use after the last start.
	FullSince time.Time
	// BootedAt is the time of the last start.
	BootedAt time.Time
}

// Server is an in-memory backend server.
type Server struct {
	config    Config
	mu        sync.Mutex
	random    *rand.Rand
	faults    Faults
	ledger    Ledger
	running   int
	bootID    string
	warmAt    time.Time
	restarted chan struct{}
	// detectableAt is when a sender could first detect the last start: by a broken request or an answer with the new boot id.
	detectableAt time.Time
	// lastWorkBeforeBoot is when the server last had work before the last start.
	lastWorkBeforeBoot time.Time
}

const (
	// DetectionDelay is how long the signal of a cold start may take to reach the sender.
	DetectionDelay = 10 * time.Millisecond
	// IdleThreshold is the idle period after which a sender must expect a cold start without a signal.
	IdleThreshold = 500 * time.Millisecond
)

// ErrConnectionBroken is returned where a real server would break the connection.
var ErrConnectionBroken = errors.New("connection broken")

// New returns a server that has started once, with an empty ledger.
func New(config Config) *Server {
	s := &Server{config: config, random: rand.New(rand.NewPCG(config.Seed, 1))}
	s.ledger.Runs = make(map[string]int)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootLocked()
	if config.Warm {
		s.warmAt = time.Now()
	}
	return s
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Restart breaks the running requests and starts the server cold.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootLocked()
}

// Ledger returns a copy of the server's ledger.
func (s *Server) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	ledger := s.ledger
	ledger.Runs = make(map[string]int, len(s.ledger.Runs))
	for action, runs := range s.ledger.Runs {
		ledger.Runs[action] = runs
	}
	return ledger
}

// Answer runs or refuses one request, and returns ErrConnectionBroken where the connection would break.
func (s *Server) Answer(ctx context.Context, request *pollenbackend.Request) (*pollenbackend.Answer, error) {
	refusal, e, err := s.admit(request)
	if refusal != nil || err != nil {
		return refusal, err
	}
	defer s.release(e)
	timer := time.NewTimer(e.duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.restarted:
		return nil, ErrConnectionBroken
	case <-ctx.Done():
		// The sender of a cancelled request learns no boot id.
		return nil, ctx.Err()
	}
	s.recordBootDetectable(e)
	if e.faults.LoseAnswers {
		return nil, ErrConnectionBroken
	}
	return s.buildAnswer(request, e), nil
}

// recordBootDetectable records that the sender can now detect the last start from the boot id of an answer.
func (s *Server) recordBootDetectable(e *execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.bootID == s.bootID && s.detectableAt.IsZero() {
		s.detectableAt = time.Now()
	}
}

// ExpectedRow returns the row that every server returns for a shard.
func ExpectedRow(service, snapshot, shard string, payload []byte) []byte {
	return fmt.Appendf(nil, "%s|%s|%s|%s", service, snapshot, shard, payload)
}

// execution holds the state of a running request, with the faults and the boot id at its admission; restarted is closed
// when the server restarts.
type execution struct {
	duration  time.Duration
	faults    Faults
	bootID    string
	restarted chan struct{}
}

// bootLocked breaks the running requests and starts the server cold, with a new boot id.
func (s *Server) bootLocked() {
	if s.restarted != nil {
		close(s.restarted)
	}
	s.detectableAt, s.lastWorkBeforeBoot = time.Time{}, s.ledger.LastWork
	if s.running > 0 {
		s.detectableAt, s.lastWorkBeforeBoot = time.Now(), time.Now()
	}
	s.restarted = make(chan struct{})
	s.ledger.Boots++
	s.ledger.BootedAt = time.Now()
	s.ledger.FullSince = time.Time{}
	s.bootID = fmt.Sprintf("%s-%d", s.config.Name, s.ledger.Boots)
	s.warmAt = time.Now().Add(s.config.ColdTime)
	s.running = 0
}

// coldFractionLocked returns the remaining share of the warm-up: 1 right after the start and 0 when warm.
func (s *Server) coldFractionLocked() float64 {
	left := time.Until(s.warmAt)
	if left <= 0 {
		return 0
	}
	return float64(left) / float64(s.config.ColdTime)
}

// capacityLocked returns how many requests the server can run at its current stage of the warm-up; at least one.
func (s *Server) capacityLocked() int {
	return max(1, int(math.Round(float64(s.config.Slots)*(1-s.coldFractionLocked()))))
}

// admit starts the execution of a request, or returns a refusal; more requests than a cold server's capacity restart it.
func (s *Server) admit(request *pollenbackend.Request) (*pollenbackend.Answer, *execution, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	refuse := func(refusal pollenbackend.Refusal) (*pollenbackend.Answer, *execution, error) {
		return &pollenbackend.Answer{ID: request.ID, BootID: s.bootID, NotRun: true, Refusal: refusal}, nil, nil
	}
	if s.faults.Down {
		return nil, nil, ErrConnectionBroken
	}
	s.ledger.Requests++
	s.ledger.LastWork = time.Now()
	switch {
	case request.TimeoutMicroseconds <= 0:
		return refuse(pollenbackend.RefusalDeadline)
	case slices.Contains(s.faults.Missing, request.Snapshot):
		return refuse(pollenbackend.RefusalSnapshot)
	case s.running >= s.capacityLocked() && s.coldFractionLocked() > 0:
		s.recordOverloadLocked()
		s.bootLocked()
		return nil, nil, ErrConnectionBroken
	case s.running >= s.config.Slots:
		s.ledger.Sheds++
		return refuse(pollenbackend.RefusalShed)
	}
	s.running++
	s.ledger.Peak = max(s.ledger.Peak, s.running)
	if s.running == s.config.Slots && s.ledger.FullSince.IsZero() {
		s.ledger.FullSince = time.Now()
	}
	if request.Action != "" {
		s.ledger.Runs[request.Action]++
	}
	return nil, &execution{duration: s.durationLocked(request), faults: s.faults, bootID: s.bootID, restarted: s.restarted}, nil
}

// recordOverloadLocked counts an overload, as Unsignalled if the sender could neither detect nor expect the cold start.
func (s *Server) recordOverloadLocked() {
	now := time.Now()
	signalled := !s.detectableAt.IsZero() && now.Sub(s.detectableAt) > DetectionDelay
	idle := s.ledger.BootedAt.Sub(s.lastWorkBeforeBoot) > IdleThreshold
	if signalled || idle {
		s.ledger.Overloads++
		s.ledger.OverloadedAt = now
		return
	}
	s.ledger.Unsignalled++
}

// durationLocked returns a random service time for a request, within 10% of its mean unless the request is a straggler.
func (s *Server) durationLocked(request *pollenbackend.Request) time.Duration {
	base := s.config.ServiceTime + time.Duration(len(request.Shards))*s.config.ShardTime
	factor := 1 + max(0, s.config.ColdFactor-1)*s.coldFractionLocked()
	factor *= 0.9 + 0.2*s.random.Float64()
	if s.random.Float64() < s.faults.StragglerShare {
		factor *= s.faults.StragglerFactor
	}
	return time.Duration(float64(base) * factor)
}

// release frees the slot of an execution, unless a restart has already freed it.
func (s *Server) release(e *execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.bootID == s.bootID {
		s.running--
	}
}

func (s *Server) buildAnswer(request *pollenbackend.Request, e *execution) *pollenbackend.Answer {
	a := &pollenbackend.Answer{ID: request.ID, BootID: e.bootID, Snapshot: request.Snapshot}
	for _, shard := range request.Shards {
		answer := pollenmessage.ShardAnswer{Shard: shard, State: pollenmessage.ShardAnswered}
		if slices.Contains(e.faults.LostShards, shard) {
			answer.State = pollenmessage.ShardLost
		} else {
			answer.Rows = [][]byte{ExpectedRow(request.Service, request.Snapshot, shard, request.Payload)}
		}
		a.Shards = append(a.Shards, answer)
	}
	if e.faults.Truncate && len(a.Shards) > 0 {
		a.Shards = a.Shards[:len(a.Shards)-1]
	}
	a.Checksum = pollenmessage.Checksum(a.Shards)
	if e.faults.Garble {
		a.ID = "crossed-" + a.ID
	}
	return a
}
