package pollensoak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"pollenline.example/platform/pollenfakeplatform"
	"pollenline.example/pollen/pollenfakestore"
)

// faultKind is a kind of fault that a run can inject.
type faultKind struct {
	name        string
	description string
	// inject causes the fault and returns once it is over. Kinds that determine their own duration ignore the argument.
	inject func(ctx context.Context, c *cluster, random *rand.Rand, duration time.Duration) error
}

// faultKinds lists all kinds of faults. New kinds are added at the end, because recorded regressions count from its start.
var faultKinds = []faultKind{
	{"kill", "an instance is killed and restarted", injectKill},
	{"stop", "an instance is stopped gracefully and restarted", injectStop},
	{"pause", "an instance is suspended with SIGSTOP", injectPause},
	{"reload", "all instances reload their settings", injectReload},
	{"store-silent", "an instance's connections to the store stall in both directions", storeLinkFault(func(p *proxy) { p.setMode(modeStall, 0) })},
	{"store-one-way", "data from the store to an instance stalls, data to the store is forwarded", storeLinkFault(func(p *proxy) { p.setMode(modeOneWay, 0) })},
	{"store-refused", "an instance's connections to the store are reset and new ones refused", storeLinkFault(func(p *proxy) { p.setMode(modeRefuse, 0); p.resetLinks() })},
	{"store-deaf", "an instance's open connections to the store stall, new ones work", storeLinkFault((*proxy).stallOpenLinks)},
	{"store-delayed", "an instance's traffic to and from the store is delayed", storeLinkFault(func(p *proxy) { p.setMode(modeForward, 80*time.Millisecond) })},
	{"store-down", "the store rejects all calls", storeFault(pollenfakestore.Faults{Down: true})},
	{"store-slow", "the store delays all calls", storeFault(pollenfakestore.Faults{Delay: 250 * time.Millisecond})},
	{"store-answers-lost", "the store applies writes and loses the responses", storeFault(pollenfakestore.Faults{LoseAnswers: true})},
	{"store-compacted", "the store compacts its history", injectCompaction},
	{"server-killed", "a server is killed and a replacement starts", injectServerKill},
	{"server-drained", "a server is drained and a replacement starts", injectServerDrain},
	{"servers-slow", "some servers respond slowly", serverFault(0.25, pollenfakeplatform.ServerFaults{SlowFactor: 8})},
	{"servers-shed", "some servers shed half of their requests", serverFault(0.4, pollenfakeplatform.ServerFaults{ShedShare: 0.5})},
	{"servers-lose", "some servers lose responses", serverFault(0.4, pollenfakeplatform.ServerFaults{LostAnswerShare: 0.3})},
	{"servers-garble", "some servers truncate responses", serverFault(0.4, pollenfakeplatform.ServerFaults{TruncatedAnswerShare: 0.2})},
	{"servers-double", "some servers send responses twice", serverFault(0.4, pollenfakeplatform.ServerFaults{DuplicateAnswerShare: 0.2})},
	{"servers-hang", "some servers accept requests and never respond", serverFault(0.25, pollenfakeplatform.ServerFaults{HangShare: 0.5})},
	{"links-silent", "connections to some servers stall in both directions", serverLinkFault(func(p *proxy) { p.setMode(modeStall, 0) })},
	{"links-reset", "connections to some servers are reset", serverLinkFault((*proxy).resetLinks)},
	{"links-deaf", "open connections to some servers stall, new ones work", serverLinkFault((*proxy).stallOpenLinks)},
	{"links-delayed", "traffic to and from some servers is delayed", serverLinkFault(func(p *proxy) { p.setMode(modeForward, 40*time.Millisecond) })},
	{"move", "a route moves to another service", injectRouteMove},
	{"reshard", "a route's shards are replaced by a new set", injectReshard},
	{"evacuate", "a zone is evacuated and returned to service", injectEvacuation},
	{"servers-limited", "some servers state how many requests per second they take", injectLimit},
	{"store-restored", "the store comes back from a copy, and the operator and the servers write again", injectRestore},
	{"requests-deadly", "the requests of one caller end each server that begins to run them", injectDeadlyRequests},
	{"instance-cut-off", "an instance's connections to all servers stall, others work", injectCutOff},
	{"keys-changed", "a team gets a new key, and its former one is removed", injectKeyChange},
	{"server-leaving", "a server says in its answers that it leaves while the store lists it as ready, and ends later", injectLeaving},
	{"servers-refuse", "some servers refuse all requests for a time that they state", injectRefusals},
	{"refusals-repeated", "some servers shed half of their requests, and send some refusals again in front of the next answer", serverFault(0.5, pollenfakeplatform.ServerFaults{ShedShare: 0.5, RepeatedRefusalShare: 0.2})},
	{"crowd", "clients that keep to no limits take all connections of an instance's callers", injectCrowd},
}

