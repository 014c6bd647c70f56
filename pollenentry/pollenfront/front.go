package pollenfront

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"

	"pollenline.example/platform"
	"pollenline.example/pollen/pollenactor"
	"pollenline.example/pollen/pollenbudget"
	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenfollow"
	"pollenline.example/pollen/pollenforward"
	"pollenline.example/pollen/pollenpool"
	"pollenline.example/pollen/pollenramp"
	"pollenline.example/pollen/pollenrank"
	"pollenline.example/pollen/pollenrelay"
	"pollenline.example/pollen/pollensettings"
	"pollenline.example/pollen/pollenview"
)

// Front is an entry instance.
type Front struct {
	settings  atomic.Pointer[Settings]
	budget    *pollenbudget.Budget
	self      pollencatalog.Instance
	view      *pollenview.View
	actor     *pollenactor.Actor
	pool      *pollenpool.Pool
	ranking   *pollenrank.Ranking
	ramp      *pollenramp.Ramp
	registrar *pollenfollow.Registrar
	follower  *pollenfollow.Follower
	metrics   *metrics
	leaving   atomic.Bool
	stale     atomic.Bool
	relay     *pollenrelay.Server
	source    *pollenrelay.Source
	changed   chan struct{}
	enlisted  atomic.Bool
	listed    chan struct{}
	servers   []*http.Server
	// named is set while the table names this instance; the view's actor keeps it.
	named bool
}

const (
	// dialTimeout bounds new connections to servers; a server in reach takes milliseconds.
	dialTimeout = 500 * time.Millisecond
	// serverIdle is how long an idle connection to a server that states no timeout is used.
	serverIdle = 5 * time.Second
	// linger is how long requests that lost against a hedge are left to end.
	linger = 300 * time.Millisecond
	// settleTime is how long servers may take to give up the connections of an instance that lost power; it was
	// seen to take about four seconds.
	settleTime = 5 * time.Second
	// answerBytes bounds a server's answer in memory.
	answerBytes = 8 << 20
	// returnTime is how long after an outage of the store entries that lapsed may still be missing: two seconds
	// by the platform's account, and a margin for the watch.
	returnTime = 2300 * time.Millisecond
	// departedMemory keeps the shares of limits from growing at once when many instances leave the list.
	departedMemory = 15 * time.Second
	// tickInterval is the resolution of the view's time-dependent state.
	tickInterval = 250 * time.Millisecond
)

// A watch that has gone deaf is found after its wait and its slack; with the pause before it and the listing after it,
// a change is known within about four fifths of the time that it may take to be in force.
const (
	watchWaitShare  = 0.45
	watchSlackShare = 0.2
	// freshShare is the age of the store's last answer up to which a replica is passed on: a wait, a slack, a pause.
	freshShare = 0.8
	// An instance that follows a watcher asks more often, so that its own delay adds little to the watcher's.
	peerWaitShare  = 0.15
	peerSlackShare = 0.1
)

func dialPeer(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp", address.String())
}

func share(d pollensettings.Duration, part float64) time.Duration {
	return time.Duration(float64(d) * part)
}

