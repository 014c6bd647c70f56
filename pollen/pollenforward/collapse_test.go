package pollenforward

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenbudget"
	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenquota"
	"pollenline.example/pollen/pollenramp"
	"pollenline.example/pollen/pollenrank"
	"pollenline.example/pollen/pollensuspect"
)

// faultyServer is a server with slots, a bounded queue, periodic pauses and faults.
type faultyServer struct {
	mu     sync.Mutex
	slots  chan struct{}
	queued int
	// pauseAt is the time of its first pause.
	pauseAt time.Time
	// silent servers accept requests and never answer; slow ones take collapseSlowFactor times as long.
	silent, slow bool
	// worked is the time that the slots were in use.
	worked time.Duration
}

const (
	collapsePause       = 150 * time.Millisecond
	collapsePausePeriod = 3600 * time.Millisecond
	collapseSlowFactor  = 8.0
)

// pauseLeft returns how long the server still pauses.
func (s *faultyServer) pauseLeft(now time.Time) time.Duration {
	into := now.Sub(s.pauseAt) % collapsePausePeriod
	return max(collapsePause-into, 0)
}

// collapseKind is one kind of query and its share of the load.
type collapseKind struct {
	route *pollencatalog.Route
	share float64
	work  time.Duration
}

// collapseOutcome counts what became of callers' requests of one kind.
type collapseOutcome struct {
	sent, inTime, late, refused, failed int
	// heldUntried counts requests that ended in the last tenth of their timeout before enough of their shards were tried.
	heldUntried int
	// slowestRefusal is the longest time until a refusal.
	slowestRefusal time.Duration
}

// collapseFleet holds several instances over shards of which many servers are silent, slow or paused.
type collapseFleet struct {
	servers    map[string]*faultyServer
	forwarders []*Forwarder
	kinds      []collapseKind
	table      *pollencatalog.Table
	mu         sync.Mutex
	random     *rand.Rand
	outcomes   []collapseOutcome
	causes     map[string]int
	// teams counts the outcomes by team.
	teams map[string]*collapseOutcome
	// counted is the time of the first request whose outcome counts.
	counted time.Time
	// firstServed counts first tries that were answered; calls numbers the callers' requests.
	firstServed, calls int
	// popularSent and popularServed count the callers' requests of the popular content.
	popularSent, popularServed int
}

func (f *collapseFleet) ConnectionAvailable(*pollencatalog.Server, int) bool { return true }

func (f *collapseFleet) Connect(context.Context, *pollencatalog.Server, int) error { return nil }

func (f *collapseFleet) Exchange(ctx context.Context, request ServerRequest) (*Answer, error) {
	if !request.SendGuard.Claim() {
		return nil, &UnsentError{Server: request.Server.ID, Err: &WithdrawnError{}}
	}
	const networkDelay = 4 * time.Millisecond
	id := request.Server.ID
	s := f.servers[id]
	time.Sleep(networkDelay)
	if s.silent {
		<-ctx.Done()
		return nil, &NoAnswerError{Server: id, Err: ctx.Err()}
	}
	s.mu.Lock()
	if len(s.slots) == cap(s.slots) && s.queued >= serverQueueLimit {
		s.mu.Unlock()
		time.Sleep(networkDelay)
		return nil, &NotRunError{Server: id, Status: 503}
	}
	s.queued++
	s.mu.Unlock()
	ended := false
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		ended = true
	}
	s.mu.Lock()
	s.queued--
	s.mu.Unlock()
	if ended {
		return nil, &NoAnswerError{Server: id, Err: ctx.Err()}
	}
	f.mu.Lock()
	work := time.Duration(float64(f.work(request.Request.Target)) * (0.6 + 0.8*f.random.Float64()))
	f.mu.Unlock()
	if s.slow {
		work = time.Duration(float64(work) * collapseSlowFactor)
	}
	began := time.Now()
	timer := time.NewTimer(work + s.pauseLeft(began))
	select {
	case <-timer.C:
	case <-ctx.Done():
		timer.Stop()
	}
	s.mu.Lock()
	s.worked += time.Since(began)
	s.mu.Unlock()
	<-s.slots
	if ctx.Err() != nil {
		return nil, &NoAnswerError{Server: id, Err: ctx.Err()}
	}
	time.Sleep(networkDelay)
	return &Answer{Status: 200, Body: []byte("0123456789abcdef"), Signature: "by " + id}, nil
}

