package polleninstance

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"runtime/debug"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenconn"
	"pollenline.example/pollen/pollencontrol"
	"pollenline.example/pollen/pollenhandler"
	"pollenline.example/pollen/pollenlog"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenpeer"
	"pollenline.example/pollen/pollenrpc"
	"pollenline.example/pollen/pollenschema/pollenschemaconnect"
	"pollenline.example/pollen/pollenstore"
)

const (
	// deregistrationDelay is how long callers may still send requests after shutdown begins: other instances list an
	// instance for up to PeerTimeout after the last reply that reported it as serving, and callers use that list for
	// LocateLifetime.
	deregistrationDelay = pollenhandler.LocateLifetime + pollencontrol.PeerTimeout + 500*time.Millisecond
	// drainTimeout bounds the wait for the last request to finish and the last group to be released.
	drainTimeout      = 30 * time.Second
	drainPollInterval = 20 * time.Millisecond
	// maxMessageBytes bounds a message from a caller or operator.
	maxMessageBytes = 4 << 20
	// minCompressBytes excludes small responses, the majority, from compression.
	minCompressBytes = 64 << 10
	// maxHeaderBytes bounds the fields of a request; those of our callers take some hundred bytes.
	maxHeaderBytes = 16 << 10
	// readTimeout bounds how long a client may take to send a request, idleTimeout how long a connection is kept without one.
	readTimeout = 10 * time.Second
	idleTimeout = 2 * time.Minute
	// maxStreams bounds the open requests of one connection with HTTP/2, receiveBufferBytes what is buffered of their bodies.
	maxStreams         = 100
	receiveBufferBytes = 64 << 10
)

// Run serves until stopRequested is done, then shuts down gracefully.
func (i *Instance) Run(stopRequested context.Context) error {
	callers, operators := i.callerServer(), i.operatorServer()
	resources := pollenconn.NewResources(i.settings.MemoryMegabytes, 0)
	debug.SetMemoryLimit(resources.MemoryShare(collectionMemoryShare))
	registries := newRegistries(resources)
	i.registry.MustRegister(registries.NewCollector())
	registries[listenerCallers].Track(callers)
	registries[listenerOperators].Track(operators)
	listeners, err := i.listen(registries)
	if err != nil {
		return err
	}
	peers := pollenpeer.NewServer(pollenpeer.ServerConfig{Handler: i.PeerHandler(), Messages: pollenrpc.NewBudget(resources)})
	serveErrors := make(chan error, 2)
	go serve(callers, listeners.caller, serveErrors)
	go serve(operators, listeners.operator, serveErrors)
	go peers.Serve(listeners.peer)
	tickCtx, stopTicks := context.WithCancel(context.Background())
	defer stopTicks()
	go i.Tick(tickCtx)
	go logConnections(tickCtx, registries)
	klog.InfoS("Serving", "callers", i.settings.CallerAddress, "operators", i.settings.OperatorAddress, "peers", i.settings.PeerAddress)

	select {
	case err := <-serveErrors:
		return err
	case <-stopRequested.Done():
	}
	i.Shutdown(callers.Shutdown)
	_ = listeners.peer.Close()
	peers.Close()
	stopTicks()
	i.actor.Stop()
	return operators.Close()
}

// Tick sends periodic ticks to the control state until ctx is done.
func (i *Instance) Tick(ctx context.Context) {
	ticker := time.NewTicker(pollencontrol.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			i.Post(pollencontrol.Tick{})
		}
	}
}

// Shutdown removes the instance from the fleet: it waits until callers use other instances, then until the requests in
// flight have finished, then until other instances have taken over the groups.
//
// It calls drain to wait for the callers' requests in flight.
func (i *Instance) Shutdown(drain func(ctx context.Context) error) {
	klog.InfoS("Graceful shutdown begins", "reference", deregistrationDelay.String())
	i.Post(pollencontrol.Stop{})
	time.Sleep(deregistrationDelay)
	i.Post(pollencontrol.Unreferenced{})
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := drain(ctx); err != nil {
		klog.ErrorS(err, "Requests still in flight at the drain timeout")
	}
	for ctx.Err() == nil && (i.status().Groups > 0 || i.inFlight.Load() > 0) && !i.hasNoSuccessor() {
		time.Sleep(drainPollInterval)
	}
	i.Post(pollencontrol.Drained{})
	i.core.RevokeLease(ctx)
	klog.InfoS("Graceful shutdown ends")
}

