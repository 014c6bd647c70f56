package pollenrollout

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenstore"
)

// behaviour is what the servers of the target do with a request that other servers answer in latency.
type behaviour func(f *fleet, route, server string, latency time.Duration) (Result, time.Duration)

// fleet simulates instances, servers and the store in virtual time.
type fleet struct {
	random    *rand.Rand
	policy    Policy
	now       time.Time
	start     time.Time
	instances []*fleetInstance
	driver    int
	store     fleetStore
	target    behaviour
	rate      float64
	ending    []ending
	// exposure, total and bad count until the deadline; badTimes holds when bad responses came, lastExposure when the last request went to
	// the target.
	exposure, total int
	badTimes        []time.Time
	lastExposure    time.Time
	shares          []float64
	revision        uint64
	order           *pollencatalog.RolloutOrder
}

type fleetInstance struct {
	name     string
	router   *Router
	driver   *Driver
	recorder *Recorder
	table    *pollencatalog.Table
	readsAt  time.Time
	dead     bool
}

type ending struct {
	at      time.Time
	attempt *Attempt
	result  Result
	latency time.Duration
}

// fleetStore is a Store that can lose answers and calls.
type fleetStore struct {
	state    pollencatalog.RolloutState
	revision uint64
	order    uint64
	writes   int
	fault    func(write int) (apply, answer bool)
	history  []pollencatalog.RolloutState
	// record is the stored record of the version in force, commits the number of transactions that wrote it.
	record  *pollencatalog.VersionRecord
	commits int
	era     uint64
}

// Commit implements Committer.
func (s *fleetStore) Commit(_ context.Context, t pollenstore.Transaction) (uint64, error) {
	s.commits++
	for _, condition := range t.Conditions {
		revision := s.state.Revision
		if strings.HasPrefix(condition.Key, RecordPrefix) {
			revision = 0
			if s.record != nil {
				revision = s.record.Revision
			}
		}
		if condition.Version != revision {
			return 0, &pollenstore.ConditionError{}
		}
	}
	s.revision++
	entry := t.Puts[0]
	entry.Version = s.revision
	s.record = DecodeRecord(entry)
	return s.revision, nil
}

// copyStore returns a function that restores the store as it is now.
func (f *fleet) copyStore() (restore func()) {
	state, revision, order, record, given := f.store.state, f.store.revision, f.store.order, f.store.record, f.order
	return func() {
		f.store.state, f.store.revision, f.store.order, f.store.record, f.order = state, revision, order, record, given
		f.store.era++
	}
}

var errStore = errors.New("no answer")

func (s *fleetStore) WriteRollout(_ context.Context, state pollencatalog.RolloutState) (uint64, error) {
	s.writes++
	apply, answer := true, true
	if s.fault != nil {
		apply, answer = s.fault(s.writes)
	}
	if apply {
		if state.Revision != s.state.Revision || state.OrderRevision != s.order {
			return 0, errStore
		}
		s.revision++
		state.Revision = s.revision
		s.state = state
		s.history = append(s.history, state)
	}
	if !answer {
		return 0, errStore
	}
	return s.revision, nil
}

func (s *fleetStore) ReadRollout(context.Context, string) (pollencatalog.RolloutState, error) {
	return s.state, nil
}

const (
	testService = "shard"
	step        = 10 * time.Millisecond
)

func newFleet(seed uint64, instances int, rate float64, target behaviour) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 7)), policy: Policy{Share: 0.1, Slack: 50, RollbackDelay: 5 * time.Second},
		now: time.Unix(1000, 0), rate: rate, target: target, revision: 10,
	}
	f.start = f.now
	for i := range instances {
		f.instances = append(f.instances, f.newInstance(fmt.Sprintf("entry-%d", i), "a"))
	}
	f.publish("v1")
	return f
}

// newInstance returns an instance that knows nothing.
func (f *fleet) newInstance(name, incarnation string) *fleetInstance {
	n := &fleetInstance{name: name, router: NewRouter(RouterConfig{Policy: f.policy, Instance: name, Incarnation: incarnation})}
	table := func() *pollencatalog.Table { return n.table }
	n.driver = NewDriver(DriverConfig{Policy: f.policy, Store: &f.store, Router: n.router, Collector: NewCollector(), Instance: name, Table: table})
	n.recorder = NewRecorder(RecorderConfig{Store: &f.store, Router: n.router, Instance: name, Table: table})
	return n
}