// keepAlive finds connections that have gone silent within two seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// New assembles an instance that has not begun to serve.
func New(settings *Settings, logger *slog.Logger) (*Front, error) {
	f := &Front{
		budget: pollenbudget.New(settings.budget()),
		self: pollencatalog.Instance{
			Name: settings.Name, Zone: settings.Zone, CallerAddress: settings.CallerAddress, Ready: true,
			PeerAddress: settings.PeerAddress, Processor: settings.ProcessorShare,
			Incarnation: fmt.Sprintf("%016x", rand.Uint64()),
		},
		pool:    pollenpool.New(pollenpool.Config{DialTimeout: dialTimeout, IdleTimeout: serverIdle, KeepAlive: keepAlive}),
		ranking: pollenrank.New(pollenrank.Config{Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}),
		ramp:    pollenramp.New(pollenramp.Config{InstanceName: settings.Name}),
		metrics: newMetrics(),
		listed:  make(chan struct{}),
		changed: make(chan struct{}, 1),
		relay:   pollenrelay.NewServer(pollenrelay.ServerConfig{Freshness: share(settings.ConfigurationDelay, freshShare)}),
	}
	f.settings.Store(settings)
	debug.SetGCPercent(settings.CollectionPercent)
	store := pollenplatform.NewStore(pollenplatform.StoreConfig{
		Address: settings.StoreAddress, Timeout: settings.StoreTimeout.Std(), KeepAlive: keepAlive,
		WatchSlack: share(settings.ConfigurationDelay, watchSlackShare),
	})
	f.view = pollenview.New(pollenview.Config{
		Decoder: pollenplatform.Decoder{}, Return: returnTime, Memory: departedMemory, Published: f.published,
	})
	f.actor = pollenactor.Spawn(logger, f.view.Receive)
	f.source = pollenrelay.NewSource(pollenrelay.SourceConfig{
		Store: store, Self: f.self, Standby: func() bool { return !f.enlisted.Load() }, Server: f.relay, Watcher: f.watcher, Dial: dialPeer,
		Wait: share(settings.ConfigurationDelay, peerWaitShare), Timeout: share(settings.ConfigurationDelay, peerSlackShare),
	})
	f.follower = pollenfollow.NewFollower(pollenfollow.FollowerConfig{
		Reader: f.source, Post: f.post, Wait: share(settings.ConfigurationDelay, watchWaitShare), Pause: settings.StorePause.Std(),
	})
	key, value, err := pollenplatform.EncodeInstance(f.self)
	if err != nil {
		return nil, err
	}
	f.registrar = pollenfollow.NewRegistrar(pollenfollow.RegistrarConfig{
		Writer: store, Key: key, Value: value, Lease: settings.InstanceLease.Std(), Regained: f.follower.Restart,
	})
	f.servers = []*http.Server{
		f.server(settings.CallerAddress, f.ingress()),
		f.server(settings.DirectoryAddress, pollenplatform.NewDirectory(pollenplatform.DirectoryConfig{
			Instances: f.instances, Lifetime: min(settings.LongestLifetime.Std(), share(settings.StopTimeout, lifetimeShare)),
		})),
		f.server(settings.ReadinessAddress, pollenplatform.NewReadiness(f.ready)),
		f.server(settings.MetricsAddress, promhttp.HandlerFor(f.metrics.registry, promhttp.HandlerOpts{})),
	}
	return f, nil
}

func (f *Front) ingress() http.Handler {
	forwarder := pollenforward.New(pollenforward.Config{
		Exchanger:             pollenplatform.NewExchanger(pollenplatform.ExchangerConfig{Pool: f.pool, AnswerBytes: answerBytes}),
		Ranking:               f.ranking,
		Ramp:                  f.ramp,
		Budget:                f.budget,
		Table:                 f.view.Table,
		CallerRoundTrip:       f.settings.Load().CallerTrip.Std(),
		LateAnswerTimeout:     linger,
		StaleConnectionPeriod: settleTime,
		Splitter:              &pollenforward.Splitter{},
	})
	return pollenplatform.NewIngress(pollenplatform.IngressConfig{
		Server: forwarder, Observer: f.metrics, Table: f.view.Table, Leaving: f.leaving.Load, Stale: f.stale.Load,
	})
}

