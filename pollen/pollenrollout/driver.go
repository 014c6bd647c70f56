package pollenrollout

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
)

// Store writes and reads the states of rollouts.
type Store interface {
	// WriteRollout writes a state and the operator's status in one step, if the order is still the one of the state and the stored
	// state still has the revision that the state names. It returns the new revision.
	WriteRollout(ctx context.Context, state pollencatalog.RolloutState) (uint64, error)
	// ReadRollout returns the stored state with its revision; it has only the service if there is none, and also has the revision if it
	// is not readable.
	ReadRollout(ctx context.Context, service string) (pollencatalog.RolloutState, error)
}

// DriverConfig holds the parameters of a Driver.
type DriverConfig struct {
	Policy    Policy
	Store     Store
	Router    *Router
	Collector *Collector
	// Instance is the name of this instance.
	Instance string
	Table    func() *pollencatalog.Table
}

// Driver decides on the rollouts of the services of which this instance is the driver.
type Driver struct {
	config DriverConfig
	mu     sync.Mutex
	driven map[string]*driven
}

// driven is the state of a service that this instance drives.
type driven struct {
	// busy is set during a step.
	busy bool
	// state is the newest stored state that is known; nil if there is none.
	state *pollencatalog.RolloutState
	// unsure is set if the stored state must be read before the next write: a write was lost, or another instance has written.
	unsure bool
}

// NewDriver returns a Driver that has not decided anything.
func NewDriver(config DriverConfig) *Driver {
	return &Driver{config: config, driven: make(map[string]*driven)}
}

// Tick starts a step for each service with an open order that this instance drives, unless one runs.
func (d *Driver) Tick(ctx context.Context) {
	table := d.config.Table()
	if table.Configuration() == nil {
		return
	}
	open := make(map[string]bool)
	for _, service := range table.RolloutServices() {
		order := table.Rollout(service).Order
		driver, ok := DriverOf(service, table.Senders())
		if order == nil || !ok || driver.Name != d.config.Instance {
			continue
		}
		if _, _, _, state := d.config.Router.View(service); state != nil && state.OrderRevision == order.Revision && Ended(state) {
			continue
		}
		open[service] = true
		if s := d.begin(service); s != nil {
			go func() {
				d.step(ctx, s, order, time.Now())
				d.end(s)
			}()
		}
	}
	d.forgetOthers(open)
}

// begin returns the state of a service if no step runs for it.
func (d *Driver) begin(service string) *driven {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.driven[service]
	if !ok {
		s = &driven{}
		d.driven[service] = s
	}
	if s.busy {
		return nil
	}
	s.busy = true
	return s
}

func (d *Driver) end(s *driven) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.busy = false
}

// forgetOthers drops what is known of services without an open order that this instance drives.
func (d *Driver) forgetOthers(open map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, s := range d.driven {
		if !open[service] && !s.busy {
			delete(d.driven, service)
		}
	}
	d.config.Collector.Retain(open)
}

// Receive takes an instance's report and returns the answer.
func (d *Driver) Receive(report Report, now time.Time) Ruling {
	ruling := Ruling{Service: report.Service, Stop: d.config.Collector.Record(report, now)}
	if _, _, _, state := d.config.Router.View(report.Service); state != nil && state.OrderRevision == report.OrderRevision {
		ruling.State = state
	}
	return ruling
}

// step decides once on a service, and stores what was decided.
func (d *Driver) step(ctx context.Context, s *driven, order *pollencatalog.RolloutOrder, now time.Time) {
	inForce, targets, formers, known := d.config.Router.View(order.Service)
	s.take(known)
	if s.unsure && !d.read(ctx, s, order.Service, now) {
		return
	}
	table := d.config.Table()
	facts := Facts{Order: order, State: s.state, InForce: inForce, TargetServers: targets, FormerServers: formers}
	_, facts.ServiceKnown = table.Configuration().Services[order.Service]
	d.config.Collector.summarize(&facts, table.Senders(), now)
	next, ok := Decide(d.config.Policy, facts, now)
	if !ok {
		return
	}
	revision, err := d.config.Store.WriteRollout(ctx, next)
	if err != nil {
		s.unsure = true
		klog.ErrorS(err, "Rollout step not stored", "service", next.Service, "target", next.Target, "state", next.State, "step", next.Step)
		return
	}
	next.Revision = revision
	s.state = &next
	logStep(next)
	d.config.Router.Follow(Ruling{Service: next.Service, State: &next, Stop: facts.Finding}, now)
}

// take replaces the state by one that this instance has read otherwise, if that is newer.
func (s *driven) take(known *pollencatalog.RolloutState) {
	if known == nil || s.state != nil && s.state.OrderRevision == known.OrderRevision && s.state.Step >= known.Step {
		return
	}
	if s.state == nil || known.Revision > s.state.Revision {
		s.state = known
	}
}

// read reads the stored state and reports whether it could. A later step that is known to have been stored is kept, to be written again:
// the store may have come back from a copy.
func (d *Driver) read(ctx context.Context, s *driven, service string, now time.Time) bool {
	stored, err := d.config.Store.ReadRollout(ctx, service)
	if err != nil {
		klog.ErrorS(err, "Rollout state not read", "service", service)
		return false
	}
	s.unsure = false
	if s.state != nil && s.state.OrderRevision == stored.OrderRevision && s.state.Step > stored.Step {
		s.state.Revision = stored.Revision
		return true
	}
	s.state = &stored
	if stored.OrderRevision != 0 {
		d.config.Router.Follow(Ruling{Service: service, State: &stored}, now)
	}
	return true
}

// logStep writes the log line of a step.
func logStep(s pollencatalog.RolloutState) {
	klog.InfoS("Rollout step", "service", s.Service, "target", s.Target, "state", s.State, "share", s.Share, "step", s.Step, "order", s.OrderRevision,
		"cause", s.Cause, "problem", s.Problem, "exposure", s.Exposure, "total", s.Total,
		"targetEvidence", describe(s.TargetEvidence), "formerEvidence", describe(s.FormerEvidence))
}
