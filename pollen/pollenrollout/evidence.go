package pollenrollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"pollenline.example/pollen/pollencatalog"
)

const (
	// latencyClasses is the number of latency classes, classesPerDouble how many there are up to twice a latency. The first class
	// ends at a millisecond.
	latencyClasses   = 64
	classesPerDouble = 4
)

// Counts holds what the servers of one version did with the requests of one route.
type Counts struct {
	// Requests counts those with a result, Failures the ones without a usable answer.
	Requests, Failures uint64
	// Latencies counts answers by the class of their latency.
	Latencies [latencyClasses]uint32
}

// latencyClass returns the class of a latency.
func latencyClass(latency time.Duration) int {
	if latency <= time.Millisecond {
		return 0
	}
	doublings := math.Log2(float64(latency) / float64(time.Millisecond))
	return min(int(math.Ceil(doublings*classesPerDouble)), latencyClasses-1)
}

// add adds other to the counts.
func (c *Counts) add(other *Counts) {
	c.Requests += other.Requests
	c.Failures += other.Failures
	for i, n := range other.Latencies {
		c.Latencies[i] += n
	}
}

// since returns what was added to the counts since before.
func (c *Counts) since(before *Counts) Counts {
	delta := Counts{Requests: c.Requests - min(before.Requests, c.Requests), Failures: c.Failures - min(before.Failures, c.Failures)}
	for i, n := range c.Latencies {
		delta.Latencies[i] = n - min(before.Latencies[i], n)
	}
	return delta
}

// Pair holds the counts of one route for the target, by the ID of the server, and for the former versions.
type Pair struct {
	Target map[string]Counts
	Former Counts
}

// add adds other to the pair.
func (p *Pair) add(other Pair) {
	p.Former.add(&other.Former)
	if p.Target == nil {
		p.Target = make(map[string]Counts, len(other.Target))
	}
	for server, counts := range other.Target {
		sum := p.Target[server]
		sum.add(&counts)
		p.Target[server] = sum
	}
}

// clone returns a copy that shares nothing with the pair.
func (p Pair) clone() Pair {
	return Pair{Target: maps.Clone(p.Target), Former: p.Former}
}

// weighted is a histogram whose counts fade.
type weighted struct {
	requests, failures float64
	latencies          [latencyClasses]float64
}

func (w *weighted) fade(factor float64) {
	w.requests *= factor
	w.failures *= factor
	for i := range w.latencies {
		w.latencies[i] *= factor
	}
}

func (w *weighted) add(c *Counts) {
	w.requests += float64(c.Requests)
	w.failures += float64(c.Failures)
	for i, n := range c.Latencies {
		w.latencies[i] += float64(n)
	}
}

// answers returns the number of answers with a latency.
func (w *weighted) answers() float64 {
	sum := 0.0
	for _, n := range w.latencies {
		sum += n
	}
	return sum
}

// quantileClass returns the class of a quantile of the latencies.
func (w *weighted) quantileClass(q float64) int {
	rest := q * w.answers()
	for i, n := range w.latencies {
		if rest -= n; rest <= 0 {
			return i
		}
	}
	return latencyClasses - 1
}

// shareAbove returns the share of answers in classes above a class.
func (w *weighted) shareAbove(class int) float64 {
	above, all := 0.0, 0.0
	for i, n := range w.latencies {
		all += n
		if i > class {
			above += n
		}
	}
	return above / max(all, 1)
}

const (
	// alarm is the cumulated log-likelihood ratio that counts as bad. At 8.5, one of 180 simulated rollouts of a good version was rolled
	// back, and 180 of each of eight kinds of bad versions kept to the bound on requests; at 7.5 with a remainder of 0.8, one of 36 of
	// those that turn bad late did not.
	alarm = 8.5
	// minBad is the number of bad responses below which nothing counts as bad: one server that ends may fail four requests at once.
	minBad = 5
	// recentTime is the time constant with which the former version's recent counts fade.
	recentTime = 5 * time.Second
	// minFormerAnswers is the number of the former version's answers on a route from which on latencies are compared.
	minFormerAnswers = 15
	latencyQuantile  = 0.9
	// allRoutes is the key under which the failures of all routes are compared.
	allRoutes = "*"
)

