package pollenreach

import (
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

const (
	// silentAfter is how long a server may leave all requests in flight unanswered before it counts as not reached. Servers
	// that pause or are slow do so one by one, and do not make up minLostShare.
	silentAfter = 400 * time.Millisecond
	// evidenceAge is the age up to which a failure counts.
	evidenceAge = 1500 * time.Millisecond
	// answerAge is the age up to which an answer counts as a sign that the server is reached.
	answerAge = 700 * time.Millisecond
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
}

// link is what is known of the way to one server.
type link struct {
	answeredAt, failedAt time.Time
	// inFlight counts requests without a result; unansweredSince is when the first of them was sent after the last answer.
	inFlight        int
	unansweredSince time.Time
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

// Begin records that a request is sent to a server; End must be called with its outcome.
func (t *Tracker) Begin(server *pollencatalog.Server, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.servers[server.Incarnation()]
	if !ok {
		l = &link{}
		t.servers[server.Incarnation()] = l
	}
	if l.inFlight == 0 {
		l.unansweredSince = now
	}
	l.inFlight++
}

// End records the outcome of a request that was sent at a time.
func (t *Tracker) End(server *pollencatalog.Server, outcome Outcome, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.servers[server.Incarnation()]
	if !ok {
		return
	}
	silent := l.isSilent(now)
	l.inFlight--
	switch outcome {
	case Answered:
		l.answeredAt, l.unansweredSince = now, now
	case Unreached:
		l.failedAt = now
	case Unknown:
		// A request that was given up unanswered leaves the server as silent as it was.
		if silent {
			l.failedAt = now
		}
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
	reach := t.count(table, now)
	if t.CutOff() || !reach.cutOff() {
		return reach
	}
	t.machine.Fire(eventLost)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lostAt, t.probes = now, 0
	if now.Sub(t.regainedAt) < relapseAge {
		t.relapses = min(t.relapses+1, maxRelapses)
	} else {
		t.relapses = 0
	}
	close(t.lost)
	klog.InfoS("Servers lost, requests go through other instances", "unreached", reach.Unreached, "reached", reach.Reached, "services", reach.Services, "zones", reach.Zones)
	return reach
}

// count returns the evidence and forgets servers that the table no longer holds.
func (t *Tracker) count(table *pollencatalog.Table, now time.Time) Reach {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reach Reach
	services, zones, allZones := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	known := make(map[pollencatalog.Incarnation]bool, len(t.servers))
	table.ForEachServer(func(s *pollencatalog.Server) {
		if table.Eligible(s) {
			allZones[s.Zone] = true
		}
		l, ok := t.servers[s.Incarnation()]
		if !ok {
			return
		}
		known[s.Incarnation()] = true
		switch {
		case l.isUnreached(now):
			reach.Unreached++
			services[s.Service], zones[s.Zone] = true, true
		case now.Sub(l.answeredAt) < answerAge:
			reach.Reached++
		}
	})
	for incarnation, l := range t.servers {
		if !known[incarnation] && l.inFlight == 0 {
			delete(t.servers, incarnation)
		}
	}
	reach.Services, reach.Zones, reach.AllZones = len(services), len(zones), len(allZones)
	return reach
}

// RecordProbes records a round of probes, each of which tried to connect to a server; it reports whether requests are sent
// directly again from now on.
func (t *Tracker) RecordProbes(connected, tried int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
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

// isUnreached reports whether the newest evidence is a failure, or the server is silent.
func (l *link) isUnreached(now time.Time) bool {
	return l.isSilent(now) || (l.failedAt.After(l.answeredAt) && now.Sub(l.failedAt) < evidenceAge)
}

// isSilent reports whether the server leaves requests in flight unanswered.
func (l *link) isSilent(now time.Time) bool {
	return l.inFlight > 0 && now.Sub(l.unansweredSince) >= silentAfter
}
