package pollencatalog

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// Table is an immutable snapshot of the configuration, the servers and the instances.
type Table struct {
	configuration *Configuration
	// routes holds the routes by host, the longest prefixes first.
	routes map[string][]*Route
	// servers holds the servers by service, ordered by ID.
	servers           map[string][]*Server
	evacuatedZones    map[string]bool
	instances         []Instance
	senders           []Instance
	departedInstances int
	rollouts          map[string]Rollout
	rolloutServices   []string
	storeEra          uint64
}

// TableConfig holds the content of a Table. The table refers to it, so it must not change afterwards.
type TableConfig struct {
	// Configuration is nil until one has been read from the store.
	Configuration *Configuration
	Servers       []*Server
	// EvacuatedZones holds the availability zones whose servers get no requests.
	EvacuatedZones map[string]bool
	Instances      []Instance
	// DepartedInstances is the number of instances that left so recently that they may still use their share of limits.
	DepartedInstances int
	RolloutOrders     []*RolloutOrder
	RolloutStates     []*RolloutState
	VersionRecords    []*VersionRecord
	// StoreEra is the era of the store that the content is of; zero if it is not known.
	StoreEra uint64
}

// NewTable returns a table with the given content.
func NewTable(config TableConfig) *Table {
	t := &Table{
		configuration:     config.Configuration,
		servers:           make(map[string][]*Server),
		evacuatedZones:    config.EvacuatedZones,
		instances:         slices.SortedFunc(slices.Values(config.Instances), compareInstances),
		departedInstances: config.DepartedInstances,
		storeEra:          config.StoreEra,
	}
	t.senders = slices.DeleteFunc(slices.Clone(t.instances), func(i Instance) bool { return i.CutOff })
	if len(t.senders) == 0 {
		t.senders = t.instances
	}
	if len(config.RolloutOrders)+len(config.RolloutStates)+len(config.VersionRecords) > 0 {
		t.rollouts, t.rolloutServices = indexRollouts(config.RolloutOrders, config.RolloutStates, config.VersionRecords)
	}
	for _, s := range config.Servers {
		t.servers[s.Service] = append(t.servers[s.Service], s)
	}
	for _, servers := range t.servers {
		slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	if config.Configuration != nil {
		t.routes = indexRoutes(config.Configuration.Routes)
	}
	return t
}

// Configuration returns the configuration in force, or nil if none has been read yet.
func (t *Table) Configuration() *Configuration { return t.configuration }

// StoreEra returns the era of the store that the content is of; zero if it is not known.
func (t *Table) StoreEra() uint64 { return t.storeEra }

// Instances returns the registered instances, ordered by name.
func (t *Table) Instances() []Instance { return t.instances }

// Senders returns the registered instances that send requests to backend servers: those that reach them, or all if none says that it
// does.
func (t *Table) Senders() []Instance { return t.senders }

// Protocol returns the lowest version of calls and stored values that a registered instance states, or own if that is lower. What all
// instances must understand is used only from that version on.
func (t *Table) Protocol(own int) int {
	for _, i := range t.instances {
		own = min(own, i.Protocol)
	}
	return own
}

// SharerCount returns the number of instances among which limits are divided, at least one.
//
// Departed instances count up to the number of the present ones: more cannot have held a share at the same time.
func (t *Table) SharerCount() int {
	return max(1, len(t.instances)+min(t.departedInstances, len(t.instances)))
}

// Route returns the route of a host with the longest prefix that matches the path.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.routes[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// AppendEligible appends the servers of a service that may get new requests to servers.
func (t *Table) AppendEligible(servers []*Server, service string) []*Server {
	for _, s := range t.servers[service] {
		if t.Eligible(s) {
			servers = append(servers, s)
		}
	}
	return servers
}

// Eligible reports whether a server may get new requests: it is not draining and its zone is not evacuated.
func (t *Table) Eligible(s *Server) bool { return !s.Draining && !t.evacuatedZones[s.Zone] }

// Accepts reports whether the table holds this incarnation of a server and it is not draining.
func (t *Table) Accepts(server *Server) bool {
	return slices.ContainsFunc(t.servers[server.Service], func(s *Server) bool {
		return s.Incarnation() == server.Incarnation() && !s.Draining
	})
}

// Incarnations returns the incarnations of all servers in the table.
func (t *Table) Incarnations() map[Incarnation]bool {
	incarnations := make(map[Incarnation]bool)
	t.ForEachServer(func(s *Server) { incarnations[s.Incarnation()] = true })
	return incarnations
}

// ForEachServer calls visit for every server in the table.
func (t *Table) ForEachServer(visit func(*Server)) {
	for _, servers := range t.servers {
		for _, s := range servers {
			visit(s)
		}
	}
}

// Cold reports whether the server is still warming up, by its own estimate.
func (s *Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// indexRoutes returns the routes by host, the longest prefixes first.
func indexRoutes(routes []*Route) map[string][]*Route {
	index := make(map[string][]*Route)
	for _, r := range routes {
		host := hostName(r.Host)
		index[host] = append(index[host], r)
	}
	for _, routes := range index {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return index
}

// hostName returns a host without its port, in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

func compareInstances(a, b Instance) int { return cmp.Compare(a.Name, b.Name) }
