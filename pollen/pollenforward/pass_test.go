package pollenforward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenbudget"
	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenquota"
	"pollenline.example/pollen/pollenramp"
	"pollenline.example/pollen/pollenrank"
	"pollenline.example/pollen/pollenreach"
)

// cutMode states how the links of an instance to all servers fail.
type cutMode int

const (
	cutNone cutMode = iota
	// cutHangs leaves connections without an answer and new ones unmade until they time out.
	cutHangs
	// cutResets breaks connections and refuses new ones.
	cutResets
	// cutRefuses refuses new connections, while those that are open live on.
	cutRefuses
)

const (
	passShards    = 12
	passInstances = 9
	testDialTime  = 500 * time.Millisecond
	// passDelay is the time of a request between two instances.
	passDelay = 4 * time.Millisecond
)

// cutExchanger is the Exchanger of one instance, whose links to all servers can fail.
type cutExchanger struct {
	mu   sync.Mutex
	mode cutMode
	// changed is closed when the mode changes.
	changed chan struct{}
	fleet   *passFleet
}

func (e *cutExchanger) setMode(mode cutMode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode = mode
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *cutExchanger) current() (cutMode, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mode, e.changed
}

func (e *cutExchanger) ConnectionAvailable(*pollencatalog.Server, int) bool { return true }

func (e *cutExchanger) Connect(ctx context.Context, server *pollencatalog.Server, _ int) error {
	switch mode, _ := e.current(); mode {
	case cutHangs:
		select {
		case <-time.After(testDialTime):
		case <-ctx.Done():
		}
		return &UnsentError{Server: server.ID, Unconnected: true, Err: context.DeadlineExceeded}
	case cutResets, cutRefuses:
		return &UnsentError{Server: server.ID, Unconnected: true, Refused: true, Err: errReset}
	}
	time.Sleep(2 * time.Millisecond)
	return nil
}

func (e *cutExchanger) Exchange(ctx context.Context, request ServerRequest) (*Answer, error) {
	if mode, _ := e.current(); mode == cutResets || (mode == cutHangs && e.fleet.chance(e.fleet.config.newConnections)) || (mode == cutRefuses && e.fleet.chance(0.5)) {
		// No connection is left, or none that does not hang.
		return nil, e.Connect(ctx, request.Server, 1)
	}
	if !request.SendGuard.Claim() {
		return nil, &UnsentError{Server: request.Server.ID, Err: &WithdrawnError{}}
	}
	mode, changed := e.current()
	if mode == cutResets {
		return nil, &NoAnswerError{Server: request.Server.ID, Broken: true, Err: errReset}
	}
	answered := e.fleet.start(ctx, request)
	if mode == cutHangs {
		answered = nil
	}
	for {
		select {
		case <-ctx.Done():
			return nil, &NoAnswerError{Server: request.Server.ID, Err: ctx.Err()}
		case <-answered:
			return &Answer{Status: 200, Signature: request.Server.ID}, nil
		case <-changed:
			if mode, changed = e.current(); mode == cutResets {
				return nil, &NoAnswerError{Server: request.Server.ID, Broken: true, Err: errReset}
			} else if mode == cutHangs {
				answered = nil
			}
		}
	}
}

// passFleetConfig states the size of a passFleet and how its servers and instances behave.
type passFleetConfig struct {
	services, serversPerService, slots, instances int
	// limitSlots makes requests wait for a slot of their server.
	limitSlots bool
	// newConnections is the share of requests that need a new connection while links hang.
	newConnections float64
	// reviewInterval is how often instances review whether they reach the servers.
	reviewInterval time.Duration
	// seed is that of the instances' choices.
	seed uint64
	// routeOf returns the route of a request.
	routeOf func(*Request) *pollencatalog.Route
}

// passFleet is a number of instances that can pass requests on to each other.
type passFleet struct {
	instances  []pollencatalog.Instance
	exchangers []*cutExchanger
	forwarders []*Forwarder
	trackers   []*pollenreach.Tracker
	rankings   []*pollenrank.Ranking
	table      *pollencatalog.Table
	config     passFleetConfig
	// slots holds the slots of each server, by its ID.
	slots map[string]chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	// runs counts how often each request ran at a service.
	runs map[string]int
}

