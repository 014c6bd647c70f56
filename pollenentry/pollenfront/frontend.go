package pollenfront

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pollenline.example/platform"
	"pollenline.example/pollen/pollenactor"
	"pollenline.example/pollen/pollenallowance"
	"pollenline.example/pollen/pollenbudget"
	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenconn"
	"pollenline.example/pollen/pollendrain"
	"pollenline.example/pollen/pollenfollow"
	"pollenline.example/pollen/pollenforward"
	"pollenline.example/pollen/pollengate"
	"pollenline.example/pollen/pollenmemory"
	"pollenline.example/pollen/pollenpool"
	"pollenline.example/pollen/pollenquota"
	"pollenline.example/pollen/pollenramp"
	"pollenline.example/pollen/pollenrank"
	"pollenline.example/pollen/pollenreach"
	"pollenline.example/pollen/pollenrelay"
	"pollenline.example/pollen/pollenrollout"
	"pollenline.example/pollen/pollenroster"
	"pollenline.example/pollen/pollenrpc"
	"pollenline.example/pollen/pollensettings"
	"pollenline.example/pollen/pollensuspect"
	"pollenline.example/pollen/pollenversion"
	"pollenline.example/pollen/pollenview"
)

// Frontend forwards callers' requests to backend servers and keeps its view of the store up to date.
type Frontend struct {
	settings    atomic.Pointer[Settings]
	retryBudget *pollenbudget.Budget
	self        pollencatalog.Instance
	view        *pollenview.View
	actor       *pollenactor.Actor
	pool        *pollenpool.Pool
	ranking     *pollenrank.Ranking
	coldLimiter *pollenramp.ColdLimiter
	quotas      *pollenquota.Quotas
	gate        *pollengate.Gate
	// allowances holds the use of limited teams, whose requests the ingress asks it to admit; reporter exchanges it with the other
	// instances.
	allowances *pollenallowance.Allowances
	reporter   *pollenrelay.Reporter
	// suspects holds the evidence against requests under which servers ended; sharer sends it to the other instances.
	suspects *pollensuspect.Registry
	// rollouts chooses servers by version, rolloutDriver decides on rollouts, rolloutReporter tells other instances that do, and
	// versionRecorder stores the versions in force. All are nil if the settings leave versions out of account.
	rollouts        *pollenrollout.Router
	rolloutDriver   *pollenrollout.Driver
	rolloutReporter *pollenrelay.RolloutReporter
	versionRecorder *pollenrollout.Recorder
	// reach tells whether this instance reaches the servers; peers chooses the instances that take its requests if it does not,
	// and peerPool holds the connections to them. exchanger sends requests and probes to servers.
	reach     *pollenreach.Tracker
	peers     *pollenreach.Peers
	peerPool  *pollenpool.Pool
	exchanger *pollenplatform.Exchanger
	// probeDialer makes the connections of probes of suspected servers.
	probeDialer *net.Dialer
	forwarder   *pollenforward.Forwarder
	// probing is set during a round of probes.
	probing atomic.Bool
	sharer  *pollenrelay.Sharer
	// refusals tells the other instances which requests this one has refused for want of capacity.
	refusals  *pollenrelay.RefusalSharer
	registrar *pollenfollow.Registrar
	follower  *pollenfollow.Follower
	metrics   *metrics
	// memory bounds the bodies that are held for callers' requests.
	memory *pollenmemory.Budget
	// relay serves the local replica of the store to other instances.
	relay *pollenrelay.Server
	// source reads the store, through the zone's watcher where possible.
	source *pollenrelay.Source
	// httpServers begins with the callers' server, the only one that is drained; callerConns knows its connections.
	httpServers []*http.Server
	callerConns *connTracker
	// registries holds the clients' connections, by listener; connectionLog logs what they close.
	registries    pollenconn.Registries
	connectionLog pollenconn.Log
	// drain tells whether the shutdown has begun.
	drain *pollendrain.Drain
	// viewStale is set while the store is unreachable.
	viewStale atomic.Bool
	// active is set while the instance registers itself in the store; otherwise it is on standby.
	active atomic.Bool
	// configured is closed when the first table with a configuration is published.
	configured chan struct{}
	// tableChanged receives a value when a table is published.
	tableChanged chan struct{}
	// inTable reports whether the last table contained this instance; only the view's actor uses it.
	inTable bool
}

