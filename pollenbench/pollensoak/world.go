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
	"sync"
	"syscall"
	"time"

	"pollenline.example/platform/pollenstage"
	"pollenline.example/pollen/pollenfakestore"
	"pollenline.example/pollen/pollenfleet"
)

const (
	shardCount     = 4
	serverSlots    = 3
	serverQueue    = 12
	serverWork     = 8 * time.Millisecond
	serverRecords  = 8
	serverBeat     = 500 * time.Millisecond
	connections    = 40
	retryRatio     = 0.2
	retrySlack     = 58
	processorShare = 0.4
	readyPoll      = 50 * time.Millisecond
	readyLimit     = 20 * time.Second
	restartDelay   = 300 * time.Millisecond
	// leaveDelay is how long a server serves beyond the drain time.
	leaveDelay = time.Second
)

// zones are those of servers and instances.
var zones = []string{"zone-a", "zone-b"}

// plainServices are the services that hold no shards.
var plainServices = []string{"plain-x", "plain-y"}

// node is an entry instance with the proxy that stands between it and the store.
type node struct {
	number    int
	name      string
	settings  any
	caller    netip.AddrPort
	directory netip.AddrPort
	ready     netip.AddrPort
	store     *proxy

	mu      sync.Mutex
	process *pollenfleet.Process
}

// backend is a server with the proxy through which instances reach it.
type backend struct {
	server *pollenstage.Server
	proxy  *proxy
}

// world is the platform's side of a run and the instances that serve on it.
type world struct {
	program   string
	directory string
	store     *pollenfakestore.Store
	http      *http.Server
	ledger    *pollenstage.Ledger
	record    *record
	nodes     []*node

	mu       sync.Mutex
	backends []*backend
	// started counts the servers, for their names.
	started int
	// generation counts the sets of shards, and moved whether the moving route goes to the second service.
	generation int
	moved      bool
	version    uint64
	// deploying keeps configurations in their order, resharding and evacuating one such change from the next.
	deploying, resharding, evacuating sync.Mutex
}