func (c *cluster) randomInstance(random *rand.Rand) *entryInstance {
	return c.instances[random.IntN(len(c.instances))]
}

func injectKill(_ context.Context, c *cluster, random *rand.Rand, _ time.Duration) error {
	e := c.randomInstance(random)
	e.mu.Lock()
	defer e.mu.Unlock()
	defer c.record.beginDisturbance(e.number, disturbsStore|disturbsRequests|disturbsPace)()
	e.process.Kill()
	time.Sleep(restartDelay)
	return c.startInstance(e)
}

// injectStop stops an instance gracefully, a planned operation that must interrupt no request and complete in time.
func injectStop(ctx context.Context, c *cluster, random *rand.Rand, _ time.Duration) error {
	return c.restart(ctx, c.randomInstance(random), "")
}

// restart stops an instance gracefully and starts it again, with another program unless that is empty.
func (c *cluster) restart(ctx context.Context, e *entryInstance, program string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer c.record.beginDisturbance(e.number, disturbsStore|disturbsPace)()
	e.program = cmp.Or(program, e.program)
	// A process that has just started may not handle signals yet, and has no requests in flight.
	wasReady := isReady(ctx, e.readinessAddress)
	if err := e.process.Stop(c.record.bounds.StopTimeout); err != nil {
		e.process.Kill()
		if wasReady {
			c.record.addStopFailure(e.name, err)
		}
	}
	time.Sleep(restartDelay)
	return c.startInstance(e)
}

func injectPause(_ context.Context, c *cluster, random *rand.Rand, duration time.Duration) error {
	e := c.randomInstance(random)
	e.mu.Lock()
	defer e.mu.Unlock()
	defer c.record.beginDisturbance(e.number, disturbsStore|disturbsRequests|disturbsPace)()
	if err := e.process.Signal(syscall.SIGSTOP); err != nil {
		return fmt.Errorf("pause %s: %w", e.name, err)
	}
	time.Sleep(duration)
	return e.process.Signal(syscall.SIGCONT)
}

func injectReload(_ context.Context, c *cluster, _ *rand.Rand, _ time.Duration) error {
	for _, e := range c.instances {
		if err := e.reload(); err != nil {
			return err
		}
	}
	return nil
}

// storeLinkFault returns an inject function that disturbs one instance's link to the store.
func storeLinkFault(disturb func(*proxy)) func(context.Context, *cluster, *rand.Rand, time.Duration) error {
	return func(_ context.Context, c *cluster, random *rand.Rand, duration time.Duration) error {
		e := c.randomInstance(random)
		defer c.record.beginDisturbance(e.number, disturbsStore)()
		disturb(e.storeProxy)
		time.Sleep(duration)
		e.storeProxy.setMode(modeForward, 0)
		return nil
	}
}

