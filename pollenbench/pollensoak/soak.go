package pollensoak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"pollenline.example/platform/pollenfakeplatform"
)

// Config holds the parameters of one run.
type Config struct {
	// Program is the path of the entry instances' executable.
	Program string
	// Production is the path of the executable with which the instances start before they are replaced one after the other by Program, and
	// with some seeds back; empty if they start with Program. Faults come as long as that takes at least.
	Production string
	// Directory is where settings and logs are written, in a subdirectory for the seed.
	Directory string
	// Seed determines the faults and the requests.
	Seed uint64
	// Duration is the period in which faults start.
	Duration time.Duration
	// Instances and Callers are the numbers of entry instances and of concurrent callers.
	Instances int
	Callers   int
	// FaultKinds names the kinds of faults to draw from; empty means all.
	FaultKinds []string
	// Load is LoadFaults or LoadStops; empty means LoadFaults. LoadStops draws no kinds of faults.
	Load string
	// MeanWork is the mean time for which a server works on a request of LoadStops, and SlowServers makes some servers slower at times.
	MeanWork    time.Duration
	SlowServers bool
	// Output receives a line for each fault when it starts.
	Output io.Writer
}

// Report holds the result of a run.
type Report struct {
	Seed uint64
	// Requests is the number of requests that callers sent, Served the number that succeeded.
	Requests int
	Served   int
	// Statuses holds the numbers of answers by status; ConnectFailed is that of requests for which no connection could be made.
	Statuses      map[int]int
	ConnectFailed int
	// Cut is the number of requests that broke the promise AnsweredAtStop, Unanswered that of all whose connection ended without an answer;
	// Stops is the number of planned stops. They are counted for LoadStops only.
	Cut, Unanswered, Stops int
	// Runs is how many times servers began to work on a request; retries and the shards of a query count each.
	Runs int
	// Faults names the kinds of the injected faults in order.
	Faults     []string
	Violations []Violation
}

// plannedFault is a fault with its start time since the beginning of the run and its duration.
type plannedFault struct {
	start    time.Duration
	duration time.Duration
	kind     faultKind
	seed     uint64
}

const (
	// faultFreeStart is how long requests are sent before the first fault.
	faultFreeStart = 2 * time.Second
	// recoveryObservation is how long requests continue after the recovery bound, to count those that succeed.
	recoveryObservation = 3 * time.Second
	// meanFaultInterval is the mean time between fault starts. Most faults last longer, so that they overlap.
	meanFaultInterval = 900 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the random durations of faults.
	minFaultDuration = 400 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// meanCallerInterval is the mean pause of one caller between requests.
	meanCallerInterval = 60 * time.Millisecond
	callerTimeout      = 2 * time.Second
	// longCallers is the number of callers of long requests. They pause for up to longCallerPause between requests.
	longCallers     = 8
	longCallerPause = 5 * time.Second
	longTimeout     = 15 * time.Second
	// deadlyShare is the share of requests that come from a deadly caller while there is one.
	deadlyShare = 0.03
	// badKeyShare is the share of requests with no key, an unknown one or one that may have been removed, and claimedTeamShare that
	// of requests that claim to be of another team.
	badKeyShare      = 0.06
	claimedTeamShare = 0.3
	// inFlightDrain is the time in which servers complete what is in flight after the last request.
	inFlightDrain = 500 * time.Millisecond
)

// UnknownFaultError reports a name in Config.FaultKinds that is not the name of a fault kind.
type UnknownFaultError struct {
	Name string
}

func (e *UnknownFaultError) Error() string { return fmt.Sprintf("unknown fault kind %q", e.Name) }

// UnknownLoadError reports a name in Config.Load that is not the name of a load.
type UnknownLoadError struct {
	Name string
}

func (e *UnknownLoadError) Error() string { return fmt.Sprintf("unknown load %q", e.Name) }

// ProductionLoadError reports a load in which instances are not replaced by another program.
type ProductionLoadError struct {
	Load string
}

func (e *ProductionLoadError) Error() string {
	return fmt.Sprintf("instances start with a production program only with the load %q, not with %q", LoadFaults, e.Load)
}

// Describe returns help text with a line for each kind of fault and each promise.
func Describe() string {
	var text strings.Builder
	for _, f := range faultKinds {
		fmt.Fprintf(&text, "  %-20s %s\n", f.name, f.description)
	}
	text.WriteString("\nPromises:\n")
	for _, p := range allPromises() {
		fmt.Fprintf(&text, "  %-20s %s\n", p.name, p.description)
	}
	return text.String()
}

