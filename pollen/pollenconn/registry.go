package pollenconn

import (
	"maps"
	"net"
	"net/http"
	"sync"

	"pollenline.example/pollen/pollenmemory"
)

// Limits bounds what a client may send in a head. Values that are not above zero mean the defaults.
type Limits struct {
	// HeaderBytes bounds the bytes of the fields of a request; its first line may be as long.
	HeaderBytes int64
}

// defaultHeaderBytes holds if there is no other limit.
const defaultHeaderBytes = http.DefaultMaxHeaderBytes

// RegistryConfig holds the parameters of a Registry.
type RegistryConfig struct {
	// Heads bounds the memory that the heads of all requests take, until their answers are written.
	Heads *pollenmemory.Budget
	// Limits returns the limits in force; if it is nil, the defaults hold.
	Limits func() Limits
}

// Registry knows the connections at a listener.
type Registry struct {
	config RegistryConfig

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	closed map[Reason]int64
}

// NewRegistry returns a Registry without connections.
func NewRegistry(config RegistryConfig) *Registry {
	return &Registry{config: config, conns: make(map[*Conn]struct{}), closed: make(map[Reason]int64)}
}

// Reason is why a connection was closed.
type Reason string

// The reasons for which connections are closed.
const (
	// HeadTooLarge means that a head had more bytes than the limits allow.
	HeadTooLarge Reason = "head too large"
	// HeadMemory means that the heads of all requests took too much memory.
	HeadMemory Reason = "memory of heads"
)

// Reasons returns all reasons.
func Reasons() []Reason { return []Reason{HeadTooLarge, HeadMemory} }

// Counts holds what a Registry has counted.
type Counts struct {
	// Open is the number of open connections.
	Open int
	// Closed is the number of connections that were closed, by reason.
	Closed map[Reason]int64
}

// Counts returns what the registry has counted.
func (r *Registry) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Counts{Open: len(r.conns), Closed: maps.Clone(r.closed)}
}

func (r *Registry) count(reason Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed[reason]++
}

// limits returns the limits in force.
func (r *Registry) limits() Limits {
	var limits Limits
	if r.config.Limits != nil {
		limits = r.config.Limits()
	}
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
	return limits
}

// open registers a new connection.
func (r *Registry) open(conn net.Conn) *Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &Conn{Conn: conn, registry: r, head: r.config.Heads.NewAccount().NewReservation()}
	r.conns[c] = struct{}{}
	return c
}

// Track makes a server report the phases of its connections to the registry, beside what it does already. The server must serve a
// listener that Listen returned, and set deadlines while it waits for a request and for a head.
func (r *Registry) Track(server *http.Server) {
	next := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok {
			c.setState(state)
		}
		if next != nil {
			next(conn, state)
		}
	}
	server.MaxHeaderBytes = serverHeaderBytes
}

// serverHeaderBytes is above what any connection lets through.
const serverHeaderBytes = 1 << 30