// test is a cumulative sum test of a share of bad responses against the former version's share at the same time.
type test struct {
	name string
	// above is the number of latency classes above the former version's 0.9 quantile from which on an answer counts; failures are
	// tested if it is zero.
	above int
	// floor is the least share that is assumed for the former version; excess is by how much a bad version's share is larger.
	floor, excess float64
}

// tests lists what is tested on each route. The last one finds versions that are slow as a whole or several times as slow in part: work
// that is several times as long need not exceed three times a quantile that contains waiting.
var tests = []test{
	{name: "failed", floor: 0.01, excess: 0.12},
	{name: "later than 3 times the 0.9 quantile", above: 6, floor: 0.02, excess: 0.15},
	{name: "later than 1.5 times the 0.9 quantile", above: 2, floor: 0.05, excess: 0.3},
}

// slowTest is the index of the test whose count is reported as slow responses.
const slowTest = 1

// sum is the state of one test on one route.
type sum struct {
	ratio    float64
	bad, all uint64
}

// update adds observations of the target; former is the share of the former version.
func (s *sum) update(t test, bad, all uint64, former float64) {
	p0 := min(max(former, t.floor), 0.8)
	p1 := min(max(p0+t.excess, 2*p0), 0.95)
	s.ratio += float64(bad)*math.Log(p1/p0) + float64(all-bad)*math.Log((1-p1)/(1-p0))
	s.bad, s.all = s.bad+bad, s.all+all
	if s.ratio <= 0 {
		*s = sum{}
	}
}

// routeEvidence is the evidence on one route.
type routeEvidence struct {
	// seen is what the last update had.
	seen Pair
	// uncompared holds the target's answers until there are enough of the former version to compare them with.
	uncompared map[string]Counts
	// former holds all counts of the former version, recent those of the last seconds.
	former, recent weighted
	// sums holds the state of each test, without that of each of the target's servers.
	sums    []sum
	without []map[string]sum
}

// remainder is the part of the alarm that must remain without any one server: a bad version is bad on all of its servers, whereas one bad
// server says nothing about its version. In simulations with one bad server of three, 80 and 60 of 180 good versions are still rolled
// back at 0.3; higher values find bad versions later.
const remainder = 0.3

// observation is what one server of the target did.
type observation struct {
	server   string
	bad, all uint64
}

// record adds observations to a test's sums, and reports whether they say that the version is bad.
func (r *routeEvidence) record(i int, t test, observations []observation, former float64) bool {
	bad, all := uint64(0), uint64(0)
	for _, o := range observations {
		bad, all = bad+o.bad, all+o.all
		if _, ok := r.without[i][o.server]; !ok && o.all > 0 {
			r.without[i][o.server] = r.sums[i]
		}
	}
	r.sums[i].update(t, bad, all, former)
	isBad := r.sums[i].ratio >= alarm && r.sums[i].bad >= minBad
	for server, s := range r.without[i] {
		others := observation{bad: bad, all: all}
		for _, o := range observations {
			if o.server == server {
				others.bad, others.all = bad-o.bad, all-o.all
			}
		}
		s.update(t, others.bad, others.all, former)
		r.without[i][server] = s
		isBad = isBad && (len(r.without[i]) == 1 || s.ratio >= remainder*alarm)
	}
	return isBad
}

// Detector finds out whether the target of a rollout is worse than the former version. It must not be used concurrently.
type Detector struct {
	routes    map[string]*routeEvidence
	updatedAt time.Time
	finding   string
	target    pollencatalog.RolloutEvidence
	former    pollencatalog.RolloutEvidence
}

// NewDetector returns a Detector without evidence.
func NewDetector() *Detector { return &Detector{routes: make(map[string]*routeEvidence)} }

// Update takes the counts since the beginning of the rollout by route, and returns what is bad about the target; empty if nothing is.
func (d *Detector) Update(counts map[string]Pair, now time.Time) string {
	fade := 1.0
	if !d.updatedAt.IsZero() {
		fade = math.Exp(-now.Sub(d.updatedAt).Seconds() / recentTime.Seconds())
	}
	d.updatedAt = now
	var all Pair
	for _, route := range slices.Sorted(maps.Keys(counts)) {
		pair := counts[route].clone()
		all.add(pair)
		d.updateRoute(route, pair, tests, fade)
	}
	d.updateRoute(allRoutes, all, tests[:1], fade)
	return d.finding
}

