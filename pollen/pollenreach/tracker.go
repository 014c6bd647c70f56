package pollenreach

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenchart"
)

var chart = pollenchart.MustLoad("reach")

// Events and traits of the state chart.
const (
	eventLost     pollenchart.Event = "Lost"
	eventRegained pollenchart.Event = "Regained"

	// traitSendsDirectly is the trait of states in which requests go to the servers directly.
	traitSendsDirectly pollenchart.Trait = "SendsDirectly"
)

// ProbeTimeout bounds a probe of a suspected server. A reachable server takes milliseconds to take a connection, however busy it is.
const ProbeTimeout = 250 * time.Millisecond

const (
	// suspectAfter is how long a server may leave all requests in flight unanswered before it is suspected, and may be probed. With
	// ProbeTimeout, lost links are noticed after 0.4 s at the earliest.
	suspectAfter = 150 * time.Millisecond
	// silentAfter and silentFactor are the least silence that counts as evidence by itself, and its multiple of the longest time
	// that requests of the route usually take. Network devices may take connections for servers that they can't reach, so
	// that no probe fails.
	silentAfter  = time.Second
	silentFactor = 4
	// probedSuspects is the number of suspected servers that one round of probes tries to connect to: minLostServers, and one
	// for those that have recovered or are busy after all.
	probedSuspects = minLostServers + 1
	// evidenceAge is the age up to which a failure counts.
	evidenceAge = 1500 * time.Millisecond
	// answerAge is the age up to which an answer or a connected probe counts as a sign that the server is reached.
	answerAge = 700 * time.Millisecond
	// suspicionAnswerAge is the same for an answer when suspicion is weighed: probes should begin before answers are too old to count.
	suspicionAnswerAge = 250 * time.Millisecond
	// contactAge is the age up to which one answer or connected probe lets an instance that is cut off send requests that no other
	// instance takes.
	contactAge = time.Second
	// minLostServers and minLostShare are the number of servers that are not reached, and their share of those that there is
	// evidence of, from which on an instance is cut off.
	minLostServers = 4
	minLostShare   = 0.9
	// minLostServices is the number of services that the servers must belong to: one service may be down by itself.
	minLostServices = 2
	// minLostZones is the number of zones that the servers must belong to, unless all are in one: a zone may be lost by itself.
	minLostZones = 2
	// successfulProbes is the number of rounds of probes in a row that must succeed before requests are sent directly again. It
	// doubles, maxRelapses times at most, each time the instance is cut off again within relapseAge: network devices may take
	// connections for servers that they can't reach.
	successfulProbes = 2
	relapseAge       = 5 * time.Second
	maxRelapses      = 4
)

// Tracker estimates whether this instance reaches the backend servers.
type Tracker struct {
	machine *pollenchart.Machine

	mu      sync.Mutex
	servers map[pollencatalog.Incarnation]*link
	// lost is closed when the instance is cut off, and replaced when it no longer is.
	lost chan struct{}
	// lostAt is when the instance was cut off last, regainedAt when it no longer was; probes counts the successful rounds of
	// probes since lostAt, and relapses how often it was cut off soon after it had regained the servers.
	lostAt, regainedAt time.Time
	probes, relapses   int
	// contactAt is when a server last answered or took a connection of a probe.
	contactAt time.Time
	// evidence is what the instance was cut off for last.
	evidence Evidence
}

// link is what is known of the way to one server.
type link struct {
	answeredAt, failedAt, connectedAt time.Time
	// failure is what happened at failedAt.
	failure failure
	// inFlight counts requests without a result; unansweredSince is when the first of them was sent after the last answer, or of
	// those that were given up before them.
	inFlight        int
	unansweredSince time.Time
	// usual is the longest of the times that the requests since unansweredSince usually take, zero if it is not known of one of them.
	usual time.Duration
	// abandonedAt is when a request to a suspected server was last given up.
	abandonedAt time.Time
}

// NewTracker returns a Tracker that takes all servers for reached.
func NewTracker() *Tracker {
	return &Tracker{machine: pollenchart.NewMachine(chart), servers: make(map[pollencatalog.Incarnation]*link), lost: make(chan struct{})}
}

// Outcome states what an attempt says about the way to its server.
type Outcome int

// The outcomes of attempts.
const (
	// Answered means that the server has answered, be it with a refusal.
	Answered Outcome = iota
	// Unreached means that no connection could be made, or that it broke.
	Unreached
	// Unknown means neither, as for a request that was given up.
	Unknown
)

// Begin records that a request is sent to a server; End must be called with its outcome. Requests of its route usually take no longer
// than usual, which is zero if that is not known.
func (t *Tracker) Begin(server *pollencatalog.Server, usual time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.link(server)
	switch {
	case l.inFlight == 0 && !l.isAbandoned(now):
		l.unansweredSince, l.usual = now, usual
	case usual == 0 || l.usual == 0:
		l.usual = 0
	default:
		l.usual = max(l.usual, usual)
	}
	l.inFlight++
}

