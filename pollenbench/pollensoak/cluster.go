package pollensoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pollenline.example/platform/pollenfakeplatform"
	"pollenline.example/pollen/pollenfakestore"
	"pollenline.example/pollen/pollenfleet"
)

const (
	shardCount         = 4
	serverSlots        = 3
	serverQueue        = 12
	serverWorkTime     = 8 * time.Millisecond
	longWorkTime       = 2400 * time.Millisecond
	serverRecords      = 8
	serverHeartbeat    = 500 * time.Millisecond
	serviceConnections = 40
	retryRatio         = 0.2
	retrySlack         = 58
	processorShare     = 0.4
	readyPollInterval  = 50 * time.Millisecond
	readyTimeout       = 20 * time.Second
	restartDelay       = 300 * time.Millisecond
	serverRestartDelay = 1500 * time.Millisecond
	// leaveDelay is how long a drained server keeps serving after the drain bound.
	leaveDelay = time.Second
	teamCount  = 3
)

// keyPrefix begins every key, so that a key is recognized wherever it appears.
const keyPrefix = "soak-key-"

// firstKey returns the key with which a team begins.
func firstKey(team int) string { return fmt.Sprintf("%s%d-0", keyPrefix, team) }

// zones are the availability zones of servers and instances.
var zones = []string{"zone-a", "zone-b"}

// plainServices are the services without shards.
var plainServices = []string{"plain-x", "plain-y"}

// longService is the service without shards whose requests take longWorkTime.
const longService = "long"

// entryInstance is an entry instance's process, its addresses, and the proxy through which it reaches the store.
type entryInstance struct {
	number           int
	name             string
	settings         any
	callerAddress    netip.AddrPort
	directoryAddress netip.AddrPort
	readinessAddress netip.AddrPort
	storeProxy       *proxy

	mu      sync.Mutex
	process *pollenfleet.Process
	// program is the path of the executable with which the instance starts next.
	program string
}

// backend is a server with the proxy through which instances reach it.
type backend struct {
	server *pollenfakeplatform.Server
	proxy  *proxy
}

// cluster holds the store, the backend servers and the entry instances of a run.
type cluster struct {
	directory   string
	store       *pollenfakestore.Store
	storeServer *http.Server
	ledger      *pollenfakeplatform.Ledger
	record      *record
	instances   []*entryInstance

	mu       sync.Mutex
	backends []*backend
	// serverCount is the number of servers started so far, from which their IDs are derived.
	serverCount int
	// shardGeneration is the number of the current set of shards.
	shardGeneration int
	// moved is set while the moving route leads to the second plain service.
	moved   bool
	version uint64
	// deployMu orders the configuration versions; reshardMu, evacuateMu and restoreMu serialise resharding, evacuation and restores
	// of the store.
	deployMu, reshardMu, evacuateMu, restoreMu sync.Mutex
	// teams holds the teams as the next version of the configuration states them; currentKeys holds the key that the callers of
	// each team use.
	teams       []pollenfakeplatform.Team
	currentKeys [teamCount]atomic.Pointer[string]
	// keysMu serialises changes of keys.
	keysMu sync.Mutex
	// deadlyCaller is the name of a caller whose requests end servers, nil if there is none.
	deadlyCaller atomic.Pointer[string]
	// cutOff holds the numbers of the instances that are cut off from the servers.
	cutOff map[int]bool
	// stops is the state of LoadStops, nil for other loads.
	stops *stopLoad
}

