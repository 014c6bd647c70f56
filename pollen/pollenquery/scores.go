package pollenquery

import (
	"slices"
	"sync"
	"time"

	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenschema"
)

const (
	// initialTypical stands for the answer time of a server that is not known yet.
	initialTypical    = 30 * time.Millisecond
	minimumHedgeDelay = time.Millisecond
	// sampleWindow answers of all servers, each in multiples of its server's typical time, decide the hedge delay.
	sampleWindow = 1024
	// resampleEvery answers the percentile is taken again.
	resampleEvery = 64
	// hedgePercentile of those multiples is the age, in typical times, at which a sub-query is hedged.
	hedgePercentile = 97
	initialMultiple = 2.5
	// failurePenalty is added to the answer time of a server that failed, and halves with each failurePenaltyTime.
	failurePenalty     = 500 * time.Millisecond
	failurePenaltyTime = 500 * time.Millisecond
	// staleTime is how long a snapshot that was not held is passed over.
	staleTime = 2 * time.Second
)

// scores ranks backend servers by what this root saw of them.
type scores struct {
	mu      sync.Mutex
	servers map[string]*serverScore
	// multiples are the newest answer times; one root sees too few of a single service to tell slow from usual.
	multiples []float64
	next      int
	multiple  float64
}

// serverScore is what this root saw of one backend server.
type serverScore struct {
	outstanding int
	latency     time.Duration
	typical     time.Duration
	failedAt    time.Time
	// failedOwner is the incarnation that owned the server when it failed.
	failedOwner string
	warm        bool
}

func newScores() *scores {
	return &scores{servers: make(map[string]*serverScore), multiple: initialMultiple}
}

func (s *scores) start(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server(id).outstanding++
}

func (s *scores) finish(id, owner string, answer *pollenmessage.SubAnswer, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.server(id)
	server.outstanding--
	server.warm = answer.Warm
	if answer.Typical > 0 {
		server.typical = answer.Typical
	}
	switch {
	case answer.Outcome == pollenschema.Outcome_OUTCOME_DONE:
		server.failedAt = time.Time{}
		server.latency += (latency - server.latency) / 4
		if server.typical > 0 {
			s.sampleLocked(float64(latency) / float64(server.typical))
		}
	case answer.Reason != pollenschema.Reason_REASON_DEADLINE && answer.Reason != pollenschema.Reason_REASON_CANCELLED:
		server.failedAt, server.failedOwner = time.Now(), owner
	}
}

// score returns the expected answer time of a server, in seconds; lower is better.
//
// A failure does not count any longer once the server has another owner: it may have been the owner's.
func (s *scores) score(id, owner string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.server(id)
	expected := (server.latency + time.Millisecond).Seconds() * float64(1+server.outstanding)
	if !server.warm {
		expected *= 2
	}
	if age := time.Since(server.failedAt); server.failedOwner == owner && age < 8*failurePenaltyTime {
		expected += failurePenalty.Seconds() / float64(int(1)<<int(age/failurePenaltyTime))
	}
	return expected
}

func (s *scores) warm(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server(id).warm
}

// hedgeDelay returns how old a sub-query to a server must be before it is hedged.
func (s *scores) hedgeDelay(id string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	typical := s.server(id).typical
	if typical == 0 {
		typical = initialTypical
	}
	return max(minimumHedgeDelay, time.Duration(float64(typical)*s.multiple))
}

func (s *scores) server(id string) *serverScore {
	if s.servers[id] == nil {
		s.servers[id] = &serverScore{}
	}
	return s.servers[id]
}

func (s *scores) sampleLocked(multiple float64) {
	if len(s.multiples) < sampleWindow {
		s.multiples = append(s.multiples, multiple)
	} else {
		s.multiples[s.next%sampleWindow] = multiple
	}
	s.next++
	if s.next%resampleEvery == 0 {
		sorted := slices.Clone(s.multiples)
		slices.Sort(sorted)
		s.multiple = sorted[len(sorted)*hedgePercentile/100]
	}
}

// staleSnapshots remembers for a short time which snapshots were not held.
type staleSnapshots struct {
	mu    sync.Mutex
	until map[staleKey]time.Time
}

// staleKey names a snapshot of a service.
type staleKey struct {
	service, snapshot string
}

func newStaleSnapshots() *staleSnapshots {
	return &staleSnapshots{until: make(map[staleKey]time.Time)}
}

func (s *staleSnapshots) add(service, snapshot string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[staleKey{service, snapshot}] = time.Now().Add(staleTime)
}

func (s *staleSnapshots) has(service, snapshot string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := staleKey{service, snapshot}
	until, ok := s.until[key]
	if ok && time.Now().After(until) {
		delete(s.until, key)
		return false
	}
	return ok
}