// link returns what is known of the way to a server, which it adds if there is nothing. The caller must hold the mutex.
func (t *Tracker) link(server *pollencatalog.Server) *link {
	l, ok := t.servers[server.Incarnation()]
	if !ok {
		l = &link{}
		t.servers[server.Incarnation()] = l
	}
	return l
}

// End records the outcome of a request that was sent at a time.
func (t *Tracker) End(server *pollencatalog.Server, outcome Outcome, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.servers[server.Incarnation()]
	if !ok {
		return
	}
	suspected, silent := l.isSuspected(now), l.isSilent(now)
	l.inFlight--
	switch outcome {
	case Answered:
		l.answeredAt, l.unansweredSince, t.contactAt = now, now, now
	case Unreached:
		l.failedAt, l.failure = now, brokenLink
	case Unknown:
		// A request that was given up unanswered leaves the server as silent as it was.
		if suspected {
			l.abandonedAt = now
		}
		if silent {
			l.failedAt, l.failure = now, silence
		}
	}
}

// RecordProbe records whether a probe of a suspected server got a connection.
func (t *Tracker) RecordProbe(server *pollencatalog.Server, connected bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.link(server)
	if connected {
		l.connectedAt, t.contactAt = now, now
	} else {
		l.failedAt, l.failure = now, failedProbe
	}
}

// CutOff reports whether the instance reaches no servers.
func (t *Tracker) CutOff() bool { return !t.machine.Has(traitSendsDirectly) }

// Lost returns a channel that is closed once the instance reaches no servers.
func (t *Tracker) Lost() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// Reach counts the servers that there is evidence of.
type Reach struct {
	Reached, Unreached int
	// Services and Zones are the numbers of services and zones of the servers that are not reached; AllZones is that of all
	// servers that may get requests.
	Services, Zones, AllZones int
}

// cutOff reports whether the evidence means that the instance is cut off from the servers.
//
// Load pattern: an instance loses its links, while servers, whole services and whole zones also fail by themselves. Those fail
// for all instances, and requests that are passed on would be lost there too.
func (r Reach) cutOff() bool {
	return r.Unreached >= minLostServers && float64(r.Unreached) >= minLostShare*float64(r.Unreached+r.Reached) &&
		r.Services >= minLostServices && r.Zones >= min(minLostZones, r.AllZones)
}

// Review decides whether the instance has lost the servers, and returns the evidence; it must be called regularly.
func (t *Tracker) Review(table *pollencatalog.Table, now time.Time) Reach {
	t.mu.Lock()
	defer t.mu.Unlock()
	reach, evidence := t.count(table, now)
	if t.CutOff() || !reach.cutOff() {
		return reach
	}
	t.machine.Fire(eventLost)
	t.lostAt, t.probes, t.evidence = now, 0, evidence
	if now.Sub(t.regainedAt) < relapseAge {
		t.relapses = min(t.relapses+1, maxRelapses)
	} else {
		t.relapses = 0
	}
	close(t.lost)
	klog.InfoS("Servers lost, requests go through other instances", "unreached", reach.Unreached, "reached", reach.Reached,
		"services", reach.Services, "zones", reach.Zones, "evidence", evidence.Format(now))
	return reach
}

// Suspects returns the servers that should be probed now: some of those that leave requests unanswered, if the instance would be cut
// off in case none of them can be reached. RecordProbe must be called with the results.
//
// Load pattern: servers work on long requests, and answer none for seconds. They still take connections, which servers behind a
// lost link do not.
func (t *Tracker) Suspects(table *pollencatalog.Table, now time.Time) []*pollencatalog.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.CutOff() || !t.mayBeCutOff(now) {
		return nil
	}
	var suspects []*pollencatalog.Server
	var suspicion tally
	table.ForEachServer(func(s *pollencatalog.Server) {
		l, known := t.servers[s.Incarnation()]
		if !known {
			suspicion.add(table, s, false, false)
			return
		}
		unreached := l.isUnreached(now)
		suspected := !unreached && l.isSuspected(now) && now.Sub(l.connectedAt) >= answerAge
		if suspected {
			suspects = append(suspects, s)
		}
		suspicion.add(table, s, unreached || suspected, l.isReached(now, suspicionAnswerAge))
	})
	if !suspicion.reach().cutOff() {
		return nil
	}
	return spread(suspects, probedSuspects)
}

// mayBeCutOff reports whether enough servers are suspected or not reached for a cut. It spares a walk through the table while servers
// answer. The caller must hold the mutex.
func (t *Tracker) mayBeCutOff(now time.Time) bool {
	count := 0
	for _, l := range t.servers {
		if l.isSuspected(now) || l.isUnreached(now) {
			if count++; count >= minLostServers {
				return true
			}
		}
	}
	return false
}