// updateRoute applies the change of a route's counts to its tests.
func (d *Detector) updateRoute(route string, pair Pair, tests []test, fade float64) {
	r, ok := d.routes[route]
	if !ok {
		r = &routeEvidence{sums: make([]sum, len(tests)), without: make([]map[string]sum, len(tests)), uncompared: make(map[string]Counts)}
		for i := range tests {
			r.without[i] = make(map[string]sum)
		}
		d.routes[route] = r
	}
	former := pair.Former.since(&r.seen.Former)
	target := Pair{Target: make(map[string]Counts, len(pair.Target))}
	for server, counts := range pair.Target {
		before := r.seen.Target[server]
		target.Target[server] = counts.since(&before)
		uncompared, delta := r.uncompared[server], target.Target[server]
		uncompared.add(&delta)
		r.uncompared[server] = uncompared
	}
	r.seen = pair
	r.recent.fade(fade)
	r.recent.add(&former)
	r.former.add(&former)
	class, compared := r.baseline()
	for i, t := range tests {
		var observations []observation
		share := r.failureShare()
		switch {
		case t.above == 0:
			for _, server := range slices.Sorted(maps.Keys(target.Target)) {
				observations = append(observations, observation{server, target.Target[server].Failures, target.Target[server].Requests})
			}
		case compared:
			for _, server := range slices.Sorted(maps.Keys(r.uncompared)) {
				counts := r.uncompared[server]
				bad, all := counts.above(class + t.above)
				observations = append(observations, observation{server, bad, all})
				if i == slowTest {
					d.target.Slow += bad
				}
			}
			share = max(r.former.shareAbove(class+t.above), r.recent.shareAbove(class+t.above))
			if i == slowTest {
				slow, _ := former.above(class + t.above)
				d.former.Slow += slow
			}
		}
		if r.record(i, t, observations, share) && d.finding == "" {
			s := r.sums[i]
			d.finding = fmt.Sprintf("%d of %d responses %s on route %q, %.3f of the former version's", s.bad, s.all, t.name, route, share)
		}
	}
	if compared {
		clear(r.uncompared)
	}
	if route != allRoutes {
		for _, counts := range target.Target {
			d.target.Requests, d.target.Failures = d.target.Requests+counts.Requests, d.target.Failures+counts.Failures
		}
		d.former.Requests, d.former.Failures = d.former.Requests+former.Requests, d.former.Failures+former.Failures
	}
}

// baseline returns the class of the former version's 0.9 quantile, the higher one of all and of recent answers, or false if there are
// too few answers.
func (r *routeEvidence) baseline() (int, bool) {
	if r.former.answers() < minFormerAnswers {
		return 0, false
	}
	class := r.former.quantileClass(latencyQuantile)
	if r.recent.answers() >= minFormerAnswers {
		class = max(class, r.recent.quantileClass(latencyQuantile))
	}
	return class, true
}

// failureShare returns the share of the former version's requests that fail, the higher one of all and of recent requests.
func (r *routeEvidence) failureShare() float64 {
	share := r.former.failures / max(r.former.requests, 1)
	if r.recent.requests >= minFormerAnswers {
		share = max(share, r.recent.failures/r.recent.requests)
	}
	return share
}

// above returns the number of answers in classes above a class, and that of all answers.
func (c *Counts) above(class int) (above, all uint64) {
	for i, n := range c.Latencies {
		all += uint64(n)
		if i > class {
			above += uint64(n)
		}
	}
	return above, all
}

// Target returns what was counted for the target in total.
func (d *Detector) Target() pollencatalog.RolloutEvidence { return d.target }

// Former returns what was counted for the former versions in total.
func (d *Detector) Former() pollencatalog.RolloutEvidence { return d.former }

// forgive holds nothing against the target any more, and keeps what was counted.
func (d *Detector) forgive() {
	d.finding = ""
	for _, route := range d.routes {
		for i := range route.sums {
			route.sums[i] = sum{}
			clear(route.without[i])
		}
	}
}