// work returns the mean service time of the named kind of query.
func (f *collapseFleet) work(route string) time.Duration {
	for _, kind := range f.kinds {
		if kind.route.Name == route {
			return kind.work
		}
	}
	return 0
}

const (
	// collapseShards is the usual number of shards: fewer than in the deployments, so that the tests stay short.
	collapseShards    = 30
	collapseReplicas  = 3
	collapseSlots     = 2
	collapseInstances = 6
)

// collapseConfig describes the faults of a collapseFleet.
type collapseConfig struct {
	seed                   uint64
	silentShare, slowShare float64
	// shards is the number of shards; zero means collapseShards.
	shards int
}

func newCollapseFleet(config collapseConfig) *collapseFleet {
	f := &collapseFleet{servers: make(map[string]*faultyServer), random: rand.New(rand.NewPCG(config.seed, 1)), causes: make(map[string]int), teams: make(map[string]*collapseOutcome)}
	shards := config.shards
	if shards == 0 {
		shards = collapseShards
	}
	f.kinds = []collapseKind{
		{share: 2.0 / 3, work: 15 * time.Millisecond, route: collapseRoute(shards, "usual", 1, 200*time.Millisecond, 2*time.Second, 0.95)},
		{share: 1.0 / 3, work: 5 * time.Millisecond, route: collapseRoute(shards, "urgent", 0, 80*time.Millisecond, time.Second, 0.85)},
	}
	f.outcomes = make([]collapseOutcome, len(f.kinds))
	table := pollencatalog.TableConfig{Configuration: &pollencatalog.Configuration{Version: 1, Services: map[string]pollencatalog.Service{}}}
	var all []*faultyServer
	for i := range shards {
		table.Configuration.Services[service(i)] = pollencatalog.Service{Name: service(i), Connections: 300}
		for j := range collapseReplicas {
			id := fmt.Sprintf("%d-%d", i, j)
			table.Servers = append(table.Servers, &pollencatalog.Server{
				ID: id, Service: service(i), Slots: collapseSlots, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(j), byte(i)}), 80),
			})
			f.servers[id] = &faultyServer{
				slots:   make(chan struct{}, collapseSlots),
				pauseAt: time.Now().Add(-time.Duration(f.random.Float64() * float64(collapsePausePeriod))),
			}
			all = append(all, f.servers[id])
		}
	}
	f.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	silent := int(math.Round(config.silentShare * float64(len(all))))
	slow := int(math.Round(config.slowShare * float64(len(all))))
	for i, s := range all[:silent+slow] {
		s.silent, s.slow = i < silent, i >= silent
	}
	for i := range collapseInstances {
		table.Instances = append(table.Instances, pollencatalog.Instance{Name: fmt.Sprintf("entry-%d", i), Ready: true})
	}
	f.table = pollencatalog.NewTable(table)
	for i := range collapseInstances {
		f.forwarders = append(f.forwarders, New(Config{
			Exchanger: f, Ranking: pollenrank.New(pollenrank.Config{Random: rand.New(rand.NewPCG(config.seed, uint64(i)))}),
			ColdLimiter: pollenramp.New(pollenramp.Config{}), Quotas: pollenquota.New(pollenquota.Config{Standbys: func() int { return 0 }}),
			CallerRoundTrip: 2 * time.Millisecond, LateAnswerTimeout: 300 * time.Millisecond,
			Budget:   pollenbudget.New(pollenbudget.Config{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}),
			Table:    func() *pollencatalog.Table { return f.table },
			Splitter: &Splitter{}, Refusals: &delayedObserver{fleet: f, sender: i},
		}))
	}
	return f
}

