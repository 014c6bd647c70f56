package pollencatalog

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// Table is the state that one request is served from.
type Table struct {
	configuration *Configuration
	routes        map[string][]*Route
	servers       map[string][]*Server
	evacuated     map[string]bool
	instances     []Instance
	departed      int
}

// TableConfig holds what a Table is built from; the table keeps the values, which must not change afterwards.
type TableConfig struct {
	// Configuration is nil until the first one has been read.
	Configuration *Configuration
	Servers       []*Server
	// Evacuated names the availability zones whose servers get no requests.
	Evacuated map[string]bool
	Instances []Instance
	// Departed is the number of instances that left so recently that they may still hold their share of limits.
	Departed int
}

// NewTable indexes the configuration's routes by host and the servers by service.
func NewTable(config TableConfig) *Table {
	t := &Table{
		configuration: config.Configuration,
		servers:       make(map[string][]*Server),
		evacuated:     config.Evacuated,
		instances:     slices.SortedFunc(slices.Values(config.Instances), compareInstances),
		departed:      config.Departed,
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

// Configuration returns the configuration in force, nil before the first one is known.
func (t *Table) Configuration() *Configuration { return t.configuration }

// Instances returns the known instances in the order of their names.
func (t *Table) Instances() []Instance { return t.instances }

// Sharers returns the number of instances that limits are shared among, at least one.
//
// Those that left lately count, up to the number of those that are there: more cannot have held a share at a time.
func (t *Table) Sharers() int {
	return max(1, len(t.instances)+min(t.departed, len(t.instances)))
}

// Route returns the route with the longest prefix of the path among the host's routes.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.routes[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Usable appends the servers of a service that may get new requests to servers.
func (t *Table) Usable(servers []*Server, service string) []*Server {
	for _, s := range t.servers[service] {
		if t.Takes(s) {
			servers = append(servers, s)
		}
	}
	return servers
}

// Takes reports whether a server may get new requests.
func (t *Table) Takes(s *Server) bool { return !s.Leaving && !t.evacuated[s.Zone] }

// Incarnations returns the incarnations of all known servers.
func (t *Table) Incarnations() map[Incarnation]bool {
	known := make(map[Incarnation]bool)
	t.Each(func(s *Server) { known[s.Incarnation()] = true })
	return known
}

// Each calls visit for every known server.
func (t *Table) Each(visit func(*Server)) {
	for _, servers := range t.servers {
		for _, s := range servers {
			visit(s)
		}
	}
}

// Cold reports whether a server is cold by its own account.
func (s *Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }

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

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

func compareInstances(a, b Instance) int { return cmp.Compare(a.Name, b.Name) }
