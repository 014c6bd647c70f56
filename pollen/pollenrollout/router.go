package pollenrollout

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
)

// Choice says to which versions of a service an attempt may go.
type Choice int

const (
	// Any stands for all servers to which some attempt may go now.
	Any Choice = iota
	// FirstToTarget is the first request of a subrequest that goes to the target.
	FirstToTarget
	// FirstToFormer is any other first request.
	FirstToFormer
	// Repeat is a hedge or a retry.
	Repeat
)

// RouterConfig holds the parameters of a Router.
type RouterConfig struct {
	Policy                Policy
	Instance, Incarnation string
	// OnState is called with each state that is adopted and must not block; it may be nil.
	OnState func(pollencatalog.RolloutState)
}

// Router decides which servers of a service may get requests of this instance, by their versions, and counts what they do while a
// rollout runs.
type Router struct {
	config RouterConfig
	mu     sync.Mutex
	// services holds all services by name.
	services map[string]*service
	// divided holds the services whose servers are not all alike or that have an open order; most have neither, and need no lock.
	divided atomic.Pointer[map[string]*service]
}

// service is what the Router knows of one service.
type service struct {
	mu    sync.Mutex
	order *pollencatalog.RolloutOrder
	state *pollencatalog.RolloutState
	// orderedAt is when this instance first saw the order.
	orderedAt time.Time
	// record is the stored record of the versions in force; nil if there is none. stored is the state of the rollout in the table.
	record *pollencatalog.VersionRecord
	stored *pollencatalog.RolloutState
	era    uint64
	// servers holds the servers of the table.
	servers []*pollencatalog.Server
	// known holds the versions that have the traffic apart from the rollout.
	known knowledge
	// unrecordedSince is since when the store has not had them; zero if it has, or if the configuration does not have the service.
	unrecordedSince time.Time
	// isAbsent is set while the service has servers, but none of the versions in force.
	isAbsent bool
	// sharers is the number of instances that share the slack; registered is set if this one is among them.
	sharers    int
	registered bool
	// target and former count the servers that may get requests.
	targets, formers int

	// The rest counts since the order.

	weight                          float64
	exposure, total                 uint64
	targetsInFlight, formerInFlight int
	routes                          map[string]*Pair
	detector                        *Detector
	// stop says why nothing is sent to the target, although the state would allow it; stoppedAt is since when.
	stop      string
	stoppedAt time.Time
	// contactAt is when the driver last answered.
	contactAt time.Time
}

// NewRouter returns a Router that knows no services.
func NewRouter(config RouterConfig) *Router {
	r := &Router{config: config, services: make(map[string]*service)}
	r.divided.Store(&map[string]*service{})
	return r
}

// Observe takes a new table.
func (r *Router) Observe(table *pollencatalog.Table, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	divided := make(map[string]*service)
	registered := slices.ContainsFunc(table.Instances(), func(i pollencatalog.Instance) bool { return i.Name == r.config.Instance })
	withoutServers := slices.DeleteFunc(slices.Clone(table.RolloutServices()), func(name string) bool { return len(table.ServersOf(name)) > 0 })
	for _, name := range append(table.Services(), withoutServers...) {
		s, ok := r.services[name]
		if !ok {
			s = &service{}
			r.services[name] = s
		}
		if r.observeService(s, name, table, registered, now) {
			divided[name] = s
		}
	}
	r.divided.Store(&divided)
}

// observeService takes a new table for one service, and reports whether its servers must be told apart.
func (r *Router) observeService(s *service, name string, table *pollencatalog.Table, registered bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rollout := table.Rollout(name)
	s.setOrder(rollout.Order, now)
	s.record, s.stored, s.era = rollout.Record, rollout.State, table.StoreEra()
	if rollout.State != nil {
		r.adopt(s, *rollout.State)
	}
	s.sharers, s.registered = table.SharerCount(), registered
	servers := table.ServersOf(name)
	s.servers = servers
	s.updateKnown()
	s.noteAbsence(name)
	s.noteUnrecorded(table.Configuration(), name, now)
	s.targets, s.formers = 0, 0
	for _, server := range servers {
		switch {
		case !table.Eligible(server):
		case s.isTarget(server):
			s.targets++
		case s.isInForce(server):
			s.formers++
		}
	}
	return s.open() || slices.ContainsFunc(servers, func(server *pollencatalog.Server) bool { return !s.isInForce(server) })
}