// delayedObserver tells the other instances of refusals and repeats after observeDelay.
type delayedObserver struct {
	fleet  *collapseFleet
	sender int
}

// observeDelay is less than the five milliseconds after which callers' immediate repeats arrive.
const observeDelay = 4 * time.Millisecond

func (d *delayedObserver) ObserveRefusal(content pollensuspect.Fingerprint, until time.Time) {
	d.tell(func(f *Forwarder) { f.RecordRefusal(content, until) })
}

func (d *delayedObserver) ObserveRepeat(content pollensuspect.Fingerprint) {
	d.tell(func(f *Forwarder) { f.RecordRepeat(content) })
}

func (d *delayedObserver) tell(message func(f *Forwarder)) {
	time.AfterFunc(observeDelay, func() {
		for i, f := range d.fleet.forwarders {
			if i != d.sender {
				message(f)
			}
		}
	})
}

func collapseRoute(shards int, name string, priority int, objective, timeout time.Duration, coverage float64) *pollencatalog.Route {
	r := shardedRoute(shards)
	r.Name, r.Priority, r.Objective, r.Timeout, r.MinimumCoverage = name, priority, objective, timeout, coverage
	return r
}

// capacity returns the number of queries of the mixed kinds per second that the slots carry at the shards that are needed: those
// without the ones that have the fewest working slots, as far as the minimum coverage of the first kind allows.
func (f *collapseFleet) capacity() float64 {
	mean := 0.0
	for _, kind := range f.kinds {
		mean += kind.share * kind.work.Seconds()
	}
	route := f.kinds[0].route
	slots := make([]float64, len(route.Shards))
	for i := range slots {
		for j := range collapseReplicas {
			switch s := f.servers[fmt.Sprintf("%d-%d", i, j)]; {
			case s.silent:
			case s.slow:
				slots[i] += collapseSlots / collapseSlowFactor
			default:
				slots[i] += collapseSlots
			}
		}
	}
	slices.Sort(slots)
	missing := len(slots) - int(math.Ceil(route.MinimumCoverage*float64(len(slots))))
	return slots[missing] / mean
}

// collapseLoad describes callers that send for a time.
type collapseLoad struct {
	perSecond float64
	duration  time.Duration
	// repeats is how often a caller repeats a refused request; at once if immediate is set, else after Retry-After.
	repeats   int
	immediate bool
	// stays is set if callers repeat at the same instance.
	stays bool
	// team chooses the team of a request; nil if there are no teams.
	team func(random *rand.Rand) *pollencatalog.Team
	// popularEvery is how many requests there are for each one of the same content; zero if all have contents of their own.
	popularEvery int
}

// instance returns which of its instances a caller's try is sent to.
func (l collapseLoad) instance(try int) int {
	if l.stays {
		return 0
	}
	return try
}

// send sends the load and waits until all requests have ended.
func (f *collapseFleet) send(t *testing.T, seed uint64, load collapseLoad) {
	random := rand.New(rand.NewPCG(seed, 9))
	var inFlight sync.WaitGroup
	for until := time.Now().Add(load.duration); time.Now().Before(until); {
		kind := 0
		for p := random.Float64(); kind < len(f.kinds)-1 && p >= f.kinds[kind].share; kind++ {
			p -= f.kinds[kind].share
		}
		order := random.Perm(len(f.forwarders))
		var team *pollencatalog.Team
		if load.team != nil {
			team = load.team(random)
		}
		inFlight.Go(func() { f.call(t, load, kind, order, team) })
		time.Sleep(time.Duration(random.ExpFloat64() / load.perSecond * float64(time.Second)))
	}
	inFlight.Wait()
}

