package pollenroute

import (
	"net/netip"
	"slices"
	"strings"

	"pollenline.example/pollen/pollenchart"
	"pollenline.example/pollen/pollenconfig"
	"pollenline.example/pollen/pollenschema"
)

// Instance is an entry instance as the table knows it.
type Instance struct {
	Name        string
	Incarnation string
	Zone        string
	Peer        netip.AddrPort
	Caller      netip.AddrPort
	Operator    netip.AddrPort
	// Listed is set while callers may be sent there.
	Listed bool
	// Claims is set while it may own groups.
	Claims bool
	// Unrecorded is set when its record is gone from the store; it may have ended or be cut off.
	Unrecorded bool
}

// Server is a backend server with the group it belongs to.
type Server struct {
	Name        string
	Service     string
	Zone        string
	Address     netip.AddrPort
	Slots       int
	Connections int
	State       pollenschema.Admin
	Group       Group
}

// ID returns the server's name, unique among all services.
func (s *Server) ID() string { return ServerID(s.Service, s.Name) }

// ServerID returns the name of a server, unique among all services.
func ServerID(service, server string) string { return service + "/" + server }

// Shard is one shard of a snapshot with the servers that hold it.
type Shard struct {
	Name    string
	Index   string
	Servers []*Server
}

// Snapshot is one partition map with one version of each index.
type Snapshot struct {
	Name     string
	Versions []*pollenschema.IndexVersion
	Shards   []Shard
}

// Service is one service with its snapshots, newest first.
type Service struct {
	Name       string
	Preference pollenschema.Preference
	Servers    []*Server
	Snapshots  []*Snapshot
}

// Table is an immutable view of all that traffic needs to know.
type Table struct {
	Revision  uint64
	Zones     map[string]pollenschema.Admin
	Services  map[string]*Service
	Servers   map[string]*Server
	Owners    map[Group]Instance
	Instances []Instance
	Self      Instance
	// Occupied are the groups that hold at least one backend server, in a fixed order.
	Occupied []Group
}

// Build returns the table for a configuration, without owners and instances.
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
	t.Occupied = t.occupiedGroups()
	return t, nil
}

// With returns the table with other instances and owners; the parts that the configuration decides are shared.
func (t *Table) With(self Instance, instances []Instance, owners map[Group]Instance) *Table {
	next := *t
	next.Self = self
	next.Instances = slices.SortedFunc(slices.Values(instances), func(a, b Instance) int {
		return strings.Compare(a.Name, b.Name)
	})
	next.Owners = owners
	return &next
}

// ZoneTakesWork reports whether new work may go into an availability zone.
//
// A zone that the configuration does not mention holds no backend servers; entry instances in it take work.
func (t *Table) ZoneTakesWork(zone string) bool {
	state, known := t.Zones[zone]
	return !known || zoneChart.Has(adminStates[state], traitTakesWork)
}

// Refusal returns why a backend server takes no new work, or unspecified when it does.
func (t *Table) Refusal(serverID string) pollenschema.Reason {
	s, ok := t.Servers[serverID]
	switch {
	case !ok:
		return pollenschema.Reason_REASON_NO_REPLICA
	case !t.ZoneTakesWork(s.Zone):
		return pollenschema.Reason_REASON_ZONE_OUT
	case s.State != pollenschema.Admin_ADMIN_IN:
		return pollenschema.Reason_REASON_LEAVING
	}
	return pollenschema.Reason_REASON_UNSPECIFIED
}

// ByIncarnation returns the instance that runs an incarnation.
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

var zoneChart = pollenchart.MustLoad("zone")

// traitTakesWork marks the states of the zone's chart in which new work may go there.
const traitTakesWork pollenchart.Trait = "TakesWork"

// adminStates names the states of the zone's chart.
var adminStates = map[pollenschema.Admin]pollenchart.StateName{
	pollenschema.Admin_ADMIN_IN:  "In",
	pollenschema.Admin_ADMIN_OUT: "Out",
}

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
	for _, n := range s.Snapshots {
		service.Snapshots = append(service.Snapshots, buildSnapshot(n, byName))
	}
	return service, nil
}

func buildSnapshot(n *pollenschema.Snapshot, byName map[string]*Server) *Snapshot {
	snapshot := &Snapshot{Name: n.Name, Versions: n.Versions, Shards: make([]Shard, 0, len(n.Shards))}
	for _, d := range n.Shards {
		shard := Shard{Name: d.Name, Index: d.Index}
		for _, name := range d.Servers {
			if server, ok := byName[name]; ok {
				shard.Servers = append(shard.Servers, server)
			}
		}
		snapshot.Shards = append(snapshot.Shards, shard)
	}
	return snapshot
}

func (t *Table) occupiedGroups() []Group {
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
