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

// Config holds the timeouts and the dialer of a Pool.
type Config struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept, unless its server states a shorter timeout.
	IdleTimeout time.Duration
	// KeepAlive configures the TCP probes that detect unresponsive connections.
	KeepAlive net.KeepAliveConfig
	// SourceAddress is the address that connections are made from; if it is not valid, the system chooses it.
	SourceAddress netip.Addr
	// Dial replaces a net.Dialer in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds the connections of one instance to all servers.
type Pool struct {
	config    Config
	transport *http.Transport

	mu    sync.Mutex
	hosts map[netip.AddrPort]*host
}

// host holds the connections to one server.
type host struct {
	// idle holds the unused connections, longest idle first.
	idle []*Conn
	// openConns counts all connections, also those that are idle or being opened.
	openConns int
	// waiting holds each Get that waits for a connection, longest first.
	waiting []*waiter
	// refusedUntil is when a new connection may be opened again after the server has refused one.
	refusedUntil time.Time
}

// waiter is a Get that waits for a connection.
type waiter struct {
	// conn has a buffer for one connection, so that a send never blocks. It receives nil if the Get may open a connection.
	conn    chan *Conn
	history *History
}

// Conn is a connection that one request holds until it calls Put or Discard.
type Conn struct {
	*http.ClientConn
	pool    *Pool
	address netip.AddrPort
	// Reused is set if the connection has carried a request before.
	Reused bool
	// idleDeadline is when an idle connection may no longer be used; idleSince is when it became idle.
	idleDeadline time.Time
	idleSince    time.Time
}

// LimitError reports that no connection became available before the context ended; nothing was sent.
type LimitError struct {
	Address netip.AddrPort
	Limit   int
	Err     error
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("no connection to %v available within the limit of %d: %v", e.Address, e.Limit, e.Err)
}

func (e *LimitError) Unwrap() error { return e.Err }

// DialError reports a connection that could not be opened; nothing was sent.
type DialError struct {
	Address netip.AddrPort
	Err     error
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to %v: %v", e.Address, e.Err) }

func (e *DialError) Unwrap() error { return e.Err }

// NewDialer returns the dialer of a Pool.
func NewDialer(config Config) *net.Dialer {
	dialer := &net.Dialer{Timeout: config.DialTimeout, KeepAliveConfig: config.KeepAlive}
	if config.SourceAddress.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(config.SourceAddress, 0))
	}
	return dialer
}

// New returns a Pool without connections.
func New(config Config) *Pool {
	dial := config.Dial
	if dial == nil {
		dial = NewDialer(config).DialContext
	}
	return &Pool{
		config: config,
		transport: &http.Transport{
			DialContext:            dial,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
			ReadBufferSize:         bufferBytes,
			WriteBufferSize:        bufferBytes,
		},
		hosts: make(map[netip.AddrPort]*host),
	}
}

const (
	// refusalBackoff is how long no connection is opened to a server that has reset a new one.
	refusalBackoff = 200 * time.Millisecond
	// spareIdleTimeout is how long idle connections to a server are kept beside another idle one.
	spareIdleTimeout = time.Second
	// maxHeaderBytes bounds the header of a server's answer.
	maxHeaderBytes = 64 << 10
	// bufferBytes is the size of each connection's read and write buffers: they hold one shard's answer, and those of
	// 100 connections take less than a megabyte.
	bufferBytes = 2 << 10
)

// Get returns an idle connection to a server, or opens one if fewer than limit are open, or waits for one. It returns none that the
// request's history holds, and adds the one that it returns.
//
// Its errors are *LimitError and *DialError.
func (p *Pool) Get(ctx context.Context, address netip.AddrPort, limit int, history *History) (*Conn, error) {
	conn, w := p.reserve(address, limit, history)
	var err error
	if w != nil {
		if conn, err = p.wait(ctx, address, limit, w); err != nil {
			return nil, err
		}
	}
	if conn == nil {
		if conn, err = p.open(ctx, address); err != nil {
			return nil, err
		}
	}
	history.add(conn)
	return conn, nil
}

// open opens a connection that the host already counts.
func (p *Pool) open(ctx context.Context, address netip.AddrPort) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.DialTimeout)
	defer cancel()
	client, err := p.transport.NewClientConn(ctx, "http", address.String())
	if err != nil {
		p.releaseConn(address)
		return nil, &DialError{Address: address, Err: err}
	}
	return &Conn{ClientConn: client, pool: p, address: address}, nil
}

// wait returns a connection that another request releases, or nil without an error if the caller may open one.
func (p *Pool) wait(ctx context.Context, address netip.AddrPort, limit int, w *waiter) (*Conn, error) {
	select {
	case conn := <-w.conn:
		return conn, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	h := p.host(address)
	before := len(h.waiting)
	h.waiting = slices.DeleteFunc(h.waiting, func(other *waiter) bool { return other == w })
	handedOver := len(h.waiting) == before
	p.mu.Unlock()
	if handedOver {
		if conn := <-w.conn; conn != nil {
			conn.putUntil(conn.idleDeadline)
		} else {
			p.releaseConn(address)
		}
	}
	return nil, &LimitError{Address: address, Limit: limit, Err: context.Cause(ctx)}
}

// Connect opens a connection to a server and keeps it idle. It does not wait if limit connections are open.
//
// Its errors are *LimitError and *DialError.
func (p *Pool) Connect(ctx context.Context, address netip.AddrPort, limit int) error {
	p.mu.Lock()
	h := p.host(address)
	if h.openConns >= limit {
		p.mu.Unlock()
		return &LimitError{Address: address, Limit: limit}
	}
	h.openConns++
	p.mu.Unlock()
	conn, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	conn.putUntil(time.Now().Add(p.config.IdleTimeout))
	return nil
}

// Available reports whether a connection is idle or may be opened now. None may be opened at the limit, nor for
// refusalBackoff after MarkRefused.
func (p *Pool) Available(address netip.AddrPort, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	return !ok || len(h.idle) > 0 || (h.openConns < limit && !time.Now().Before(h.refusedUntil))
}

// MarkRefused records that the server has reset a new connection, as servers do at their connection limit.
func (c *Conn) MarkRefused() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.host(c.address).refusedUntil = time.Now().Add(refusalBackoff)
}

