package pollenrank

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenquantile"
)

// Config holds the dependencies of a Ranking.
type Config struct {
	// Random spreads requests over servers of similar expected cost.
	Random *rand.Rand
}

// Ranking holds one instance's latency and failure estimates for routes and servers.
type Ranking struct {
	mu      sync.Mutex
	random  *rand.Rand
	routes  map[string]*pollenquantile.Sketch
	servers map[pollencatalog.Incarnation]*server
	counts  Counts
}

// Counts holds how evenly an instance has spread its requests since its start.
type Counts struct {
	// Choices is the number of servers that were chosen among several, LongerQueue that of the choices of a server with more
	// of this instance's requests in flight per slot than another one had.
	Choices, LongerQueue int
	// Sheds is the number of requests that servers have shed.
	Sheds int
}

// Outcome is the result of a request to a server.
type Outcome int

// The outcomes that update a Ranking's estimates.
const (
	// Answered is a complete answer, including one that rejects the request.
	Answered Outcome = iota
	// Shed is a refusal by a server that did not run the request.
	Shed
	// Misdirected is a refusal by another server that now uses the address.
	Misdirected
	// Refused is a refused connection: the server's process has ended, or the server is cut off from this instance.
	Refused
	// Failed is a connection that could not be opened or broke, an invalid answer or a 5xx status.
	Failed
	// Abandoned is a request that ended without an answer after its answer was no longer needed or its time was over; its
	// duration is a lower bound of its latency.
	Abandoned
)

const (
	// sampleWeight is the weight of a new sample in a server's moving averages; the last five samples make up two
	// thirds.
	sampleWeight = 0.2
	// recoveryWeight is the weight of a usual sample after a single slow one.
	recoveryWeight = 0.5
	// maxSampleRatio bounds a sample by the estimate before it, so that one answer that a pause has delayed does not divert
	// the requests of all instances to the other replicas.
	maxSampleRatio = 3
	// slowSampleRatio is the latency, in medians of the route, above which a sample is slow.
	slowSampleRatio = 2
	// decayTime is the time in which an estimate without new samples moves two thirds of the way to its typical value. After
	// slow samples it is shortDecayTime, doubled with each further one: a pause is over soon, a slow server stays slow.
	decayTime      = 3 * time.Second
	shortDecayTime = 300 * time.Millisecond
	// queueWeight is the weight of a request in flight in the expected cost. Other instances choose at the same moment and by
	// the same old answers, so that a queue that one instance sees is longer than its own requests.
	queueWeight = 2
	// failurePenalty is the cost of a certain failure, its detection and a retry, in median latencies.
	failurePenalty = 6
	// stallFactor is the multiple of its expected latency after which a request in flight counts as stalled.
	stallFactor = 2.5
	// latencyExponent is the power of the latency ratio by which the faster of two servers is preferred: it gets 9 in 10
	// requests at a ratio of 1.5, 98 in 100 at 2.
	latencyExponent = 6
	// ejectionFailures is the number of consecutive failures after which a server is ejected, unless it has answered
	// within ejectionAnswerAge: a server that loses half of its answers is better than none.
	ejectionFailures  = 4
	ejectionAnswerAge = time.Second
	// minEjection and maxEjection bound how long a failing server is ejected; the time doubles with each failure.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// A server is unresponsive to a request that has no answer after unresponsiveFactor times its expected latency, and
	// at least unresponsiveAfter and unresponsiveTailFactor times the usualQuantile of its route, if the server has answered none
	// since that request was sent. Pauses of servers are shorter. No server is before the route has minSamples answers.
	unresponsiveFactor     = 8
	unresponsiveTailFactor = 2
	unresponsiveAfter      = 500 * time.Millisecond
	// defaultLatency is the assumed median latency of a route before its first answer.
	defaultLatency = 20 * time.Millisecond
)

