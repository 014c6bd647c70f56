package pollenforward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
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
	"pollenline.example/pollen/pollensuspect"
)

const (
	crashShards    = 20
	crashInstances = 6
	// crashDelay is how long a server runs a deadly request before it ends, restartDelay how long it takes to return.
	crashDelay   = 8 * time.Millisecond
	restartDelay = 3 * time.Second
	answerDelay  = 15 * time.Millisecond
	// inTouchDelay is the time after which instances must not send a deadly request more than maxLateSends times.
	inTouchDelay = 4 * time.Second
	maxLateSends = 3
	// maxEndedByQuery is the number of servers that one deadly query may end: one of each shard by the first request, the
	// second and third that make a verdict, and as many as may be sent later.
	maxEndedByQuery = crashShards + 2 + maxLateSends
)

// crashingExchanger is an Exchanger over servers that end when they run a deadly content, and return later.
type crashingExchanger struct {
	deadly map[pollensuspect.Fingerprint]bool
	// lostShare is the share of requests whose connection breaks although the server lives.
	lostShare float64

	mu      sync.Mutex
	random  *rand.Rand
	downTil map[string]time.Time
	// broken holds a channel for each server that is closed when the server ends.
	broken map[string]chan struct{}
	// ended counts the ends of servers; deadlySends holds when each deadly content reached a server, by request.
	ended       int
	endedBy     map[pollensuspect.Fingerprint][]time.Time
	deadlySends map[pollensuspect.Fingerprint]map[string]time.Time
}

func newCrashingExchanger() *crashingExchanger {
	return &crashingExchanger{
		deadly: make(map[pollensuspect.Fingerprint]bool), random: rand.New(rand.NewPCG(1, 2)), downTil: make(map[string]time.Time),
		broken: make(map[string]chan struct{}), endedBy: make(map[pollensuspect.Fingerprint][]time.Time),
		deadlySends: make(map[pollensuspect.Fingerprint]map[string]time.Time),
	}
}

func (e *crashingExchanger) ConnectionAvailable(*pollencatalog.Server, int) bool { return true }

func (e *crashingExchanger) Connect(_ context.Context, server *pollencatalog.Server, _ int) error {
	time.Sleep(4 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downTil[server.ID]) {
		return &UnsentError{Server: server.ID, Unconnected: true, Refused: true, Err: errors.New("connection refused")}
	}
	return nil
}

// end ends a server: all connections to it break.
func (e *crashingExchanger) end(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downTil[id]) {
		return
	}
	e.ended++
	e.downTil[id] = time.Now().Add(restartDelay)
	if broken, ok := e.broken[id]; ok {
		close(broken)
		delete(e.broken, id)
	}
}

// begin returns the channel that is closed when the server ends, or an error if it is down.
func (e *crashingExchanger) begin(request ServerRequest) (chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id, content := request.Server.ID, request.Request.Content
	if time.Now().Before(e.downTil[id]) {
		return nil, &UnsentError{Server: id, Unconnected: true, Refused: true, Err: errors.New("connection refused")}
	}
	if e.deadly[content] {
		if e.deadlySends[content] == nil {
			e.deadlySends[content] = make(map[string]time.Time)
		}
		e.deadlySends[content][request.Request.ID] = time.Now()
	}
	broken, ok := e.broken[id]
	if !ok {
		broken = make(chan struct{})
		e.broken[id] = broken
	}
	return broken, nil
}

func (e *crashingExchanger) Exchange(ctx context.Context, request ServerRequest) (*Answer, error) {
	if !request.SendGuard.Claim() {
		return nil, &UnsentError{Server: request.Server.ID, Err: &WithdrawnError{}}
	}
	time.Sleep(2 * time.Millisecond)
	broken, err := e.begin(request)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	lost := e.random.Float64() < e.lostShare
	work := time.Duration(float64(answerDelay) * (0.6 + 0.8*e.random.Float64()))
	e.mu.Unlock()
	content := request.Request.Content
	if e.deadly[content] {
		time.Sleep(crashDelay)
		e.end(request.Server.ID)
		e.mu.Lock()
		e.endedBy[content] = append(e.endedBy[content], time.Now())
		e.mu.Unlock()
	}
	select {
	case <-broken:
		return nil, &NoAnswerError{Server: request.Server.ID, Broken: true, Err: errReset}
	case <-ctx.Done():
		return nil, &NoAnswerError{Server: request.Server.ID, Err: ctx.Err()}
	case <-time.After(work):
	}
	if lost {
		return nil, &NoAnswerError{Server: request.Server.ID, Broken: true, Err: errReset}
	}
	return &Answer{Status: 200, Signature: request.Server.ID}, nil
}