// storeFault returns an inject function that sets faults in the store itself.
func storeFault(injected pollenfakestore.Faults) func(context.Context, *cluster, *rand.Rand, time.Duration) error {
	return func(_ context.Context, c *cluster, _ *rand.Rand, duration time.Duration) error {
		defer c.record.beginDisturbance(allInstances, disturbsStore)()
		c.store.SetFaults(injected)
		time.Sleep(duration)
		c.store.SetFaults(pollenfakestore.Faults{})
		return nil
	}
}

func injectCompaction(_ context.Context, c *cluster, _ *rand.Rand, _ time.Duration) error {
	defer c.record.beginDisturbance(allInstances, disturbsStore)()
	c.store.Compact()
	return nil
}

const (
	// restoreOutage is how long a store is down before it comes back from a copy.
	restoreOutage = 300 * time.Millisecond
	// maxRewriteDelay bounds how long the operator and the servers take to write again.
	maxRewriteDelay = 800 * time.Millisecond
)

// injectRestore restores the store from a copy that is as old as the fault's duration.
func injectRestore(_ context.Context, c *cluster, random *rand.Rand, duration time.Duration) error {
	c.restoreMu.Lock()
	defer c.restoreMu.Unlock()
	copied := c.store.Copy()
	time.Sleep(duration)
	defer c.record.beginDisturbance(allInstances, disturbsStore)()
	c.store.SetFaults(pollenfakestore.Faults{Down: true})
	time.Sleep(restoreOutage)
	lost := c.store.Restore(copied)
	c.store.SetFaults(pollenfakestore.Faults{})
	time.Sleep(time.Duration(random.Int64N(int64(maxRewriteDelay))))
	for _, prefix := range []string{"op/", "servers/"} {
		c.store.Rewrite(lost, copied, prefix)
	}
	return nil
}

func injectServerKill(_ context.Context, c *cluster, random *rand.Rand, duration time.Duration) error {
	defer c.record.beginDisturbance(allInstances, disturbsRequests)()
	b := c.removeRandomServer(random)
	b.server.Kill()
	b.proxy.close()
	time.Sleep(duration)
	return c.addServer(b.server.Service(), b.server.Zone())
}

// injectServerDrain replaces and drains a server, a planned operation that must not interrupt requests.
func injectServerDrain(ctx context.Context, c *cluster, random *rand.Rand, _ time.Duration) error {
	b := c.removeRandomServer(random)
	if err := c.addServer(b.server.Service(), b.server.Zone()); err != nil {
		return err
	}
	return c.retireServer(ctx, b)
}

// retireServer drains a server, and kills it once instances must have stopped sending to it.
func (c *cluster) retireServer(ctx context.Context, b *backend) error {
	acked, err := b.server.Drain(ctx)
	if err != nil {
		return err
	}
	c.record.mu.Lock()
	c.record.drains = append(c.record.drains, &change{name: b.server.ID(), ackedAt: acked})
	c.record.mu.Unlock()
	time.Sleep(c.record.bounds.Drain + leaveDelay)
	// Instances that cannot reach the store may still send requests and find the server gone.
	defer c.record.beginDisturbance(allInstances, disturbsRequests)()
	b.proxy.close()
	b.server.KillAndDeregister(ctx)
	return nil
}

// serverFault returns an inject function that sets faults in a random share of the servers.
func serverFault(share float64, injected pollenfakeplatform.ServerFaults) func(context.Context, *cluster, *rand.Rand, time.Duration) error {
	return func(_ context.Context, c *cluster, random *rand.Rand, duration time.Duration) error {
		defer c.record.beginDisturbance(allInstances, disturbsRequests)()
		chosen := c.randomServers(random, share)
		for _, b := range chosen {
			b.server.SetFaults(injected)
		}
		time.Sleep(duration)
		for _, b := range chosen {
			b.server.SetFaults(pollenfakeplatform.ServerFaults{})
		}
		return nil
	}
}

const (
	// limitDuration is longer than the time after which a limit must be kept, and a period in which it is checked.
	limitDuration = 9 * time.Second
	// limitPerSecond is far below the usual rate of requests to a server.
	limitPerSecond = 1.5
)