// setOrder takes the service's order; counting starts anew with a new one.
func (s *service) setOrder(order *pollencatalog.RolloutOrder, now time.Time) {
	if order != nil && (s.order == nil || s.order.Revision != order.Revision) {
		s.orderedAt, s.weight, s.exposure, s.total = now, 0, 0, 0
		s.targetsInFlight, s.formerInFlight = 0, 0
		s.routes, s.detector = make(map[string]*Pair), NewDetector()
		s.stop, s.stoppedAt, s.contactAt = "", time.Time{}, time.Time{}
	}
	s.order = order
}

// updateKnown takes what the store and the servers say of the versions in force.
func (s *service) updateKnown() {
	s.known = s.known.next(versionFacts{record: s.record, state: s.state, order: s.order, era: s.era, servers: s.servers})
}

// isInForce reports whether a server is of a version that has the traffic apart from the rollout.
func (s *service) isInForce(server *pollencatalog.Server) bool {
	return slices.Contains(s.known.versions, server.Version)
}

// noteAbsence logs when the last server of the versions in force is gone while others remain, and when the first one is back.
func (s *service) noteAbsence(name string) {
	isAbsent := len(s.servers) > 0 && !slices.ContainsFunc(s.servers, s.isInForce)
	switch {
	case isAbsent && !s.isAbsent:
		klog.InfoS("No server of the version in force", "service", name, "versions", s.known.versions, "order", s.known.orderRevision, "otherServers", len(s.servers))
	case !isAbsent && s.isAbsent && len(s.servers) > 0:
		klog.InfoS("Servers of the version in force are back", "service", name, "versions", s.known.versions)
	}
	s.isAbsent = isAbsent
}

// noteUnrecorded notes since when the store has not had the versions in force.
func (s *service) noteUnrecorded(configuration *pollencatalog.Configuration, name string, now time.Time) {
	isRecorded := slices.Equal(storedKnowledge(s.record, s.stored).versions, s.known.versions)
	isConfigured := false
	if configuration != nil {
		_, isConfigured = configuration.Services[name]
	}
	switch {
	case isRecorded || !isConfigured || len(s.known.versions) == 0:
		s.unrecordedSince = time.Time{}
	case s.unrecordedSince.IsZero():
		s.unrecordedSince = now
	}
}

// current reports whether the state belongs to the order.
func (s *service) current() bool {
	return s.state != nil && s.order != nil && s.state.OrderRevision == s.order.Revision
}

// open reports whether there is an order that is neither completed nor rolled back.
func (s *service) open() bool { return s.order != nil && !(s.current() && Ended(s.state)) }

// isTarget reports whether a server is of the version of the order.
func (s *service) isTarget(server *pollencatalog.Server) bool {
	return s.order != nil && server.Version == s.order.Target && !s.isInForce(server)
}

// adopt takes a stored state unless a later step, or a state of the present order instead of a former one, is known.
func (r *Router) adopt(s *service, state pollencatalog.RolloutState) {
	switch {
	case s.state == nil:
	case s.state.OrderRevision == state.OrderRevision && s.state.Step >= state.Step:
		return
	case s.state.OrderRevision != state.OrderRevision && s.current():
		return
	}
	s.state = &state
	if r.config.OnState != nil {
		r.config.OnState(state)
	}
}

// lookup returns the service if its servers must be told apart.
func (r *Router) lookup(name string) *service {
	if r == nil {
		return nil
	}
	return (*r.divided.Load())[name]
}

// mode says which servers may get requests now.
type mode int

const (
	formerOnly mode = iota
	dividing
	targetOnly
)

// contactShare is the part of the rollback delay for which an instance goes on sending to the target without an answer of the driver: it
// might have been told to stop. A driver that died is replaced within it.
const contactShare = 0.8

func (s *service) mode(policy Policy, now time.Time) mode {
	switch {
	case !s.current() || !divides(s.state) || s.stop != "" || now.After(s.state.Deadline.Add(orderAge)):
		return formerOnly
	case s.state.Share >= 1:
		return targetOnly
	case now.Sub(s.contactAt) > time.Duration(contactShare*float64(policy.RollbackDelay)):
		return formerOnly
	}
	return dividing
}