// Trim closes connections that are idle for spareIdleTimeout beside another idle one to the same server. This leaves
// connections for restarted instances whose former connections the servers have not closed yet.
func (p *Pool) Trim() {
	now := time.Now()
	var spare []*Conn
	p.mu.Lock()
	for address, h := range p.hosts {
		if h.isUnused(now) {
			delete(p.hosts, address)
		}
		// The longest idle connections come first.
		for len(h.idle) > 1 && now.Sub(h.idle[0].idleSince) > spareIdleTimeout {
			spare = append(spare, h.idle[0])
			h.idle = h.idle[1:]
		}
	}
	p.mu.Unlock()
	for _, c := range spare {
		c.Discard()
	}
}

// Put returns a connection to the pool once its answer was read completely. It may be reused until it has been idle for
// idleTimeout.
//
// A timeout of zero, or above the pool's idle timeout, means the pool's idle timeout.
func (c *Conn) Put(idleTimeout time.Duration) {
	if c.Err() != nil {
		c.Discard()
		return
	}
	if idleTimeout <= 0 || idleTimeout > c.pool.config.IdleTimeout {
		idleTimeout = c.pool.config.IdleTimeout
	}
	c.Reused = true
	c.putUntil(time.Now().Add(idleTimeout))
}

// putUntil passes the connection to the longest waiting Get whose request it has not carried, or keeps it idle until the deadline. If
// it has carried the requests of all that wait, it is closed, and the longest waiting one opens another.
func (c *Conn) putUntil(deadline time.Time) {
	c.idleDeadline, c.idleSince = deadline, time.Now()
	if !c.pool.handOver(c) {
		c.Discard()
	}
}

// handOver passes a connection to a Get that waits or keeps it idle, and reports false if none of those that wait can use it.
func (p *Pool) handOver(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(c.address)
	if len(h.waiting) == 0 {
		h.idle = append(h.idle, c)
		return true
	}
	for i, w := range h.waiting {
		if !w.history.holds(c) {
			h.waiting = slices.Delete(h.waiting, i, i+1)
			w.conn <- c
			return true
		}
	}
	return false
}

// Discard closes a connection that must not be used again.
func (c *Conn) Discard() {
	// The connection is not reused even if closing it fails.
	_ = c.Close()
	c.pool.releaseConn(c.address)
}

// Retain closes idle connections that have expired or whose address is not among the given ones.
func (p *Pool) Retain(addresses map[netip.AddrPort]bool) {
	now := time.Now()
	var expired []*Conn
	p.mu.Lock()
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if addresses[address] && c.isUsable(now) {
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

// reserve returns a usable idle connection that the history does not hold, or the waiter to wait on, or neither if the caller may open
// a connection.
func (p *Pool) reserve(address netip.AddrPort, limit int, history *History) (*Conn, *waiter) {
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
	for i := len(h.idle) - 1; i >= 0; i-- {
		c := h.idle[i]
		usable := c.isUsable(now)
		if usable && history.holds(c) {
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		if usable {
			return c, nil
		}
		expired = append(expired, c)
	}
	if h.openConns-len(expired) >= limit && len(h.idle) > 0 {
		// Only connections that have carried the request are idle: one is closed for the new one.
		expired = append(expired, h.idle[0])
		h.idle = h.idle[1:]
	}
	if h.openConns-len(expired) >= limit {
		w := &waiter{conn: make(chan *Conn, 1), history: history}
		h.waiting = append(h.waiting, w)
		return nil, w
	}
	h.openConns++
	return nil, nil
}

// releaseConn gives up a connection that was closed or could not be opened. The longest waiting Get, if any, may open
// one in its place.
func (p *Pool) releaseConn(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(address)
	if len(h.waiting) > 0 {
		h.waiting[0].conn <- nil
		h.waiting = h.waiting[1:]
		return
	}
	h.openConns--
	if h.isUnused(time.Now()) {
		delete(p.hosts, address)
	}
}

// isUnused reports whether the host has neither connections, waiting requests nor a backoff, so that its entry can be
// removed.
func (h *host) isUnused(now time.Time) bool {
	return h.openConns == 0 && len(h.idle) == 0 && len(h.waiting) == 0 && !now.Before(h.refusedUntil)
}

// host returns the entry of a server, which it adds if there is none. The caller must hold the mutex.
func (p *Pool) host(address netip.AddrPort) *host {
	h, ok := p.hosts[address]
	if !ok {
		h = &host{}
		p.hosts[address] = h
	}
	return h
}

// isUsable reports whether an idle connection is neither broken nor past its idle deadline.
func (c *Conn) isUsable(now time.Time) bool { return c.Err() == nil && now.Before(c.idleDeadline) }
