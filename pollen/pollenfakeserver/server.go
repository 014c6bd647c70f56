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

// Config configures a Server.
type Config struct {
	Name  string
	Slots int
	// ServiceTime is what the warm server takes for one request, and ShardTime for each shard besides.
	ServiceTime time.Duration
	ShardTime   time.Duration
	// ColdTime is how long the server takes to warm up.
	ColdTime time.Duration
	// ColdFactor is how many times slower the server is right after its start.
	ColdFactor float64
	// Warm starts the server warm.
	Warm bool
	Seed uint64
}

// Faults are the troubles that a server can be put into.
type Faults struct {
	// Down breaks every request.
	Down bool
	// Garble answers with the identity of another request.
	Garble bool
	// Truncate leaves the last shard out of answers.
	Truncate bool
	// LoseAnswers runs requests and breaks the connection instead of answering.
	LoseAnswers bool
	// StragglerShare of the requests take StragglerFactor times as long.
	StragglerShare  float64
	StragglerFactor float64
	// Missing are the snapshots that the server does not hold.
	Missing []string
	// LostShards are the shards whose data the server has lost.
	LostShards []string
}

// Ledger is what a server has done.
type Ledger struct {
	Requests int
	// Runs counts how often each action ran.
	Runs map[string]int
	// Peak is the most requests that ran at once.
	Peak int
	// Overloads counts how often the server was given more than it could bear, and restarted, although it had shown
	// that it was cold or had been idle.
	Overloads int
	// OverloadedAt is when the last overload was counted.
	OverloadedAt time.Time
	// Unsignalled counts the other times: the cold start could not be known yet.
	Unsignalled int
	Sheds       int
	// LastWork is when the server was last given a request.
	LastWork time.Time
	Boots    int
	// FullSince is when all slots were first in use after the last start.
	FullSince time.Time
	BootedAt  time.Time
}

// Server is one backend server in memory.
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
	// signAt is when the newest start could first be known: a broken request or an answer with the new boot id.
	signAt time.Time
	// busyAt is when the server last had work before the newest start.
	busyAt time.Time
}

// SignTime is what a sign of a cold start may take to arrive, and IdleTime is the idleness after which a sender
// must expect a cold start without a sign.
const (
	SignTime = 10 * time.Millisecond
	IdleTime = 500 * time.Millisecond
)

// ErrBroken is returned where a real server would break the connection.
var ErrBroken = errors.New("connection broken")

// New returns a server.
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

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Restart sends the server into a cold start without warning.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootLocked()
}

// Ledger returns a copy of what the server has done.
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