func (f *passFleet) chance(share float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < share
}

// run records the run of a request and returns how long it takes: what its body says, else about 10 ms.
func (f *passFleet) run(request ServerRequest) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[request.Request.ID+"@"+request.Server.Service]++
	if work, err := time.ParseDuration(string(request.Request.Body)); err == nil {
		return work
	}
	return time.Duration(float64(10*time.Millisecond) * (0.6 + 0.8*f.random.Float64()))
}

// start runs a request once its server has a slot, and returns a channel that receives a value at the end of the run.
func (f *passFleet) start(ctx context.Context, request ServerRequest) <-chan time.Time {
	if !f.config.limitSlots {
		return time.After(f.run(request))
	}
	slot, answered := f.slots[request.Server.ID], make(chan time.Time, 1)
	go func() {
		select {
		case slot <- struct{}{}:
		case <-ctx.Done():
			return
		}
		defer func() { <-slot }()
		select {
		case now := <-time.After(f.run(request)):
			answered <- now
		case <-ctx.Done():
		}
	}()
	return answered
}

// Pass implements Passer.
func (f *passFleet) Pass(ctx context.Context, instance pollencatalog.Instance, request *Request, _ time.Time) (*Reply, error) {
	for i, other := range f.instances {
		if other.Name == instance.Name {
			time.Sleep(passDelay)
			passed := *request
			passed.Passed = true
			reply, _, err := f.forwarders[i].Serve(ctx, f.config.routeOf(request), &passed)
			time.Sleep(passDelay)
			return reply, err
		}
	}
	return nil, &UnsentError{Server: instance.Name, Unconnected: true, Err: errReset}
}

func passRouteOf(request *Request) *pollencatalog.Route {
	if request.Target == "/once" {
		return unshardedRoute(false)
	}
	r := shardedRoute(passShards)
	r.Timeout = 2 * time.Second
	return r
}

func newPassFleet(ctx context.Context, fleet passFleetConfig) *passFleet {
	f := &passFleet{config: fleet, random: rand.New(rand.NewPCG(1, 2)), runs: make(map[string]int), slots: make(map[string]chan struct{})}
	config := pollencatalog.TableConfig{Configuration: &pollencatalog.Configuration{Version: 1, Services: map[string]pollencatalog.Service{}}}
	for i := range fleet.services {
		config.Configuration.Services[service(i)] = pollencatalog.Service{Name: service(i), Connections: 100}
		for j := range fleet.serversPerService {
			id := fmt.Sprintf("%d-%d", i, j)
			config.Servers = append(config.Servers, &pollencatalog.Server{
				ID: id, Service: service(i), Zone: fmt.Sprintf("zone-%d", (i+j)%3), Slots: fleet.slots,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(j), byte(i)}), 80),
			})
			f.slots[id] = make(chan struct{}, fleet.slots)
		}
	}
	for i := range fleet.instances {
		config.Instances = append(config.Instances, pollencatalog.Instance{Name: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprintf("zone-%d", i%3), Processor: 0.4, Ready: true})
	}
	f.instances, f.table = config.Instances, pollencatalog.NewTable(config)
	for i := range fleet.instances {
		f.exchangers = append(f.exchangers, &cutExchanger{changed: make(chan struct{}), fleet: f})
		f.trackers = append(f.trackers, pollenreach.NewTracker())
		f.rankings = append(f.rankings, pollenrank.New(pollenrank.Config{Random: rand.New(rand.NewPCG(fleet.seed+2, uint64(i)))}))
		var others []pollencatalog.Instance
		others = append(append(others, f.instances[:i]...), f.instances[i+1:]...)
		f.forwarders = append(f.forwarders, New(Config{
			Exchanger: f.exchangers[i], Ranking: f.rankings[i], Reach: f.trackers[i],
			Passer: f, Others: func() []pollencatalog.Instance { return others }, Peers: pollenreach.NewPeers(rand.New(rand.NewPCG(fleet.seed+3, uint64(i)))),
			ColdLimiter: pollenramp.New(pollenramp.Config{}), Quotas: pollenquota.New(pollenquota.Config{Standbys: func() int { return 0 }}), CallerRoundTrip: 10 * time.Millisecond, LateAnswerTimeout: 300 * time.Millisecond,
			Budget: pollenbudget.New(pollenbudget.Config{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}),
			Table:  func() *pollencatalog.Table { return f.table }, Splitter: &Splitter{},
		}))
	}
	for i := range fleet.instances {
		go f.review(ctx, i)
	}
	return f
}

