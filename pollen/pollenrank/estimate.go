package pollenrank

import (
	"time"

	"pollenline.example/pollen/pollencatalog"
)

// Estimate is what an instance knows of a server, and how likely it is to send it the next request.
type Estimate struct {
	// Probability is that of being chosen among the candidates, zero for unavailable servers and for cold ones beside warm ones.
	Probability float64
	// ExpectedCost is the expected latency of one more request with penalties for requests in flight, failures and a stall.
	ExpectedCost time.Duration
	// Age is the time since the newest result of a request; zero if there was none.
	Age time.Duration
	// InFlight is the number of this instance's requests at the server.
	InFlight int
}

// Estimates returns the estimates of the servers among which Best would choose. It changes no state and draws no random number.
func (r *Ranking) Estimates(route string, candidates []*pollencatalog.Server, now time.Time) []Estimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	estimates := make([]Estimate, len(candidates))
	weights, total, anyWarm := make([]float64, len(candidates)), 0.0, false
	known := make([]*server, len(candidates))
	for i, candidate := range candidates {
		s, ok := r.servers[candidate.Incarnation()]
		if !ok {
			s = newServer()
		}
		known[i] = s
		anyWarm = anyWarm || !s.isUnavailable(now) && !candidate.Cold(now)
	}
	for i, candidate := range candidates {
		s := known[i]
		estimates[i] = Estimate{ExpectedCost: r.expectedCost(route, candidate, s, now), InFlight: len(s.inFlight)}
		if !s.updated.IsZero() {
			estimates[i].Age = now.Sub(s.updated)
		}
		if !s.isUnavailable(now) && (!anyWarm || !candidate.Cold(now)) {
			weights[i] = r.weight(route, candidate, s, now)
			total += weights[i]
		}
	}
	for i := range estimates {
		if total > 0 {
			estimates[i].Probability = weights[i] / total
		}
	}
	return estimates
}