// injectLimit makes some servers state a limit for limitDuration.
func injectLimit(_ context.Context, c *cluster, random *rand.Rand, _ time.Duration) error {
	chosen := slices.DeleteFunc(c.randomServers(random, 0.4), func(b *backend) bool { return b.server.Limited() })
	from := time.Now()
	for _, b := range chosen {
		b.server.SetLimit(limitPerSecond)
	}
	time.Sleep(limitDuration)
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	for _, b := range chosen {
		b.server.SetLimit(0)
		c.record.limits = append(c.record.limits, statedLimit{server: b.server.ID(), perSecond: limitPerSecond, from: from, to: time.Now()})
	}
	return nil
}

// observedFaultDuration is the duration of faults whose promise is checked from Reconnect after their begin.
const observedFaultDuration = 9 * time.Second

// injectDeadlyRequests lets callers send requests that end servers, for observedFaultDuration, unless they do already.
func injectDeadlyRequests(_ context.Context, c *cluster, random *rand.Rand, _ time.Duration) error {
	name := fmt.Sprintf("%s%x", pollenfakeplatform.DeadlyPrefix, random.Uint64())
	if !c.deadlyCaller.CompareAndSwap(nil, &name) {
		return nil
	}
	time.Sleep(observedFaultDuration)
	c.deadlyCaller.Store(nil)
	return nil
}

// injectLeaving lets a server announce that it leaves, and kills it after observedFaultDuration.
func injectLeaving(ctx context.Context, c *cluster, random *rand.Rand, _ time.Duration) error {
	b := c.removeRandomServer(random)
	if err := c.addServer(b.server.Service(), b.server.Zone()); err != nil {
		return err
	}
	b.server.AnnounceLeaving()
	time.Sleep(observedFaultDuration)
	defer c.record.beginDisturbance(allInstances, disturbsRequests)()
	b.proxy.close()
	b.server.KillAndDeregister(ctx)
	return nil
}

// refusalDuration is for how long servers refuse all requests.
const refusalDuration = 4 * time.Second

// injectRefusals makes some servers refuse all requests for refusalDuration.
func injectRefusals(_ context.Context, c *cluster, random *rand.Rand, _ time.Duration) error {
	for _, b := range c.randomServers(random, 0.3) {
		b.server.Pause(refusalDuration)
	}
	time.Sleep(refusalDuration)
	return nil
}

// injectCutOff cuts an instance off from all servers for observedFaultDuration, unless half of them are cut off.
func injectCutOff(_ context.Context, c *cluster, random *rand.Rand, _ time.Duration) error {
	e := c.randomInstance(random)
	if !c.beginCutOff(e) {
		return nil
	}
	defer c.endCutOff(e)
	from := time.Now()
	defer c.record.beginDisturbance(e.number, disturbsPace|disturbsLinks)()
	until := from.Add(observedFaultDuration)
	for time.Now().Before(until) {
		// Servers that start meanwhile are cut off, too.
		c.setCutOff(e, true)
		time.Sleep(blockedPollInterval)
	}
	c.setCutOff(e, false)
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	c.record.cuts = append(c.record.cuts, cut{instance: e.number, from: from, to: time.Now()})
	return nil
}

// beginCutOff reports whether an instance may be cut off, and counts it if so.
func (c *cluster) beginCutOff(e *entryInstance) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutOff[e.number] || 2*(len(c.cutOff)+1) > len(c.instances) {
		return false
	}
	c.cutOff[e.number] = true
	return true
}

func (c *cluster) endCutOff(e *entryInstance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cutOff, e.number)
}

// setCutOff sets whether an instance's connections to all servers stall.
func (c *cluster) setCutOff(e *entryInstance, cutOff bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.backends {
		b.proxy.setCutOff(e.callerAddress.Addr(), cutOff)
	}
}