// hasNoSuccessor reports whether there is no instance that could claim the groups.
func (i *Instance) hasNoSuccessor() bool {
	for _, other := range i.Table().Instances {
		if other.Claims {
			return false
		}
	}
	return true
}

// listeners holds the network listeners of an instance.
type listeners struct {
	caller, operator, peer net.Listener
}

// listen opens the listeners, all of them or none.
func (i *Instance) listen(registries pollenconn.Registries) (*listeners, error) {
	caller, err := listen(registries[listenerCallers], i.settings.CallerAddress)
	if err != nil {
		return nil, err
	}
	operator, err := listen(registries[listenerOperators], i.settings.OperatorAddress)
	if err != nil {
		return nil, errors.Join(err, caller.Close())
	}
	peer, err := listen(registries[listenerPeers], i.settings.PeerAddress)
	if err != nil {
		return nil, errors.Join(err, caller.Close(), operator.Close())
	}
	return &listeners{caller: caller, operator: operator, peer: peer}, nil
}

// callerServer returns the HTTP server for callers.
func (i *Instance) callerServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(pollenschemaconnect.NewEntryHandler(i.callerHandler, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(minCompressBytes)))
	return newServer(countHTTPErrors(mux, i.httpErrors, "caller"))
}

// operatorServer returns the HTTP server for operators, profiles and metrics.
func (i *Instance) operatorServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(pollenschemaconnect.NewOperateHandler(i.operatorHandler, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(minCompressBytes)))
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.Handle("GET /metrics", promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{}))
	return newServer(countHTTPErrors(mux, i.httpErrors, "operator"))
}

// newServer returns a server for HTTP/1.1 and for HTTP/2 without TLS.
func newServer(handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: handler, Protocols: protocols, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: pollenlog.NewServerErrorLog(),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: receiveBufferBytes, MaxReceiveBufferPerStream: receiveBufferBytes,
		},
	}
}

// serve serves until the server is closed, and sends any other error.
func serve(server *http.Server, listener net.Listener, serveErrors chan<- error) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		serveErrors <- err
	}
}

// PeerHandler returns the handler for the calls of other instances.
func (i *Instance) PeerHandler() pollenpeer.Handler { return &peerHandler{instance: i} }

// peerHandler implements pollenpeer.Handler.
type peerHandler struct {
	instance *Instance
}

// Execute implements pollenpeer.Handler.
func (h *peerHandler) Execute(ctx context.Context, q *pollenmessage.SubQuery) pollenmessage.SubAnswer {
	h.instance.inFlight.Add(1)
	defer h.instance.inFlight.Add(-1)
	return h.instance.owner.Execute(ctx, q)
}

// Forward implements pollenpeer.Handler.
func (h *peerHandler) Forward(ctx context.Context, request []byte) ([]byte, error) {
	h.instance.inFlight.Add(1)
	defer h.instance.inFlight.Add(-1)
	return h.instance.callerHandler.AnswerForwarded(ctx, request)
}

// Ping implements pollenpeer.Handler.
func (h *peerHandler) Ping(request pollenpeer.PingRequest) pollenpeer.PingReply {
	if _, known := h.instance.Table().ByIncarnation(request.From.Incarnation); !known {
		h.instance.Post(pollencontrol.UnrecordedPeer{Instance: request.From})
	}
	return h.instance.status()
}

// Watch implements pollenpeer.Handler.
func (h *peerHandler) Watch(ctx context.Context, request pollenpeer.WatchRequest) (pollenpeer.WatchReply, error) {
	replica := h.instance.replica
	// The age is read first: changes that are applied afterwards only make the replica newer than stated.
	age := h.instance.core.ReplicaAge()
	changes, err := replica.Watch(ctx, pollenstore.Position{Revision: request.After}, request.Wait)
	if err != nil {
		return pollenpeer.WatchReply{Listing: replica.List(pollencontrol.Prefix), Whole: true, Age: age}, nil
	}
	return pollenpeer.WatchReply{Changes: changes, Age: age}, nil
}

// InForce implements pollenpeer.Handler.
func (h *peerHandler) InForce(ctx context.Context, request pollenpeer.InForceRequest) pollenpeer.InForceReply {
	return pollenpeer.InForceReply{Revision: h.instance.waitForRevision(ctx, request.Revision)}
}