// crashHarness is a number of instances that share their evidence.
type crashHarness struct {
	exchanger  *crashingExchanger
	forwarders []*Forwarder
	route      *pollencatalog.Route

	mu sync.Mutex
	// served, failed and harmful count the outcomes of harmless requests; failed includes refusals.
	served, failed, harmful int
}

func newCrashHarness(t *testing.T, sharded bool) *crashHarness {
	h := &crashHarness{exchanger: newCrashingExchanger(), route: shardedRoute(crashShards)}
	config := pollencatalog.TableConfig{Configuration: &pollencatalog.Configuration{Version: 1, Services: map[string]pollencatalog.Service{}}}
	for i := range crashShards {
		config.Configuration.Services[service(i)] = pollencatalog.Service{Name: service(i), Connections: 100}
		for j := range 2 {
			config.Servers = append(config.Servers, &pollencatalog.Server{
				ID: fmt.Sprintf("%d-%d", i, j), Service: service(i), Slots: 3, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(j), byte(i)}), 80),
			})
		}
	}
	if !sharded {
		h.route = unshardedRoute(true)
		for i, s := range config.Servers[2:6] {
			s.Service, s.ID = service(0), fmt.Sprintf("0-%d", 2+i)
		}
	}
	h.route.Timeout = 2 * time.Second
	table := pollencatalog.NewTable(config)
	var registries []*pollensuspect.Registry
	for i := range crashInstances {
		registries = append(registries, pollensuspect.New(pollensuspect.Config{InstanceName: fmt.Sprintf("entry-%d", i)}))
		h.forwarders = append(h.forwarders, New(Config{
			Exchanger: h.exchanger, Ranking: pollenrank.New(pollenrank.Config{Random: rand.New(rand.NewPCG(3, uint64(i)))}), Suspects: registries[i],
			ColdLimiter: pollenramp.New(pollenramp.Config{}), Quotas: pollenquota.New(pollenquota.Config{Standbys: func() int { return 0 }}), CallerRoundTrip: 10 * time.Millisecond, LateAnswerTimeout: 300 * time.Millisecond,
			Budget: pollenbudget.New(pollenbudget.Config{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}),
			Table:  func() *pollencatalog.Table { return table }, Splitter: &Splitter{},
		}))
	}
	for i, r := range registries {
		go func() {
			for {
				select {
				case <-t.Context().Done():
					return
				case <-r.Changed():
				}
				changes := r.OwnChanges()
				time.Sleep(5 * time.Millisecond)
				for j, other := range registries {
					if j != i {
						other.Merge(r.Message(time.Now()), time.Now())
					}
				}
				r.SetShared(changes)
			}
		}()
	}
	return h
}

// send sends a request to a random instance, and once more to another one if it fails.
func (h *crashHarness) send(ctx context.Context, id string, content pollensuspect.Fingerprint) error {
	var err error
	for attempt := range 2 {
		forwarder := h.forwarders[rand.IntN(len(h.forwarders))]
		_, _, err = forwarder.Serve(ctx, h.route, &Request{ID: fmt.Sprintf("%s.%d", id, attempt), Received: time.Now(), CallerTimeout: 2 * time.Second, Content: content})
		var refused *RefusedError
		var harmful *HarmfulRequestError
		switch {
		case err == nil, errors.As(err, &harmful):
			return err
		case errors.As(err, &refused):
			time.Sleep(refused.RetryAfter)
		}
	}
	return err
}

// sendHarmless sends a request that no server ends under, and records its outcome.
func (h *crashHarness) sendHarmless(ctx context.Context, id string, content pollensuspect.Fingerprint) {
	err := h.send(ctx, id, content)
	var harmful *HarmfulRequestError
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		h.served++
	case errors.As(err, &harmful):
		h.harmful++
	default:
		h.failed++
	}
}

// lateSends returns how many requests of a deadly content reached servers later than inTouchDelay after its third server had
// ended.
func (e *crashingExchanger) lateSends(content pollensuspect.Fingerprint) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.endedBy[content]) < 3 {
		return 0
	}
	from, count := e.endedBy[content][2].Add(inTouchDelay), 0
	for _, at := range e.deadlySends[content] {
		if at.After(from) {
			count++
		}
	}
	return count
}

func content(target, caller, body string) pollensuspect.Fingerprint {
	return pollensuspect.Content{Method: "POST", Host: "h", Target: target, Header: http.Header{"Authorization": {caller}}, Body: []byte(body)}.Fingerprint()
}

