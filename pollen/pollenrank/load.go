package pollenrank

import (
	"math"
	"time"

	"pollenline.example/pollen/pollencatalog"
)

const (
	// loadAverageTime is the time constant of the averages from which the load by other instances on one server is
	// estimated: long enough for several requests, shorter than a burst.
	loadAverageTime = 200 * time.Millisecond
	// utilizationAverageTime is the time constant of the average from which the utilization of many servers is estimated.
	// It is longer, because it takes several queries to tell a burst from a random peak at one instance.
	utilizationAverageTime = 600 * time.Millisecond
	// Below lowUtilization, in requests in flight per slot, the estimated load by other instances does not count; above
	// highUtilization it counts in full.
	lowUtilization  = 0.8
	highUtilization = 1.4
	// shedPeriod is how long a server that has shed a request counts as fully used; the averages show a burst after that time.
	shedPeriod = 100 * time.Millisecond
)

// loadAverages holds moving averages of one instance's load on a server.
type loadAverages struct {
	// inFlight is the number of requests in flight, work the sum of their expected latencies in nanoseconds, both averaged
	// over loadAverageTime; longInFlight is inFlight averaged over utilizationAverageTime.
	inFlight, work, longInFlight float64
}

// LatencyBound limits how long requests may wait in a server's queue.
type LatencyBound struct {
	// Limit is the time within which a request should be answered.
	Limit time.Duration
	// Others is the number of other instances whose load on the server is taken to be like this instance's, as returned by
	// OtherSenders.
	Others float64
	// MaxWait limits how long a request may wait for a slot, so that it delays no other route's requests too long; zero if only
	// Limit does.
	MaxWait time.Duration
}

// OtherSenders returns how many of the other instances count in a LatencyBound for requests to the servers: none while
// the servers' slots are mostly free, all once requests queue at the servers on average.
//
// Load pattern: callers request a third of what the servers can run. An instance has few requests in flight, and takes
// a random peak of its own for a peak at every instance; requests that would be answered in time would be refused.
// An average over all servers and several queries tells such a peak from a burst.
func (r *Ranking) OtherSenders(servers []*pollencatalog.Server, instances int, now time.Time) float64 {
	excess := (r.utilization(servers, instances, now) - lowUtilization) / (highUtilization - lowUtilization)
	return float64(max(instances-1, 0)) * min(max(excess, 0), 1)
}

// utilization returns the estimated number of requests in flight from all instances per slot of the servers that answer.
//
// Load pattern: a sixth of the servers accept requests and never answer. What they hold says nothing about the others' slots.
//
// Load pattern: a burst reaches all instances after a time of little load. Their averages are low for another 50 to 100 ms, in which each
// sends as if it were alone, and servers shed what several of them have sent. A server that sheds is fully used, whatever the averages say.
func (r *Ranking) utilization(servers []*pollencatalog.Server, instances int, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	inFlight, slots := 0.0, 0
	for _, candidate := range servers {
		s := r.server(candidate)
		if s.isSilent(now) || s.isUnavailable(now) {
			continue
		}
		load := s.loadAveragesAt(now).longInFlight
		if now.Sub(s.shedAt) < shedPeriod {
			load = max(load, highUtilization*float64(max(candidate.Slots, 1))/float64(max(instances, 1)))
		}
		inFlight += load
		slots += max(candidate.Slots, 1)
	}
	return inFlight * float64(instances) / float64(max(slots, 1))
}

// HasCapacity reports whether one more request to a server would be answered within the bound if it ran at the route's
// median latency: requests are held back because of a server's queue, not because the server is slow.
//
// Load pattern: callers request more than the servers' slots can run. Every other instance is assumed to cause this
// instance's average load on a server, or the mean of its average and current load if that is more. So each instance
// stops sending before the server's queue delays answers beyond the bound, even at the start of a burst; measured
// latencies include that queue. A server without requests in flight always has capacity for one, else its recovery
// would not be noticed.
func (r *Ranking) HasCapacity(route string, candidate *pollencatalog.Server, bound LatencyBound, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.server(candidate)
	if len(s.inFlight) == 0 {
		return true
	}
	wait := s.expectedWait(candidate.Slots, bound.Others, now)
	return r.medianLatency(route)+wait <= bound.Limit && (bound.MaxWait == 0 || wait <= bound.MaxWait)
}

// expectedWait returns how long one more request is expected to wait for a slot, if as many other instances as given
// cause the same load as this one.
func (s *server) expectedWait(slots int, others float64, now time.Time) time.Duration {
	slots = max(slots, 1)
	averages := s.loadAveragesAt(now)
	// The current load counts by half: a burst reaches all instances at once, a random peak only this one.
	inFlight := float64(len(s.inFlight)) + others*max(averages.inFlight, (averages.inFlight+float64(len(s.inFlight)))/2)
	work := float64(s.inFlightWork) + others*max(averages.work, (averages.work+float64(s.inFlightWork))/2)
	queued := inFlight + 1 - float64(slots)
	if queued <= 0 || inFlight <= 0 {
		return 0
	}
	return time.Duration(queued / float64(slots) * work / inFlight)
}

// isSilent reports whether a request in flight is stalled and the server has answered none since it was sent.
func (s *server) isSilent(now time.Time) bool {
	for o := range s.inFlight {
		if float64(now.Sub(o.started)) > stallFactor*float64(o.expected) && s.lastAnswer.Before(o.started) {
			return true
		}
	}
	return false
}

// updateLoadAverages updates the load averages. It must be called before the requests in flight change.
func (s *server) updateLoadAverages(now time.Time) {
	s.averages = s.loadAveragesAt(now)
	s.averagedAt = now
}

// loadAveragesAt returns the load averages as of now.
func (s *server) loadAveragesAt(now time.Time) loadAverages {
	age := float64(now.Sub(s.averagedAt))
	inFlight, work := float64(len(s.inFlight)), float64(s.inFlightWork)
	oldWeight := math.Exp(-age / float64(loadAverageTime))
	longOldWeight := math.Exp(-age / float64(utilizationAverageTime))
	return loadAverages{
		inFlight:     inFlight + (s.averages.inFlight-inFlight)*oldWeight,
		work:         work + (s.averages.work-work)*oldWeight,
		longInFlight: inFlight + (s.averages.longInFlight-inFlight)*longOldWeight,
	}
}
