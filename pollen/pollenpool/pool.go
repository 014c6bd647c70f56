package pollenpool

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Config configures a Pool.
type Config struct {
	// DialTimeout bounds how long a new connection may take.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is kept without a request if the server does not say.
	IdleTimeout time.Duration
	// KeepAlive detects connections that have gone silent.
	KeepAlive net.KeepAliveConfig
	// Dial makes connections in place of a net.Dialer, for tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds the connections of one instance to all servers.
type Pool struct {
	config    Config
	transport *http.Transport

	mu    sync.Mutex
	hosts map[netip.AddrPort]*host
}

type host struct {
	idle []*Conn
	open int
	// waiting holds the callers that wait for a connection, longest first.
	waiting []chan *Conn
	// refusedUntil is when a connection may be tried again after the server has refused one.
	refusedUntil time.Time
}

// Conn is a connection that is lent for one request.
type Conn struct {
	*http.ClientConn
	pool    *Pool
	address netip.AddrPort
	// Reused is set if the connection has carried a request before.
	Reused bool
	until  time.Time
	since  time.Time
}

// WaitError reports a caller that stopped waiting for a connection; nothing was sent.
type WaitError struct {
	Address netip.AddrPort
	Limit   int
	Err     error
}

func (e *WaitError) Error() string {
	return fmt.Sprintf("no connection to %v became free of the %d that may be open: %v", e.Address, e.Limit, e.Err)
}

func (e *WaitError) Unwrap() error { return e.Err }

// DialError reports a connection that could not be made; nothing was sent.
type DialError struct {
	Address netip.AddrPort
	Err     error
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to %v: %v", e.Address, e.Err) }

func (e *DialError) Unwrap() error { return e.Err }

// New returns a Pool without connections.
func New(config Config) *Pool {
	dial := config.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: config.DialTimeout, KeepAliveConfig: config.KeepAlive}).DialContext
	}
	return &Pool{
		config: config,
		transport: &http.Transport{
			DialContext:            dial,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maximumHeaderBytes,
			ReadBufferSize:         bufferBytes,
			WriteBufferSize:        bufferBytes,
		},
		hosts: make(map[netip.AddrPort]*host),
	}
}

const (
	// refusalPause is how long a server that has reset a new connection is not asked for another one.
	refusalPause = 200 * time.Millisecond
	// spareIdle is how long a second idle connection to a server is kept.
	spareIdle = time.Second
	// maximumHeaderBytes bounds the header of a server's answer.
	maximumHeaderBytes = 64 << 10
	// bufferBytes is the size of each connection's buffers: an answer of one shard fits, and 100 connections
	// take less than a megabyte.
	bufferBytes = 2 << 10
)

// Get lends an idle connection to a server, or a new one while fewer than limit are open, or waits for one of them.
func (p *Pool) Get(ctx context.Context, address netip.AddrPort, limit int) (*Conn, error) {
	conn, waiting := p.reserve(address, limit)
	if waiting != nil {
		var err error
		if conn, err = p.wait(ctx, address, limit, waiting); err != nil {
			return nil, err
		}
	}
	if conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.config.DialTimeout)
	defer cancel()
	client, err := p.transport.NewClientConn(ctx, "http", address.String())
	if err != nil {
		p.release(address)
		return nil, &DialError{Address: address, Err: err}
	}
	return &Conn{ClientConn: client, pool: p, address: address}, nil
}

// wait returns the connection that is handed over, or nil and no error if the caller may open one.
func (p *Pool) wait(ctx context.Context, address netip.AddrPort, limit int, waiting chan *Conn) (*Conn, error) {
	select {
	case conn := <-waiting:
		return conn, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	h := p.host(address)
	before := len(h.waiting)
	h.waiting = slices.DeleteFunc(h.waiting, func(w chan *Conn) bool { return w == waiting })
	handedOver := len(h.waiting) == before
	p.mu.Unlock()
	if handedOver {
		if conn := <-waiting; conn != nil {
			conn.put(conn.until)
		} else {
			p.release(address)
		}
	}
	return nil, &WaitError{Address: address, Limit: limit, Err: context.Cause(ctx)}
}

// Free reports whether a request can be sent to a server at once.
func (p *Pool) Free(address netip.AddrPort, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	return !ok || len(h.idle) > 0 || (h.open < limit && !time.Now().Before(h.refusedUntil))
}

// Refused notes that the server has reset a new connection, which it does when it has too many.
func (c *Conn) Refused() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.host(c.address).refusedUntil = time.Now().Add(refusalPause)
}