// Run starts a cluster, injects the faults that config.Seed determines while callers send requests, and checks all
// promises on what was observed.
func Run(ctx context.Context, config Config) (*Report, error) {
	switch config.Load {
	case "", LoadFaults:
		return runFaults(ctx, config)
	case LoadStops:
		if config.Production != "" {
			return nil, &ProductionLoadError{Load: config.Load}
		}
		return runStops(ctx, config)
	}
	return nil, &UnknownLoadError{Name: config.Load}
}

// startCluster starts the cluster of a run.
func startCluster(ctx context.Context, config Config) (*cluster, error) {
	directory := filepath.Join(config.Directory, fmt.Sprintf("seed-%d", config.Seed))
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, fmt.Errorf("seed %d: %w", config.Seed, err)
	}
	c, err := newCluster(cmp.Or(config.Production, config.Program), directory, config.Seed, config.Instances)
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", config.Seed, err)
	}
	if config.Load == LoadStops {
		c.stops = newStopLoad(config)
	}
	if err := c.start(ctx); err != nil {
		c.close()
		return nil, fmt.Errorf("seed %d: %w", config.Seed, err)
	}
	return c, nil
}

// runFaults makes a run of LoadFaults.
func runFaults(ctx context.Context, config Config) (*Report, error) {
	replacements := newUpgrade(config)
	config.Duration = max(config.Duration, time.Duration(len(replacements))*replacementTime)
	plan, err := newPlan(config)
	if err != nil {
		return nil, err
	}
	c, err := startCluster(ctx, config)
	if err != nil {
		return nil, err
	}
	defer c.close()
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callers sync.WaitGroup
	for n := range config.Callers {
		callers.Go(func() { c.runCaller(callersCtx, n, config.Seed) })
	}
	for n := range longCallers {
		callers.Go(func() { c.runLongCaller(callersCtx, config.Callers+n, config.Seed) })
	}
	upgraded := make(chan error, 1)
	time.AfterFunc(faultFreeStart, func() { upgraded <- c.upgrade(ctx, replacements, config) })
	if err := errors.Join(c.injectFaults(ctx, plan, config.Output), <-upgraded); err != nil {
		return nil, fmt.Errorf("seed %d: %w", config.Seed, err)
	}
	c.record.faultsEndedAt = time.Now()
	time.Sleep(c.record.bounds.Recovery + recoveryObservation)
	stopCallers()
	callers.Wait()
	time.Sleep(inFlightDrain)
	return c.report(config.Seed, plan, promises), nil
}

// newPlan draws the faults of a run in the order of their start times. Faults may overlap.
func newPlan(config Config) ([]plannedFault, error) {
	kinds := faultKinds
	if len(config.FaultKinds) > 0 {
		kinds = nil
		for _, name := range config.FaultKinds {
			f, ok := faultKindByName(name)
			if !ok {
				return nil, &UnknownFaultError{Name: name}
			}
			kinds = append(kinds, f)
		}
	}
	return drawFaults(kinds, config, meanFaultInterval), nil
}

// drawFaults draws faults of the given kinds, with a mean time between their starts.
func drawFaults(kinds []faultKind, config Config, meanInterval time.Duration) []plannedFault {
	random := rand.New(rand.NewPCG(config.Seed, 1))
	var plan []plannedFault
	for at := faultFreeStart; at < faultFreeStart+config.Duration; at += time.Duration(random.ExpFloat64() * float64(meanInterval)) {
		plan = append(plan, plannedFault{
			start: at, kind: kinds[random.IntN(len(kinds))], seed: random.Uint64(),
			duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
		})
	}
	return plan
}

func faultKindByName(name string) (faultKind, bool) {
	for _, f := range faultKinds {
		if f.name == name {
			return f, true
		}
	}
	return faultKind{}, false
}

// injectFaults injects the faults of a plan at their start times and waits until all are over.
func (c *cluster) injectFaults(ctx context.Context, plan []plannedFault, output io.Writer) error {
	started := time.Now()
	results := make(chan error, len(plan))
	for _, f := range plan {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(started.Add(f.start))):
		}
		fmt.Fprintf(output, "%6.2fs %s\n", time.Since(started).Seconds(), f.kind.name)
		go func() { results <- f.kind.inject(ctx, c, rand.New(rand.NewPCG(f.seed, 1)), f.duration) }()
	}
	var errs []error
	for range plan {
		errs = append(errs, <-results)
	}
	return errors.Join(errs...)
}

