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
)

// limitingExchanger is an Exchanger whose servers state limits for a time, and answer all requests.
type limitingExchanger struct {
	limits map[string]float64
	// Limits are stated from statedFrom on, and until statedUntil unless that is zero.
	statedFrom, statedUntil time.Time

	mu       sync.Mutex
	arrivals map[string][]time.Time
}

func (e *limitingExchanger) ConnectionAvailable(*pollencatalog.Server, int) bool { return true }

func (e *limitingExchanger) Connect(context.Context, *pollencatalog.Server, int) error {
	return nil
}

func (e *limitingExchanger) Exchange(_ context.Context, request ServerRequest) (*Answer, error) {
	if !request.SendGuard.Claim() {
		return nil, &UnsentError{Server: request.Server.ID, Err: &WithdrawnError{}}
	}
	time.Sleep(2 * time.Millisecond)
	e.mu.Lock()
	e.arrivals[request.Server.ID] = append(e.arrivals[request.Server.ID], time.Now())
	e.mu.Unlock()
	answer := &Answer{Status: 200}
	over := !e.statedUntil.IsZero() && time.Now().After(e.statedUntil)
	if perSecond, limited := e.limits[request.Server.ID]; limited && !over && !time.Now().Before(e.statedFrom) {
		answer.Limit = pollenquota.Limit{Stated: true, PerSecond: perSecond}
	}
	time.Sleep(time.Duration(15+rand.IntN(10)) * time.Millisecond)
	return answer, nil
}

// mostArrivals returns the largest number of arrivals at a server in any period that starts at a time or later.
func (e *limitingExchanger) mostArrivals(server string, from time.Time, period time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	arrivals := e.arrivals[server]
	for i, first := range arrivals {
		if first.Before(from) {
			continue
		}
		n := 0
		for n < len(arrivals)-i && arrivals[i+n].Sub(first) < period {
			n++
		}
		most = max(most, n)
	}
	return most
}

// newFleet returns forwarders that share a table with two servers, a0 and b0, of one service.
func newFleet(exchanger Exchanger, instances int) []*Forwarder {
	config := pollencatalog.TableConfig{Configuration: &pollencatalog.Configuration{
		Version: 1, Services: map[string]pollencatalog.Service{service(0): {Name: service(0), Connections: 1000}},
	}}
	for i := range instances {
		config.Instances = append(config.Instances, pollencatalog.Instance{Name: fmt.Sprintf("entry-%d", i), Ready: true})
	}
	for i, name := range []string{"a0", "b0"} {
		config.Servers = append(config.Servers, &pollencatalog.Server{
			ID: name, Service: service(0), Slots: 20, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 80),
		})
	}
	table := pollencatalog.NewTable(config)
	forwarders := make([]*Forwarder, instances)
	for i := range forwarders {
		name := config.Instances[i].Name
		forwarders[i] = New(Config{
			Exchanger: exchanger, Ranking: pollenrank.New(pollenrank.Config{Random: rand.New(rand.NewPCG(uint64(i), 1))}),
			ColdLimiter: pollenramp.New(pollenramp.Config{InstanceName: name}), Quotas: pollenquota.New(pollenquota.Config{InstanceName: name, Standbys: func() int { return 0 }}),
			Budget:          pollenbudget.New(pollenbudget.Config{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}),
			Table:           func() *pollencatalog.Table { return table },
			CallerRoundTrip: 10 * time.Millisecond, LateAnswerTimeout: 300 * time.Millisecond, Splitter: &Splitter{},
		})
	}
	return forwarders
}

// Load pattern: an overloaded server states how many requests a second it takes from all instances together. Guards against
// instances that ignore the limit, or that each use the whole of it.
func TestServerGetsNoMoreThanStatedLimit(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		// perSecond is the number of callers' requests per second; a tenth of the instances get half of them.
		perSecond int
		limits    map[string]float64
		// refused is the greatest share of requests that may be refused.
		refused float64
	}{
		{name: "one of two servers", instances: 8, perSecond: 100, limits: map[string]float64{"a0": 28.5}},
		{name: "both servers", instances: 8, perSecond: 60, limits: map[string]float64{"a0": 10, "b0": 5}, refused: 0.85},
		{name: "fewer requests than instances", instances: 15, perSecond: 100, limits: map[string]float64{"a0": 1.2}},
		{name: "many instances", instances: 60, perSecond: 100, limits: map[string]float64{"a0": 4}},
		{name: "no requests", instances: 8, perSecond: 50, limits: map[string]float64{"a0": 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				c := qt.New(t)
				const (
					noticeTime = 4 * time.Second
					runTime    = 30 * time.Second
				)
				start := time.Now()
				exchanger := &limitingExchanger{limits: test.limits, statedFrom: start.Add(2 * time.Second), arrivals: make(map[string][]time.Time)}
				forwarders := newFleet(exchanger, test.instances)
				random := rand.New(rand.NewPCG(7, 7))
				var mu sync.Mutex
				var wg sync.WaitGroup
				requests, refused, failed := 0, 0, 0
				for time.Since(start) < runTime {
					f := forwarders[random.IntN(test.instances)]
					if random.IntN(2) == 0 {
						f = forwarders[random.IntN(1+test.instances/10)]
					}
					requests++
					wg.Go(func() {
						received := time.Now()
						_, _, err := f.Serve(t.Context(), unshardedRoute(true), &Request{ID: "r", Received: received, CallerTimeout: time.Second})
						mu.Lock()
						defer mu.Unlock()
						var refusal *RefusedError
						switch {
						case errors.As(err, &refusal):
							refused++
							c.Check(time.Since(received) <= 30*time.Millisecond, qt.IsTrue, qt.Commentf("refused after %v", time.Since(received)))
						case err != nil:
							failed++
						}
					})
					time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(test.perSecond)))
				}
				wg.Wait()
				c.Check(failed, qt.Equals, 0)
				c.Check(float64(refused) <= test.refused*float64(requests), qt.IsTrue, qt.Commentf("%d of %d requests refused", refused, requests))
				for server, perSecond := range test.limits {
					most := exchanger.mostArrivals(server, exchanger.statedFrom.Add(noticeTime), 4*time.Second)
					c.Check(float64(most) <= 1.5*4*perSecond+5, qt.IsTrue, qt.Commentf("%s: %d requests in 4 s, %v a second stated", server, most, perSecond))
					// A limit must not keep a server from being used.
					c.Check(float64(most) >= 0.4*4*perSecond, qt.IsTrue, qt.Commentf("%s: %d requests in 4 s, %v a second stated", server, most, perSecond))
				}
			})
		})
	}
}

// Guards against servers that are still limited after they have recovered.
func TestServerWithoutLimitGetsAllRequestsAgain(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		start := time.Now()
		exchanger := &limitingExchanger{limits: map[string]float64{"a0": 2}, statedFrom: start, statedUntil: start.Add(10 * time.Second), arrivals: make(map[string][]time.Time)}
		forwarders := newFleet(exchanger, 4)
		for time.Since(start) < 30*time.Second {
			for _, f := range forwarders {
				_, _, err := f.Serve(t.Context(), unshardedRoute(true), &Request{ID: "r", Received: time.Now(), CallerTimeout: time.Second})
				c.Assert(err, qt.IsNil)
			}
		}
		c.Assert(exchanger.mostArrivals("a0", start.Add(4*time.Second), 4*time.Second) > 17, qt.IsTrue)
	})
}