// Trim closes connections that are idle besides another one to the same server, so that the servers' limits leave room
// for instances that have restarted and whose former connections are not yet given up.
func (p *Pool) Trim() {
	now := time.Now()
	var spare []*Conn
	p.mu.Lock()
	for address, h := range p.hosts {
		if h.unused(now) {
			delete(p.hosts, address)
		}
		// The longest idle connections come first.
		for len(h.idle) > 1 && now.Sub(h.idle[0].since) > spareIdle {
			spare = append(spare, h.idle[0])
			h.idle = h.idle[1:]
		}
	}
	p.mu.Unlock()
	for _, c := range spare {
		c.Discard()
	}
}

// Put returns a connection whose answer was read to its end, to be used again until it has idled for idle.
//
// An idle of zero stands for the pool's own idle timeout.
func (c *Conn) Put(idle time.Duration) {
	if c.Err() != nil {
		c.Discard()
		return
	}
	if idle <= 0 || idle > c.pool.config.IdleTimeout {
		idle = c.pool.config.IdleTimeout
	}
	c.Reused = true
	c.put(time.Now().Add(idle))
}

func (c *Conn) put(until time.Time) {
	c.until, c.since = until, time.Now()
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(c.address)
	if len(h.waiting) > 0 {
		h.next() <- c
		return
	}
	h.idle = append(h.idle, c)
}

// next removes the caller that has waited longest; its channel has room for one connection.
func (h *host) next() chan *Conn {
	w := h.waiting[0]
	h.waiting = h.waiting[1:]
	return w
}

// Discard closes a connection that must not be used again.
func (c *Conn) Discard() {
	// The connection is given up whether or not closing it reports an error.
	_ = c.Close()
	c.pool.release(c.address)
}

// Retain closes the idle connections to all addresses that are not named.
func (p *Pool) Retain(named map[netip.AddrPort]bool) {
	now := time.Now()
	var expired []*Conn
	p.mu.Lock()
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if named[address] && c.usable(now) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		h.idle = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Discard()
	}
}

// reserve returns a usable idle connection, or nil if the caller may open one, or the channel to wait on.
func (p *Pool) reserve(address netip.AddrPort, limit int) (*Conn, chan *Conn) {
	now := time.Now()
	var expired []*Conn
	defer func() {
		for _, c := range expired {
			c.Discard()
		}
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(address)
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if c.usable(now) {
			return c, nil
		}
		expired = append(expired, c)
	}
	if h.open-len(expired) >= limit {
		waiting := make(chan *Conn, 1)
		h.waiting = append(h.waiting, waiting)
		return nil, waiting
	}
	h.open++
	return nil, nil
}

// release gives the place of a closed connection to the caller that has waited longest, if there is one.
func (p *Pool) release(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(address)
	if len(h.waiting) > 0 {
		h.next() <- nil
		return
	}
	h.open--
	if h.unused(time.Now()) {
		delete(p.hosts, address)
	}
}

// unused reports whether nothing needs to be remembered of a server.
func (h *host) unused(now time.Time) bool {
	return h.open == 0 && len(h.idle) == 0 && len(h.waiting) == 0 && !now.Before(h.refusedUntil)
}

func (p *Pool) host(address netip.AddrPort) *host {
	h, ok := p.hosts[address]
	if !ok {
		h = &host{}
		p.hosts[address] = h
	}
	return h
}

func (c *Conn) usable(now time.Time) bool { return c.Err() == nil && now.Before(c.until) }
