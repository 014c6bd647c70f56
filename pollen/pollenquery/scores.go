package pollenquery

import (
	"slices"
	"sync"
	"time"

	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenschema"
)

const (
	// initialHedgeDelay is used until enough answers of a service were seen.
	initialHedgeDelay = 50 * time.Millisecond
	minimumHedgeDelay = time.Millisecond
	// sampleWindow answers of a service decide its hedge delay.
	sampleWindow  = 256
	minimumSample = 32
	// hedgePercentile of a service's answer times is its hedge delay.
	hedgePercentile = 97
	// failurePenalty is added to the answer time of a server that failed, and halves with each failurePenaltyTime.
	failurePenalty     = 500 * time.Millisecond
	failurePenaltyTime = 500 * time.Millisecond
	// staleTime is how long a snapshot that was not held is passed over.
	staleTime = 2 * time.Second
)

// scores ranks backend servers by what this root saw of them.
type scores struct {
	mu       sync.Mutex
	servers  map[string]*serverScore
	services map[string]*serviceSample
}

// serverScore is what this root saw of one backend server.
type serverScore struct {
	outstanding int
	latency     time.Duration
	failedAt    time.Time
	warm        bool
}

// serviceSample holds the newest answer times of one service.
type serviceSample struct {
	latencies []time.Duration
	next      int
	delay     time.Duration
}

func newScores() *scores {
	return &scores{servers: make(map[string]*serverScore), services: make(map[string]*serviceSample)}
}

func (s *scores) start(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server(id).outstanding++
}

func (s *scores) finish(id, service string, answer *pollenmessage.SubAnswer, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.server(id)
	server.outstanding--
	server.warm = answer.Warm
	switch {
	case answer.Outcome == pollenschema.Outcome_OUTCOME_DONE:
		server.failedAt = time.Time{}
		server.latency += (latency - server.latency) / 4
		s.sample(service).add(latency)
	case answer.Reason != pollenschema.Reason_REASON_DEADLINE && answer.Reason != pollenschema.Reason_REASON_CANCELLED:
		server.failedAt = time.Now()
	}
}

// score returns the expected answer time of a server, in seconds; lower is better.
func (s *scores) score(id string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.server(id)
	expected := (server.latency + time.Millisecond).Seconds() * float64(1+server.outstanding)
	if !server.warm {
		expected *= 2
	}
	if age := time.Since(server.failedAt); age < 8*failurePenaltyTime {
		expected += failurePenalty.Seconds() / float64(int(1)<<int(age/failurePenaltyTime))
	}
	return expected
}

func (s *scores) warm(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server(id).warm
}

// hedgeDelay returns how old a sub-query of a service must be before it is hedged.
func (s *scores) hedgeDelay(service string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sample(service).delay
}

func (s *scores) server(id string) *serverScore {
	if s.servers[id] == nil {
		s.servers[id] = &serverScore{}
	}
	return s.servers[id]
}

func (s *scores) sample(service string) *serviceSample {
	if s.services[service] == nil {
		s.services[service] = &serviceSample{delay: initialHedgeDelay}
	}
	return s.services[service]
}

func (s *serviceSample) add(latency time.Duration) {
	if len(s.latencies) < sampleWindow {
		s.latencies = append(s.latencies, latency)
	} else {
		s.latencies[s.next] = latency
	}
	s.next = (s.next + 1) % sampleWindow
	if s.next%minimumSample == 0 {
		sorted := slices.Clone(s.latencies)
		slices.Sort(sorted)
		s.delay = max(minimumHedgeDelay, sorted[len(sorted)*hedgePercentile/100])
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