// review does for one instance what its reach loop does.
func (f *passFleet) review(ctx context.Context, i int) {
	for ctx.Err() == nil {
		time.Sleep(f.config.reviewInterval)
		if !f.trackers[i].CutOff() {
			f.trackers[i].Review(f.table, time.Now())
			go f.probeSuspects(ctx, i)
			continue
		}
		connected := 0
		if mode, _ := f.exchangers[i].current(); mode == cutNone {
			connected = 3
		}
		if f.trackers[i].RecordProbes(connected, 3, time.Now()) {
			f.rankings[i].ForgetFailures()
		}
	}
}

// probeSuspects probes the suspected servers of one instance, and reviews the results at once.
func (f *passFleet) probeSuspects(ctx context.Context, i int) {
	ctx, cancel := context.WithTimeout(ctx, pollenreach.ProbeTimeout)
	defer cancel()
	var probes sync.WaitGroup
	for _, server := range f.trackers[i].Suspects(f.table, time.Now()) {
		probes.Go(func() {
			err := f.exchangers[i].Connect(ctx, server, 1)
			f.trackers[i].RecordProbe(server, err == nil, time.Now())
		})
	}
	probes.Wait()
	f.trackers[i].Review(f.table, time.Now())
}

// Load pattern: a share of the instances loses the links to all servers for some seconds, while callers still reach them. From
// the users' bound on, callers there must be served at least two thirds as often as elsewhere; queries and requests that must
// not run twice alike.
func TestCutOffInstancesServeThroughOthers(t *testing.T) {
	const cutAt, cutFor, bound = time.Second, 8 * time.Second, 4 * time.Second
	tests := []struct {
		name string
		cut  int
		mode cutMode
	}{
		{"one instance hangs", 1, cutHangs},
		{"one instance is reset", 1, cutResets},
		{"most instances hang", 6, cutHangs},
		{"most instances are reset", 6, cutResets},
		{"all but one hang", 8, cutHangs},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newPassFleet(ctx, passFleetConfig{
					services: passShards, serversPerService: 2, slots: 4, instances: passInstances, newConnections: 0.5,
					reviewInterval: 100 * time.Millisecond, seed: 1, routeOf: passRouteOf,
				})
				time.AfterFunc(cutAt, func() {
					for _, e := range f.exchangers[:test.cut] {
						e.setMode(test.mode)
					}
				})
				time.AfterFunc(cutAt+cutFor, func() {
					for _, e := range f.exchangers[:test.cut] {
						e.setMode(cutNone)
					}
				})
				// served and tried are counted for instances that are cut off and others, while they are and two seconds after.
				var mu sync.Mutex
				served, tried := make(map[string]int), make(map[string]int)
				passedAfter := 0
				start, random := time.Now(), rand.New(rand.NewPCG(7, 8))
				for n := 0; time.Since(start) < cutAt+cutFor+5*time.Second; n++ {
					i, sentAt := random.IntN(passInstances), time.Now()
					request := &Request{ID: fmt.Sprintf("r%d", n), Received: sentAt, CallerTimeout: 2 * time.Second, Target: []string{"/query", "/once"}[n%2]}
					if n%3 > 0 {
						// A third of the requests have the same content.
						request.Content = content(request.Target, "caller", request.ID)
					}
					go func() {
						_, stats, err := f.forwarders[i].Serve(t.Context(), f.config.routeOf(request), request)
						key := request.Target + map[bool]string{true: " cut", false: " other"}[i < test.cut]
						mu.Lock()
						defer mu.Unlock()
						switch at := sentAt.Sub(start); {
						case at > cutAt+cutFor+2*time.Second:
							passedAfter += stats.Passes
						case at > cutAt+bound && at < cutAt+cutFor:
							tried[key]++
							if err == nil {
								served[key]++
							}
						}
					}()
					time.Sleep(time.Duration(random.ExpFloat64() * float64(20*time.Millisecond)))
				}
				time.Sleep(3 * time.Second)
				mu.Lock()
				defer mu.Unlock()
				for _, target := range []string{"/query", "/once"} {
					atCut := float64(served[target+" cut"]) / float64(max(tried[target+" cut"], 1))
					elsewhere := float64(served[target+" other"]) / float64(max(tried[target+" other"], 1))
					c.Check(atCut >= elsewhere*2/3, qt.IsTrue, qt.Commentf("%s: %v of %v", target, served, tried))
					c.Check(elsewhere > 0.9, qt.IsTrue, qt.Commentf("%s: %v of %v", target, served, tried))
				}
				c.Check(passedAfter, qt.Equals, 0)
				f.mu.Lock()
				defer f.mu.Unlock()
				for key, runs := range f.runs {
					var n int
					if _, err := fmt.Sscanf(key, "r%d@", &n); err == nil && n%2 == 1 {
						c.Check(runs <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", key, runs))
					}
				}
			})
		})
	}
}

