package polleninstance

import (
	"context"
	"time"

	"pollenline.example/pollen/pollenconn"
	"pollenline.example/pollen/pollenmemory"
)

// The listeners of an instance, as logs and metrics name them.
const (
	listenerCallers   = "callers"
	listenerOperators = "operators"
	listenerPeers     = "peers"
)

const (
	// bodyMemoryShare is the share of the memory that the bodies of requests may take while they are handled.
	bodyMemoryShare = 0.1
	// defaultMemoryMegabytes is the memory of a process whose settings state none, in MiB.
	defaultMemoryMegabytes = 256
	// collectionMemoryShare is the share of the memory above which the garbage collector runs more often.
	collectionMemoryShare = 0.8
	// maxOpenRequests bounds the requests that are open at a listener on connections with HTTP/2.
	maxOpenRequests = 2048
)

// newRegistries returns the registries of the clients' connections.
func newRegistries(resources pollenconn.Resources) pollenconn.Registries {
	heads := resources.HeadBudget()
	bodies := pollenmemory.New(pollenmemory.Config{LimitBytes: resources.MemoryShare(bodyMemoryShare)})
	registries := make(pollenconn.Registries)
	for listener, share := range map[string]float64{
		listenerCallers: pollenconn.CallerShare, listenerOperators: pollenconn.OperatorShare, listenerPeers: pollenconn.PeerShare,
	} {
		registries[listener] = pollenconn.NewRegistry(pollenconn.RegistryConfig{
			MaxConnections: resources.MaxConnections(share), Heads: heads, Bodies: bodies, MaxRequests: maxOpenRequests, HTTP2: true,
			Limits: func() pollenconn.Limits { return clientLimits }, Calls: listener == listenerPeers,
		})
	}
	return registries
}

// clientLimits are the limits of requests with HTTP/1.1; the bytes of a header are bounded by its server.
var clientLimits = pollenconn.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: readTimeout, IdleTimeout: idleTimeout}

// connectionLogInterval is how often connections that were closed are logged.
const connectionLogInterval = time.Second

// logConnections logs the connections that registries close until ctx is done.
func logConnections(ctx context.Context, registries pollenconn.Registries) {
	ticker := time.NewTicker(connectionLogInterval)
	defer ticker.Stop()
	var log pollenconn.Log
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			log.Write(registries, time.Now())
		}
	}
}
