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
	"pollenline.example/pollen/pollenramp"
	"pollenline.example/pollen/pollenrank"
)

// behaviour is what a fake server does with a request.
type behaviour struct {
	delay  time.Duration
	status int
	body   string
	err    error
	// hang keeps the request open until it is cancelled, unsent before it is sent.
	hang, unsent bool
}

// fleet is an Exchanger whose servers behave as a test says.
type fleet struct {
	mu        sync.Mutex
	behaviour map[string]behaviour
	sent      []string
	cancelled int
	// lose makes single answers fail.
	lose     func() bool
	timeLeft []time.Duration
}

func (f *fleet) Free(*pollencatalog.Server, int) bool { return true }

func (f *fleet) Exchange(ctx context.Context, order Order) (*Answer, error) {
	f.mu.Lock()
	f.sent = append(f.sent, order.Server.ID)
	f.timeLeft = append(f.timeLeft, time.Until(order.Limit))
	b := f.behaviour[order.Server.ID]
	f.mu.Unlock()
	if !b.unsent && !order.Ticket.Claim() {
		return nil, &UnsentError{Server: order.Server.ID, Err: &WithdrawnError{}}
	}
	wait := time.After(b.delay)
	if b.hang {
		wait = nil
	}
	select {
	case <-ctx.Done():
		f.mu.Lock()
		f.cancelled++
		f.mu.Unlock()
		return nil, &BrokenError{Server: order.Server.ID, Err: ctx.Err()}
	case <-wait:
	}
	if f.lose != nil && f.lose() {
		return nil, &BrokenError{Server: order.Server.ID, Err: errReset}
	}
	if b.err != nil {
		return nil, b.err
	}
	status := b.status
	if status == 0 {
		status = 200
	}
	return &Answer{Status: status, Body: []byte(b.body), Signature: "by " + order.Server.ID}, nil
}

func (f *fleet) count(server string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(slices.DeleteFunc(slices.Clone(f.sent), func(s string) bool { return s != server }))
}

// harness is a Forwarder over a fleet with two servers, a and b, for each service.
type harness struct {
	fleet     *fleet
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
		fleet:   &fleet{behaviour: make(map[string]behaviour)},
		table:   pollencatalog.NewTable(config),
		ranking: pollenrank.New(pollenrank.Config{Random: rand.New(rand.NewPCG(1, 2))}),
	}
	h.forwarder = New(Config{
		Exchanger: h.fleet, Ranking: h.ranking, Ramp: pollenramp.New(pollenramp.Config{Self: "entry-1"}), CallerTrip: 10 * time.Millisecond, Linger: 300 * time.Millisecond,
		Budget:   pollenbudget.New(pollenbudget.Config{Ratio: 0.2, Slack: slack, Window: 10 * time.Second}),
		Table:    func() *pollencatalog.Table { return h.table },
		Splitter: &Splitter{},
	})
	return h
}

// bubble runs a test in virtual time and lets the requests that were left to linger end.
func bubble(t *testing.T, test func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		test(t)
		time.Sleep(2 * time.Second)
	})
}

func service(i int) string { return fmt.Sprintf("shard-%d", i) }

func plainRoute(idempotent bool) *pollencatalog.Route {
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

func (h *harness) serve(ctx context.Context, route *pollencatalog.Route) (*Reply, *Account, time.Duration, error) {
	begun := time.Now()
	reply, account, err := h.forwarder.Serve(ctx, route, &Request{ID: "r", Received: begun, Patience: time.Second})
	return reply, account, time.Since(begun), err
}

// setAll gives both servers of a service the same behaviour.
func (h *harness) setAll(i int, b behaviour) {
	h.fleet.behaviour[fmt.Sprintf("a%d", i)] = b
	h.fleet.behaviour[fmt.Sprintf("b%d", i)] = b
}
