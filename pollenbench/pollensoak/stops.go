package pollensoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"pollenline.example/platform/pollenfakeplatform"
)

// The kinds of load.
const (
	// LoadFaults draws from all kinds of faults.
	LoadFaults = "faults"
	// LoadStops stops instances as planned, up to two at a time, under callers that keep their connections.
	LoadStops = "stops"
)

// The parameters of LoadStops. They are those of the sites on which requests were cut at planned stops.
const (
	stopServerSlots    = 4
	stopServerQueue    = 16
	stopWorkSigma      = 0.9
	stopRequestsPerSec = 60
	stopCallerTimeout  = 15 * time.Second
	shortRouteTimeout  = 10 * time.Second
	// onceShare is the share of requests that may run once only, lateShare that of callers that use the directory's answers
	// lateCacheFactor times as long as stated.
	onceShare       = 0.25
	lateShare       = 0.3
	lateCacheFactor = 3
	// stopLanes is the largest number of instances that stop at the same time; each lane stops one after the other.
	stopLanes = 2
	// maxStopPause bounds the pause of a lane between a restart and the next stop, maxStopOffset how long after a request SIGTERM is sent if
	// the stop is to meet one in flight, which it awaits for writtenTimeout.
	maxStopPause   = 2 * time.Second
	maxStopOffset  = 100 * time.Millisecond
	writtenTimeout = 500 * time.Millisecond
	// meanChangeInterval is the mean time between two changes that are made between and during the stops.
	meanChangeInterval = 1500 * time.Millisecond
	// slowShare of the servers work slowFactor times as long for minSlowDuration and the fault's duration.
	slowShare       = 0.3
	slowFactor      = 5
	minSlowDuration = 2 * time.Second
)

// The services and routes of LoadStops. The route of requests that may run once only moves between both services.
const (
	workService  = "work"
	spareService = "spare"
	pathWork     = "/work/"
	pathWorkOnce = "/work-once/"
)

// stopServices returns the services of LoadStops, each as often as it has servers per zone.
func stopServices() []string {
	return append(slices.Repeat([]string{workService}, 6), slices.Repeat([]string{spareService}, 2)...)
}

// stopChanges lists the changes that are made in LoadStops beside the stops.
var stopChanges = []faultKind{
	{"reload", "all instances reload their settings", injectReload},
	{"timeout", "the timeout of a route changes", injectTimeoutChange},
	{"move", "a route moves to another service", injectRouteMove},
}

// slowServers is a kind of fault that LoadStops adds to its changes if Config.SlowServers is set.
var slowServers = faultKind{"servers-slow", "some servers work five times as long", injectSlowServers}

// stopLoad is the state of LoadStops.
type stopLoad struct {
	meanWork time.Duration
	// shortTimeout is set while the idempotent route has shortRouteTimeout; the deployments' mutex guards it.
	shortTimeout bool
	// busy serialises the stops of each instance; written receives a value when a request has been written to it.
	busy    []sync.Mutex
	written []chan struct{}
}

// plannedStop is a stop of an instance, some time after the former one of its lane has ended.
type plannedStop struct {
	instance int
	pause    time.Duration
	// inFlight is set if SIGTERM is to be sent at the offset after a request to the instance.
	inFlight bool
	offset   time.Duration
}

func newStopLoad(config Config) *stopLoad {
	s := &stopLoad{meanWork: config.MeanWork, busy: make([]sync.Mutex, config.Instances)}
	for range config.Instances {
		s.written = append(s.written, make(chan struct{}, 1))
	}
	return s
}

func (s *stopLoad) configureServer(config *pollenfakeplatform.ServerConfig) {
	config.Slots, config.QueueLength, config.MeanWork, config.WorkSigma, config.AnswerRecords = stopServerSlots, stopServerQueue, s.meanWork, stopWorkSigma, 0
}

// stopPromises returns the promises that are checked in LoadStops. Requests need not recover, since all servers are sound.
func stopPromises() []promise {
	checked := slices.DeleteFunc(slices.Clone(promises), func(p promise) bool { return p.name == "NothingCut" || p.name == "Recovers" })
	return append(checked, answeredAtStop)
}