// call sends one caller's request to instances in an order, and counts its outcome.
func (f *collapseFleet) call(t *testing.T, load collapseLoad, kind int, order []int, team *pollencatalog.Team) {
	route := f.kinds[kind].route
	start := time.Now()
	f.mu.Lock()
	f.calls++
	content := pollensuspect.Fingerprint{1, byte(f.calls), byte(f.calls >> 8), byte(f.calls >> 16)}
	popular := load.popularEvery > 0 && f.calls%load.popularEvery == 0
	if popular {
		content = pollensuspect.Fingerprint{2}
		f.popularSent++
	}
	f.mu.Unlock()
	var stats *Stats
	var err error
	var refused *RefusedError
	for try := 0; ; try++ {
		received := time.Now()
		_, stats, err = f.forwarders[order[load.instance(try)%len(order)]].Serve(t.Context(), route, &Request{
			ID: "r", Target: route.Name, Received: received, CallerTimeout: route.Timeout - received.Sub(start), Team: team, Content: content,
		})
		if err == nil && try == 0 {
			f.mu.Lock()
			f.firstServed++
			f.mu.Unlock()
		}
		if !errors.As(err, &refused) || try == load.repeats {
			break
		}
		f.count(kind, team, start, received, stats, err, false)
		wait := refused.RetryAfter
		if load.immediate {
			wait = 5 * time.Millisecond
		}
		if time.Since(start)+wait >= route.Timeout {
			break
		}
		time.Sleep(wait)
	}
	f.count(kind, team, start, start, stats, err, true)
	if popular && err == nil {
		f.mu.Lock()
		f.popularServed++
		f.mu.Unlock()
	}
}

// count counts the outcome of a try, and of the caller's request if it was the last one.
func (f *collapseFleet) count(kind int, team *pollencatalog.Team, start, sent time.Time, stats *Stats, err error, last bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if start.Before(f.counted) {
		return
	}
	outcomes := []*collapseOutcome{&f.outcomes[kind]}
	if team != nil {
		if f.teams[team.Name] == nil {
			f.teams[team.Name] = &collapseOutcome{}
		}
		outcomes = append(outcomes, f.teams[team.Name])
	}
	took := time.Since(start)
	var refused *RefusedError
	if err != nil && last {
		f.causes[strings.Map(func(r rune) rune {
			if r >= '0' && r <= '9' {
				return '#'
			}
			return r
		}, err.Error())]++
	}
	for _, o := range outcomes {
		if errors.As(err, &refused) {
			o.slowestRefusal = max(o.slowestRefusal, time.Since(sent))
		}
		if !last {
			continue
		}
		o.sent++
		route := f.kinds[kind].route
		switch {
		case err == nil && took <= route.Objective:
			o.inTime++
		case err == nil:
			o.late++
		case refused != nil:
			o.refused++
		default:
			o.failed++
		}
		// Shards of the minimum coverage that no server was asked for.
		untried := stats.Sends-stats.Hedges-stats.Retries < int(math.Ceil(route.MinimumCoverage*float64(len(route.Shards))))
		if err != nil && untried && took >= route.Timeout*9/10 {
			o.heldUntried++
		}
	}
}

// total returns the sum of the outcomes of all kinds.
func (f *collapseFleet) total() collapseOutcome {
	total := collapseOutcome{}
	for _, o := range f.outcomes {
		total.sent += o.sent
		total.inTime += o.inTime
		total.late += o.late
		total.refused += o.refused
		total.failed += o.failed
		total.heldUntried += o.heldUntried
		total.slowestRefusal = max(total.slowestRefusal, o.slowestRefusal)
	}
	return total
}

// workInTime returns the slot time of the answers in time, by which loads of different mixes can be compared.
func (f *collapseFleet) workInTime() time.Duration {
	total := time.Duration(0)
	for i, o := range f.outcomes {
		total += time.Duration(o.inTime) * f.kinds[i].work
	}
	return total
}