// spread returns a number of random servers, in as many services and zones as possible.
func spread(servers []*pollencatalog.Server, number int) []*pollencatalog.Server {
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	chosen := make([]*pollencatalog.Server, 0, number)
	services, zones := make(map[string]int), make(map[string]int)
	for len(chosen) < number && len(servers) > 0 {
		best := 0
		for i, s := range servers {
			if services[s.Service]+zones[s.Zone] < services[servers[best].Service]+zones[servers[best].Zone] {
				best = i
			}
		}
		s := servers[best]
		services[s.Service]++
		zones[s.Zone]++
		chosen, servers = append(chosen, s), slices.Delete(servers, best, best+1)
	}
	return chosen
}

// ServersAnswer reports whether a server has answered or taken a connection lately, since the instance was cut off.
func (t *Tracker) ServersAnswer(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.contactAt.After(t.lostAt) && now.Sub(t.contactAt) < contactAge
}

// Evidence returns what the instance was cut off for last.
func (t *Tracker) Evidence() Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evidence
}

// tally counts servers for a Reach. The zero value is ready to use.
type tally struct {
	counted                   Reach
	services, zones, allZones map[string]bool
}

// add counts a server by whether it is reached or not; it is neither without evidence.
func (t *tally) add(table *pollencatalog.Table, s *pollencatalog.Server, unreached, reached bool) {
	if t.services == nil {
		t.services, t.zones, t.allZones = make(map[string]bool), make(map[string]bool), make(map[string]bool)
	}
	if table.Eligible(s) {
		t.allZones[s.Zone] = true
	}
	switch {
	case unreached:
		t.counted.Unreached++
		t.services[s.Service], t.zones[s.Zone] = true, true
	case reached:
		t.counted.Reached++
	}
}

// reach returns the counts.
func (t *tally) reach() Reach {
	r := t.counted
	r.Services, r.Zones, r.AllZones = len(t.services), len(t.zones), len(t.allZones)
	return r
}

// count returns the evidence and forgets servers that the table no longer holds. The caller must hold the mutex.
func (t *Tracker) count(table *pollencatalog.Table, now time.Time) (Reach, Evidence) {
	var counts tally
	var evidence Evidence
	known := make(map[pollencatalog.Incarnation]bool, len(t.servers))
	table.ForEachServer(func(s *pollencatalog.Server) {
		l, ok := t.servers[s.Incarnation()]
		if !ok {
			counts.add(table, s, false, false)
			return
		}
		known[s.Incarnation()] = true
		unreached := l.isUnreached(now)
		counts.add(table, s, unreached, l.isReached(now, answerAge))
		if unreached {
			evidence.add(l.observation(s, now))
		}
	})
	for incarnation, l := range t.servers {
		if !known[incarnation] && l.inFlight == 0 {
			delete(t.servers, incarnation)
		}
	}
	return counts.reach(), evidence
}

// RecordProbes records a round of probes, each of which tried to connect to a server; it reports whether requests are sent
// directly again from now on.
func (t *Tracker) RecordProbes(connected, tried int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if connected > 0 {
		t.contactAt = now
	}
	if tried == 0 || connected < tried {
		t.probes = 0
		return false
	}
	if t.probes++; t.probes < successfulProbes<<t.relapses {
		return false
	}
	if _, _, changed := t.machine.Fire(eventRegained); !changed {
		return false
	}
	t.regainedAt = now
	clear(t.servers)
	t.lost = make(chan struct{})
	klog.InfoS("Servers regained", "lostFor", now.Sub(t.lostAt).String())
	return true
}

// isUnreached reports whether the newest evidence is a failure, or the server is silent for longer than its work can explain.
func (l *link) isUnreached(now time.Time) bool {
	return l.isSilent(now) || (l.failedAt.After(l.answeredAt) && l.failedAt.After(l.connectedAt) && now.Sub(l.failedAt) < evidenceAge)
}

// isReached reports whether the server has answered within an age, or taken a connection lately.
func (l *link) isReached(now time.Time, age time.Duration) bool {
	return now.Sub(l.answeredAt) < age || now.Sub(l.connectedAt) < answerAge
}

// isSuspected reports whether the server leaves requests unanswered, be it that it works on them or that it is not reached.
func (l *link) isSuspected(now time.Time) bool {
	return l.inFlight > 0 && now.Sub(l.unansweredSince) >= suspectAfter || l.isAbandoned(now)
}

// isAbandoned reports whether requests to the server were given up lately, and none was answered since.
//
// Load pattern: callers have short timeouts. What they give up says as much of the server as what is still in flight.
func (l *link) isAbandoned(now time.Time) bool {
	return l.abandonedAt.After(l.answeredAt) && now.Sub(l.abandonedAt) < evidenceAge
}

// isSilent reports whether the server leaves requests in flight unanswered for much longer than they usually take.
func (l *link) isSilent(now time.Time) bool {
	return l.inFlight > 0 && l.usual > 0 && now.Sub(l.unansweredSince) >= max(silentAfter, silentFactor*l.usual)
}

// observation returns the evidence that a server is not reached.
func (l *link) observation(server *pollencatalog.Server, now time.Time) Observation {
	if l.isSilent(now) {
		return Observation{Server: server.ID, failure: silence, at: l.unansweredSince}
	}
	return Observation{Server: server.ID, failure: l.failure, at: l.failedAt}
}