const (
	// dialTimeout bounds connection setup to backend servers and peers; a reachable server takes milliseconds.
	dialTimeout = 500 * time.Millisecond
	// defaultServerIdleTimeout applies to connections to a server that announces no idle timeout.
	defaultServerIdleTimeout = 5 * time.Second
	// lateAnswerTimeout is how long attempts that lost against another may still complete before they are cancelled.
	lateAnswerTimeout = 300 * time.Millisecond
	// staleConnectionPeriod is how long servers may take to release the connections of an instance that lost
	// power; about four seconds were observed.
	staleConnectionPeriod = 5 * time.Second
	// maxAnswerBytes bounds the size of a server's answer in memory.
	maxAnswerBytes = 8 << 20
	// storeRecoveryTime is how long after a store outage entries whose leases expired may still be missing: the two
	// seconds that the platform specifies, and a margin for the watch.
	storeRecoveryTime = 2300 * time.Millisecond
	// departedRetention keeps the instances' shares of the limits from growing abruptly when many instances leave
	// the list.
	departedRetention = 15 * time.Second
	// seedTimeout is how long an instance that is asked for the keys at startup, as the store does not answer, may be silent.
	seedTimeout = 500 * time.Millisecond
	// shareTimeout bounds an exchange of evidence against requests, of refusals or of the use of teams with another instance.
	shareTimeout = 500 * time.Millisecond
	// peerIdleTimeout is how long connections over which requests are passed on are kept, peerConnections how many there are to
	// one instance at most.
	peerIdleTimeout = 5 * time.Second
	peerConnections = 64
	// probedServers is the number of servers that a round of probes tries to connect to.
	probedServers = 3
	// collectionMemoryShare is the share of the instance's memory above which the garbage collector runs more often.
	collectionMemoryShare = 0.8
	// tickInterval is the resolution of time-dependent state in the view, and how often the instance reviews whether it reaches
	// the servers. Each tick costs processor time on an idle instance, too.
	tickInterval = 250 * time.Millisecond
)

// The following shares are fractions of ConfigurationDelay. A watch may be held for its wait, and its answer may take its
// slack longer; after both, the watch counts as unresponsive. Including the pause before the watch and the listing after
// it, a change is known within about 80% of the ConfigurationDelay.
const (
	watchWaitShare  = 0.45
	watchSlackShare = 0.2
	// freshnessShare is the largest age of the store's last answer at which the local replica is still relayed: a
	// wait, a slack and a pause.
	freshnessShare = 0.8
	// Followers of a watcher use shorter watches, so that they add little to the watcher's delay.
	peerWaitShare  = 0.15
	peerSlackShare = 0.1
	// transferShare is how long a reply may take from its first byte to its last: followers of one watcher share its link. After it,
	// another watcher can still be asked in time.
	transferShare = 0.5
	// standbyRetryShare is the longest time between two calls of a store that does not answer by an instance on standby: with
	// the watch after it, a store that only the watchers can't reach is still read in time.
	standbyRetryShare = 0.5
)

func dialPeer(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveConfig}
	return dialer.DialContext(ctx, "tcp", address.String())
}