// serverLinkFault returns an inject function that disturbs the links to a quarter of the servers.
func serverLinkFault(disturb func(*proxy)) func(context.Context, *cluster, *rand.Rand, time.Duration) error {
	return func(_ context.Context, c *cluster, random *rand.Rand, duration time.Duration) error {
		defer c.record.beginDisturbance(allInstances, disturbsRequests|disturbsPace)()
		chosen := c.randomServers(random, 0.25)
		for _, b := range chosen {
			disturb(b.proxy)
		}
		time.Sleep(duration)
		for _, b := range chosen {
			b.proxy.setMode(modeForward, 0)
		}
		return nil
	}
}

func injectRouteMove(ctx context.Context, c *cluster, _ *rand.Rand, _ time.Duration) error {
	return c.deploy(ctx, func() { c.moved = !c.moved })
}

// injectReshard starts servers for a new set of shards, deploys a version that routes to the set, and retires the
// servers of the previous set.
func injectReshard(ctx context.Context, c *cluster, _ *rand.Rand, _ time.Duration) error {
	c.reshardMu.Lock()
	defer c.reshardMu.Unlock()
	former := c.shards(c.shardGeneration)
	next := c.shards(c.shardGeneration + 1)
	for _, service := range next {
		if err := c.addServerPerZone(service); err != nil {
			return err
		}
	}
	// All instances must know the new servers before a version routes to them.
	time.Sleep(c.record.bounds.Apply)
	if err := c.deploy(ctx, func() { c.shardGeneration++ }); err != nil {
		return err
	}
	time.Sleep(c.record.bounds.Apply)
	return c.retireServices(ctx, former)
}

// retireServices retires all servers of the services concurrently and returns the last error.
func (c *cluster) retireServices(ctx context.Context, services []string) error {
	c.mu.Lock()
	var kept, leaving []*backend
	for _, b := range c.backends {
		if slices.Contains(services, b.server.Service()) {
			leaving = append(leaving, b)
		} else {
			kept = append(kept, b)
		}
	}
	c.backends = kept
	c.mu.Unlock()
	results := make(chan error, len(leaving))
	for _, b := range leaving {
		go func() { results <- c.retireServer(ctx, b) }()
	}
	var lastErr error
	for range leaving {
		if err := <-results; err != nil {
			lastErr = err
		}
	}
	return lastErr
}

func injectEvacuation(ctx context.Context, c *cluster, random *rand.Rand, duration time.Duration) error {
	zone := zones[random.IntN(len(zones))]
	c.evacuateMu.Lock()
	defer c.evacuateMu.Unlock()
	acked, err := pollenfakeplatform.Evacuate(ctx, c.store, zone)
	if err != nil {
		return err
	}
	evacuation := &change{name: zone, ackedAt: acked}
	c.record.mu.Lock()
	c.record.evacuations = append(c.record.evacuations, evacuation)
	c.record.mu.Unlock()
	time.Sleep(c.record.bounds.Evacuate + duration)
	c.record.mu.Lock()
	evacuation.revertedAt = time.Now()
	c.record.mu.Unlock()
	return pollenfakeplatform.EndEvacuation(ctx, c.store, zone)
}

// injectKeyChange adds a key to a team, lets its callers use it once it must be known, and removes the former key once no request
// with it can be in flight.
func injectKeyChange(ctx context.Context, c *cluster, random *rand.Rand, _ time.Duration) error {
	c.keysMu.Lock()
	defer c.keysMu.Unlock()
	team, key := random.IntN(teamCount), fmt.Sprintf("%s%x", keyPrefix, random.Uint64())
	former := *c.currentKeys[team].Load()
	if err := c.deploy(ctx, func() { c.teams[team].Keys = []string{former, key} }); err != nil {
		return err
	}
	time.Sleep(c.record.bounds.Apply)
	c.currentKeys[team].Store(&key)
	time.Sleep(callerTimeout)
	return c.deploy(ctx, func() { c.teams[team].Keys = []string{key} })
}
