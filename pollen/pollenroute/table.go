package pollenroute

import (
	"net/netip"
	"slices"
	"strings"

	"pollenline.example/pollen/pollenchart"
	"pollenline.example/pollen/pollenconfig"
	"pollenline.example/pollen/pollenschema"
)

// Instance holds the identity, the addresses and the state of an entry instance.
type Instance struct {
	Name        string
	Incarnation string
	Zone        string
	// The instance listens for other instances, callers and operators on these addresses.
	Peer     netip.AddrPort
	Caller   netip.AddrPort
	Operator netip.AddrPort
	// Listed is set while callers may be directed to the instance.
	Listed bool
	// Claims is set while the instance may own groups.
	Claims bool
	// Unrecorded is set if the store has no record of the instance; it may have stopped or be partitioned.
	Unrecorded bool
}

// Server holds the configuration of a backend server and its group.
type Server struct {
	Name    string
	Service string
	Zone    string
	Address netip.AddrPort
	// Slots is the number of requests that the warm server runs concurrently.
	Slots int
	// Connections is the maximum number of connections to the server.
	Connections int
	State       pollenschema.Admin
	Group       Group
}

// ID returns the server's ID, which is unique across all services.
func (s *Server) ID() string { return ServerID(s.Service, s.Name) }

// ServerID returns the ID of a server, which is unique across all services.
func ServerID(service, server string) string { return service + "/" + server }

// Shard holds one shard of a snapshot and the servers that hold its replicas.
type Shard struct {
	Name    string
	Index   string
	Servers []*Server
}

// Snapshot holds one partitioning of a service's data with one version of each index.
type Snapshot struct {
	Name     string
	Versions []*pollenschema.IndexVersion
	Shards   []Shard
}

// Service holds the servers and the snapshots of one service, newest snapshot first.
type Service struct {
	Name       string
	Preference pollenschema.Preference
	Servers    []*Server
	Snapshots  []*Snapshot
}

// Table holds an immutable view of the configuration and the instances that requests are routed by.
type Table struct {
	// Revision is the revision of the configuration.
	Revision uint64
	// Zones and Services hold the configured zones and services by name, and Servers the backend servers by ID.
	Zones    map[string]pollenschema.Admin
	Services map[string]*Service
	Servers  map[string]*Server
	// Owners holds the owner of each group that has one.
	Owners map[Group]Instance
	// Instances holds the known instances, ordered by name.
	Instances []Instance
	// Self is the instance that routes by this table.
	Self Instance
	// GroupsWithServers holds the groups with at least one backend server, ordered by zone and number.
	GroupsWithServers []Group
}

// Build returns the table of a configuration without instances and owners.
func Build(c *pollenconfig.Configuration) (*Table, error) {
	t := &Table{
		Revision: c.Revision,
		Zones:    make(map[string]pollenschema.Admin, len(c.Zones)),
		Services: make(map[string]*Service, len(c.Services)),
		Servers:  make(map[string]*Server),
	}
	for name, z := range c.Zones {
		t.Zones[name] = z.State
	}
	for name, s := range c.Services {
		service, err := buildService(s)
		if err != nil {
			return nil, err
		}
		t.Services[name] = service
		for _, server := range service.Servers {
			t.Servers[server.ID()] = server
		}
	}
	t.GroupsWithServers = t.groupsWithServers()
	return t, nil
}

// WithOwners returns a copy of the table with new instances and owners; it shares the data of the configuration.
func (t *Table) WithOwners(self Instance, instances []Instance, owners map[Group]Instance) *Table {
	next := *t
	next.Self = self
	next.Instances = slices.SortedFunc(slices.Values(instances), func(a, b Instance) int {
		return strings.Compare(a.Name, b.Name)
	})
	next.Owners = owners
	return &next
}

