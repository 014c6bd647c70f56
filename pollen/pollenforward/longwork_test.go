package pollenforward

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
)

const (
	longServices, longServers, longSlots = 2, 6, 8
	longTimeout                          = 10 * time.Second
	// shortWork is the work of the short requests beside long ones.
	shortWork = 20 * time.Millisecond
	// tickInterval is that of an instance's reviews.
	tickInterval = 250 * time.Millisecond
)

// longRouteOf returns one of two routes over all services, for long and for short work, by the target of the request.
func longRouteOf(request *Request) *pollencatalog.Route {
	r := &pollencatalog.Route{Name: request.Target, Idempotent: request.Method == http.MethodGet, Attempts: 2, Timeout: longTimeout}
	for i := range longServices {
		r.Split = append(r.Split, pollencatalog.WeightedService{Service: service(i), Weight: 1})
	}
	return r
}

// work draws how long requests run.
type work struct {
	name string
	mean time.Duration
	draw func(random *rand.Rand) time.Duration
}

const (
	heavyTailLeast, heavyTailExponent = 300 * time.Millisecond, 1.1
	// heavyTailMost leaves a request of the longest work some time to wait for a slot.
	heavyTailMost = longTimeout * 95 / 100
)

// heavyTailed draws from a Pareto distribution that ends at heavyTailMost.
func heavyTailed(random *rand.Rand) time.Duration {
	within := 1 - math.Pow(float64(heavyTailLeast)/float64(heavyTailMost), heavyTailExponent)
	return time.Duration(float64(heavyTailLeast) * math.Pow(1-random.Float64()*within, -1/heavyTailExponent))
}

// heavyTailedMean returns the mean of heavyTailed.
func heavyTailedMean() time.Duration {
	share := float64(heavyTailLeast) / float64(heavyTailMost)
	scale := heavyTailExponent / (heavyTailExponent - 1) * (1 - math.Pow(share, heavyTailExponent-1)) / (1 - math.Pow(share, heavyTailExponent))
	return time.Duration(float64(heavyTailLeast) * scale)
}

func longWorks() []work {
	return []work{
		{"constant work", 1300 * time.Millisecond, func(*rand.Rand) time.Duration { return 1300 * time.Millisecond }},
		{"uniform work", 1300 * time.Millisecond, func(random *rand.Rand) time.Duration {
			return time.Second + time.Duration(random.Int64N(int64(600*time.Millisecond)))
		}},
		{"work of half the timeout", longTimeout / 2, func(*rand.Rand) time.Duration { return longTimeout / 2 }},
		{"heavy-tailed work", heavyTailedMean(), heavyTailed},
	}
}

// longRun is the load of one run.
type longRun struct {
	work work
	// usedSlots is the share of all slots that the work takes.
	usedSlots float64
	// short makes every seventh request a short one, of the same route or of another one if shortRoute is set.
	short, shortRoute bool
	method            string
	instances         int
	// atOne makes all callers use the first instance.
	atOne bool
	// watch is called with the instance, the time and the error of each request, if it is not nil.
	watch    func(instance int, sentAt time.Time, err error)
	duration time.Duration
	seed     uint64
}

// outcomes counts what became of the requests of a run.
type outcomes struct {
	sent, served, failed, passed int
	// causes counts the errors.
	causes map[string]int
}