func newCluster(program, directory string, seed uint64, instances int) (*cluster, error) {
	c := &cluster{
		directory: directory, store: pollenfakestore.New(), ledger: pollenfakeplatform.NewLedger(), cutOff: make(map[int]bool),
		record: &record{bounds: platformBounds, instanceByAddress: make(map[string]int)},
	}
	for n := range teamCount {
		key := firstKey(n)
		c.teams = append(c.teams, pollenfakeplatform.Team{Name: fmt.Sprintf("team-%d", n), Keys: []string{key}, Priority: 1})
		c.currentKeys[n].Store(&key)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	c.storeServer = &http.Server{Handler: pollenfakeplatform.NewStoreHandler(c.store)}
	// Serve returns once the server is closed.
	go func() { _ = c.storeServer.Serve(listener) }()
	for n := range instances {
		if err := c.addInstance(program, seed, n, netip.MustParseAddrPort(listener.Addr().String())); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) addInstance(program string, seed uint64, number int, store netip.AddrPort) error {
	p, err := newProxy(store)
	if err != nil {
		return err
	}
	e := &entryInstance{
		number: number, name: fmt.Sprintf("entry-%d", number), storeProxy: p, program: program,
		callerAddress: instanceAddress(seed, number, 0), directoryAddress: instanceAddress(seed, number, 1), readinessAddress: instanceAddress(seed, number, 2),
	}
	e.settings = map[string]any{
		"Name": e.name, "Zone": zones[number%len(zones)], "CallerAddress": e.callerAddress, "DirectoryAddress": e.directoryAddress,
		"ReadinessAddress": e.readinessAddress, "MetricsAddress": instanceAddress(seed, number, 3), "PeerAddress": instanceAddress(seed, number, 4), "SeedAddresses": seedAddresses(seed), "StoreAddress": p.address(), "SourceAddress": e.callerAddress.Addr(),
		"ProcessorShare": processorShare, "RetryRatio": retryRatio, "RetrySlack": retrySlack,
		"RetryWindow": "10s", "StopTimeout": platformBounds.StopTimeout.String(), "ConfigurationDelay": platformBounds.Apply.String(),
		"LongestLifetime": "5s",
	}
	c.record.instanceByAddress[e.callerAddress.String()] = number
	c.instances = append(c.instances, e)
	return nil
}

// basePort is the lowest port of every instance. Each instance has its own loopback address, so that its ports are free.
const basePort = 7100

// seedAddresses returns the peer addresses of the first two instances.
func seedAddresses(seed uint64) []netip.AddrPort {
	return []netip.AddrPort{instanceAddress(seed, 0, 4), instanceAddress(seed, 1, 4)}
}

// instanceAddress returns an address whose IP depends on the seed and the instance, so that concurrent runs don't collide
// unless their seeds differ by a multiple of 25,000. The port is relative to basePort.
func instanceAddress(seed uint64, number int, port uint16) netip.AddrPort {
	address := [4]byte{127, 100 + byte(seed/250%100), 1 + byte(seed%250), 1 + byte(number)}
	return netip.AddrPortFrom(netip.AddrFrom4(address), basePort+port)
}

// start starts the servers, deploys the first configuration, starts the instances and waits until all of them are ready.
func (c *cluster) start(ctx context.Context) error {
	services := append(c.shards(0), append(plainServices, longService)...)
	if c.stops != nil {
		services = stopServices()
	}
	for _, service := range services {
		if err := c.addServerPerZone(service); err != nil {
			return err
		}
	}
	if err := c.deploy(ctx, func() {}); err != nil {
		return err
	}
	for _, e := range c.instances {
		e.mu.Lock()
		err := c.startInstance(e)
		e.mu.Unlock()
		if err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, e := range c.instances {
		if err := e.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the instance is ready.
func (e *entryInstance) awaitReady(ctx context.Context) error {
	for !isReady(ctx, e.readinessAddress) {
		if ctx.Err() != nil {
			return fmt.Errorf("instance %s not ready within %v: %w", e.name, readyTimeout, ctx.Err())
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}

func isReady(ctx context.Context, address netip.AddrPort) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startInstance starts an instance's process and waits until it listens: a signal would end it before it handles signals. The instance's
// mutex must be held.
func (c *cluster) startInstance(e *entryInstance) error {
	process, err := pollenfleet.StartProcess(c.directory, e.name, e.program, "front", e.settings)
	if err != nil {
		return err
	}
	e.process = process
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPollInterval / 5) {
		if conn, err := net.Dial("tcp", e.readinessAddress.String()); err == nil {
			return conn.Close()
		}
		if process.Ended() {
			return &pollenfleet.StartError{Name: e.name, Err: errEndedAtStart}
		}
	}
	return &pollenfleet.StartError{Name: e.name, Err: errNotListening}
}

var (
	errEndedAtStart = errors.New("the process has ended")
	errNotListening = errors.New("the process does not listen")
)

// reload makes the process read its settings again. A process that has exited is not an error.
func (e *entryInstance) reload() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.process.Signal(syscall.SIGHUP); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("reload %s: %w", e.name, err)
	}
	return nil
}

// shards returns the names of the services that hold the shards of a generation.
func (c *cluster) shards(generation int) []string {
	var shards []string
	for n := range shardCount {
		shards = append(shards, fmt.Sprintf("shard-%d-%d", generation, n))
	}
	return shards
}

func (c *cluster) addServerPerZone(service string) error {
	for _, zone := range zones {
		if err := c.addServer(service, zone); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) addServer(service, zone string) error {
	records, work := serverRecords, serverWorkTime
	if service == plainServices[0] || service == plainServices[1] {
		records = 0
	}
	if service == longService {
		records, work = 0, longWorkTime
	}
	c.mu.Lock()
	c.serverCount++
	id := fmt.Sprintf("i-%04d", c.serverCount)
	c.mu.Unlock()
	config := pollenfakeplatform.ServerConfig{
		ID: id, Service: service, Zone: zone, Slots: serverSlots, QueueLength: serverQueue, MeanWork: work, AnswerRecords: records,
		Store: c.store, Ledger: c.ledger, HeartbeatInterval: serverHeartbeat, OnDeadly: c.endServer,
	}
	if c.stops != nil {
		c.stops.configureServer(&config)
	}
	server, err := pollenfakeplatform.StartServer(config)
	if err != nil {
		return err
	}
	p, err := newProxy(server.Address())
	if err != nil {
		return err
	}
	server.Advertise(p.address())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backends = append(c.backends, &backend{server: server, proxy: p})
	return nil
}

// endServer ends a server under a request of a deadly caller, and starts another one in its place after serverRestartDelay.
func (c *cluster) endServer(server *pollenfakeplatform.Server, caller string) {
	c.mu.Lock()
	n := slices.IndexFunc(c.backends, func(b *backend) bool { return b.server == server })
	if n < 0 {
		c.mu.Unlock()
		return
	}
	ended := c.backends[n]
	c.backends = slices.Delete(c.backends, n, n+1)
	c.mu.Unlock()
	end := c.record.beginDisturbance(allInstances, disturbsRequests)
	c.record.addDeadlyEnd(caller)
	ended.proxy.close()
	server.Kill()
	time.AfterFunc(serverRestartDelay, func() {
		defer end()
		if err := c.addServer(server.Service(), server.Zone()); err != nil {
			fmt.Fprintf(os.Stderr, "server in place of %s: %v\n", server.ID(), err)
		}
	})
}

// removeRandomServer removes a random server from the list and returns it.
func (c *cluster) removeRandomServer(random *rand.Rand) *backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := random.IntN(len(c.backends))
	b := c.backends[n]
	c.backends = append(c.backends[:n], c.backends[n+1:]...)
	return b
}

// randomServers returns a random share of the servers, at least one.
func (c *cluster) randomServers(random *rand.Rand, share float64) []*backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	var chosen []*backend
	for _, n := range random.Perm(len(c.backends))[:max(1, int(share*float64(len(c.backends))))] {
		chosen = append(chosen, c.backends[n])
	}
	return chosen
}

// deploy applies edit and writes the resulting configuration to the store as the next version.
func (c *cluster) deploy(ctx context.Context, edit func()) error {
	c.deployMu.Lock()
	defer c.deployMu.Unlock()
	edit()
	c.version++
	v := &version{configuration: c.configuration(), sentAt: time.Now()}
	c.record.mu.Lock()
	c.record.versions = append(c.record.versions, v)
	c.record.mu.Unlock()
	acked, err := pollenfakeplatform.PutConfiguration(ctx, c.store, v.configuration)
	if err != nil {
		return err
	}
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	v.ackedAt = acked
	return nil
}

// The host and the path prefixes of the routes.
const (
	routeHost  = "soak.example"
	pathQuery  = "/query/"
	pathPlain  = "/plain/"
	pathMoving = "/moving/"
	pathOnce   = "/once/"
	pathLong   = "/long/"
)

func (c *cluster) configuration() pollenfakeplatform.Configuration {
	if c.stops != nil {
		return c.stopConfiguration()
	}
	moving := plainServices[0]
	if c.moved {
		moving = plainServices[1]
	}
	plain := pollenfakeplatform.Route{
		Host: routeHost, Idempotent: true, Timeout: 2 * time.Second, Objective: 150 * time.Millisecond, Attempts: 2,
	}
	query, plainX, movingRoute, once, long := plain, plain, plain, plain, plain
	query.Name, query.Prefix, query.Shards, query.TopK, query.MinimumCoverage = "query", pathQuery, c.shards(c.shardGeneration), 5, 0.75
	plainX.Name, plainX.Prefix, plainX.Service = "plain", pathPlain, plainServices[0]
	movingRoute.Name, movingRoute.Prefix, movingRoute.Service, movingRoute.Attempts = "moving", pathMoving, moving, 1
	movingRoute.Public = true
	once.Name, once.Prefix, once.Service, once.Idempotent = "once", pathOnce, plainServices[1], false
	long.Name, long.Prefix, long.Service, long.Idempotent, long.Timeout, long.Objective = "long", pathLong, longService, false, longTimeout, longTimeout/2
	services := append(c.shards(c.shardGeneration), append(plainServices, longService)...)
	return pollenfakeplatform.Configuration{
		Version: c.version, Routes: []pollenfakeplatform.Route{query, plainX, movingRoute, once, long}, Services: services, Connections: serviceConnections,
		Teams: slices.Clone(c.teams),
	}
}

// close kills the instances and servers and closes the store.
func (c *cluster) close() {
	for _, e := range c.instances {
		e.mu.Lock()
		if e.process != nil {
			e.process.Kill()
		}
		e.mu.Unlock()
		e.storeProxy.close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.backends {
		b.server.Kill()
		b.proxy.close()
	}
	// No client of the store is left, so a close error is irrelevant.
	_ = c.storeServer.Close()
}
