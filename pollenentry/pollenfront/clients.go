package pollenfront

import "pollenline.example/pollen/pollenconn"

// The listeners of an instance, as logs and metrics name them.
const (
	listenerCallers   = "callers"
	listenerDirectory = "directory"
	listenerReadiness = "readiness"
	listenerMetrics   = "metrics"
	listenerPeers     = "peers"
)

// httpListeners names the listeners of Frontend.httpServers.
var httpListeners = []string{listenerCallers, listenerDirectory, listenerReadiness, listenerMetrics}

// clientShares holds the shares of the process's descriptors that the clients of each listener may take.
var clientShares = map[string]float64{
	listenerCallers: pollenconn.CallerShare, listenerDirectory: pollenconn.DirectoryShare, listenerPeers: pollenconn.PeerShare,
	listenerReadiness: pollenconn.OperatorShare, listenerMetrics: pollenconn.OperatorShare,
}

// limitClients bounds what the clients of all listeners can hold.
func (f *Frontend) limitClients(resources pollenconn.Resources) {
	f.registries = f.newRegistries(resources)
	for n, server := range f.httpServers {
		f.registries[httpListeners[n]].Track(server)
	}
	f.metrics.registry.MustRegister(f.registries.NewCollector())
}

// newRegistries returns the registries of the clients' connections by listener.
func (f *Frontend) newRegistries(resources pollenconn.Resources) pollenconn.Registries {
	heads := resources.HeadBudget()
	registries := make(pollenconn.Registries, len(clientShares))
	for listener, share := range clientShares {
		registries[listener] = pollenconn.NewRegistry(pollenconn.RegistryConfig{
			MaxConnections: resources.MaxConnections(share), Heads: heads, Limits: f.clientLimits, Calls: listener == listenerPeers,
		})
	}
	return registries
}

// clientLimits returns the limits of callers' requests that the configuration in force states.
func (f *Frontend) clientLimits() pollenconn.Limits {
	configuration := f.view.Table().Configuration()
	if configuration == nil {
		return pollenconn.Limits{}
	}
	limits := configuration.Limits
	return pollenconn.Limits{HeaderBytes: limits.MaxHeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}