// newStopPlan draws the stops of each lane. The second lane begins in the first half of the run, so that stops are in series at first.
func newStopPlan(config Config) [stopLanes][]plannedStop {
	random := rand.New(rand.NewPCG(config.Seed, 1<<33))
	order := random.Perm(config.Instances)
	var plan [stopLanes][]plannedStop
	for lane := range plan {
		begin := faultFreeStart + time.Duration(random.Int64N(int64(config.Duration/2)))*time.Duration(lane)
		// No stop takes less than a second, so that there are enough for the duration.
		for n := range int(config.Duration/time.Second) + 1 {
			next := plannedStop{
				instance: order[(n+lane*config.Instances/stopLanes)%config.Instances], pause: begin + time.Duration(random.Int64N(int64(maxStopPause))),
				inFlight: random.IntN(2) == 0, offset: time.Duration(random.Int64N(int64(maxStopOffset))),
			}
			plan[lane], begin = append(plan[lane], next), 0
		}
	}
	return plan
}

// runStops makes a run of LoadStops.
func runStops(ctx context.Context, config Config) (*Report, error) {
	c, err := startCluster(ctx, config)
	if err != nil {
		return nil, err
	}
	defer c.close()
	changes := stopChanges
	if config.SlowServers {
		changes = append(slices.Clone(changes), slowServers, slowServers)
	}
	plan := drawFaults(changes, config, meanChangeInterval)
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	var load, planned sync.WaitGroup
	load.Go(func() { c.sendOpenLoop(loadCtx, config) })
	until := time.Now().Add(faultFreeStart + config.Duration)
	var laneErrs [stopLanes]error
	for lane, stops := range newStopPlan(config) {
		planned.Go(func() { laneErrs[lane] = c.runLane(ctx, stops, until, config) })
	}
	changeErr := c.injectFaults(ctx, plan, config.Output)
	planned.Wait()
	endLoad()
	load.Wait()
	time.Sleep(inFlightDrain)
	for _, err := range append(laneErrs[:], changeErr) {
		if err != nil {
			return nil, fmt.Errorf("seed %d: %w", config.Seed, err)
		}
	}
	report := c.report(config.Seed, plan, stopPromises())
	report.Stops = len(c.record.stops)
	for _, o := range c.record.outcomes {
		if o.Status == 0 && !o.ConnectFailed {
			report.Unanswered++
			fmt.Fprintf(config.Output, "no answer: excused %v: request %s: %s\n", c.record.excused(o), o.Request.ID, c.record.describeCut(o))
		}
	}
	for _, v := range report.Violations {
		if v.Promise == answeredAtStop.name {
			report.Cut++
		}
	}
	return report, nil
}

// runLane makes the stops of a lane, one after the other, until no more may begin.
func (c *cluster) runLane(ctx context.Context, stops []plannedStop, until time.Time, config Config) error {
	for _, s := range stops {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(s.pause):
		}
		if time.Now().After(until) {
			return nil
		}
		if err := c.stopPlanned(ctx, s, config); err != nil {
			return err
		}
	}
	return nil
}

