package pollenrollout

import (
	"slices"
	"sync"
	"time"

	"pollenline.example/pollen/pollencatalog"
)

// Collector holds the reports of all instances on the rollouts that this instance drives.
type Collector struct {
	mu       sync.Mutex
	services map[string]*collected
}

// collected holds the reports on one service under one order.
type collected struct {
	orderRevision uint64
	reports       map[reporter]received
	detector      *Detector
	finding       string
}

// reporter identifies one run of an instance. The counts of an instance that has ended remain.
type reporter struct {
	instance, incarnation string
}

type received struct {
	report Report
	at     time.Time
}

// freshness is the age up to which a report counts as the present state of its instance.
const freshness = 2 * time.Second

// NewCollector returns a Collector without reports.
func NewCollector() *Collector { return &Collector{services: make(map[string]*collected)} }

// Record takes a report, and returns why the instance must send nothing to the target; empty if it may.
func (c *Collector) Record(report Report, now time.Time) (stop string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(report.Service, report.OrderRevision)
	if s == nil {
		return ""
	}
	key := reporter{report.Instance, report.Incarnation}
	if before, ok := s.reports[key]; !ok || report.Total >= before.report.Total && report.Step >= before.report.Step {
		s.reports[key] = received{report: report, at: now}
	}
	return s.finding
}

// of returns what is collected under an order, or nil if a report on a later one has come.
func (c *Collector) of(service string, orderRevision uint64) *collected {
	s, ok := c.services[service]
	if !ok || s.orderRevision < orderRevision {
		s = &collected{orderRevision: orderRevision, reports: make(map[reporter]received), detector: NewDetector()}
		c.services[service] = s
	}
	if s.orderRevision != orderRevision {
		return nil
	}
	return s
}

// Retain drops the reports on all services but the given ones: this instance does not drive the others, or their rollouts have ended.
func (c *Collector) Retain(services map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service := range c.services {
		if !services[service] {
			delete(c.services, service)
		}
	}
}

// summarize adds what the reports say to the facts; instances are those that must follow the state before it counts as adopted.
func (c *Collector) summarize(facts *Facts, instances []pollencatalog.Instance, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(facts.Order.Service, facts.Order.Revision)
	if s == nil {
		return
	}
	step := 0
	if facts.State != nil {
		step = facts.State.Step
	}
	routes := make(map[string]Pair)
	followers := make(map[string]bool)
	for key, r := range s.reports {
		facts.OrderAge = max(facts.OrderAge, r.report.OrderAge+now.Sub(r.at))
		facts.Exposure += r.report.Exposure
		facts.Total += r.report.Total
		for route, pair := range r.report.Routes {
			sum := routes[route]
			sum.add(pair)
			routes[route] = sum
		}
		if now.Sub(r.at) <= freshness {
			facts.FormerInFlight += r.report.FormerInFlight
			followers[key.instance] = followers[key.instance] || r.report.Step >= step
		}
	}
	if finding := s.detector.Update(routes, now); divides(facts.State) {
		s.finding = finding
	}
	facts.Finding = s.finding
	facts.TargetEvidence, facts.FormerEvidence = s.detector.Target(), s.detector.Former()
	facts.Adopted = !slices.ContainsFunc(instances, func(i pollencatalog.Instance) bool { return !followers[i.Name] })
}