func scale(d pollensettings.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// keepAliveConfig ends idle connections that are unresponsive within three seconds; the kernel counts in whole seconds. It does not
// end those with data that is not acknowledged: the deadlines of requests do.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// New returns a Frontend that serves once Run is called.
func New(settings *Settings, logger *slog.Logger) (*Frontend, error) {
	f := &Frontend{
		retryBudget: pollenbudget.New(settings.budgetConfig()),
		self: pollencatalog.Instance{
			Name: settings.Name, Zone: settings.Zone, CallerAddress: settings.CallerAddress, Ready: true,
			PeerAddress: settings.PeerAddress, Processor: settings.ProcessorShare,
			Incarnation: fmt.Sprintf("%016x", rand.Uint64()), Protocol: pollenversion.Protocol, Build: pollenversion.Build(),
		},
		pool:         pollenpool.New(pollenpool.Config{DialTimeout: dialTimeout, IdleTimeout: defaultServerIdleTimeout, KeepAlive: keepAliveConfig, SourceAddress: settings.SourceAddress}),
		ranking:      pollenrank.New(pollenrank.Config{Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}),
		coldLimiter:  pollenramp.New(pollenramp.Config{InstanceName: settings.Name}),
		memory:       pollenmemory.New(pollenmemory.Config{LimitBytes: settings.bodyBytes()}),
		configured:   make(chan struct{}),
		tableChanged: make(chan struct{}, 1),
		reach:        pollenreach.NewTracker(),
		probeDialer:  pollenpool.NewDialer(pollenpool.Config{DialTimeout: pollenreach.ProbeTimeout, SourceAddress: settings.SourceAddress}),
		peers:        pollenreach.NewPeers(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		peerPool:     pollenpool.New(pollenpool.Config{DialTimeout: dialTimeout, IdleTimeout: peerIdleTimeout, KeepAlive: keepAliveConfig}),
		drain:        pollendrain.New(),
		suspects:     pollensuspect.New(pollensuspect.Config{InstanceName: settings.Name}),
	}
	// The first line of the log: what follows logs, too.
	klog.InfoS("Start", "build", f.self.Build, "protocol", f.self.Protocol, "zone", f.self.Zone, "callerAddress", f.self.CallerAddress.String(), "incarnation", f.self.Incarnation)
	f.quotas = pollenquota.New(pollenquota.Config{InstanceName: settings.Name, Standbys: f.countStandbys})
	f.metrics = newMetrics(f.quotas.LimitedServers, f.suspects.Refused, func() pollengate.Counts { return f.gate.Count(time.Now()) }, f.ranking.Counts)
	f.allowances = pollenallowance.New(pollenallowance.Config{
		InstanceName: settings.Name, Incarnation: f.self.Incarnation, Start: time.Now(), Observer: f.metrics,
		Window: settings.QuotaWindow.Std(), Overshoot: settings.QuotaOvershoot, Slack: settings.QuotaSlack,
	})
	store := pollenplatform.NewStore(pollenplatform.StoreConfig{
		Address: settings.StoreAddress, Timeout: settings.StoreTimeout.Std(), KeepAlive: keepAliveConfig,
		WatchSlack: scale(settings.ConfigurationDelay, watchSlackShare), TransferTimeout: scale(settings.ConfigurationDelay, transferShare),
	})
	resources := pollenconn.NewResources(settings.MemoryMegabytes, settings.MaxDescriptors)
	relayConfig := pollenrelay.ServerConfig{
		MaxStaleness: scale(settings.ConfigurationDelay, freshnessShare), Suspects: f.suspects, Allowances: f.allowances, Refusals: &refusalReceiver{f},
		Messages: pollenrpc.NewBudget(resources),
	}
	if settings.RolloutShare > 0 {
		f.newRollouts(settings, store)
		relayConfig.ReceiveRollout = f.rolloutDriver.Receive
	}
	gateConfig := pollengate.Config{
		DrainNotice: settings.DrainNotice.Std(), Table: func() *pollencatalog.Table { return f.view.Table() },
		Limits: f.quotas, ColdLimits: f.coldLimiter, Health: f.ranking,
	}
	if f.rollouts != nil {
		gateConfig.Versions = f.rollouts
	}
	f.gate = pollengate.New(gateConfig)
	f.relay = pollenrelay.NewServer(relayConfig)
	f.sharer = pollenrelay.NewSharer(pollenrelay.SharerConfig{Suspects: f.suspects, Peers: f.otherInstances, Timeout: shareTimeout, Dial: dialPeer})
	f.reporter = pollenrelay.NewReporter(pollenrelay.ReporterConfig{Allowances: f.allowances, Peers: f.otherInstances, Timeout: shareTimeout, Dial: dialPeer})
	f.refusals = pollenrelay.NewRefusalSharer(pollenrelay.RefusalSharerConfig{Peers: f.otherInstances, Timeout: shareTimeout, Dial: dialPeer})
	f.settings.Store(settings)
	debug.SetGCPercent(settings.CollectionPercent)
	if settings.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMegabytes<<20) * collectionMemoryShare))
	}
	f.view = pollenview.New(pollenview.Config{
		Decoder: pollenplatform.Decoder{}, GracePeriod: storeRecoveryTime, DepartedRetention: departedRetention, BeforePublish: f.observeVersions, OnPublish: f.onPublish,
	})
	f.metrics.countUnreadableKeys(f.view.UnreadableKeys)
	f.metrics.stateBuilds(f.self, f.view.Table)
	f.metrics.stateConfiguration(f.view.Table)
	f.actor = pollenactor.Spawn(logger, f.view.Receive)
	f.source = pollenrelay.NewSource(pollenrelay.SourceConfig{
		Store: store, Self: f.self, Standby: func() bool { return !f.active.Load() }, Server: f.relay, Watcher: f.watcherAddress, ListedWatcher: f.listedWatcher, Dial: dialPeer, Suspects: f.suspects,
		WatchWait: scale(settings.ConfigurationDelay, peerWaitShare), WatchSlack: scale(settings.ConfigurationDelay, peerSlackShare), TransferTimeout: scale(settings.ConfigurationDelay, transferShare),
		OtherWatchers: f.otherWatchers, StoreRetry: scale(settings.ConfigurationDelay, standbyRetryShare),
	})
	seeds := pollenrelay.NewSeeds(pollenrelay.SeedsConfig{
		Addresses: settings.otherSeeds(), Timeout: seedTimeout, TransferTimeout: scale(settings.ConfigurationDelay, transferShare), Dial: dialPeer, Suspects: f.suspects,
	})
	f.follower = pollenfollow.NewFollower(pollenfollow.FollowerConfig{
		Reader: f.source, Seeds: seeds,
		Post: f.handleStoreMessage, WatchWait: scale(settings.ConfigurationDelay, watchWaitShare), StartupDelay: settings.startupDelay(f.self), BatchDelay: settings.StorePause.Std(),
	})
	key, _, err := pollenroster.EncodeInstance(f.self)
	if err != nil {
		return nil, err
	}
	f.registrar = pollenfollow.NewRegistrar(pollenfollow.RegistrarConfig{
		Writer: store, Key: key, Value: f.registeredValue, LeaseDuration: settings.InstanceLease.Std(), OnInterruption: f.follower.RestartWatch,
	})
	f.httpServers = []*http.Server{
		newHTTPServer(settings.CallerAddress, f.newIngress()),
		newHTTPServer(settings.DirectoryAddress, pollenplatform.NewDirectory(pollenplatform.DirectoryConfig{
			Instances: f.callerInstances, TTL: min(settings.LongestLifetime.Std(), scale(settings.StopTimeout, pollendrain.CacheShare)),
		})),
		newHTTPServer(settings.ReadinessAddress, pollenplatform.NewReadiness(f.ready)),
		newHTTPServer(settings.MetricsAddress, f.newOperatorHandler()),
	}
	f.callerConns = newConnTracker(f.httpServers[0])
	f.limitClients(resources)
	return f, nil
}