// Choose returns which servers the first request of a subrequest should go to; it is called once for each.
func (r *Router) Choose(name string, now time.Time) Choice {
	s := r.lookup(name)
	if s == nil {
		return FirstToFormer
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.mode(r.config.Policy, now) {
	case targetOnly:
		return FirstToTarget
	case dividing:
		// The weight makes the choice smooth, as Splitter does for services.
		s.weight += s.state.Share
		if s.weight >= 0.5 && s.targets > 0 && float64(s.exposure+1) <= s.allowance(r.config.Policy) {
			s.weight = min(s.weight-1, 0.5)
			return FirstToTarget
		}
		s.weight = min(s.weight, 1)
	}
	return FirstToFormer
}

// allowance returns how many requests this instance may send to the target, so that all instances together keep to the bound without
// asking each other. Until the traffic is widened it is the part of the bound that is for the canary.
func (s *service) allowance(policy Policy) float64 {
	allowed := policy.Share * float64(s.total)
	if s.registered {
		allowed += policy.Slack / float64(s.sharers)
	}
	if s.state.State == stateCanary {
		allowed *= canaryBudgetShare
	}
	return allowed
}

// Admit removes the servers that an attempt may not go to because of their version.
func (r *Router) Admit(servers []*pollencatalog.Server, name string, choice Choice, now time.Time) []*pollencatalog.Server {
	s := r.lookup(name)
	if s == nil {
		return servers
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	mode := s.mode(r.config.Policy, now)
	hasFormer, hasTarget := slices.ContainsFunc(servers, s.isInForce), slices.ContainsFunc(servers, s.isTarget)
	admits := s.isInForce
	switch {
	case mode == targetOnly && hasTarget, mode == dividing && choice == FirstToTarget && hasTarget:
		admits = s.isTarget
	case mode == dividing && choice == Any && hasFormer:
		admits = func(server *pollencatalog.Server) bool { return s.isInForce(server) || s.isTarget(server) }
	case hasFormer:
	case mode == dividing:
		// The former servers are gone: the target gets what the bound allows.
		allowed := float64(s.exposure+1) <= s.allowance(r.config.Policy)
		admits = func(server *pollencatalog.Server) bool { return allowed && s.isTarget(server) }
	}
	return slices.DeleteFunc(servers, func(server *pollencatalog.Server) bool { return !admits(server) })
}

// Admits implements pollengate.Versions.
func (r *Router) Admits(server *pollencatalog.Server, table *pollencatalog.Table, now time.Time) bool {
	if r.lookup(server.Service) == nil {
		return true
	}
	return slices.Contains(r.Admit(table.AppendEligible(nil, server.Service), server.Service, Any, now), server)
}

// Attempt is one request to a server of a service whose rollout runs.
type Attempt struct {
	service  *service
	detector *Detector
	route    string
	server   string
	isTarget bool
	cold     bool
}

// Result is what became of a request.
type Result int

const (
	// Unsent requests have not reached the server.
	Unsent Result = iota
	// NotRun requests were refused by the server, which says nothing about its version.
	NotRun
	// Failed requests have no usable answer.
	Failed
	// Answered requests have one.
	Answered
)

// Start records that a request is sent to a server; the result is nil if the server's service has no open order.
func (r *Router) Start(route string, server *pollencatalog.Server, now time.Time) *Attempt {
	s := r.lookup(server.Service)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open() {
		return nil
	}
	a := &Attempt{service: s, detector: s.detector, route: route, server: server.ID, isTarget: s.isTarget(server), cold: server.Cold(now)}
	if a.isTarget {
		s.exposure++
		s.targetsInFlight++
	} else {
		s.formerInFlight++
	}
	return a
}

// Finish records the result of a request; latency is that of its answer from when it was sent. A nil Attempt is not recorded.
func (a *Attempt) Finish(result Result, latency time.Duration, now time.Time) {
	if a == nil {
		return
	}
	s := a.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.detector != a.detector {
		// The attempt belongs to a former order.
		return
	}
	if a.isTarget {
		s.targetsInFlight--
		if result == Unsent {
			s.exposure--
		}
	} else {
		s.formerInFlight--
	}
	if result != Unsent {
		s.total++
	}
	if result != Failed && result != Answered {
		return
	}
	pair, ok := s.routes[a.route]
	if !ok {
		pair = &Pair{Target: make(map[string]Counts)}
		s.routes[a.route] = pair
	}
	one := Counts{Requests: 1}
	switch {
	case result == Failed:
		one.Failures = 1
	case !a.cold:
		// A cold server is slow whatever its version.
		one.Latencies[latencyClass(latency)] = 1
	}
	if a.isTarget {
		pair.add(Pair{Target: map[string]Counts{a.server: one}})
	} else {
		pair.Former.add(&one)
	}
	if a.isTarget && divides(s.state) {
		s.review(now)
	}
}

// review stops sending to the target if this instance's own evidence is bad.
func (s *service) review(now time.Time) {
	finding := s.detector.Update(s.copyRoutes(), now)
	if finding != "" && s.stop == "" {
		s.stop, s.stoppedAt = finding, now
		klog.InfoS("Rollout stopped here", "service", s.order.Service, "target", s.order.Target, "cause", finding)
	}
}

func (s *service) copyRoutes() map[string]Pair {
	routes := make(map[string]Pair, len(s.routes))
	for route, pair := range s.routes {
		routes[route] = pair.clone()
	}
	return routes
}

// Reports returns what this instance tells the drivers of the services that have an open order. One that is not registered and has sent
// nothing under the order reports nothing.
func (r *Router) Reports(now time.Time) []Report {
	var reports []Report
	divided := *r.divided.Load()
	for _, name := range slices.Sorted(maps.Keys(divided)) {
		s := divided[name]
		s.mu.Lock()
		if s.open() && (s.registered || s.total > 0 || s.targetsInFlight+s.formerInFlight > 0) {
			report := Report{
				Instance: r.config.Instance, Incarnation: r.config.Incarnation, Service: name, OrderRevision: s.order.Revision, OrderAge: now.Sub(s.orderedAt),
				Exposure: s.exposure, Total: s.total, FormerInFlight: s.formerInFlight, Routes: s.copyRoutes(),
			}
			if s.current() {
				report.Step = s.state.Step
			}
			reports = append(reports, report)
		}
		s.mu.Unlock()
	}
	return reports
}

// missingRecords returns what is known of the versions in force where the store does not say it, ordered by service.
func (r *Router) missingRecords() []unrecorded {
	r.mu.Lock()
	defer r.mu.Unlock()
	var records []unrecorded
	for name, s := range r.services {
		s.mu.Lock()
		if !s.unrecordedSince.IsZero() {
			u := unrecorded{since: s.unrecordedSince, record: pollencatalog.VersionRecord{
				Service: name, Versions: s.known.versions, OrderRevision: s.known.orderRevision, Guessed: s.known.guessed, At: s.known.at,
			}}
			if s.record != nil {
				u.record.Revision = s.record.Revision
			}
			if s.stored != nil {
				u.stateRevision = s.stored.Revision
			}
			records = append(records, u)
		}
		s.mu.Unlock()
	}
	slices.SortFunc(records, func(a, b unrecorded) int { return cmp.Compare(a.record.Service, b.record.Service) })
	return records
}

// resumeDelay is how long after a stop by this instance's own evidence the driver is given to confirm it.
const resumeDelay = time.Second

// Follow takes a driver's answer to a report of this instance. If the driver has not found the evidence of all instances bad a second
// after this instance has stopped by itself, it resumes: its path to the servers may be what is bad.
func (r *Router) Follow(ruling Ruling, now time.Time) {
	s := r.lookup(ruling.Service)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.order == nil {
		return
	}
	s.contactAt = now
	if ruling.State != nil && ruling.State.OrderRevision == s.order.Revision {
		r.adopt(s, *ruling.State)
		s.updateKnown()
	}
	switch {
	case ruling.Stop != "" && s.stop == "":
		s.stop, s.stoppedAt = ruling.Stop, now
	case ruling.Stop == "" && s.stop != "" && now.Sub(s.stoppedAt) >= resumeDelay:
		klog.InfoS("Rollout resumed here", "service", s.order.Service, "target", s.order.Target)
		s.stop = ""
		s.detector.forgive()
	}
}

// View returns what the Router knows of a service, for the decision.
func (r *Router) View(name string) (inForce []string, targets, formers int, state *pollencatalog.RolloutState) {
	r.mu.Lock()
	s, ok := r.services[name]
	r.mu.Unlock()
	if !ok {
		return nil, 0, 0, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != nil {
		copied := *s.state
		state = &copied
	}
	return slices.Clone(s.known.versions), s.targets, s.formers, state
}