// Load pattern: of the servers of 30 shards 17 in 100 are silent, 14 in 100 are eight times slower and all pause at times, so that
// some shards have one working server, while callers of two kinds of queries request up to three times what its slots carry and
// retry once. Guards against queries that start without the scarce shards and wait for them to their ends: answers in time
// fell from 94 per second at half of the capacity to 68, 4 and none.
func TestFaultsAndOverloadKeepGoodput(t *testing.T) {
	best, bestWork := 0, time.Duration(0)
	type measured struct {
		load    float64
		total   collapseOutcome
		work    time.Duration
		bestYet int
	}
	var runs []measured
	for _, load := range []float64{0.5, 1, 1.5, 2, 3} {
		t.Run(fmt.Sprintf("%v times the capacity", load), func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T) {
				c := qt.New(t)
				f := newCollapseFleet(collapseConfig{seed: 2, silentShare: 0.17, slowShare: 0.14})
				f.counted = time.Now().Add(time.Second)
				f.send(t, 3, collapseLoad{perSecond: load * f.capacity(), duration: 5 * time.Second, repeats: 1})
				total := f.total()
				best, bestWork = max(best, total.inTime), max(bestWork, f.workInTime())
				runs = append(runs, measured{load: load, total: total, work: f.workInTime(), bestYet: best})
				counts := qt.Commentf("capacity %.0f per second; usual %+v, urgent %+v; %v", f.capacity(), f.outcomes[0], f.outcomes[1], f.causes)
				t.Log(counts)
				c.Check(total.heldUntried*100 < total.sent, qt.IsTrue, counts)
				for _, o := range f.outcomes {
					// No kind of query is served less than a quarter as often as all.
					c.Check(4*o.inTime*total.sent >= total.inTime*o.sent, qt.IsTrue, counts)
				}
			})
		})
	}
	for _, run := range runs {
		if run.load < 1.5 {
			continue
		}
		qt.Check(t, 10*run.total.inTime >= 9*run.bestYet, qt.IsTrue, qt.Commentf("load %v: %d in time, %d at a lower load", run.load, run.total.inTime, run.bestYet))
		// At a higher load more of the answers are of the kind with less work, so the best of all loads is told by the work.
		t.Run(fmt.Sprintf("work in time at %v times the capacity", run.load), func(t *testing.T) {
			qt.Check(t, 10*run.work >= 9*bestWork, qt.IsTrue, qt.Commentf("%v of work in time, best %v", run.work, bestWork))
		})
	}
}

// Load pattern: one of 73 teams sends one and a half times what the slots carry, the others their usual load, a few of them more than
// most. Guards against a queue that serves teams by what they send: the other teams must get their share, and all about the same part.
func TestHotTeamTakesNothingFromOthers(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		f := newCollapseFleet(collapseConfig{seed: 2, shards: 6})
		f.kinds = f.kinds[:1]
		f.kinds[0].share = 1
		hot := &pollencatalog.Team{Name: "hot", Priority: 1}
		teams := make([]*pollencatalog.Team, 72)
		for i := range teams {
			teams[i] = &pollencatalog.Team{Name: fmt.Sprintf("team-%d", i), Priority: 1}
		}
		const others = 0.4
		f.send(t, 3, collapseLoad{perSecond: (1.5 + others) * f.capacity(), duration: 15 * time.Second, repeats: 1, team: func(random *rand.Rand) *pollencatalog.Team {
			if random.Float64() < 1.5/(1.5+others) {
				return hot
			}
			return teams[random.IntN(len(teams))]
		}})
		served := make([]float64, 0, len(teams))
		mean := 0.0
		for _, team := range teams {
			o := f.teams[team.Name]
			served = append(served, float64(o.inTime+o.late)/float64(o.sent))
			mean += served[len(served)-1] / float64(len(teams))
		}
		slices.Sort(served)
		worst := 0.0
		for _, s := range served[:7] {
			worst += s / 7
		}
		counts := qt.Commentf("worst tenth of the teams %.3f, mean %.3f, hot %+v, all %+v", worst, mean, f.teams["hot"], f.outcomes[0])
		t.Log(counts)
		c.Check(worst >= 0.9*mean, qt.IsTrue, counts)
		c.Check(mean >= 0.9, qt.IsTrue, counts)
	})
}