// Run serves until ctx is done and the shutdown that follows has ended.
func (f *Front) Run(ctx context.Context) error {
	klog.InfoS("Start", "zone", f.self.Zone, "callerAddress", f.self.CallerAddress.String(), "incarnation", f.self.Incarnation)
	failed := make(chan error, len(f.servers)+1)
	for _, server := range f.servers {
		listener, err := net.Listen("tcp", server.Addr)
		if err != nil {
			return &ListenError{Address: server.Addr, Err: err}
		}
		go func() { failed <- server.Serve(listener) }()
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	registration, unregister := context.WithCancel(background)
	unregistered := make(chan struct{})
	peers, err := net.Listen("tcp", f.self.PeerAddress.String())
	if err != nil {
		unregister()
		return &ListenError{Address: f.self.PeerAddress.String(), Err: err}
	}
	go func() { failed <- f.relay.Serve(peers) }()
	go f.follower.Run(background)
	go f.tick(background)
	go func() {
		defer close(unregistered)
		f.enlist(registration)
	}()
	select {
	case err := <-failed:
		unregister()
		return err
	case <-ctx.Done():
	}
	f.leaving.Store(true)
	klog.InfoS("Stop", "timeout", f.settings.Load().StopTimeout.Std().String())
	unregister()
	if err := drain(f.servers[0], f.settings.Load().StopTimeout.Std()); err != nil {
		klog.ErrorS(err, "Requests are cut off by the end of the process")
	}
	<-unregistered
	klog.InfoS("Stopped")
	return nil
}

// Reload applies the settings that can change while the instance serves, and logs those that need a restart.
func (f *Front) Reload(settings *Settings) {
	before := f.settings.Swap(settings)
	f.budget.Configure(settings.budget())
	klog.InfoS("Reload", "changed", *before != *settings, "restartNeeded", before.fixed() != settings.fixed())
}

// ListenError reports an address that can't be listened on.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

func (e *ListenError) Unwrap() error { return e.Err }

const (
	// lifetimeShare is the share of the stop timeout for which callers use an answer of the directory: it must have
	// expired when a stopping instance closes.
	lifetimeShare = 0.5
	// serveShare is the share of the stop timeout during which late callers are still served: their copies of the
	// directory's answer have expired by then.
	serveShare = 0.7
	// endShare is the share of the stop timeout after which the process ends in any case.
	endShare = 0.93
)

// drain serves callers that have not heard yet, then waits for open requests and closes the server.
//
// It ends within endShare of the stop timeout, and early when no request is open after serveShare of it.
func drain(server *http.Server, stop time.Duration) error {
	begun := time.Now()
	time.Sleep(time.Duration(float64(stop) * serveShare))
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(time.Duration(float64(stop)*endShare)))
	defer cancel()
	return server.Shutdown(ctx)
}

func (f *Front) server(address netip.AddrPort, handler http.Handler) *http.Server {
	return &http.Server{
		Addr: address.String(), Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}

const (
	// headerTimeout bounds how long a caller may take to send a header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long a caller's connection may be idle.
	idleTimeout = 2 * time.Minute
)

func (f *Front) post(message any) {
	switch message.(type) {
	case pollenview.StoreLost:
		f.stale.Store(true)
	case pollenview.Listed, pollenview.Changed, pollenview.StoreRegained:
		f.stale.Store(false)
	}
	switch m := message.(type) {
	case pollenview.Listed:
		f.relay.Reset(m.Listing)
	case pollenview.Changed:
		f.relay.Apply(m.Changes)
	}
	f.actor.Post(message)
}

// published reacts to a new table; the view's actor calls it.
func (f *Front) published(table *pollencatalog.Table) {
	f.ranking.Prune(table)
	f.ramp.Prune(table)
	select {
	case f.changed <- struct{}{}:
	default:
	}
	if table.Configuration() == nil {
		return
	}
	select {
	case <-f.listed:
	default:
		close(f.listed)
	}
	taking := make(map[netip.AddrPort]bool)
	table.Each(func(s *pollencatalog.Server) { taking[s.Address] = taking[s.Address] || !s.Leaving })
	f.pool.Retain(taking)
	f.checkRegistration(table)
}

func (f *Front) ready() bool {
	return !f.leaving.Load() && f.view.Table().Configuration() != nil
}

// instances returns the instances to name to callers: the registered ones, or this one if there are none.
func (f *Front) instances() []pollencatalog.Instance {
	var ready []pollencatalog.Instance
	for _, instance := range f.view.Table().Instances() {
		if instance.Ready && (instance.Name != f.self.Name || f.ready()) {
			ready = append(ready, instance)
		}
	}
	if len(ready) == 0 && f.ready() {
		ready = append(ready, f.self)
	}
	return ready
}

func (f *Front) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.actor.Post(pollenview.Tick{})
			f.pool.Trim()
		}
	}
}