// Answer runs one request; ErrBroken stands for a connection that breaks.
func (s *Server) Answer(ctx context.Context, request *pollenbackend.Request) (*pollenbackend.Answer, error) {
	refusal, work, err := s.begin(request)
	if refusal != nil || err != nil {
		return refusal, err
	}
	defer s.end(work)
	timer := time.NewTimer(work.duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-work.restarted:
		return nil, ErrBroken
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	s.sign(work)
	if work.faults.LoseAnswers {
		return nil, ErrBroken
	}
	return s.answer(request, work), nil
}

// sign notes that the sender now learns which start of the server it speaks to; a cancelled request tells nothing.
func (s *Server) sign(w *work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.bootID == s.bootID && s.signAt.IsZero() {
		s.signAt = time.Now()
	}
}

// Row returns the row that every server answers for a shard.
func Row(service, snapshot, shard string, payload []byte) []byte {
	return fmt.Appendf(nil, "%s|%s|%s|%s", service, snapshot, shard, payload)
}

// work is one request that is running.
type work struct {
	duration  time.Duration
	faults    Faults
	bootID    string
	restarted chan struct{}
}

func (s *Server) bootLocked() {
	if s.restarted != nil {
		close(s.restarted)
	}
	s.signAt, s.busyAt = time.Time{}, s.ledger.LastWork
	if s.running > 0 {
		s.signAt, s.busyAt = time.Now(), time.Now()
	}
	s.restarted = make(chan struct{})
	s.ledger.Boots++
	s.ledger.BootedAt = time.Now()
	s.ledger.FullSince = time.Time{}
	s.bootID = fmt.Sprintf("%s-%d", s.config.Name, s.ledger.Boots)
	s.warmAt = time.Now().Add(s.config.ColdTime)
	s.running = 0
}

// coldLocked returns 1 right after the start and 0 when warm.
func (s *Server) coldLocked() float64 {
	left := time.Until(s.warmAt)
	if left <= 0 {
		return 0
	}
	return float64(left) / float64(s.config.ColdTime)
}

func (s *Server) bearableLocked() int {
	return max(1, int(math.Round(float64(s.config.Slots)*(1-s.coldLocked()))))
}

func (s *Server) begin(request *pollenbackend.Request) (*pollenbackend.Answer, *work, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	refuse := func(refusal pollenbackend.Refusal) (*pollenbackend.Answer, *work, error) {
		return &pollenbackend.Answer{ID: request.ID, BootID: s.bootID, NotRun: true, Refusal: refusal}, nil, nil
	}
	if s.faults.Down {
		return nil, nil, ErrBroken
	}
	s.ledger.Requests++
	s.ledger.LastWork = time.Now()
	switch {
	case request.TimeoutMicroseconds <= 0:
		return refuse(pollenbackend.RefusalDeadline)
	case slices.Contains(s.faults.Missing, request.Snapshot):
		return refuse(pollenbackend.RefusalSnapshot)
	case s.running >= s.bearableLocked() && s.coldLocked() > 0:
		s.overloadLocked()
		s.bootLocked()
		return nil, nil, ErrBroken
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
	return nil, &work{duration: s.durationLocked(request), faults: s.faults, bootID: s.bootID, restarted: s.restarted}, nil
}

// overloadLocked counts an overload, apart when the sender could not know of the cold start.
func (s *Server) overloadLocked() {
	now := time.Now()
	signalled := !s.signAt.IsZero() && now.Sub(s.signAt) > SignTime
	idle := s.ledger.BootedAt.Sub(s.busyAt) > IdleTime
	if signalled || idle {
		s.ledger.Overloads++
		s.ledger.OverloadedAt = now
		return
	}
	s.ledger.Unsignalled++
}

func (s *Server) durationLocked(request *pollenbackend.Request) time.Duration {
	base := s.config.ServiceTime + time.Duration(len(request.Shards))*s.config.ShardTime
	factor := 1 + max(0, s.config.ColdFactor-1)*s.coldLocked()
	factor *= 0.9 + 0.2*s.random.Float64()
	if s.random.Float64() < s.faults.StragglerShare {
		factor *= s.faults.StragglerFactor
	}
	return time.Duration(float64(base) * factor)
}

func (s *Server) end(w *work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.bootID == s.bootID {
		s.running--
	}
}

func (s *Server) answer(request *pollenbackend.Request, w *work) *pollenbackend.Answer {
	a := &pollenbackend.Answer{ID: request.ID, BootID: w.bootID, Snapshot: request.Snapshot}
	for _, shard := range request.Shards {
		answer := pollenmessage.ShardAnswer{Shard: shard, State: pollenmessage.ShardAnswered}
		if slices.Contains(w.faults.LostShards, shard) {
			answer.State = pollenmessage.ShardLost
		} else {
			answer.Rows = [][]byte{Row(request.Service, request.Snapshot, shard, request.Payload)}
		}
		a.Shards = append(a.Shards, answer)
	}
	if w.faults.Truncate && len(a.Shards) > 0 {
		a.Shards = a.Shards[:len(a.Shards)-1]
	}
	a.Checksum = pollenmessage.Checksum(a.Shards)
	if w.faults.Garble {
		a.ID = "crossed-" + a.ID
	}
	return a
}
