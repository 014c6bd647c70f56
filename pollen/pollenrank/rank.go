package pollenrank

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenquantile"
)

// Config configures a Ranking.
type Config struct {
	// Random spreads choices between servers that are equally good.
	Random *rand.Rand
}

// Ranking holds what one instance has learned about routes and servers.
type Ranking struct {
	mu      sync.Mutex
	random  *rand.Rand
	routes  map[string]*pollenquantile.Sketch
	servers map[pollencatalog.Incarnation]*server
}

// Outcome says how a request to a server ended.
type Outcome int

// The outcomes that a Ranking learns from.
const (
	// Answered is a whole answer, also one that reports a failure of the request itself.
	Answered Outcome = iota
	// Shed is a refusal of a server that has not run the request.
	Shed
	// Misdirected is a refusal by another server that has taken over the address.
	Misdirected
	// Failed is a broken connection, a wrong answer or an internal error.
	Failed
	// Abandoned is a request that was given up before it was answered; it says nothing but how long it took.
	Abandoned
)

const (
	// learning is the weight of a new sample in a server's averages; five samples make up two thirds.
	learning = 0.2
	// forgetting is the time in which an estimate without new samples moves two thirds of the way to the typical one.
	forgetting = 3 * time.Second
	// failurePenalty is the number of typical latencies that a certain failure costs: the retry and its detection.
	failurePenalty = 6
	// stallFactor is the multiple of its expected latency after which an open request is taken as a stall.
	stallFactor = 2.5
	// preference is the power of the latencies' ratio by which a faster server is preferred: 9 in 10 requests at a
	// ratio of 1.5, 98 in 100 at 2.
	preference = 6
	// ejectionFailures is the number of failures in a row after which a server is left out, unless it has answered
	// within ejectionSilence: a server that loses half of its answers is better than none.
	ejectionFailures = 4
	ejectionSilence  = time.Second
	// firstEjection and longestEjection bound how long a failing server is left out; it doubles in between.
	firstEjection   = 500 * time.Millisecond
	longestEjection = 4 * time.Second
	// A request is taken as lost in silence if it has got no answer after silenceFactor times its expected latency and
	// silenceAfter at least, and the server has answered nothing since it was sent. Pauses of servers are shorter.
	silenceFactor = 8
	silenceAfter  = 500 * time.Millisecond
	// typicalBefore is used for a route's typical latency until the first answer.
	typicalBefore = 20 * time.Millisecond
	// busyMemory is the span over which the number of open requests is averaged, to tell how busy other instances
	// keep a server: long enough for several requests, short against a burst.
	busyMemory = 200 * time.Millisecond
)

type server struct {
	// slowness is the ratio of the server's latencies to the route's typical one.
	slowness float64
	// failing is the share of recent requests that were shed or failed.
	failing  float64
	updated  time.Time
	answered time.Time
	open     map[*Permit]struct{}
	// work is the sum of the open requests' expected latencies; busy and busyWork are the averages of their number
	// and of that sum, as of busyAt.
	work     time.Duration
	busy     float64
	busyWork float64
	busyAt   time.Time
	failures int
	// ejectedUntil is when the server may be tried again; probing is set while one request does so.
	ejectedUntil time.Time
	probing      *Permit
}

// Permit stands for one request that is sent to a server.
type Permit struct {
	ranking  *Ranking
	server   *server
	route    string
	started  time.Time
	expected time.Duration
	noted    bool
	done     bool
}

// New returns a Ranking that knows nothing yet.
func New(config Config) *Ranking {
	return &Ranking{
		random:  config.Random,
		routes:  make(map[string]*pollenquantile.Sketch),
		servers: make(map[pollencatalog.Incarnation]*server),
	}
}

// Best returns the index of the server to ask, or false if all are left out.
//
// Servers are drawn at random, the more likely the less latency is expected of them, so that equally good ones share
// the requests of instances that do not know of each other. A cold server is chosen only if there is no warm one.
func (r *Ranking) Best(route string, candidates []*pollencatalog.Server, now time.Time) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	best, found := 0, false
	var bestCold bool
	total := 0.0
	for i, candidate := range candidates {
		s := r.server(candidate)
		if s.leftOut(now) {
			continue
		}
		cold := candidate.Cold(now)
		if found && cold && !bestCold {
			continue
		}
		if !found || bestCold != cold {
			total = 0
		}
		weight := math.Pow(r.cost(route, candidate, s, now).Seconds(), -preference)
		total += weight
		if !found || bestCold != cold || r.random.Float64()*total < weight {
			best, bestCold = i, cold
		}
		found = true
	}
	return best, found
}