// Load pattern: a request ends each server that begins to run it, and comes again at any instance. Guards against a query that
// ends the servers of all shards, against sending it again and again, and against refusing other requests on its account.
func TestDeadlyRequestEndsFewServers(t *testing.T) {
	tests := []struct {
		name    string
		sharded bool
		// deadly is the number of deadly contents, one more from each three seconds on; each arrives three times a second.
		deadly int
		// endingServers is the number of servers a second that end by themselves.
		endingServers float64
		lostShare     float64
		// maxEnded is the largest number of servers that may end, maxFailed the largest share of harmless requests that may fail.
		maxEnded  int
		maxFailed float64
	}{
		{name: "deadly query", sharded: true, deadly: 1, maxEnded: maxEndedByQuery, maxFailed: 0.05},
		{name: "deadly queries of one route", sharded: true, deadly: 5, maxEnded: 2*maxEndedByQuery + 3*(3+maxLateSends), maxFailed: 0.1},
		{name: "deadly request without shards", deadly: 1, maxEnded: 3 + maxLateSends, maxFailed: 0.05},
		{name: "servers that end by themselves", sharded: true, endingServers: 4, maxEnded: 4 * 40, maxFailed: 0.05},
		{name: "servers that end by themselves, without shards", endingServers: 1, maxEnded: 40, maxFailed: 0.05},
		{name: "lost answers", sharded: true, lostShare: 0.4, maxFailed: 0.2},
		{name: "lost answers without shards", lostShare: 0.4, maxFailed: 0.05},
		{name: "deadly query beside servers that end by themselves", sharded: true, deadly: 1, endingServers: 0.5, maxEnded: maxEndedByQuery + 20, maxFailed: 0.1},
		{name: "deadly query beside lost answers", sharded: true, deadly: 1, lostShare: 0.1, maxEnded: maxEndedByQuery, maxFailed: 0.1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				c := qt.New(t)
				h := newCrashHarness(t, test.sharded)
				h.exchanger.lostShare = test.lostShare
				random := rand.New(rand.NewPCG(5, 6))
				var deadly []pollensuspect.Fingerprint
				for n := range test.deadly {
					deadly = append(deadly, content("/same", "a", fmt.Sprintf("deadly %d", n)))
					h.exchanger.deadly[deadly[n]] = true
				}
				ctx, start, sent := t.Context(), time.Now(), 0
				const runTime, tick = 18 * time.Second, 25 * time.Millisecond
				for now := start; now.Sub(start) < runTime; now = now.Add(tick) {
					sent++
					id := fmt.Sprintf("harmless-%d", sent)
					// The same target comes with other bodies and from other callers.
					go h.sendHarmless(ctx, id, content("/same", []string{"a", "b"}[sent%2], id))
					for n, f := range deadly {
						if begun := now.Sub(start) >= time.Duration(n)*3*time.Second; begun && random.Float64() < 3*tick.Seconds() {
							id := fmt.Sprintf("deadly-%d-%d", n, sent)
							go func() { _ = h.send(ctx, id, f) }()
						}
					}
					if random.Float64() < test.endingServers*tick.Seconds() {
						servers := h.forwarders[0].config.Table().AppendEligible(nil, service(random.IntN(len(h.route.Shards)+1)%crashShards))
						if len(servers) > 0 {
							h.exchanger.end(servers[random.IntN(len(servers))].ID)
						}
					}
					time.Sleep(tick)
				}
				time.Sleep(3 * time.Second)
				h.mu.Lock()
				defer h.mu.Unlock()
				c.Check(h.harmful, qt.Equals, 0)
				c.Check(float64(h.failed) <= test.maxFailed*float64(sent), qt.IsTrue, qt.Commentf("%d of %d failed", h.failed, sent))
				c.Check(h.exchanger.ended <= test.maxEnded, qt.IsTrue, qt.Commentf("%d servers ended", h.exchanger.ended))
				for _, f := range deadly {
					c.Check(h.exchanger.lateSends(f) <= maxLateSends, qt.IsTrue, qt.Commentf("%d sends", h.exchanger.lateSends(f)))
					c.Check(len(h.exchanger.endedBy[f]) > 0, qt.IsTrue)
				}
			})
		})
	}
}

// Guards against evidence against requests whose leaving servers close their connections and then refuse new ones.
func TestLeavingServerDoesNotCountAsEnded(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		t.Run(fmt.Sprintf("leaving %v", leaving), func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				c := qt.New(t)
				h := newCrashHarness(t, true)
				f := h.forwarders[0]
				server := f.config.Table().ServersOf(service(0))[0]
				f.config.Gate.RecordAnswer(server, leaving, 0, time.Now())
				h.exchanger.end(server.ID)
				request := ServerRequest{Request: &Request{ID: "r", Content: content("/same", "a", "body")}, Server: server, ConnectionLimit: 1}
				call := &call{forwarder: f, route: h.route, request: request.Request, stats: &Stats{}}
				c.Assert(call.detectCrash(request, time.Now()), qt.Equals, !leaving)
				decision, _ := f.config.Suspects.Decide(request.Request.Content, h.route.Name, time.Now())
				c.Assert(decision == pollensuspect.Send, qt.Equals, leaving, qt.Commentf("%v", decision))
			})
		})
	}
}
