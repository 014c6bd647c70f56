package pollencatalog

import (
	"net/netip"
	"time"
)

// Configuration is one version of what operators want served.
type Configuration struct {
	Version  uint64
	Routes   []*Route
	Services map[string]Service
	Limits   Limits
}

// Route says how requests under one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set for requests that may run more than once.
	Idempotent bool
	// Split lists the services that share the route's requests; a plain route has one entry.
	Split []Share
	// Shards lists the services that each hold a part of the answer; it is empty for an unsharded route.
	Shards []string
	// Top is the number of records in a merged answer.
	Top int
	// MinimumCoverage is the share of the shards, 0 to 1, that a successful answer includes at least.
	MinimumCoverage float64
	// Timeout is the longest that a request is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer is worth its full credit; zero if there is none.
	Objective time.Duration
	// Attempts is the number of servers of one service that may run one request.
	Attempts int
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
}

// Sharded reports whether answers are merged from several services.
func (r *Route) Sharded() bool { return len(r.Shards) > 0 }

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Service describes what all servers of one service have in common.
type Service struct {
	Name string
	// Connections is the number of connections that one server accepts from all instances together.
	Connections int
	// ColdRate is the number of requests per second that a cold server tolerates; zero if it is not stated.
	ColdRate float64
	// ColdPeriod is how long a server stays cold after its start.
	ColdPeriod time.Duration
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server is one incarnation of a backend server.
type Server struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Leaving is set once the server has announced its shutdown.
	Leaving bool
	// ColdUntil is when the server stops being cold by its own account; zero for a warm server.
	ColdUntil time.Time
	// Born is the start of this incarnation, zero if the server does not say.
	Born time.Time
}

// Incarnation identifies one start of one server at one address.
type Incarnation struct {
	ID      string
	Address netip.AddrPort
	Born    int64
}

// Incarnation returns the server's identity across changes of its state.
func (s *Server) Incarnation() Incarnation {
	born := int64(0)
	if !s.Born.IsZero() {
		born = s.Born.UnixMilli()
	}
	return Incarnation{ID: s.ID, Address: s.Address, Born: born}
}

// Instance is an entry instance of this system.
type Instance struct {
	Name          string
	Zone          string
	CallerAddress netip.AddrPort
	// PeerAddress takes calls of other instances.
	PeerAddress netip.AddrPort
	// Processor is the share of a processor core that the instance may use.
	Processor float64
	// Incarnation differs between two starts of the same instance.
	Incarnation string
	// Ready is set while the instance takes new callers.
	Ready bool
}