// Load pattern: callers send half as much again as the slots carry, and repeat a refused request at once, up to eight times. Guards
// against repeats that are taken for first tries and leave those a small part.
func TestRepeatsLeaveFirstTriesTheirShare(t *testing.T) {
	tests := []struct {
		name  string
		stays bool
	}{
		{"at the same instance", true},
		{"at other instances", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			served := make(map[bool]int)
			for _, repeat := range []bool{false, true} {
				runInVirtualTime(t, func(t *testing.T) {
					f := newCollapseFleet(collapseConfig{seed: 2, shards: 6})
					load := collapseLoad{perSecond: 1.5 * f.capacity(), duration: 4 * time.Second, immediate: true, stays: test.stays}
					if repeat {
						load.repeats = 8
					}
					f.send(t, 3, load)
					served[repeat] = f.firstServed
					t.Logf("repeats %v: %d first tries served; %+v", repeat, f.firstServed, f.total())
				})
			}
			qt.Check(t, served[true]*100 >= served[false]*95, qt.IsTrue, qt.Commentf("%d with repeats, %d without", served[true], served[false]))
		})
	}
}

// Load pattern: many callers send requests of the same content, and repeat refused ones at once. Guards against a content that is starved
// because a refusal at one instance makes later requests at all of them count as repetitions.
func TestPopularContentIsServedLikeOthers(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		f := newCollapseFleet(collapseConfig{seed: 2, shards: 6})
		f.send(t, 3, collapseLoad{perSecond: 1.5 * f.capacity(), duration: 4 * time.Second, immediate: true, repeats: 8, popularEvery: 4})
		total := f.total()
		counts := qt.Commentf("%d of %d popular ones served; all %+v", f.popularServed, f.popularSent, total)
		t.Log(counts)
		// No kind of request is served less than a quarter as often as all.
		qt.Check(t, 4*f.popularServed*total.sent >= (total.inTime+total.late)*f.popularSent, qt.IsTrue, counts)
	})
}

// Load pattern: callers leave while their queries wait in the queue or run. Guards against requests that stay in the queue and servers
// that go on with work that nobody awaits.
func TestLeftCallersFreeQueueAndServers(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := qt.New(t)
		f := newCollapseFleet(collapseConfig{seed: 2, shards: 6})
		// Work that outlasts the test makes the slots the only limit.
		f.kinds[1].work = time.Minute
		route := f.kinds[1].route
		ctx, leave := context.WithCancel(t.Context())
		var inFlight sync.WaitGroup
		for range 40 {
			inFlight.Go(func() {
				_, _, err := f.forwarders[0].Serve(ctx, route, &Request{ID: "r", Target: route.Name, Received: time.Now(), CallerTimeout: route.Timeout})
				var left *CallerDisconnectedError
				var refused *RefusedError
				c.Check(errors.As(err, &left) || errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
			})
		}
		time.Sleep(15 * time.Millisecond)
		c.Assert(f.forwarders[0].queue.Len() > 0, qt.IsTrue)
		c.Assert(f.slotsInUse() > 0, qt.IsTrue)
		leave()
		synctest.Wait()
		c.Check(f.forwarders[0].queue.Len(), qt.Equals, 0)
		c.Check(f.slotsInUse(), qt.Equals, 0)
		inFlight.Wait()
	})
}

// slotsInUse returns the number of slots that run a request.
func (f *collapseFleet) slotsInUse() int {
	n := 0
	for _, s := range f.servers {
		n += len(s.slots)
	}
	return n
}