// restart replaces an instance by one that knows nothing, and reads the store at once.
func (f *fleet) restart(n int) { f.instances[n] = f.newInstance(f.instances[n].name, "b") }

// publish gives all instances a table with servers of the given versions.
func (f *fleet) publish(versions ...string) {
	for _, n := range f.instances {
		f.publishTo(n, versions...)
	}
}

func (f *fleet) publishTo(n *fleetInstance, versions ...string) {
	config := pollencatalog.TableConfig{StoreEra: f.store.era + 1, Configuration: &pollencatalog.Configuration{Services: map[string]pollencatalog.Service{testService: {}}}}
	for i, other := range f.instances {
		if !other.dead {
			config.Instances = append(config.Instances, pollencatalog.Instance{Name: fmt.Sprintf("entry-%d", i)})
		}
	}
	for v, version := range versions {
		for i := range 3 {
			config.Servers = append(config.Servers, &pollencatalog.Server{ID: fmt.Sprintf("%s-%d", version, i), Service: testService, Version: version, StartedAt: f.start.Add(time.Duration(v-10) * time.Minute)})
		}
	}
	if f.order != nil {
		config.RolloutOrders = []*pollencatalog.RolloutOrder{f.order}
	}
	if f.store.state.Revision > 0 {
		state := f.store.state
		config.RolloutStates = []*pollencatalog.RolloutState{&state}
	}
	if f.store.record != nil {
		config.VersionRecords = []*pollencatalog.VersionRecord{f.store.record}
	}
	n.table = pollencatalog.NewTable(config)
	n.router.Observe(n.table, f.now)
}

// command orders a rollout; the instances read it within a second.
func (f *fleet) command(target string, duration time.Duration) {
	f.revision++
	f.store.order = f.revision
	f.order = &pollencatalog.RolloutOrder{Service: testService, Target: target, Duration: duration, Revision: f.revision}
	for _, n := range f.instances {
		n.readsAt = f.now.Add(time.Duration(f.random.Float64() * float64(800*time.Millisecond)))
	}
}

// run simulates the time until an end; each instance reads the store about once a second.
func (f *fleet) run(end time.Time, versions ...string) {
	for ; f.now.Before(end); f.now = f.now.Add(step) {
		for _, n := range f.instances {
			if !n.dead && !f.now.Before(n.readsAt) {
				f.publishTo(n, versions...)
				n.readsAt = f.now.Add(time.Second)
			}
			if !n.dead && f.random.Float64() < f.rate*step.Seconds()/float64(len(f.instances)) {
				f.send(n)
			}
		}
		f.ending = f.finish()
		if f.now.Sub(f.start)%ReportInterval < step {
			f.record()
			f.report()
		}
	}
}

// send makes one request of an instance.
func (f *fleet) send(n *fleetInstance) {
	route := []string{"search", "urgent"}[f.random.IntN(2)]
	servers := n.router.Admit(n.table.AppendEligible(nil, testService), testService, n.router.Choose(testService, f.now), f.now)
	if len(servers) == 0 {
		return
	}
	server := servers[f.random.IntN(len(servers))]
	latency := time.Duration((0.5 + f.random.Float64()) * float64(30*time.Millisecond))
	if f.random.Float64() < 0.05 {
		latency += time.Duration(f.random.Float64() * float64(200*time.Millisecond))
	}
	result := Answered
	if f.random.Float64() < 0.01 {
		result = Failed
	}
	f.total++
	if f.order != nil && server.Version == f.order.Target {
		f.exposure++
		f.lastExposure = f.now
		was, normal := result, latency
		result, latency = f.target(f, route, server.ID, latency)
		if result == Answered && was == Failed {
			result = Failed
		}
		if result == Failed || latency > 2*normal {
			f.badTimes = append(f.badTimes, f.now.Add(latency))
		}
	}
	f.ending = append(f.ending, ending{f.now.Add(latency), n.router.Start(route, server, f.now), result, latency})
}

func (f *fleet) finish() []ending {
	var open []ending
	for _, e := range f.ending {
		if e.at.After(f.now) {
			open = append(open, e)
			continue
		}
		e.attempt.Finish(e.result, e.latency, f.now)
	}
	return open
}

