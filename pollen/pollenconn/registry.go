package pollenconn

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"pollenline.example/pollen/pollenmemory"
)

// Limits bounds what a client may send in a head, and for how long it may take. Values that are not above zero mean the defaults.
type Limits struct {
	// HeaderBytes bounds the bytes of the fields of a request; its first line may be as long.
	HeaderBytes int64
	// HeaderTimeout is how long a client may take from the first byte of a head to its last.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a client may send nothing when a request or the rest of one is due, or read nothing of an answer.
	IdleTimeout time.Duration
}

// The limits that hold if there are no others.
const (
	defaultHeaderBytes   = http.DefaultMaxHeaderBytes
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
)

// RegistryConfig holds the parameters of a Registry.
type RegistryConfig struct {
	// MaxConnections bounds the connections that are open at once. Some are closed for new ones when an eighth of it is left.
	MaxConnections int
	// Heads bounds the memory that the heads of all requests take, until their answers are written.
	Heads *pollenmemory.Budget
	// Limits returns the limits in force; if it is nil, the defaults hold.
	Limits func() Limits
	// Bodies bounds the memory that the bodies of requests take while they are handled; if it is nil, the server's handler bounds it.
	Bodies *pollenmemory.Budget
	// MaxRequests bounds the open requests on connections that carry many at a time; zero means no bound.
	MaxRequests int
	// HTTP2 is set if the server serves HTTP/2 as well.
	HTTP2 bool
	// Calls is set if the connections carry calls and not HTTP: heads are not counted, and SetServing states the phases.
	Calls bool
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
	// Full means that the connection was closed for a new one, or as the newest while none could be closed for it.
	Full Reason = "full"
	// HeadTooLarge means that a head had more bytes than the limits allow.
	HeadTooLarge Reason = "head too large"
	// HeadMemory means that the heads of all requests took too much memory.
	HeadMemory Reason = "memory of heads"
	// Timeout means that the client took too long to send a request or to read an answer.
	Timeout Reason = "timeout"
	// Message means that the message of a call was too large, or that the messages of all calls took too much memory.
	Message Reason = "message"
)

// Reasons returns all reasons.
func Reasons() []Reason { return []Reason{Full, HeadTooLarge, HeadMemory, Timeout, Message} }

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
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	return limits
}

// spareShare is the part of the connections, one in so many, that is left for new ones while others are closed once their requests are
// answered.
const spareShare = 8

// open registers a new connection and closes another one for it, or retires one, if there are too many. It returns nil if there is none.
func (r *Registry) open(conn net.Conn, now time.Time) *Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if most := r.config.MaxConnections; len(r.conns) >= most-most/spareShare {
		r.closed[Full]++
		if !r.closeOne(now) && !r.retireOne() {
			return nil
		}
	}
	c := &Conn{Conn: conn, registry: r, state: State{Since: now}, head: r.config.Heads.NewAccount().NewReservation()}
	r.conns[c] = struct{}{}
	return c
}

// closeOne closes the connection that choose returns, and reports whether there is one. The registry must be locked.
func (r *Registry) closeOne(now time.Time) bool {
	conns, states := r.states()
	n := choose(states, now)
	if n == none {
		return false
	}
	conns[n].evict()
	return true
}

// retireOne retires the connection that chooseRetiring returns, and reports whether there is one and room for another connection. The
// registry must be locked.
func (r *Registry) retireOne() bool {
	if len(r.conns) >= r.config.MaxConnections {
		return false
	}
	conns, states := r.states()
	n := chooseRetiring(states)
	if n == none {
		return false
	}
	conns[n].state.Retiring = true
	return true
}

// states returns the open connections and their states.
func (r *Registry) states() ([]*Conn, []State) {
	conns, states := make([]*Conn, 0, len(r.conns)), make([]State, 0, len(r.conns))
	for c := range r.conns {
		conns, states = append(conns, c), append(states, c.currentState())
	}
	return conns, states
}

// expiredDeadline is a deadline in the past.
var expiredDeadline = time.Unix(1, 0)

// connKey is the key of a request's *Conn in its context.
type connKey struct{}

// Track makes a server report the phases of its connections to the registry, beside what it does already. The server must serve a
// listener that Listen returned. What it states of idle connections holds for HTTP/2 only.
func (r *Registry) Track(server *http.Server) {
	next := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok {
			c.setState(state, time.Now())
		}
		if next != nil {
			next(conn, state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.Handler = handler{server.Handler}
	// The connections set the deadlines that hold; those of the server tell them when.
	server.ReadHeaderTimeout = serverTimeout
	server.IdleTimeout = cmp.Or(server.IdleTimeout, serverTimeout)
	server.MaxHeaderBytes = cmp.Or(server.MaxHeaderBytes, serverHeaderBytes)
}

const (
	serverTimeout = time.Hour
	// serverHeaderBytes is above what any connection lets through.
	serverHeaderBytes = 1 << 30
)