// Room bounds what is sent to servers.
type Room struct {
	// Within is the time in which an answer is wanted.
	Within time.Duration
	// Instances is the number of instances that send to the same servers.
	Instances int
}

// HasRoom reports whether one more request to a server would be answered within the bound if it ran as quickly as usual
// on the route: a slow server is no reason to hold a request back, a queue is.
//
// Load pattern: more is asked than the servers' slots carry. Other instances are taken to keep a server as busy as this
// one does on average, and half as busy as it is now, so that each of them stops sending before the server's queue
// delays answers beyond the bound, also at the beginning of a burst; measured latencies include that queue. An idle
// server always has room for one request, else its recovery would not be seen.
func (r *Ranking) HasRoom(route string, candidate *pollencatalog.Server, room Room, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.server(candidate)
	return len(s.open) == 0 || r.typical(route)+s.wait(candidate.Slots, room.Instances, now) <= room.Within
}

// Start records that a request of a route is sent to a server.
func (r *Ranking) Start(route string, candidate *pollencatalog.Server, now time.Time) *Permit {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.server(candidate)
	p := &Permit{ranking: r, server: s, route: route, started: now}
	p.expected = time.Duration(float64(r.typical(route)) * s.slownessAt(now))
	s.countOpen(now)
	s.open[p] = struct{}{}
	s.work += p.expected
	if s.ejectable(now) {
		s.probing = p
	}
	return p
}

// Typical returns the given quantile of the latencies of a route, zero before there are enough answers.
func (r *Ranking) Typical(route string, share float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	sketch, ok := r.routes[route]
	if !ok || sketch.Samples() < minimumSamples {
		return 0
	}
	return sketch.Quantile(share)
}

// minimumSamples is the number of answers before a route's quantiles are used.
const minimumSamples = 20

// Available reports whether at least one of the servers is not left out.
func (r *Ranking) Available(candidates []*pollencatalog.Server, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, candidate := range candidates {
		if !r.server(candidate).leftOut(now) {
			return true
		}
	}
	return false
}

// Forget drops what is known of servers that the table no longer names.
func (r *Ranking) Forget(table *pollencatalog.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	named := table.Incarnations()
	for incarnation, s := range r.servers {
		if !named[incarnation] && len(s.open) == 0 {
			delete(r.servers, incarnation)
		}
	}
}

// Note tells the ranking that the request is still open, so that its age counts before it ends.
func (p *Permit) Note(now time.Time) {
	r := p.ranking
	r.mu.Lock()
	defer r.mu.Unlock()
	if !p.done && !p.noted {
		p.noted = true
		r.learn(p, now.Sub(p.started), now)
	}
}

// Finish records the end of the request.
func (p *Permit) Finish(outcome Outcome, now time.Time) {
	r := p.ranking
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.done {
		return
	}
	p.done = true
	s := p.server
	s.countOpen(now)
	delete(s.open, p)
	s.work -= p.expected
	if s.probing == p {
		s.probing = nil
	}
	latency := now.Sub(p.started)
	switch outcome {
	case Answered:
		r.sketch(p.route).Add(latency)
		r.learn(p, latency, now)
		s.failing += learning * (0 - s.failing)
		s.failures, s.ejectedUntil, s.answered = 0, time.Time{}, now
	case Shed:
		s.failing += learning * (1 - s.failing)
		s.failures, s.ejectedUntil = 0, time.Time{}
	case Misdirected:
		s.gone(now)
	case Failed:
		s.failing += learning * (1 - s.failing)
		s.fail(now)
	case Abandoned:
		if latency > p.expected {
			r.learn(p, latency, now)
		}
		if p.silent(now) {
			s.fail(now)
		}
	}
	s.updated = now
}

func (r *Ranking) server(candidate *pollencatalog.Server) *server {
	key := candidate.Incarnation()
	s, ok := r.servers[key]
	if !ok {
		s = &server{slowness: 1, open: make(map[*Permit]struct{})}
		r.servers[key] = s
	}
	return s
}

func (r *Ranking) sketch(route string) *pollenquantile.Sketch {
	sketch, ok := r.routes[route]
	if !ok {
		sketch = &pollenquantile.Sketch{}
		r.routes[route] = sketch
	}
	return sketch
}