func (f *Frontend) newIngress() http.Handler {
	f.exchanger = pollenplatform.NewExchanger(pollenplatform.ExchangerConfig{Pool: f.pool, MaxAnswerBytes: maxAnswerBytes})
	f.forwarder = pollenforward.New(pollenforward.Config{
		Exchanger:             f.exchanger,
		Reach:                 f.reach,
		Passer:                pollenplatform.NewPasser(pollenplatform.PasserConfig{Pool: f.peerPool, Connections: peerConnections, MaxReplyBytes: maxAnswerBytes}),
		Others:                f.otherSenders,
		Peers:                 f.peers,
		Ranking:               f.ranking,
		ColdLimiter:           f.coldLimiter,
		Quotas:                f.quotas,
		Gate:                  f.gate,
		Rollouts:              f.rollouts,
		Suspects:              f.suspects,
		Refusals:              f.refusals,
		Budget:                f.retryBudget,
		Drain:                 f.drain,
		Table:                 f.view.Table,
		CallerRoundTrip:       f.settings.Load().CallerTrip.Std(),
		LateAnswerTimeout:     lateAnswerTimeout,
		StaleConnectionPeriod: staleConnectionPeriod,
		Splitter:              &pollenforward.Splitter{},
	})
	return pollenplatform.NewIngress(pollenplatform.IngressConfig{
		Forwarder: f.forwarder, Observer: f.metrics, Memory: f.memory, Table: f.view.Table, Quota: f.allowances, Draining: f.drain.Stopping, ConfigurationStale: f.viewStale.Load,
	})
}