// stopPlanned stops an instance, starts it again and waits until it is ready.
func (c *cluster) stopPlanned(ctx context.Context, planned plannedStop, config Config) error {
	e := c.instances[planned.instance]
	c.stops.busy[e.number].Lock()
	defer c.stops.busy[e.number].Unlock()
	defer c.record.beginDisturbance(e.number, disturbsStore|disturbsPace)()
	if planned.inFlight {
		c.stops.awaitWritten(e.number)
		time.Sleep(planned.offset)
	}
	// The mutex is not held during the stop, so that SIGHUP reaches an instance that stops, too.
	e.mu.Lock()
	process := e.process
	e.mu.Unlock()
	endStop := c.record.beginStop(e.number)
	fmt.Fprintf(config.Output, "stop of %s, log time %s\n", e.name, time.Now().UTC().Format("15:04:05.000"))
	if err := process.Stop(c.record.bounds.StopTimeout); err != nil {
		process.Kill()
		c.record.addStopFailure(e.name, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	endStop()
	time.Sleep(restartDelay)
	if err := c.startInstance(e); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return e.awaitReady(ctx)
}

// awaitWritten waits until a request has been written to an instance, at most for writtenTimeout.
func (s *stopLoad) awaitWritten(instance int) {
	select {
	case <-s.written[instance]:
		// The value may be old; the next one is not.
	default:
	}
	select {
	case <-s.written[instance]:
	case <-time.After(writtenTimeout):
	}
}

// noteWritten records that a request has been written to an instance.
func (s *stopLoad) noteWritten(instance int) {
	select {
	case s.written[instance] <- struct{}{}:
	default:
	}
}

// beginStop records a stop that lasts until the returned function is called.
func (r *record) beginStop(instance int) func() {
	s := &stop{instance: instance, signaledAt: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, s)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		s.exitedAt = time.Now()
	}
}

// sendOpenLoop sends requests at random times, whatever became of the former ones, until ctx is done. Each is sent by a random one of the
// callers that await no answer, so that some connections are idle for seconds of a stop.
func (c *cluster) sendOpenLoop(ctx context.Context, config Config) {
	random, turns := rand.New(rand.NewPCG(config.Seed, 1<<33+1)), rand.New(rand.NewPCG(config.Seed, 1<<33+2))
	idle := make(chan *pollenfakeplatform.Caller, config.Callers)
	for n := range config.Callers {
		pick := rand.New(rand.NewPCG(config.Seed, 1<<33+3+uint64(n)))
		caller := &pollenfakeplatform.Caller{
			Directories: c.directories(), KeepConnection: true, NoticeClose: true, Pick: pick.IntN,
			OnWritten: func(instance netip.AddrPort) { c.stops.noteWritten(c.record.instanceByAddress[instance.String()]) },
		}
		if random.Float64() < lateShare {
			caller.CacheFactor = lateCacheFactor
		}
		defer caller.Close()
		idle <- caller
	}
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / stopRequestsPerSec * float64(time.Second)))
		request := pollenfakeplatform.Request{
			ID: fmt.Sprintf("%x-%x", config.Seed, n), Method: http.MethodGet, Host: routeHost, Path: pathWork, Timeout: stopCallerTimeout,
			Key: firstKey(n % teamCount),
		}
		if random.Float64() < onceShare {
			request.Path, request.Method, request.Body = pathWorkOnce, http.MethodPost, "reserve "+request.ID
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		for range turns.IntN(len(idle) + 1) {
			idle <- <-idle
		}
		select {
		case <-ctx.Done():
			return
		case caller := <-idle:
			inFlight.Go(func() {
				c.record.addOutcome(caller.Send(ctx, request))
				idle <- caller
			})
		}
	}
}

// stopConfiguration returns the configuration of LoadStops.
func (c *cluster) stopConfiguration() pollenfakeplatform.Configuration {
	work := pollenfakeplatform.Route{
		Name: workService, Prefix: pathWork, Host: routeHost, Service: workService, Idempotent: true, Timeout: stopCallerTimeout, Objective: time.Second, Attempts: 2,
	}
	once := work
	once.Name, once.Prefix, once.Idempotent = "work-once", pathWorkOnce, false
	if c.stops.shortTimeout {
		work.Timeout = shortRouteTimeout
	}
	if c.moved {
		once.Service = spareService
	}
	return pollenfakeplatform.Configuration{
		Version: c.version, Routes: []pollenfakeplatform.Route{work, once}, Services: []string{workService, spareService}, Connections: serviceConnections,
		Teams: slices.Clone(c.teams),
	}
}

func injectTimeoutChange(ctx context.Context, c *cluster, _ *rand.Rand, _ time.Duration) error {
	return c.deploy(ctx, func() { c.stops.shortTimeout = !c.stops.shortTimeout })
}

// injectSlowServers slows some servers. It records no disturbance: slow servers are sound, and requests to them must be answered.
func injectSlowServers(_ context.Context, c *cluster, random *rand.Rand, duration time.Duration) error {
	chosen := c.randomServers(random, slowShare)
	for _, b := range chosen {
		b.server.SetFaults(pollenfakeplatform.ServerFaults{SlowFactor: slowFactor})
	}
	time.Sleep(minSlowDuration + duration)
	for _, b := range chosen {
		b.server.SetFaults(pollenfakeplatform.ServerFaults{})
	}
	return nil
}