func newWorld(program, directory string, seed uint64, instances int) (*world, error) {
	w := &world{
		program: program, directory: directory, store: pollenfakestore.New(), ledger: pollenstage.NewLedger(),
		record: &record{bounds: platformBounds, instanceOf: make(map[string]int)},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	w.http = &http.Server{Handler: pollenstage.NewStoreHandler(w.store)}
	// Serve returns once the server is closed.
	go func() { _ = w.http.Serve(listener) }()
	for n := range instances {
		if err := w.addNode(seed, n, netip.MustParseAddrPort(listener.Addr().String())); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) addNode(seed uint64, number int, store netip.AddrPort) error {
	p, err := newProxy(store)
	if err != nil {
		return err
	}
	n := &node{
		number: number, name: fmt.Sprintf("entry-%d", number), store: p,
		caller: nodeAddress(seed, number, 0), directory: nodeAddress(seed, number, 1), ready: nodeAddress(seed, number, 2),
	}
	n.settings = map[string]any{
		"Name": n.name, "Zone": zones[number%len(zones)], "CallerAddress": n.caller, "DirectoryAddress": n.directory,
		"ReadinessAddress": n.ready, "MetricsAddress": nodeAddress(seed, number, 3), "PeerAddress": nodeAddress(seed, number, 4), "StoreAddress": p.address(),
		"ProcessorShare": processorShare, "RetryRatio": retryRatio, "RetrySlack": retrySlack,
		"RetryWindow": "10s", "StopTimeout": platformBounds.Grace.String(), "ConfigurationDelay": platformBounds.Apply.String(),
		"LongestLifetime": "5s",
	}
	w.record.instanceOf[n.caller.String()] = number
	w.nodes = append(w.nodes, n)
	return nil
}

// firstPort is the first of an instance's ports; each instance has a loopback address of its own, so that ports are free.
const firstPort = 7100

func nodeAddress(seed uint64, number int, port uint16) netip.AddrPort {
	address := [4]byte{127, 100 + byte(seed/250%100), 1 + byte(seed%250), 1 + byte(number)}
	return netip.AddrPortFrom(netip.AddrFrom4(address), firstPort+port)
}

// start brings servers, the first configuration and the instances up and waits until all instances are ready.
func (w *world) start(ctx context.Context) error {
	for _, service := range append(w.shards(0), plainServices...) {
		if err := w.addPair(service); err != nil {
			return err
		}
	}
	if err := w.deploy(ctx, func() {}); err != nil {
		return err
	}
	for _, n := range w.nodes {
		n.mu.Lock()
		err := w.startNode(n)
		n.mu.Unlock()
		if err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, n := range w.nodes {
		for !isReady(ctx, n.ready) {
			if ctx.Err() != nil {
				return fmt.Errorf("instance %s is not ready: %w", n.name, ctx.Err())
			}
			time.Sleep(readyPoll)
		}
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

// startNode starts an instance's process; the node's lock must be held.
func (w *world) startNode(n *node) error {
	process, err := pollenfleet.StartProcess(w.directory, n.name, w.program, "front", n.settings)
	if err == nil {
		n.process = process
	}
	return err
}

// reload signals that the settings may have changed.
func (n *node) reload() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.process.Signal(syscall.SIGHUP); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("reload %s: %w", n.name, err)
	}
	return nil
}

func (w *world) shards(generation int) []string {
	var shards []string
	for n := range shardCount {
		shards = append(shards, fmt.Sprintf("shard-%d-%d", generation, n))
	}
	return shards
}

func (w *world) addPair(service string) error {
	for _, zone := range zones {
		if err := w.addServer(service, zone); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) addServer(service, zone string) error {
	records := serverRecords
	if service == plainServices[0] || service == plainServices[1] {
		records = 0
	}
	w.mu.Lock()
	w.started++
	id := fmt.Sprintf("i-%04d", w.started)
	w.mu.Unlock()
	server, err := pollenstage.StartServer(pollenstage.ServerConfig{
		ID: id, Service: service, Zone: zone, Slots: serverSlots, QueueLength: serverQueue, MeanWork: serverWork, AnswerRecords: records,
		Store: w.store, Ledger: w.ledger, HeartbeatInterval: serverBeat,
	})
	if err != nil {
		return err
	}
	p, err := newProxy(server.Address())
	if err != nil {
		return err
	}
	server.Advertise(p.address())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backends = append(w.backends, &backend{server: server, proxy: p})
	return nil
}

// take removes any server from the list and returns it.
func (w *world) take(random *rand.Rand) *backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := random.IntN(len(w.backends))
	b := w.backends[n]
	w.backends = append(w.backends[:n], w.backends[n+1:]...)
	return b
}

// some returns a share of the servers, one at least.
func (w *world) some(random *rand.Rand, share float64) []*backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	var chosen []*backend
	for _, n := range random.Perm(len(w.backends))[:max(1, int(share*float64(len(w.backends))))] {
		chosen = append(chosen, w.backends[n])
	}
	return chosen
}

// deploy changes what is to be served and writes it as the next version.
func (w *world) deploy(ctx context.Context, edit func()) error {
	w.deploying.Lock()
	defer w.deploying.Unlock()
	edit()
	w.version++
	v := &version{configuration: w.configuration(), sent: time.Now()}
	w.record.mu.Lock()
	w.record.versions = append(w.record.versions, v)
	w.record.mu.Unlock()
	acked, err := pollenstage.PutConfiguration(ctx, w.store, v.configuration)
	if err != nil {
		return err
	}
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	v.acked = acked
	return nil
}

// The paths of the routes.
const (
	hostName   = "soak.example"
	pathQuery  = "/query/"
	pathPlain  = "/plain/"
	pathMoving = "/moving/"
	pathOnce   = "/once/"
)

func (w *world) configuration() pollenstage.Configuration {
	moving := plainServices[0]
	if w.moved {
		moving = plainServices[1]
	}
	plain := pollenstage.Route{
		Host: hostName, Idempotent: true, Timeout: 2 * time.Second, Objective: 150 * time.Millisecond, Attempts: 2,
	}
	query, plainX, movingRoute, once := plain, plain, plain, plain
	query.Name, query.Prefix, query.Shards, query.Top, query.Coverage = "query", pathQuery, w.shards(w.generation), 5, 0.75
	plainX.Name, plainX.Prefix, plainX.Service = "plain", pathPlain, plainServices[0]
	movingRoute.Name, movingRoute.Prefix, movingRoute.Service, movingRoute.Attempts = "moving", pathMoving, moving, 1
	once.Name, once.Prefix, once.Service, once.Idempotent = "once", pathOnce, plainServices[1], false
	services := append(w.shards(w.generation), plainServices...)
	return pollenstage.Configuration{
		Version: w.version, Routes: []pollenstage.Route{query, plainX, movingRoute, once}, Services: services, Connections: connections,
	}
}

// close ends the processes and servers that the world has started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.mu.Lock()
		if n.process != nil {
			n.process.Kill()
		}
		n.mu.Unlock()
		n.store.close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.backends {
		b.server.Kill()
		b.proxy.close()
	}
	// The store has no connections left that matter.
	_ = w.http.Close()
}