// send sends the requests of a run to random instances, and returns what became of them.
func (r longRun) send(t *testing.T, f *passFleet) outcomes {
	o := outcomes{causes: make(map[string]int)}
	var mu sync.Mutex
	var inFlight sync.WaitGroup
	random := rand.New(rand.NewPCG(r.seed, 5))
	share := 1.0
	if r.short {
		share = 6.0 / 7
	}
	rate := r.usedSlots * longServices * longServers * longSlots / (share * r.work.mean.Seconds())
	for n, start := 0, time.Now(); time.Since(start) < r.duration; n++ {
		request := &Request{
			ID: fmt.Sprintf("r%d", n), Method: r.method, Target: "/long", Received: time.Now(), CallerTimeout: longTimeout,
			Body: []byte(r.work.draw(random).String()),
		}
		request.Content = content(request.Target, "caller", request.ID)
		if r.short && n%7 == 0 {
			request.Body = []byte(shortWork.String())
			if r.shortRoute {
				request.Target = "/short"
			}
		}
		i := random.IntN(len(f.forwarders))
		if r.atOne {
			i = 0
		}
		inFlight.Go(func() {
			_, stats, err := f.forwarders[i].Serve(t.Context(), longRouteOf(request), request)
			var failed *FailedError
			mu.Lock()
			defer mu.Unlock()
			o.sent++
			o.passed += stats.Passes
			if r.watch != nil {
				r.watch(i, request.Received, err)
			}
			if err == nil {
				o.served++
				return
			}
			if errors.As(err, &failed) && !failed.TimedOut {
				o.failed++
			}
			cause, _, _ := strings.Cut(err.Error(), "; retry after")
			o.causes[cause]++
		})
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	inFlight.Wait()
	return o
}

func newLongFleet(ctx context.Context, instances int, seed uint64) *passFleet {
	return newPassFleet(ctx, passFleetConfig{
		services: longServices, serversPerService: longServers, slots: longSlots, instances: instances, limitSlots: true,
		reviewInterval: tickInterval, seed: seed, routeOf: longRouteOf,
	})
}

// Guards against instances that take servers which work on long requests for unreachable or unresponsive, and then refuse requests or
// pass them on to others that come to the same conclusion. That may happen in some runs and not in others.
func TestCalmLongWorkIsServed(t *testing.T) {
	const runs, runsOnce = 10, 2
	for _, work := range longWorks() {
		for _, usedSlots := range []float64{0.2, 0.5, 0.8} {
			if work.mean == longTimeout/2 && usedSlots > 0.5 {
				// A request that waits for a slot of a server whose other requests have just begun is late: slots do not suffice.
				continue
			}
			for _, instances := range []int{3, 9} {
				kinds := []string{"alone", "beside short work"}
				if instances == 3 && work.mean < longTimeout/4 {
					// An instance takes others to send as much as it does itself, and refuses requests that would then be late.
					kinds = append(kinds, "at one instance")
				}
				for _, kind := range kinds {
					t.Run(fmt.Sprintf("%s, %v of the slots, %d instances, %s", work.name, usedSlots, instances, kind), func(t *testing.T) {
						t.Parallel()
						for run := range runs + runsOnce {
							load := longRun{
								work: work, usedSlots: usedSlots, instances: instances, short: kind == "beside short work", shortRoute: run%2 == 0, atOne: kind == "at one instance",
								method: http.MethodGet, duration: 10 * time.Second, seed: uint64(run),
							}
							if run >= runs {
								load.method = http.MethodPost
							}
							t.Run(fmt.Sprintf("%s, run %d", load.method, run), func(t *testing.T) {
								runInVirtualTime(t, func(t *testing.T) {
									c := qt.New(t)
									ctx, cancel := context.WithCancel(t.Context())
									defer cancel()
									o := load.send(t, newLongFleet(ctx, load.instances, load.seed))
									c.Check(float64(o.served) >= 0.99*float64(o.sent), qt.IsTrue, qt.Commentf("%d of %d served, %v", o.served, o.sent, o.causes))
									c.Check(o.failed, qt.Equals, 0, qt.Commentf("%v", o.causes))
									c.Check(o.passed, qt.Equals, 0)
								})
							})
						}
					})
				}
			}
		}
	}
}

// Guards against a cut that passes for long work, or is noticed much later because of it. Beside short work, an instance whose links hang
// notices that after 0.75 s.
func TestCutInLongWorkIsNoticed(t *testing.T) {
	const cutAt, cutFor, settled = 6 * time.Second, 8 * time.Second, 3 * time.Second
	const bound = 1650 * time.Millisecond
	tests := []struct {
		name string
		mode cutMode
		// newConnections is the share of requests that need a new connection while links hang.
		newConnections float64
	}{
		{"all connections hang", cutHangs, 0},
		{"connections hang and new ones are not made", cutHangs, 0.5},
		{"connections are reset", cutResets, 0},
		{"new connections are refused", cutRefuses, 0},
	}
	for _, test := range tests {
		short := work{"short work", shortWork, func(*rand.Rand) time.Duration { return shortWork }}
		for _, work := range append(longWorks(), short) {
			usedSlots := 0.5
			if work.name == short.name {
				usedSlots = 0.05
			}
			for _, instances := range []int{3, 9} {
				t.Run(fmt.Sprintf("%s, %s, %d instances", test.name, work.name, instances), func(t *testing.T) {
					runInVirtualTime(t, func(t *testing.T) {
						c := qt.New(t)
						ctx, cancel := context.WithCancel(t.Context())
						defer cancel()
						f := newLongFleet(ctx, instances, 1)
						f.config.newConnections = test.newConnections
						start := time.Now()
						time.AfterFunc(cutAt, func() { f.exchangers[0].setMode(test.mode) })
						time.AfterFunc(cutAt+cutFor, func() { f.exchangers[0].setMode(cutNone) })
						lost := f.trackers[0].Lost()
						noticed := make(chan time.Duration, 1)
						go func() {
							select {
							case <-lost:
								noticed <- time.Since(start) - cutAt
							case <-ctx.Done():
								noticed <- -1
							}
						}()
						sent, served := 0, 0
						o := longRun{
							work: work, usedSlots: usedSlots, method: http.MethodGet, instances: instances, duration: cutAt + cutFor + 4*time.Second, seed: 1,
							watch: func(instance int, sentAt time.Time, err error) {
								if at := sentAt.Sub(start); instance > 0 || at < cutAt+settled || at > cutAt+cutFor {
									return
								}
								sent++
								if err == nil {
									served++
								}
							},
						}.send(t, f)
						cancel()
						noticedAfter := <-noticed
						c.Check(noticedAfter >= 0 && noticedAfter <= bound, qt.IsTrue, qt.Commentf("after %v", noticedAfter))
						c.Check(float64(served) >= 0.95*float64(sent), qt.IsTrue, qt.Commentf("%d of %d served at the instance that is cut off, %v", served, sent, o.causes))
						c.Check(f.trackers[0].CutOff(), qt.IsFalse)
						for _, other := range f.trackers[1:] {
							c.Check(other.CutOff(), qt.IsFalse)
						}
						t.Logf("noticed after %v, %d of %d served there, %d of %d in all: %v", noticedAfter, served, sent, o.served, o.sent, o.causes)
					})
				})
			}
		}
	}
}
