package polleninstance

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencontrol"
	"pollenline.example/pollen/pollenedge"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenpeer"
	"pollenline.example/pollen/pollenschema/pollenschemaconnect"
)

const (
	// referenceTime is how long callers may still come after a stop was asked for: peers list an instance for at
	// most PeerTimeout after it last answered them as serving, and callers keep that answer for its lifetime.
	referenceTime = pollenedge.LocateLifetime + pollencontrol.PeerTimeout + 500*time.Millisecond
	// drainTime bounds the wait for the last request and the last group.
	drainTime = 30 * time.Second
	drainPoll = 20 * time.Millisecond
	// maximumMessage bounds a caller's or operator's message, in bytes.
	maximumMessage = 4 << 20
	// compressFrom keeps small answers, which are most, from being compressed, in bytes.
	compressFrom      = 64 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Run serves until stop is done, then shuts down gracefully.
func (i *Instance) Run(stop context.Context) error {
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	callers, operators := i.callerServer(), i.operatorServer()
	peers := pollenpeer.NewServer(i.PeerHandler())
	failed := make(chan error, 2)
	go serve(callers, listeners.caller, failed)
	go serve(operators, listeners.operator, failed)
	go peers.Serve(listeners.peer)
	ticks, stopTicks := context.WithCancel(context.Background())
	defer stopTicks()
	go i.Tick(ticks)
	klog.InfoS("Serving", "callers", i.settings.CallerAddress, "operators", i.settings.OperatorAddress, "peers", i.settings.PeerAddress)

	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	i.Leave(callers.Shutdown)
	_ = listeners.peer.Close()
	peers.Close()
	stopTicks()
	i.actor.Stop()
	return operators.Close()
}

// Tick drives the control state until ctx is done.
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

// Leave ends the instance's part in the fleet: no caller, then no request, then no group.
//
// It calls drain to wait for the last of the callers' requests.
func (i *Instance) Leave(drain func(ctx context.Context) error) {
	klog.InfoS("Graceful shutdown begins", "reference", referenceTime.String())
	i.Post(pollencontrol.Stop{})
	time.Sleep(referenceTime)
	i.Post(pollencontrol.Unreferenced{})
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	if err := drain(ctx); err != nil {
		klog.ErrorS(err, "Requests were still running at the end of the drain time")
	}
	for ctx.Err() == nil && (i.status().Groups > 0 || i.inFlight.Load() > 0) && !i.alone() {
		time.Sleep(drainPoll)
	}
	i.Post(pollencontrol.Drained{})
	i.core.RevokeLease(ctx)
	klog.InfoS("Graceful shutdown ends")
}

// alone reports whether there is no other instance that could take the groups.
func (i *Instance) alone() bool {
	for _, other := range i.Table().Instances {
		if other.Claims {
			return false
		}
	}
	return true
}

// listeners are the open addresses of an instance.
type listeners struct {
	caller, operator, peer net.Listener
}

func (i *Instance) listen() (*listeners, error) {
	caller, err := listen(i.settings.CallerAddress)
	if err != nil {
		return nil, err
	}
	operator, err := listen(i.settings.OperatorAddress)
	if err != nil {
		return nil, errors.Join(err, caller.Close())
	}
	peer, err := listen(i.settings.PeerAddress)
	if err != nil {
		return nil, errors.Join(err, caller.Close(), operator.Close())
	}
	return &listeners{caller: caller, operator: operator, peer: peer}, nil
}

func (i *Instance) callerServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(pollenschemaconnect.NewEntryHandler(i.caller, connect.WithReadMaxBytes(maximumMessage), connect.WithCompressMinBytes(compressFrom)))
	return newServer(countErrors(mux, i.errors, "caller"))
}

func (i *Instance) operatorServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(pollenschemaconnect.NewOperateHandler(i.operator, connect.WithReadMaxBytes(maximumMessage), connect.WithCompressMinBytes(compressFrom)))
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.Handle("GET /metrics", promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{}))
	return newServer(countErrors(mux, i.errors, "operator"))
}

func newServer(handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

func serve(server *http.Server, listener net.Listener, failed chan<- error) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// PeerHandler returns the handler of other instances' calls.
func (i *Instance) PeerHandler() pollenpeer.Handler { return &peerHandler{instance: i} }

// peerHandler answers other instances.
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
	return h.instance.caller.Forwarded(ctx, request)
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
	// The age is taken first: what comes into the copy after that only makes it fresher.
	age := h.instance.core.ReplicaAge()
	changes, err := replica.Watch(ctx, request.After, request.Wait)
	if err != nil {
		return pollenpeer.WatchReply{Listing: replica.List(pollencontrol.Prefix), Whole: true, Age: age}, nil
	}
	return pollenpeer.WatchReply{Changes: changes, Age: age}, nil
}

// InForce implements pollenpeer.Handler.
func (h *peerHandler) InForce(ctx context.Context, request pollenpeer.InForceRequest) pollenpeer.InForceReply {
	return pollenpeer.InForceReply{Revision: h.instance.inForce(ctx, request.Revision)}
}