// Run serves until ctx is done or a listener fails, then drains open requests before it returns.
func (f *Frontend) Run(ctx context.Context) error {
	serveErrors := make(chan error, len(f.httpServers)+1)
	var callerListener net.Listener
	for n, server := range f.httpServers {
		listener, err := f.registries[httpListeners[n]].Listen(server.Addr)
		if err != nil {
			return &ListenError{Address: server.Addr, Err: err}
		}
		serve := server.Serve
		if n == 0 {
			callerListener, serve = listener, f.callerConns.serve
		}
		go func() { serveErrors <- serve(listener) }()
	}
	backgroundCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	registrationCtx, cancelRegistration := context.WithCancel(backgroundCtx)
	unregistered := make(chan struct{})
	peerListener, err := f.registries[listenerPeers].Listen(f.self.PeerAddress.String())
	if err != nil {
		cancelRegistration()
		return &ListenError{Address: f.self.PeerAddress.String(), Err: err}
	}
	go func() { serveErrors <- f.relay.Serve(peerListener) }()
	go f.follower.Run(backgroundCtx)
	go f.sharer.Run(backgroundCtx)
	go f.reporter.Run(backgroundCtx)
	go f.refusals.Run(backgroundCtx)
	go f.runTicker(backgroundCtx)
	go func() {
		defer close(unregistered)
		f.maintainRegistration(registrationCtx)
	}()
	var serveErr error
	select {
	case serveErr = <-serveErrors:
		klog.ErrorS(serveErr, "A listener failed")
	case <-ctx.Done():
	}
	plan := pollendrain.NewPlan(time.Now(), f.settings.Load().StopTimeout.Std())
	f.drain.Start(plan)
	klog.InfoS("Stop", "timeout", f.settings.Load().StopTimeout.Std().String())
	cancelRegistration()
	f.logCutOff(f.callerConns.drain(callerListener, plan))
	<-unregistered
	refused, ended := f.drain.Counts()
	klog.InfoS("Stopped", "refused", refused, "endedUnanswered", ended)
	return serveErr
}

// maxLoggedRequests bounds the requests that the log names when the process exits.
const maxLoggedRequests = 10

// logCutOff logs the requests that are still open when the process exits, if any; err says why the callers' server is not closed.
func (f *Frontend) logCutOff(err error) {
	open := f.drain.Open().List()
	if len(open) == 0 {
		if err != nil {
			klog.InfoS("Connections closed at the end of the stop timeout that had no request, or whose answer was being written", "cause", err.Error())
		}
		return
	}
	klog.ErrorS(err, "Open requests cut off at the end of the stop timeout", "open", len(open))
	for _, r := range open[:min(len(open), maxLoggedRequests)] {
		klog.ErrorS(nil, "Request cut off", "requestID", r.ID, "stage", r.Stage().String(), "ageMs", time.Since(r.Received).Milliseconds())
	}
}