// scriptedPasser is a Passer that returns prepared results.
type scriptedPasser struct {
	results []error
	// names lists the instances that were asked.
	names []string
}

func (p *scriptedPasser) Pass(ctx context.Context, instance pollencatalog.Instance, request *Request, _ time.Time) (*Reply, error) {
	p.names = append(p.names, instance.Name)
	result := p.results[0]
	p.results = p.results[1:]
	if errors.Is(result, context.Canceled) {
		<-ctx.Done()
		return nil, &NoAnswerError{Server: instance.Name, Err: ctx.Err()}
	}
	if result != nil {
		return nil, result
	}
	return &Reply{Answer: Answer{Status: 200}}, nil
}

// What another instance says must be told to the caller truthfully, and a request that must not run twice must go no further once it
// may have run.
func TestPassedRequestEndsTruthfully(t *testing.T) {
	unsent, refused := &UnsentError{Unconnected: true, Err: errReset}, &RefusedError{Cause: "full", RetryAfter: time.Second}
	cutOffToo, noAnswer, failed := &RefusedError{Cause: "cut off", Unreached: true}, &NoAnswerError{Broken: true, Err: errReset}, &FailedError{Cause: "x"}
	tests := []struct {
		name       string
		idempotent bool
		passed     bool
		results    []error
		// want is nil for a reply; asked is the number of instances that were asked.
		want  error
		asked int
	}{
		{name: "served", results: []error{nil}, asked: 1},
		{name: "served by the second, the first is down", results: []error{unsent, nil}, asked: 2},
		{name: "served by the third, the others are cut off", results: []error{cutOffToo, cutOffToo, nil}, asked: 3},
		{name: "refused by all", results: []error{refused, refused, refused}, want: refused, asked: 3},
		{name: "no more than three that could serve it", results: []error{unsent, refused, cutOffToo, refused, refused, nil}, want: refused, asked: 5},
		{name: "no more than eight", results: []error{unsent, unsent, unsent, unsent, cutOffToo, unsent, unsent, unsent, nil}, want: cutOffToo, asked: 8},
		{name: "failed there", results: []error{failed}, want: failed, asked: 1},
		// The instance that did not answer may have used all attempts.
		{name: "no answer, idempotent", idempotent: true, results: []error{noAnswer, nil}, want: failed, asked: 1},
		{name: "no answer, not idempotent", results: []error{noAnswer, nil}, want: failed, asked: 1},
		{name: "passed on already", passed: true, want: cutOffToo},
		{name: "caller leaves", results: []error{context.Canceled, nil}, want: &CallerDisconnectedError{}, asked: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(2, 100)
				passer := &scriptedPasser{results: test.results}
				config := h.forwarder.config
				config.Passer, config.Peers, config.Reach = passer, pollenreach.NewPeers(rand.New(rand.NewPCG(1, 2))), lostTracker()
				config.Others = func() []pollencatalog.Instance {
					var others []pollencatalog.Instance
					for i := range 10 {
						others = append(others, pollencatalog.Instance{Name: fmt.Sprintf("entry-%d", i+2)})
					}
					return others
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				time.AfterFunc(100*time.Millisecond, cancel)
				_, stats, err := New(config).Serve(ctx, unshardedRoute(test.idempotent), &Request{ID: "r", Received: time.Now(), CallerTimeout: time.Second, Passed: test.passed})
				c.Assert(fmt.Sprintf("%T", err), qt.Equals, fmt.Sprintf("%T", test.want), qt.Commentf("%v", err))
				var refusal *RefusedError
				if errors.As(err, &refusal) {
					c.Assert(refusal.Unreached, qt.Equals, test.want == cutOffToo)
				}
				c.Assert(passer.names, qt.HasLen, test.asked)
				c.Assert(stats.Passes, qt.Equals, test.asked)
				c.Assert(h.exchanger.sent, qt.HasLen, 0)
			})
		})
	}
}