// server holds the estimates for one incarnation of a server and its requests in flight.
type server struct {
	// latencyRatio is the ratio of the server's latencies to the route's median.
	latencyRatio float64
	// slowSamples counts the consecutive slow samples whose requests were sent after the one before had been recorded, at
	// lastSlow; those that one pause delays together count once.
	slowSamples int
	lastSlow    time.Time
	// shedAt is when the server last shed a request.
	shedAt time.Time
	// failureRate is the share of recent requests that were shed or failed.
	failureRate float64
	// updated is when the estimates were last updated; they decay from then on.
	updated    time.Time
	lastAnswer time.Time
	inFlight   map[*Observation]struct{}
	// inFlightWork is the sum of the expected latencies of the requests in flight.
	inFlightWork time.Duration
	// averages holds the moving averages of the load by this instance, as of averagedAt.
	averages            loadAverages
	averagedAt          time.Time
	consecutiveFailures int
	// ejectedUntil is when the server may be probed; probe is the request in flight that does so.
	ejectedUntil time.Time
	probe        *Observation
}

// Observation tracks one request to a server from its start to its end.
type Observation struct {
	ranking *Ranking
	server  *server
	route   string
	started time.Time
	// expected is the latency that was expected at the start.
	expected time.Duration
	// recordedPending is set once RecordPending has recorded the age of the request.
	recordedPending bool
	done            bool
}

// New returns a Ranking without estimates.
func New(config Config) *Ranking {
	return &Ranking{
		random:  config.Random,
		routes:  make(map[string]*pollenquantile.Sketch),
		servers: make(map[pollencatalog.Incarnation]*server),
	}
}

// Best returns the index of the server to send to, or false if no server is available.
//
// Servers are chosen at random, the more often the lower their expected cost, so that instances without shared state
// spread their requests over servers of similar cost. A cold server is chosen only if there is no warm one.
func (r *Ranking) Best(route string, candidates []*pollencatalog.Server, now time.Time) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	best, found := 0, false
	var bestCold bool
	total, available := 0.0, 0
	shortest, bestQueue := math.Inf(1), 0.0
	for i, candidate := range candidates {
		s := r.server(candidate)
		if s.isUnavailable(now) {
			continue
		}
		available++
		queue := s.queued(candidate)
		shortest = min(shortest, queue)
		cold := candidate.Cold(now)
		if found && cold && !bestCold {
			continue
		}
		if !found || bestCold != cold {
			total = 0
		}
		weight := r.weight(route, candidate, s, now)
		total += weight
		if !found || bestCold != cold || r.random.Float64()*total < weight {
			best, bestCold, bestQueue = i, cold, queue
		}
		found = true
	}
	if available > 1 {
		r.counts.Choices++
		if bestQueue > shortest {
			r.counts.LongerQueue++
		}
	}
	return best, found
}

// weight returns the weight with which a server is drawn: the faster of two gets most requests.
func (r *Ranking) weight(route string, candidate *pollencatalog.Server, s *server, now time.Time) float64 {
	return math.Pow(r.expectedCost(route, candidate, s, now).Seconds(), -latencyExponent)
}

// Start records that a request of a route is sent to a server, and returns its observation.
func (r *Ranking) Start(route string, candidate *pollencatalog.Server, now time.Time) *Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.server(candidate)
	o := &Observation{ranking: r, server: s, route: route, started: now}
	o.expected = time.Duration(float64(r.medianLatency(route)) * s.latencyRatioAt(now))
	s.updateLoadAverages(now)
	s.inFlight[o] = struct{}{}
	s.inFlightWork += o.expected
	if s.isFailing(now) {
		s.probe = o
	}
	return o
}

// LatencyQuantile returns a quantile, between 0 and 1, of the latencies of a route; zero before there are enough
// answers.
func (r *Ranking) LatencyQuantile(route string, quantile float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	sketch, ok := r.routes[route]
	if !ok || sketch.Samples() < minSamples {
		return 0
	}
	return sketch.Quantile(quantile)
}

