package pollencatalog

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Configuration is one version of the configuration that operators write.
type Configuration struct {
	Version  uint64
	Routes   []*Route
	Services map[string]Service
	Limits   Limits
	// Teams lists the teams whose requests are served; if it is empty, requests need no key.
	Teams []*Team
	// Problems lists what the configuration states and is not followed.
	Problems []error
	// TeamsByKey holds the teams by the digests of their keys.
	TeamsByKey map[KeyDigest]*Team
}

// Route defines how requests under one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set if the route's requests may run more than once.
	Idempotent bool
	// Split lists the services among which the requests of an unsharded route are divided by weight; it has one entry if
	// one service serves them all.
	Split []WeightedService
	// Shards lists the services that each hold a part of the answer; it is empty for an unsharded route.
	Shards []string
	// TopK is the largest number of records in a merged answer.
	TopK int
	// MinimumCoverage is the smallest share of the shards, 0 to 1, that a successful answer may include.
	MinimumCoverage float64
	// Timeout is the longest time that a request may wait for its answer.
	Timeout time.Duration
	// Objective is the latency that an answer should not exceed; zero if there is none.
	Objective time.Duration
	// Attempts is the largest number of servers of one service that may run one request.
	Attempts int
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int
	// Public is set if requests need no key even though the configuration has teams.
	Public bool
}

// Sharded reports whether answers are merged from several services.
func (r *Route) Sharded() bool { return len(r.Shards) > 0 }

// WeightedService is a service that gets requests of a route in proportion to its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service holds the limits that all servers of one service have in common.
type Service struct {
	Name string
	// Connections is the largest number of connections that one server accepts from all instances together.
	Connections int
	// ColdRate is the number of requests per second that a cold server, one that is still warming up, can run; zero if
	// it is not stated.
	ColdRate float64
	// ColdPeriod is how long a server is cold after its start.
	ColdPeriod time.Duration
}

// Limits bounds the size and timing of callers' requests.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Server is one incarnation of a backend server.
type Server struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	// Version is the version of the server's software; empty if the server does not state it.
	Version string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Draining is set once the server has announced its shutdown.
	Draining bool
	// ColdUntil is when the server expects to have warmed up; zero for a warm server.
	ColdUntil time.Time
	// StartedAt is the start of this incarnation; zero if the server does not state it.
	StartedAt time.Time
}

// Incarnation identifies one run of one server at one address.
type Incarnation struct {
	ID      string
	Address netip.AddrPort
	// StartedAtMillis is the Unix time of the start in milliseconds; zero if it is not known.
	StartedAtMillis int64
}

// Incarnation returns the server's identity, which stays the same when its state changes.
func (s *Server) Incarnation() Incarnation {
	startedAt := int64(0)
	if !s.StartedAt.IsZero() {
		startedAt = s.StartedAt.UnixMilli()
	}
	return Incarnation{ID: s.ID, Address: s.Address, StartedAtMillis: startedAt}
}

// SenderRank orders instances as senders to the server by rendezvous hashing: the one with the highest rank comes first.
func (s *Server) SenderRank(instanceName string) uint64 { return rank(instanceName, s.ID) }

func rank(instanceName, key string) uint64 { return xxhash.Sum64String(instanceName + "/" + key) }

// FirstByRank returns the instance that comes first for a key by rendezvous hashing, or false if there are no instances.
func FirstByRank(instances []Instance, key string) (first Instance, ok bool) {
	highest := uint64(0)
	for _, i := range instances {
		if r := rank(i.Name, key); !ok || r > highest {
			first, highest, ok = i, r, true
		}
	}
	return first, ok
}

// RankPosition returns how many instances come before one by rendezvous hashing for a key, or false if it is not among them.
func RankPosition(instances []Instance, key, name string) (position int, ok bool) {
	own := rank(name, key)
	for _, i := range instances {
		if i.Name == name {
			ok = true
		} else if rank(i.Name, key) > own {
			position++
		}
	}
	return position, ok
}

// Instance describes an entry instance of this system. Its fields are stored as JSON under their Go names.
type Instance struct {
	Name          string
	Zone          string
	CallerAddress netip.AddrPort
	// PeerAddress is where the instance accepts calls from other instances.
	PeerAddress netip.AddrPort
	// Processor is the share of a processor core that the instance may use.
	Processor float64
	// Incarnation differs between two runs of the same instance.
	Incarnation string
	// Ready is set while the instance accepts new callers.
	Ready bool
	// CutOff is set while the instance reaches no backend servers and passes its requests on to others.
	CutOff bool
	// Protocol is the version of the calls and stored values that the instance knows; zero if it states none.
	Protocol int
	// Build names the revision that the instance's program was built from; it is for operators only.
	Build string
}