// lostTracker returns the tracker of an instance that is cut off.
func lostTracker() *pollenreach.Tracker {
	tracker, now := pollenreach.NewTracker(), time.Now()
	var config pollencatalog.TableConfig
	for i := range 10 {
		config.Servers = append(config.Servers, &pollencatalog.Server{ID: fmt.Sprint(i), Service: service(i), Zone: "z"})
		tracker.Begin(config.Servers[i], 0, now)
		tracker.End(config.Servers[i], pollenreach.Unreached, now)
	}
	tracker.Review(pollencatalog.NewTable(config), now)
	return tracker
}

// Load pattern: all instances take themselves for cut off, and none takes the requests of another. What servers answer must be sent to
// them, and only that.
func TestRequestIsSentDirectlyIfNoInstanceTakesIt(t *testing.T) {
	cutOffToo, full := &RefusedError{Cause: "cut off", Unreached: true}, &RefusedError{Cause: "full", RetryAfter: time.Second}
	tests := []struct {
		name string
		// connected is set if a probe gets a connection after the cut.
		connected, passed bool
		// allCutOff is set if all instances in the table say that they are cut off.
		allCutOff bool
		results   []error
		served    bool
	}{
		{name: "no other instance, servers answer", connected: true, served: true},
		{name: "no other instance, servers do not answer"},
		{name: "others are cut off, servers answer", connected: true, results: []error{cutOffToo, cutOffToo}, served: true},
		{name: "others are cut off, servers do not answer", results: []error{cutOffToo, cutOffToo}},
		{name: "another one has refused it", connected: true, results: []error{full, cutOffToo}},
		{name: "passed on, and all are cut off", connected: true, passed: true, allCutOff: true, served: true},
		{name: "passed on, and others are not cut off", connected: true, passed: true},
		{name: "passed on, all are cut off, and servers do not answer", passed: true, allCutOff: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				c := qt.New(t)
				h := newHarness(1, 100)
				h.table = pollencatalog.NewTable(pollencatalog.TableConfig{
					Configuration: h.table.Configuration(), Servers: h.table.ServersOf(service(0)),
					Instances: []pollencatalog.Instance{{Name: "entry-1", Ready: true, CutOff: true}, {Name: "entry-2", Ready: true, CutOff: test.allCutOff}},
				})
				config := h.forwarder.config
				config.Passer, config.Peers, config.Reach = &scriptedPasser{results: test.results}, pollenreach.NewPeers(rand.New(rand.NewPCG(1, 2))), lostTracker()
				config.Others = func() []pollencatalog.Instance {
					return []pollencatalog.Instance{{Name: "entry-2"}, {Name: "entry-3"}}[:len(test.results)]
				}
				time.Sleep(time.Millisecond)
				config.Reach.RecordProbes(map[bool]int{true: 1}[test.connected], 3, time.Now())
				_, stats, err := New(config).Serve(t.Context(), unshardedRoute(true), &Request{ID: "r", Received: time.Now(), CallerTimeout: time.Second, Passed: test.passed})
				c.Assert(err == nil, qt.Equals, test.served, qt.Commentf("%v", err))
				c.Assert(len(h.exchanger.sent) == 1, qt.Equals, test.served)
				if !test.served {
					c.Assert(stats.Evidence, qt.Matches, `\d: connection broken or not made, 1 ms ago; .*; and 5 more`)
					c.Assert(stats.LogFields(), qt.Contains, any(stats.Evidence))
				}
			})
		})
	}
}