const (
	// usualQuantile is the quantile of a route's latencies that counts as usual for long work, and minUsualSamples the number of
	// answers from which on it is known: the first answers are those of the shortest requests.
	usualQuantile   = 0.99
	minUsualSamples = 100
)

// UsualLatency returns the latency that servers rarely exceed on a route; zero if it is not known yet.
func (r *Ranking) UsualLatency(route string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	sketch, ok := r.routes[route]
	if !ok || sketch.Samples() < minUsualSamples {
		return 0
	}
	return sketch.Quantile(usualQuantile)
}

// minSamples is the number of answers before a route's quantiles are used.
const minSamples = 20

// Counts returns how evenly the requests were spread so far.
func (r *Ranking) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// AnyAvailable reports whether at least one server is neither ejected nor unresponsive.
func (r *Ranking) AnyAvailable(candidates []*pollencatalog.Server, now time.Time) bool {
	return r.CountAvailable(candidates, now) > 0
}

// CountAvailable returns the number of servers that are neither ejected nor unresponsive.
func (r *Ranking) CountAvailable(candidates []*pollencatalog.Server, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, candidate := range candidates {
		if !r.server(candidate).isUnavailable(now) {
			count++
		}
	}
	return count
}

// Ejected reports whether a server is ejected or unresponsive. It adds no estimates.
func (r *Ranking) Ejected(candidate *pollencatalog.Server, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.servers[candidate.Incarnation()]
	return ok && s.isUnavailable(now)
}

// RecordRefusal records that a server refuses connections, and ejects it.
func (r *Ranking) RecordRefusal(refusing *pollencatalog.Server, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.server(refusing)
	s.recordRefusal(now)
	s.updated = now
}

// ForgetFailures ends the ejection of all servers, when their failures were those of the instance's own links.
func (r *Ranking) ForgetFailures() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		s.failureRate, s.consecutiveFailures, s.ejectedUntil = 0, 0, time.Time{}
	}
}

// Prune removes the estimates for servers that the table no longer holds.
func (r *Ranking) Prune(table *pollencatalog.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := table.Incarnations()
	for incarnation, s := range r.servers {
		if !known[incarnation] && len(s.inFlight) == 0 {
			delete(r.servers, incarnation)
		}
	}
}

// Started returns when the request was started.
func (o *Observation) Started() time.Time { return o.started }

// RecordPending records the age of a request in flight as a latency, once per request, so that a slow server is noticed
// before it answers.
func (o *Observation) RecordPending(now time.Time) {
	r := o.ranking
	r.mu.Lock()
	defer r.mu.Unlock()
	if !o.done && !o.recordedPending {
		o.recordedPending = true
		r.recordLatency(o, now.Sub(o.started), now)
	}
}

// Finish records the outcome and the latency of the request.
func (o *Observation) Finish(outcome Outcome, now time.Time) {
	r := o.ranking
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.done {
		return
	}
	o.done = true
	s := o.server
	s.updateLoadAverages(now)
	delete(s.inFlight, o)
	s.inFlightWork -= o.expected
	if s.probe == o {
		s.probe = nil
	}
	latency := now.Sub(o.started)
	switch outcome {
	case Answered:
		r.sketch(o.route).Add(latency)
		r.recordLatency(o, latency, now)
		s.failureRate += sampleWeight * (0 - s.failureRate)
		s.consecutiveFailures, s.ejectedUntil, s.lastAnswer = 0, time.Time{}, now
	case Shed:
		r.counts.Sheds++
		s.shedAt = now
		s.failureRate += sampleWeight * (1 - s.failureRate)
		s.consecutiveFailures, s.ejectedUntil = 0, time.Time{}
	case Misdirected:
		s.recordMisdirection(now)
	case Refused:
		s.recordRefusal(now)
	case Failed:
		s.failureRate += sampleWeight * (1 - s.failureRate)
		s.recordFailure(now)
	case Abandoned:
		if latency > o.expected {
			r.recordLatency(o, latency, now)
		}
		if o.isUnresponsive(now) {
			s.recordFailure(now)
		}
	}
	s.updated = now
}

