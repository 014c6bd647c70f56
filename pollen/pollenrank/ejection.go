package pollenrank

import "time"

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
func (o *Observation) isUnresponsive(now time.Time) bool {
	age := now.Sub(o.started)
	return age >= max(unresponsiveAfter, unresponsiveFactor*o.expected) && o.server.lastAnswer.Before(o.started)
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