// record runs the recorders one after the other.
func (f *fleet) record() {
	for _, n := range f.instances {
		if !n.dead {
			n.recorder.Tick(context.Background(), f.now)
			for n.recorder.isBusy() {
				runtime.Gosched()
			}
		}
	}
}

// report passes the reports to the driver and runs its decision.
func (f *fleet) report() {
	if f.order == nil || f.driver < 0 {
		return
	}
	driver := f.instances[f.driver]
	for _, n := range f.instances {
		if n.dead {
			continue
		}
		for _, report := range n.router.Reports(f.now) {
			n.router.Follow(driver.driver.Receive(report, f.now), f.now)
		}
	}
	if order := driver.table.Rollout(testService).Order; order != nil && !driver.dead {
		if s := driver.driver.begin(testService); s != nil {
			driver.driver.step(context.Background(), s, order, f.now)
			driver.driver.end(s)
		}
	}
	if f.store.state.Share > 0 {
		f.shares = append(f.shares, f.store.state.Share)
	}
}

// bad returns a behaviour that makes a share of the answers fail, or slower by a factor, once a condition holds.
func bad(share, factor float64, when func(f *fleet, route, server string) bool) behaviour {
	return func(f *fleet, route, server string, latency time.Duration) (Result, time.Duration) {
		switch {
		case !when(f, route, server) || f.random.Float64() >= share:
			return Answered, latency
		case factor > 0:
			return Answered, time.Duration(factor * float64(latency))
		}
		return Failed, latency
	}
}

func always(*fleet, string, string) bool { return true }

func late(f *fleet, _, _ string) bool { return f.now.Sub(f.start) > 22*time.Second }

func oneRoute(_ *fleet, route, _ string) bool { return route == "urgent" }

func underLoad(f *fleet, _, _ string) bool { return f.store.state.Share >= 0.6 }

// TestVersionsAreJudged guards against a bad version that is completed or gets more requests than the bound, and against a good one that
// is rolled back.
func TestVersionsAreJudged(t *testing.T) {
	tests := []struct {
		name   string
		target behaviour
		good   bool
	}{
		{"good", bad(0, 0, always), true},
		{"bad from the start", bad(0.3, 0, always), false},
		{"all fail", bad(1, 0, always), false},
		{"late bad", bad(0.3, 0, late), false},
		{"slow", bad(1, 5, always), false},
		{"slow in part", bad(0.4, 6, always), false},
		{"one route bad", bad(0.5, 0, oneRoute), false},
		{"one route slow", bad(0.6, 6, oneRoute), false},
		{"bad under load", bad(0.4, 0, underLoad), false},
	}
	const duration = 30 * time.Second
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			wrong, over, worst := 0, 0, 0.0
			runs := 0
			for _, rate := range []float64{12, 40, 200} {
				for _, instances := range []int{2, 6, 12} {
					for seed := range uint64(4) {
						f := newFleet(seed, instances, rate, test.target)
						f.run(f.start.Add(300*time.Millisecond), "v1", "v2")
						qt.Assert(t, f.exposure, qt.Equals, 0, qt.Commentf("requests before the order"))
						f.command("v2", duration)
						end := f.now.Add(duration)
						f.total = 0
						f.run(end, "v1", "v2")
						runs++
						want := stateRolledBack
						if test.good {
							want = stateCompleted
						}
						if f.store.state.State != want {
							wrong++
							t.Logf("rate %v instances %d seed %d: %s (%s), exposure %d of %d", rate, instances, seed, f.store.state.State, f.store.state.Cause, f.exposure, f.total)
						}
						if test.good {
							continue
						}
						worst = max(worst, float64(f.exposure)/(0.1*float64(f.total)+50))
						if float64(f.exposure) > 0.1*float64(f.total)+50 {
							over++
						}
						if len(f.badTimes) >= 50 {
							qt.Check(t, f.lastExposure.Sub(f.badTimes[49]) <= 5*time.Second, qt.IsTrue)
						}
					}
				}
			}
			t.Logf("%d runs, %d wrong, %d over the bound, largest part of it %.2f", runs, wrong, over, worst)
			qt.Assert(t, wrong, qt.Equals, 0)
			qt.Assert(t, over, qt.Equals, 0)
		})
	}
}