func (r *Ranking) typical(route string) time.Duration {
	if sketch, ok := r.routes[route]; ok && sketch.Samples() > 0 {
		return sketch.Quantile(0.5)
	}
	return typicalBefore
}

func (r *Ranking) learn(p *Permit, latency time.Duration, now time.Time) {
	s := p.server
	s.slowness = s.slownessAt(now)
	s.slowness += learning * (float64(latency)/float64(r.typical(p.route)) - s.slowness)
	s.updated = now
}

func (r *Ranking) cost(route string, candidate *pollencatalog.Server, s *server, now time.Time) time.Duration {
	typical := float64(r.typical(route))
	latency := typical * s.slownessAt(now)
	queued := float64(len(s.open)) / float64(max(candidate.Slots, 1))
	cost := latency*(1+queued) + typical*failurePenalty*s.failingAt(now)
	return time.Duration(cost) + s.stall(now)
}

// wait returns how long one more request is expected to wait for a slot.
func (s *server) wait(slots, instances int, now time.Time) time.Duration {
	slots = max(slots, 1)
	others := float64(max(instances-1, 0))
	busy, busyWork := s.busyNow(now)
	// A burst meets all instances at once, a coincidence one alone: what is open now counts by half.
	open := float64(len(s.open)) + others*max(busy, (busy+float64(len(s.open)))/2)
	work := float64(s.work) + others*max(busyWork, (busyWork+float64(s.work))/2)
	waiting := open + 1 - float64(slots)
	if waiting <= 0 || open <= 0 {
		return 0
	}
	return time.Duration(waiting / float64(slots) * work / open)
}

// countOpen brings the averages of open requests up to date; it is to be called before they change.
func (s *server) countOpen(now time.Time) {
	s.busy, s.busyWork = s.busyNow(now)
	s.busyAt = now
}

func (s *server) busyNow(now time.Time) (busy, busyWork float64) {
	open, work := float64(len(s.open)), float64(s.work)
	kept := math.Exp(-float64(now.Sub(s.busyAt)) / float64(busyMemory))
	return open + (s.busy-open)*kept, work + (s.busyWork-work)*kept
}

// stall returns by how much the oldest open request is over its expected latency, zero below the stall factor.
func (s *server) stall(now time.Time) time.Duration {
	longest := time.Duration(0)
	for p := range s.open {
		age := now.Sub(p.started)
		if float64(age) > stallFactor*float64(p.expected) {
			longest = max(longest, age)
		}
	}
	return longest
}

func (s *server) slownessAt(now time.Time) float64 {
	return 1 + (s.slowness-1)*s.remembered(now)
}

func (s *server) failingAt(now time.Time) float64 { return s.failing * s.remembered(now) }

func (s *server) remembered(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(s.updated)) / float64(forgetting))
}

// leftOut reports whether the server gets no requests.
//
// Load pattern: servers can't be reached and their connections stay open. Requests end in nothing after a second or more;
// several that are open in silence count like as many failures.
func (s *server) leftOut(now time.Time) bool {
	if !s.ejectable(now) {
		return s.silences(now) >= ejectionFailures
	}
	return s.probing != nil || now.Before(s.ejectedUntil)
}

// silences returns the number of open requests that are lost in silence.
func (s *server) silences(now time.Time) int {
	if len(s.open) < ejectionFailures {
		return 0
	}
	count := 0
	for p := range s.open {
		if p.silent(now) {
			count++
		}
	}
	return count
}

func (p *Permit) silent(now time.Time) bool {
	age := now.Sub(p.started)
	return age >= max(silenceAfter, silenceFactor*p.expected) && p.server.answered.Before(p.started)
}

// gone leaves the server out until its entry goes, but for rare probes: the requests to its address reach a server of
// another service and count as extra ones there.
func (s *server) gone(now time.Time) {
	s.failing, s.answered = 1, time.Time{}
	s.failures = max(s.failures, ejectionFailures)
	s.ejectedUntil = now.Add(longestEjection)
}

func (s *server) ejectable(now time.Time) bool {
	return s.failures >= ejectionFailures && now.Sub(s.answered) > ejectionSilence
}

func (s *server) fail(now time.Time) {
	s.failures++
	if !s.ejectable(now) {
		return
	}
	doublings := min(s.failures-ejectionFailures, 8)
	s.ejectedUntil = now.Add(min(firstEjection<<doublings, longestEjection))
}
