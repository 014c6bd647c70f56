package pollenrank

import (
	"fmt"
	"strings"
	"time"

	"pollenline.example/pollen/pollencatalog"
)

// maxDescribed bounds the servers that Unavailability names.
const maxDescribed = 5

// Unavailability says for a log line which of the servers are ejected or unresponsive, and why. It adds no estimates.
func (r *Ranking) Unavailability(candidates []*pollencatalog.Server, now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var reasons []string
	unavailable := 0
	for _, candidate := range candidates {
		s, ok := r.servers[candidate.Incarnation()]
		if !ok || !s.isUnavailable(now) {
			continue
		}
		if unavailable++; unavailable <= maxDescribed {
			reasons = append(reasons, candidate.ID+": "+s.unavailability(now))
		}
	}
	if unavailable > maxDescribed {
		reasons = append(reasons, fmt.Sprintf("and %d more", unavailable-maxDescribed))
	}
	return strings.Join(reasons, "; ")
}

// unavailability says why the server is unavailable.
func (s *server) unavailability(now time.Time) string {
	if s.isFailing(now) {
		return fmt.Sprintf("%d failures, the last result %d ms ago", s.consecutiveFailures, now.Sub(s.updated).Milliseconds())
	}
	oldest := now
	for o := range s.inFlight {
		if o.started.Before(oldest) {
			oldest = o.started
		}
	}
	return fmt.Sprintf("%d requests unanswered, the oldest sent %d ms ago", s.countUnresponsive(now), now.Sub(oldest).Milliseconds())
}

// isUnavailable reports whether the server gets no requests because it is unresponsive, ejected or being probed.
//
// Load pattern: servers are unreachable and their connections stay open, so that requests time out only after a second
// or more. Several unanswered requests in flight count like as many failures.
func (s *server) isUnavailable(now time.Time) bool {
	if !s.isFailing(now) {
		return s.countUnresponsive(now) >= ejectionFailures
	}
	return s.probe != nil || now.Before(s.ejectedUntil)
}

// countUnresponsive returns the number of requests in flight that the server is unresponsive to.
func (s *server) countUnresponsive(now time.Time) int {
	if len(s.inFlight) < ejectionFailures {
		return 0
	}
	count := 0
	for o := range s.inFlight {
		if o.isUnresponsive(now) {
			count++
		}
	}
	return count
}

// isUnresponsive reports whether the server is unresponsive to the request, as defined at unresponsiveFactor.
//
// Load pattern: servers work on long requests, and the latencies of a route are not known yet or vary widely. Their silence is no
// reason to send requests elsewhere.
func (o *Observation) isUnresponsive(now time.Time) bool {
	age := now.Sub(o.started)
	if age < max(unresponsiveAfter, unresponsiveFactor*o.expected) || !o.server.lastAnswer.Before(o.started) {
		return false
	}
	sketch, ok := o.ranking.routes[o.route]
	return ok && sketch.Samples() >= minSamples && age >= unresponsiveTailFactor*sketch.Quantile(usualQuantile)
}

// recordMisdirection ejects the server; a probe every maxEjection prolongs the ejection until the server leaves the
// table. Requests to its address reach a server of another service and count there as extra requests.
func (s *server) recordMisdirection(now time.Time) {
	s.failureRate, s.lastAnswer = 1, time.Time{}
	s.consecutiveFailures = max(s.consecutiveFailures, ejectionFailures)
	s.ejectedUntil = now.Add(maxEjection)
}

// recordRefusal ejects the server. Load pattern: servers end under load; each request that is sent to one of them first uses up
// the budget for retries.
func (s *server) recordRefusal(now time.Time) {
	s.failureRate, s.lastAnswer = 1, time.Time{}
	if now.Before(s.ejectedUntil) {
		return
	}
	s.consecutiveFailures = max(s.consecutiveFailures, ejectionFailures-1)
	s.recordFailure(now)
}

// isFailing reports whether the server has failed often enough to be ejected; it then gets single probes only.
func (s *server) isFailing(now time.Time) bool {
	return s.consecutiveFailures >= ejectionFailures && now.Sub(s.lastAnswer) > ejectionAnswerAge
}

// recordFailure counts a failure, and ejects the server if it is failing.
func (s *server) recordFailure(now time.Time) {
	s.consecutiveFailures++
	if !s.isFailing(now) {
		return
	}
	// The bound only keeps the shift from overflowing; maxEjection is reached after three doublings.
	doublings := min(s.consecutiveFailures-ejectionFailures, 8)
	s.ejectedUntil = now.Add(min(minEjection<<doublings, maxEjection))
}