// Reload applies the settings that can change at run time, and logs whether others changed that need a restart.
func (f *Frontend) Reload(settings *Settings) {
	previous := f.settings.Swap(settings)
	f.retryBudget.Configure(settings.budgetConfig())
	f.gate.Configure(settings.DrainNotice.Std())
	klog.InfoS("Reload", "changed", !reflect.DeepEqual(previous, settings), "restartNeeded", !reflect.DeepEqual(previous.startupSettings(), settings.startupSettings()))
}

// ListenError reports an address on which a listener can't be opened.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

func (e *ListenError) Unwrap() error { return e.Err }

// handleStoreMessage updates the relay and the stale flag, then forwards a follower's message to the view's actor.
func (f *Frontend) handleStoreMessage(message any) {
	switch m := message.(type) {
	case pollenview.StoreUnavailable:
		f.viewStale.Store(true)
	case pollenview.StoreListed:
		f.viewStale.Store(m.StoreErr != nil)
		f.relay.Reset(m.Listing)
	case pollenview.StoreChanged:
		f.viewStale.Store(false)
		f.relay.Apply(m.Changes)
	case pollenview.StoreRecovered:
		f.viewStale.Store(false)
	}
	f.actor.Post(message)
}

// onPublish updates everything that depends on the table; the view's actor calls it for each new table.
func (f *Frontend) onPublish(table *pollencatalog.Table) {
	f.ranking.Prune(table)
	f.coldLimiter.Prune(table)
	f.quotas.Prune(table)
	f.gate.Prune(table, time.Now())
	f.allowances.SetTable(table, time.Now())
	f.peers.Prune(table)
	f.noteTableChanged()
	if table.Configuration() == nil {
		return
	}
	select {
	case <-f.configured:
	default:
		close(f.configured)
	}
	acceptsRequests := make(map[netip.AddrPort]bool)
	table.ForEachServer(func(s *pollencatalog.Server) { acceptsRequests[s.Address] = acceptsRequests[s.Address] || !s.Draining })
	f.pool.Retain(acceptsRequests)
	f.repairRegistration(table)
}

// noteTableChanged makes the instance reconsider whether it should be registered.
func (f *Frontend) noteTableChanged() {
	select {
	case f.tableChanged <- struct{}{}:
	default:
	}
}

// ready reports whether new callers may be sent to this instance.
func (f *Frontend) ready() bool {
	return !f.drain.Stopping() && f.view.Table().Configuration() != nil
}

// registeredValue returns the value of this instance's key in the store.
func (f *Frontend) registeredValue() ([]byte, error) {
	self := f.self
	self.CutOff = f.reach.CutOff()
	_, value, err := pollenroster.EncodeInstance(self)
	return value, err
}

// callerInstances returns the instances that the directory lists: the ready ones that reach the backend servers, or only this one
// if there are none.
func (f *Frontend) callerInstances() []pollencatalog.Instance {
	var ready []pollencatalog.Instance
	for _, instance := range f.view.Table().Senders() {
		if instance.Ready && (instance.Name != f.self.Name || f.ready()) {
			ready = append(ready, instance)
		}
	}
	if len(ready) == 0 && f.ready() {
		ready = append(ready, f.self)
	}
	return ready
}

// otherInstances returns the registered instances other than this one.
func (f *Frontend) otherInstances() []pollencatalog.Instance {
	return f.withoutSelf(f.view.Table().Instances())
}

// otherSenders returns the registered instances other than this one that reach the backend servers.
func (f *Frontend) otherSenders() []pollencatalog.Instance {
	return f.withoutSelf(f.view.Table().Senders())
}

func (f *Frontend) withoutSelf(instances []pollencatalog.Instance) []pollencatalog.Instance {
	return slices.DeleteFunc(slices.Clone(instances), func(i pollencatalog.Instance) bool { return i.Name == f.self.Name })
}

func (f *Frontend) runTicker(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.actor.Post(pollenview.Tick{})
			f.pool.Trim()
			f.peerPool.Trim()
			f.reviewReach(ctx)
			f.reportRollouts(ctx)
			f.connectionLog.Write(f.registries, time.Now())
		}
	}
}
