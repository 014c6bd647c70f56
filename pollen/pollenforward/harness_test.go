package pollenforward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pollenline.example/pollen/pollenbudget"
	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenquota"
	"pollenline.example/pollen/pollenramp"
	"pollenline.example/pollen/pollenrank"
)

// behaviour is what a fake server does with a request.
type behaviour struct {
	delay  time.Duration
	status int
	body   string
	err    error
	// hang blocks the request until it is cancelled; connecting leaves its SendGuard unclaimed, so that it can be
	// withdrawn.
	hang, connecting bool
	// connectDelay is the time until there is a connection.
	connectDelay time.Duration
	// leaving and retryAfter are what the answer states; with retryAfter the server does not run the request.
	leaving    bool
	retryAfter time.Duration
}

// fakeExchanger is an Exchanger whose servers behave as configured by a test.
type fakeExchanger struct {
	mu        sync.Mutex
	behaviour map[string]behaviour
	// sent lists the server IDs of all requests; cancelled counts the requests whose context ended before their result.
	sent []string
	// arrived lists those among them that were not held back or withdrawn.
	arrived   []string
	cancelled int
	// loseAnswer decides for each request whether its answer is lost.
	loseAnswer func() bool
	// timeLeft holds the time until the deadline of each request when it was sent.
	timeLeft []time.Duration
}

func (f *fakeExchanger) ConnectionAvailable(*pollencatalog.Server, int) bool { return true }

func (f *fakeExchanger) Connect(context.Context, *pollencatalog.Server, int) error {
	return nil
}

func (f *fakeExchanger) Exchange(ctx context.Context, request ServerRequest) (*Answer, error) {
	f.mu.Lock()
	f.sent = append(f.sent, request.Server.ID)
	f.timeLeft = append(f.timeLeft, time.Until(request.Deadline))
	b := f.behaviour[request.Server.ID]
	f.mu.Unlock()
	time.Sleep(b.connectDelay)
	if !b.connecting {
		if err := request.Claim(); err != nil {
			return nil, &UnsentError{Server: request.Server.ID, Err: err}
		}
	}
	f.mu.Lock()
	f.arrived = append(f.arrived, request.Server.ID)
	f.mu.Unlock()
	wait := time.After(b.delay)
	if b.hang {
		wait = nil
	}
	select {
	case <-ctx.Done():
		f.mu.Lock()
		f.cancelled++
		f.mu.Unlock()
		return nil, &NoAnswerError{Server: request.Server.ID, Err: ctx.Err()}
	case <-wait:
	}
	if f.loseAnswer != nil && f.loseAnswer() {
		return nil, &NoAnswerError{Server: request.Server.ID, Err: errReset}
	}
	if b.err != nil {
		return nil, b.err
	}
	status := b.status
	if status == 0 {
		status = 200
	}
	if b.retryAfter > 0 {
		return nil, &NotRunError{Server: request.Server.ID, Status: 503, Leaving: b.leaving, RetryAfter: b.retryAfter}
	}
	return &Answer{Status: status, Body: []byte(b.body), Signature: "by " + request.Server.ID, Leaving: b.leaving}, nil
}

// arrivedAt returns how many requests have reached a server.
func (f *fakeExchanger) arrivedAt(server string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(slices.DeleteFunc(slices.Clone(f.arrived), func(s string) bool { return s != server }))
}

// set replaces the behaviour of a server.
func (f *fakeExchanger) set(server string, b behaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behaviour[server] = b
}

func (f *fakeExchanger) sentTo(server string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(slices.DeleteFunc(slices.Clone(f.sent), func(s string) bool { return s != server }))
}

// harness is a Forwarder over a fakeExchanger with two servers, a and b, for each service.
type harness struct {
	exchanger *fakeExchanger
	forwarder *Forwarder
	table     *pollencatalog.Table
	ranking   *pollenrank.Ranking
}

func newHarness(services int, slack float64) *harness {
	config := pollencatalog.TableConfig{
		Configuration: &pollencatalog.Configuration{Version: 1, Services: map[string]pollencatalog.Service{}},
		Instances:     []pollencatalog.Instance{{Name: "entry-1", Ready: true}},
	}
	for i := range services {
		for j, name := range []string{"a", "b"} {
			config.Servers = append(config.Servers, &pollencatalog.Server{
				ID: fmt.Sprintf("%s%d", name, i), Service: service(i), Slots: 2, Zone: "zone-" + name,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(j), byte(i)}), 80),
			})
		}
		config.Configuration.Services[service(i)] = pollencatalog.Service{Name: service(i), Connections: 26}
	}
	h := &harness{
		exchanger: &fakeExchanger{behaviour: make(map[string]behaviour)},
		table:     pollencatalog.NewTable(config),
		ranking:   pollenrank.New(pollenrank.Config{Random: rand.New(rand.NewPCG(1, 2))}),
	}
	h.forwarder = New(Config{
		Exchanger: h.exchanger, Ranking: h.ranking, ColdLimiter: pollenramp.New(pollenramp.Config{InstanceName: "entry-1"}), Quotas: pollenquota.New(pollenquota.Config{InstanceName: "entry-1", Standbys: func() int { return 0 }}), CallerRoundTrip: 10 * time.Millisecond, LateAnswerTimeout: 300 * time.Millisecond,
		Budget:   pollenbudget.New(pollenbudget.Config{Ratio: 0.2, Slack: slack, Window: 10 * time.Second}),
		Table:    func() *pollencatalog.Table { return h.table },
		Splitter: &Splitter{},
	})
	return h
}

// runInVirtualTime runs a test in a synctest bubble and waits until late requests have ended.
func runInVirtualTime(t *testing.T, test func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		test(t)
		time.Sleep(2 * time.Second)
	})
}

func service(i int) string { return fmt.Sprintf("shard-%d", i) }

func unshardedRoute(idempotent bool) *pollencatalog.Route {
	return &pollencatalog.Route{
		Name: "plain", Idempotent: idempotent, Attempts: 2, Timeout: time.Second, Objective: 100 * time.Millisecond,
		Split: []pollencatalog.WeightedService{{Service: service(0), Weight: 1}},
	}
}

func shardedRoute(services int) *pollencatalog.Route {
	r := &pollencatalog.Route{
		Name: "sharded", Idempotent: true, Attempts: 2, Timeout: time.Second, Objective: 100 * time.Millisecond,
		MinimumCoverage: 0.75, TopK: 3,
	}
	for i := range services {
		r.Shards = append(r.Shards, service(i))
	}
	return r
}

// serve sends a request with a caller timeout of one second, and also returns how long it took.
func (h *harness) serve(ctx context.Context, route *pollencatalog.Route) (*Reply, *Stats, time.Duration, error) {
	start := time.Now()
	reply, stats, err := h.forwarder.Serve(ctx, route, &Request{ID: "r", Received: start, CallerTimeout: time.Second})
	return reply, stats, time.Since(start), err
}

// setAll gives both servers of a service the same behaviour.
func (h *harness) setAll(i int, b behaviour) {
	h.exchanger.behaviour[fmt.Sprintf("a%d", i)] = b
	h.exchanger.behaviour[fmt.Sprintf("b%d", i)] = b
}
