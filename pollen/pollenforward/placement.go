package pollenforward

import (
	"fmt"
	"time"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollengate"
	"pollenline.example/pollen/pollenrank"
)

// Placement tells where a request of a route would go now.
type Placement struct {
	Route string
	// Outcome states what would happen to the request, Reason why if it would not be sent at once.
	Outcome string
	Reason  string
	// Needed is the number of services that must answer, NeededAtStart that of those that must have capacity at the start, and
	// Available and WithCapacity those that have an available server and one with capacity.
	Needed, NeededAtStart, Available, WithCapacity int
	Services                                       []ServicePlacement
}

// ServicePlacement lists the servers of one service.
type ServicePlacement struct {
	Service string
	Servers []ServerPlacement
}

// ServerPlacement tells whether a server may be sent the request, and what this instance knows of it.
type ServerPlacement struct {
	ID   string
	Zone string
	// HeldBack is why the server may be sent no request now; empty if it may.
	HeldBack string
	// Probability is that of being chosen for the first request.
	Probability float64
	// ExpectedMillis is the expected latency with penalties, AgeMillis the time since the newest result from the server, zero if
	// there was none.
	ExpectedMillis, AgeMillis float64
	InFlight                  int
	// HasCapacity is set if the server's queue is short enough for the objective.
	HasCapacity bool
}

// The outcomes of a Placement.
const (
	OutcomeSent    = "sent"
	OutcomeWaits   = "waits for capacity"
	OutcomeRefused = "refused"
	OutcomePassed  = "passed on to another instance"
)

// Place tells where a request of a route that arrived now would go, without sending it. It changes no state: no count, no ramp, no
// share and no random source.
func (f *Forwarder) Place(route *pollencatalog.Route, now time.Time) Placement {
	names := route.Shards
	if !route.Sharded() {
		names = make([]string, len(route.Split))
		for i, entry := range route.Split {
			names[i] = entry.Service
		}
	}
	if len(names) == 0 {
		return Placement{Route: route.Name, Outcome: OutcomeRefused, Reason: "the route names no service"}
	}
	c := &call{
		forwarder: f, route: route, request: &Request{Received: now}, subrequests: make([]subrequest, len(names)),
		schedule: NewSchedule(ScheduleConfig{Route: route, Received: now, CallerRoundTrip: f.config.CallerRoundTrip}),
	}
	for i, name := range names {
		c.subrequests[i].service = name
	}
	p := Placement{Route: route.Name, Needed: c.requiredAnswers(), NeededAtStart: c.requiredAtStart()}
	c.otherSenders = c.estimateOtherSenders(now)
	bound := c.latencyBound(now)
	for _, name := range names {
		service, available, hasCapacity := f.placeService(route, name, bound, now)
		p.Services = append(p.Services, service)
		if available {
			p.Available++
		}
		if hasCapacity {
			p.WithCapacity++
		}
	}
	switch {
	case f.config.Reach.CutOff():
		p.Outcome, p.Reason = OutcomePassed, "this instance reaches no servers"
	case p.Available < p.Needed:
		p.Outcome, p.Reason = OutcomeRefused, fmt.Sprintf("servers available for %d of %d services, %d needed", p.Available, len(names), p.Needed)
	case p.WithCapacity < p.NeededAtStart:
		p.Outcome, p.Reason = OutcomeWaits, fmt.Sprintf("servers of %d of %d services have capacity, %d needed", p.WithCapacity, len(names), p.NeededAtStart)
	default:
		p.Outcome = OutcomeSent
	}
	return p
}

// placeService lists the servers of a service, and tells whether any is available and whether any of those has capacity.
func (f *Forwarder) placeService(route *pollencatalog.Route, name string, bound pollenrank.LatencyBound, now time.Time) (service ServicePlacement, available, hasCapacity bool) {
	service.Service = name
	var candidates []*pollencatalog.Server
	var positions []int
	for i, server := range f.config.Table().ServersOf(name) {
		s := ServerPlacement{ID: server.ID, Zone: server.Zone}
		if reason := f.config.Gate.Check(server, now, now); reason != pollengate.None {
			s.HeldBack = reason.String()
		} else {
			candidates, positions = append(candidates, server), append(positions, i)
		}
		service.Servers = append(service.Servers, s)
	}
	for i, estimate := range f.config.Ranking.Estimates(route.Name, candidates, now) {
		s := &service.Servers[positions[i]]
		s.Probability, s.InFlight = estimate.Probability, estimate.InFlight
		s.ExpectedMillis, s.AgeMillis = milliseconds(estimate.ExpectedCost), milliseconds(estimate.Age)
		s.HasCapacity = estimate.Probability > 0 && (estimate.InFlight == 0 || f.config.Ranking.HasCapacity(route.Name, candidates[i], bound, now))
		available = available || estimate.Probability > 0
		hasCapacity = hasCapacity || s.HasCapacity
	}
	return service, available, hasCapacity
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