// runCaller sends requests to all routes, one at a time, until ctx is done.
func (c *cluster) runCaller(ctx context.Context, number int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(number)+2))
	// The keys are drawn apart from the requests, so that seeds give the same requests as before there were keys.
	keyRandom := rand.New(rand.NewPCG(seed, uint64(number)+2+1<<32))
	caller := &pollenfakeplatform.Caller{Directories: c.directories(), Pick: random.IntN}
	defer caller.Close()
	for n := 0; ctx.Err() == nil; n++ {
		request := pollenfakeplatform.Request{
			ID: fmt.Sprintf("%x-%x-%x", seed, number, n), Method: http.MethodGet, Host: routeHost,
			Path: []string{pathQuery, pathPlain, pathMoving, pathOnce}[random.IntN(4)], Timeout: callerTimeout,
		}
		if request.Path == pathOnce {
			request.Method, request.Body = http.MethodPost, "reserve "+request.ID
		}
		c.chooseKey(&request, number%teamCount, keyRandom)
		if deadly := c.deadlyCaller.Load(); deadly != nil && random.Float64() < deadlyShare {
			request.Path, request.Method, request.Body, request.Caller = pathQuery, http.MethodGet, "", *deadly
			// The evidence is kept for each team.
			request.Key = *c.currentKeys[0].Load()
		}
		outcome := caller.Send(ctx, request)
		c.record.addOutcome(outcome)
		wait := max(outcome.RetryAfter, time.Duration(random.ExpFloat64()*float64(meanCallerInterval)))
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// runLongCaller sends long requests that may run once only, and uses a connection until its instance closes it.
func (c *cluster) runLongCaller(ctx context.Context, number int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(number)+2))
	caller := &pollenfakeplatform.Caller{Directories: c.directories(), Pick: random.IntN, KeepConnection: true}
	defer caller.Close()
	for n := 0; ctx.Err() == nil; n++ {
		request := pollenfakeplatform.Request{
			ID: fmt.Sprintf("%x-%x-%x", seed, number, n), Method: http.MethodPost, Host: routeHost, Path: pathLong, Timeout: longTimeout,
		}
		request.Body, request.Key = "reserve "+request.ID, *c.currentKeys[number%teamCount].Load()
		c.record.addOutcome(caller.Send(ctx, request))
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.Int64N(int64(longCallerPause)))):
		}
	}
}

// chooseKey sets the key of a request of a team's caller.
func (c *cluster) chooseKey(request *pollenfakeplatform.Request, team int, random *rand.Rand) {
	request.Key = *c.currentKeys[team].Load()
	if random.Float64() < badKeyShare {
		request.Key = []string{"", keyPrefix + "unknown", firstKey(team)}[random.IntN(3)]
	}
	if random.Float64() < claimedTeamShare {
		request.ClaimedTeam = fmt.Sprintf("team-%d", (team+1)%teamCount)
	}
}

// directories returns the addresses at which instances answer callers that resolve the service.
func (c *cluster) directories() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, e := range c.instances {
		addresses = append(addresses, e.directoryAddress)
	}
	return addresses
}

// report groups the servers' runs by request, checks promises and summarises the run.
func (c *cluster) report(seed uint64, plan []plannedFault, promises []promise) *Report {
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	runs := c.ledger.All()
	c.record.refusals = c.ledger.Refusals()
	c.record.runs = make(map[string][]*pollenfakeplatform.Run)
	for _, run := range runs {
		c.record.runs[run.Request] = append(c.record.runs[run.Request], run)
	}
	c.record.received = c.ledger.Received()
	report := &Report{Seed: seed, Requests: len(c.record.outcomes), Runs: len(runs), Statuses: make(map[int]int), Violations: c.record.checkAll(promises)}
	for _, o := range c.record.outcomes {
		report.Statuses[o.Status]++
		if isSuccess(o) {
			report.Served++
		}
		if o.ConnectFailed {
			report.ConnectFailed++
		}
	}
	for _, f := range plan {
		report.Faults = append(report.Faults, f.kind.name)
	}
	return report
}
