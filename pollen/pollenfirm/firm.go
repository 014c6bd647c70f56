package pollenfirm

import (
	"fmt"
	"net/netip"
	"time"

	"pollenline.example/pollen/pollenschema"
)

// Firm describes the availability zones and the service families of one firm.
type Firm struct {
	Name       string
	Zones      []string
	Families   []Family
	Preference pollenschema.Preference
}

// Family describes a number of services with equal servers and indexes.
type Family struct {
	Name string
	// Class is the class of the family's requests in generated load.
	Class pollenschema.Class
	// Services is the number of services.
	Services int
	// Servers is the number of backend servers of each service.
	Servers int
	// Slots and Connections are the limits of each backend server.
	Slots       int
	Connections int
	// ConnectTime is how long a backend server takes to set up a connection.
	ConnectTime time.Duration
	// Indexes are the names of the indexes of each service.
	Indexes []string
	// Shards is the number of shards of each index.
	Shards int
	// ServiceTime is a warm server's time for one request, and ShardTime its additional time for each shard.
	ServiceTime time.Duration
	ShardTime   time.Duration
}

// UnknownError reports the name of a firm that does not exist.
type UnknownError struct {
	Name string
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown firm %q: want vunivalu or dunhlyja", e.Name)
}

// ByName returns the firm with the given name and its current numbers of services and servers, or an *UnknownError.
func ByName(name string) (*Firm, error) {
	switch name {
	case "vunivalu":
		return vunivalu(), nil
	case "dunhlyja":
		return dunhlyja(), nil
	}
	return nil, &UnknownError{Name: name}
}

// Server describes one backend server of a firm's service.
type Server struct {
	Service string
	Name    string
	Zone    string
	Family  Family
	Address netip.AddrPort
}

// Servers returns all backend servers; address returns the address of the server with index n.
func (f *Firm) Servers(address func(n int) netip.AddrPort) []Server {
	var servers []Server
	for _, family := range f.Families {
		for n := range family.Services {
			for m := range family.Servers {
				servers = append(servers, Server{
					Service: ServiceName(family, n),
					Name:    fmt.Sprintf("%s-%02d-%c", family.Name, n+1, 'a'+m),
					Zone:    f.Zones[(n+m)%len(f.Zones)],
					Family:  family,
					Address: address(len(servers)),
				})
			}
		}
	}
	return servers
}

// ServiceName returns the name of the family's service with index n.
func ServiceName(family Family, n int) string {
	return fmt.Sprintf("%s-%02d", family.Name, n+1)
}

// Services returns the documents of all services of the given servers, each with one snapshot.
func (f *Firm) Services(servers []Server, snapshot string) []*pollenschema.Service {
	var services []*pollenschema.Service
	byName := make(map[string]*pollenschema.Service)
	for _, s := range servers {
		service, ok := byName[s.Service]
		if !ok {
			service = &pollenschema.Service{Name: s.Service, Preference: f.Preference}
			byName[s.Service] = service
			services = append(services, service)
		}
		service.Servers = append(service.Servers, &pollenschema.BackendServer{
			Name: s.Name, Zone: s.Zone, Address: s.Address.String(), Slots: uint32(s.Family.Slots),
			Connections: uint32(s.Family.Connections), State: pollenschema.Admin_ADMIN_IN,
		})
	}
	for _, s := range servers {
		service := byName[s.Service]
		if len(service.Snapshots) == 0 {
			service.Snapshots = []*pollenschema.Snapshot{Snapshot(s.Family, service, snapshot)}
		}
	}
	return services
}

// Snapshot returns a snapshot in which each shard has two replicas on servers that are adjacent in the service's list.
func Snapshot(family Family, service *pollenschema.Service, name string) *pollenschema.Snapshot {
	snapshot := &pollenschema.Snapshot{Name: name}
	for n, index := range family.Indexes {
		snapshot.Versions = append(snapshot.Versions, &pollenschema.IndexVersion{Index: index, Version: name})
		for m := range family.Shards {
			first := (n*family.Shards + m) % len(service.Servers)
			second := (first + 1) % len(service.Servers)
			snapshot.Shards = append(snapshot.Shards, &pollenschema.Shard{
				Name: fmt.Sprintf("%s/%03d", index, m), Index: index,
				Servers: []string{service.Servers[first].Name, service.Servers[second].Name},
			})
		}
	}
	return snapshot
}

// vunivalu returns a firm that prefers low latency over full coverage.
func vunivalu() *Firm {
	desk := Family{
		Class: pollenschema.Class_CLASS_URGENT, Services: 20, Servers: 2, Slots: 2, Connections: 25, ConnectTime: 6 * time.Millisecond,
		Indexes: []string{"patterns"}, Shards: 8, ServiceTime: 4 * time.Millisecond, ShardTime: 200 * time.Microsecond,
	}
	portal := desk
	desk.Name, portal.Name = "pattern-desk", "buyer-portal"
	portal.Class, portal.Services = pollenschema.Class_CLASS_NORMAL, 30
	large := Family{
		Class: pollenschema.Class_CLASS_NORMAL, Services: 1, Slots: 4, Connections: 110, ConnectTime: time.Millisecond,
		Indexes: []string{"lots"}, ServiceTime: 4 * time.Millisecond, ShardTime: 200 * time.Microsecond,
	}
	dye, ship := large, large
	dye.Name, dye.Servers, dye.Shards = "dye-store", 7, 28
	ship.Name, ship.Servers, ship.Shards = "ship-office", 3, 12
	ship.Class = pollenschema.Class_CLASS_ARCHIVE
	return &Firm{
		Name: "vunivalu", Zones: []string{"viti-1", "viti-2", "viti-3"}, Families: []Family{desk, portal, dye, ship},
		Preference: pollenschema.Preference_PREFERENCE_LATENCY,
	}
}

// dunhlyja returns a firm that prefers full coverage over low latency.
func dunhlyja() *Firm {
	desk := Family{
		Name: "afgreidsla", Class: pollenschema.Class_CLASS_URGENT, Services: 20, Servers: 2, Slots: 3, Connections: 30,
		ConnectTime: 6 * time.Millisecond, Indexes: []string{"orders"}, Shards: 8,
		ServiceTime: 4 * time.Millisecond, ShardTime: 200 * time.Microsecond,
	}
	wash := desk
	wash.Name, wash.Class, wash.Services = "thvottur", pollenschema.Class_CLASS_NORMAL, 30
	archive := Family{
		Name: "skjalasafn", Class: pollenschema.Class_CLASS_ARCHIVE, Services: 1, Servers: 13, Slots: 4, Connections: 45,
		ConnectTime: time.Millisecond, Indexes: []string{"lundur", "hvammur", "bakki"}, Shards: 13,
		ServiceTime: 4 * time.Millisecond, ShardTime: 200 * time.Microsecond,
	}
	sending := archive
	sending.Name, sending.Class, sending.Servers, sending.Shards = "sending", pollenschema.Class_CLASS_NORMAL, 6, 12
	sending.Indexes = []string{"couriers"}
	return &Firm{
		Name: "dunhlyja", Zones: []string{"sudurland-1", "sudurland-2", "sudurland-3"}, Families: []Family{desk, wash, archive, sending},
		Preference: pollenschema.Preference_PREFERENCE_COVERAGE,
	}
}