// server returns the estimates for a server, which it adds if there are none. The caller must hold the mutex.
func (r *Ranking) server(candidate *pollencatalog.Server) *server {
	key := candidate.Incarnation()
	s, ok := r.servers[key]
	if !ok {
		s = newServer()
		r.servers[key] = s
	}
	return s
}

func newServer() *server { return &server{latencyRatio: 1, inFlight: make(map[*Observation]struct{})} }

// sketch returns the latencies of a route's answers, which it adds if there are none. The caller must hold the mutex.
func (r *Ranking) sketch(route string) *pollenquantile.Sketch {
	sketch, ok := r.routes[route]
	if !ok {
		sketch = &pollenquantile.Sketch{}
		r.routes[route] = sketch
	}
	return sketch
}

// medianLatency returns the median latency of a route's answers, or defaultLatency before the first one. The caller must
// hold the mutex.
func (r *Ranking) medianLatency(route string) time.Duration {
	if sketch, ok := r.routes[route]; ok && sketch.Samples() > 0 {
		return sketch.Quantile(0.5)
	}
	return defaultLatency
}

// recordLatency updates the latency ratio of a server.
func (r *Ranking) recordLatency(o *Observation, latency time.Duration, now time.Time) {
	s := o.server
	s.latencyRatio = s.latencyRatioAt(now)
	sample := min(float64(latency)/float64(r.medianLatency(o.route)), maxSampleRatio*s.latencyRatio)
	weight := sampleWeight
	switch {
	case sample <= slowSampleRatio:
		if s.slowSamples <= 1 {
			weight = recoveryWeight
		}
		s.slowSamples = 0
	case o.started.After(s.lastSlow):
		s.slowSamples++
		s.lastSlow = now
	}
	s.latencyRatio += weight * (sample - s.latencyRatio)
	s.updated = now
}

// expectedCost returns the expected latency of one more request plus the penalties for requests in flight, failures and
// a stall.
func (r *Ranking) expectedCost(route string, candidate *pollencatalog.Server, s *server, now time.Time) time.Duration {
	median := float64(r.medianLatency(route))
	latency := median * s.latencyRatioAt(now)
	cost := latency*(1+queueWeight*s.queued(candidate)) + median*failurePenalty*s.failureRateAt(now)
	return time.Duration(cost) + s.stallTime(now)
}

// queued returns the number of this instance's requests in flight per slot of the server.
func (s *server) queued(candidate *pollencatalog.Server) float64 {
	return float64(len(s.inFlight)) / float64(max(candidate.Slots, 1))
}

// stallTime returns the age of the oldest stalled request in flight, zero if none is stalled.
func (s *server) stallTime(now time.Time) time.Duration {
	longest := time.Duration(0)
	for o := range s.inFlight {
		age := now.Sub(o.started)
		if float64(age) > stallFactor*float64(o.expected) {
			longest = max(longest, age)
		}
	}
	return longest
}

// latencyRatioAt returns the latency ratio, decayed toward the typical value 1.
func (s *server) latencyRatioAt(now time.Time) float64 {
	decay := decayTime
	if s.latencyRatio > 1 {
		// The bound only keeps the shift from overflowing.
		decay = min(decayTime, shortDecayTime<<min(max(s.slowSamples-1, 0), 8))
	}
	return 1 + (s.latencyRatio-1)*s.remainingWeight(now, decay)
}

// failureRateAt returns the failure rate, decayed toward the typical value 0.
func (s *server) failureRateAt(now time.Time) float64 {
	return s.failureRate * s.remainingWeight(now, decayTime)
}

// remainingWeight returns the weight, between 0 and 1, that an estimate still has since the last update.
func (s *server) remainingWeight(now time.Time, decay time.Duration) float64 {
	return math.Exp(-float64(now.Sub(s.updated)) / float64(decay))
}