// ZoneAcceptsWork reports whether new work may be sent to an availability zone.
//
// A zone that the configuration does not contain has no backend servers; entry instances in it accept work.
func (t *Table) ZoneAcceptsWork(zone string) bool {
	state, known := t.Zones[zone]
	return !known || zoneChart.Has(adminStates[state], traitAcceptsWork)
}

// Refusal returns why a backend server accepts no new work, or REASON_UNSPECIFIED if it does.
func (t *Table) Refusal(serverID string) pollenschema.Reason {
	s, ok := t.Servers[serverID]
	switch {
	case !ok:
		return pollenschema.Reason_REASON_NO_REPLICA
	case !t.ZoneAcceptsWork(s.Zone):
		return pollenschema.Reason_REASON_ZONE_OUT
	case s.State != pollenschema.Admin_ADMIN_IN:
		return pollenschema.Reason_REASON_LEAVING
	}
	return pollenschema.Reason_REASON_UNSPECIFIED
}

// ByIncarnation returns the instance with an incarnation.
func (t *Table) ByIncarnation(incarnation string) (Instance, bool) {
	if t.Self.Incarnation == incarnation {
		return t.Self, true
	}
	for _, i := range t.Instances {
		if i.Incarnation == incarnation {
			return i, true
		}
	}
	return Instance{}, false
}

// zoneChart holds the administrative states of an availability zone.
var zoneChart = pollenchart.MustLoad("zone")

// traitAcceptsWork marks the states of the zone's state chart in which the zone accepts new work.
const traitAcceptsWork pollenchart.Trait = "TakesWork"

// adminStates maps the administrative states to states of the zone's state chart.
var adminStates = map[pollenschema.Admin]pollenchart.StateName{
	pollenschema.Admin_ADMIN_IN:  "In",
	pollenschema.Admin_ADMIN_OUT: "Out",
}

// buildService returns a service from the configuration, or a *pollenconfig.DocumentError for an invalid address.
func buildService(s *pollenschema.Service) (*Service, error) {
	service := &Service{Name: s.Name, Preference: s.Preference}
	byName := make(map[string]*Server, len(s.Servers))
	for _, b := range s.Servers {
		address, err := netip.ParseAddrPort(b.Address)
		if err != nil {
			return nil, &pollenconfig.DocumentError{Document: s.Name, Problem: "address of " + b.Name, Err: err}
		}
		server := &Server{
			Name: b.Name, Service: s.Name, Zone: b.Zone, Address: address,
			Slots: int(b.Slots), Connections: int(b.Connections), State: b.State,
			Group: GroupOf(b.Zone, s.Name, b.Name),
		}
		byName[b.Name] = server
		service.Servers = append(service.Servers, server)
	}
	for _, snapshot := range s.Snapshots {
		service.Snapshots = append(service.Snapshots, buildSnapshot(snapshot, byName))
	}
	return service, nil
}

// buildSnapshot returns a snapshot from the configuration, leaving out replicas on servers that do not exist.
func buildSnapshot(source *pollenschema.Snapshot, byName map[string]*Server) *Snapshot {
	snapshot := &Snapshot{Name: source.Name, Versions: source.Versions, Shards: make([]Shard, 0, len(source.Shards))}
	for _, s := range source.Shards {
		shard := Shard{Name: s.Name, Index: s.Index}
		for _, name := range s.Servers {
			if server, ok := byName[name]; ok {
				shard.Servers = append(shard.Servers, server)
			}
		}
		snapshot.Shards = append(snapshot.Shards, shard)
	}
	return snapshot
}

// groupsWithServers computes the field GroupsWithServers.
func (t *Table) groupsWithServers() []Group {
	seen := make(map[Group]bool)
	var groups []Group
	for _, s := range t.Servers {
		if !seen[s.Group] {
			seen[s.Group] = true
			groups = append(groups, s.Group)
		}
	}
	slices.SortFunc(groups, func(a, b Group) int {
		if a.Zone != b.Zone {
			return strings.Compare(a.Zone, b.Zone)
		}
		return a.Number - b.Number
	})
	return groups
}
