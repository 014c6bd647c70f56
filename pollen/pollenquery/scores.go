package pollenquery

import (
	"slices"
	"sync"
	"time"

	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenschema"
)

const (
	// initialMedianLatency is assumed until the median answer time of a server is known.
	initialMedianLatency = 30 * time.Millisecond
	minHedgeDelay        = time.Millisecond
	// sampleWindow is the number of recent answers, over all servers, that determine the hedge delay. Each is recorded
	// as a multiple of its server's median answer time.
	sampleWindow = 1024
	// percentileInterval is the number of answers between two computations of the percentile.
	percentileInterval = 64
	// hedgePercentile of the recorded multiples is the age, in median answer times, at which a sub-query is hedged.
	hedgePercentile = 97
	// initialHedgeMultiple is assumed until the percentile is first computed.
	initialHedgeMultiple = 2.5
	// failurePenalty is added to the expected answer time of a failed server and halves every failurePenaltyHalfLife.
	failurePenalty         = 500 * time.Millisecond
	failurePenaltyHalfLife = 500 * time.Millisecond
	// missingSnapshotTTL is how long a snapshot that was not held is avoided.
	missingSnapshotTTL = 2 * time.Second
)

// scores ranks backend servers by the answers that this root received from them.
type scores struct {
	mu      sync.Mutex
	servers map[string]*serverStats
	// relativeLatencies is a ring buffer of recent answer times as multiples of their server's median. It spans all
	// services, since one root receives too few answers of a single service for a reliable percentile.
	relativeLatencies []float64
	// sampleCount is the number of samples recorded so far, including those overwritten since.
	sampleCount int
	// hedgeMultiple is the age at which a sub-query is hedged, as a multiple of its server's median answer time.
	hedgeMultiple float64
}

// serverStats holds this root's statistics of one backend server.
type serverStats struct {
	// outstanding is the number of this root's sub-queries in flight to the server.
	outstanding int
	// averageLatency is a moving average of the answer times that this root observed, queueing at the owner included.
	averageLatency time.Duration
	// medianLatency is the latest SubAnswer.Typical that the owner reported, or zero if unknown.
	medianLatency time.Duration
	// failedAt is the time of the last failure, or zero if an answer followed it.
	failedAt time.Time
	// failedOwner is the incarnation of the instance that owned the server when it failed.
	failedOwner string
	// warm is set if the latest answer stated that the server is warm enough for hedges.
	warm bool
}

func newScores() *scores {
	return &scores{servers: make(map[string]*serverStats), hedgeMultiple: initialHedgeMultiple}
}

// recordStart counts a sub-query sent to a server.
func (s *scores) recordStart(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverLocked(id).outstanding++
}

// recordFinish updates the statistics of a server with an answer relayed by its owner.
func (s *scores) recordFinish(id, ownerIncarnation string, answer *pollenmessage.SubAnswer, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.serverLocked(id)
	server.outstanding--
	server.warm = answer.Warm
	if answer.Typical > 0 {
		server.medianLatency = answer.Typical
	}
	switch {
	case answer.Outcome == pollenschema.Outcome_OUTCOME_DONE:
		server.failedAt = time.Time{}
		server.averageLatency += (latency - server.averageLatency) / 4
		if server.medianLatency > 0 {
			s.recordSampleLocked(float64(latency) / float64(server.medianLatency))
		}
	// A deadline or a cancellation is no failure of the server.
	case answer.Reason != pollenschema.Reason_REASON_DEADLINE && answer.Reason != pollenschema.Reason_REASON_CANCELLED:
		server.failedAt, server.failedOwner = time.Now(), ownerIncarnation
	}
}

// score returns the expected answer time of a server, in seconds, doubled unless the server is warm; lower is better.
//
// A failure no longer counts once the server has another owner, since the former owner may have caused it.
func (s *scores) score(id, ownerIncarnation string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.serverLocked(id)
	expected := (server.averageLatency + time.Millisecond).Seconds() * float64(1+server.outstanding)
	if !server.warm {
		expected *= 2
	}
	if age := time.Since(server.failedAt); server.failedOwner == ownerIncarnation && age < 8*failurePenaltyHalfLife {
		expected += failurePenalty.Seconds() / float64(int(1)<<int(age/failurePenaltyHalfLife))
	}
	return expected
}

// warm reports whether a server is warm enough for hedges, according to its owner's latest answer.
func (s *scores) warm(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serverLocked(id).warm
}

// hedgeDelay returns how old a sub-query to a server must be before it is hedged.
func (s *scores) hedgeDelay(id string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	median := s.serverLocked(id).medianLatency
	if median == 0 {
		median = initialMedianLatency
	}
	return max(minHedgeDelay, time.Duration(float64(median)*s.hedgeMultiple))
}

func (s *scores) serverLocked(id string) *serverStats {
	if s.servers[id] == nil {
		s.servers[id] = &serverStats{}
	}
	return s.servers[id]
}

// recordSampleLocked records a relative latency and periodically recomputes the hedge multiple.
func (s *scores) recordSampleLocked(multiple float64) {
	if len(s.relativeLatencies) < sampleWindow {
		s.relativeLatencies = append(s.relativeLatencies, multiple)
	} else {
		s.relativeLatencies[s.sampleCount%sampleWindow] = multiple
	}
	s.sampleCount++
	if s.sampleCount%percentileInterval == 0 {
		sorted := slices.Clone(s.relativeLatencies)
		slices.Sort(sorted)
		s.hedgeMultiple = sorted[len(sorted)*hedgePercentile/100]
	}
}

// missingSnapshots holds the snapshots that were recently not held by their backend servers.
type missingSnapshots struct {
	mu       sync.Mutex
	expiries map[snapshotKey]time.Time
}

// snapshotKey identifies a snapshot of a service.
type snapshotKey struct {
	service, snapshot string
}

func newMissingSnapshots() *missingSnapshots {
	return &missingSnapshots{expiries: make(map[snapshotKey]time.Time)}
}

func (s *missingSnapshots) add(service, snapshot string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expiries[snapshotKey{service, snapshot}] = time.Now().Add(missingSnapshotTTL)
}

func (s *missingSnapshots) contains(service, snapshot string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := snapshotKey{service, snapshot}
	expiry, ok := s.expiries[key]
	if ok && time.Now().After(expiry) {
		delete(s.expiries, key)
		return false
	}
	return ok
}
