package pollensoak

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// mode selects how a proxy treats connections and their bytes.
type mode int

const (
	modeForward mode = iota
	// modeStall keeps connections open and forwards nothing in either direction.
	modeStall
	// modeOneWay forwards bytes from client to target only.
	modeOneWay
	// modeRefuse resets new connections.
	modeRefuse
)

// proxy forwards TCP connections to a target and disturbs them according to its mode.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort

	mu   sync.Mutex
	mode mode
	// delay is added before each forwarded chunk.
	delay time.Duration
	links map[*link]struct{}
	// cutOff holds the addresses of clients that do not reach the target; they are treated as in modeStall.
	cutOff map[netip.Addr]bool
}

// link is one proxied connection.
type link struct {
	client, target net.Conn
	// stalled is set if the link forwards nothing until it is closed, whatever the proxy's mode.
	stalled bool
	closed  bool
}

func newProxy(target netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy for %s: %w", target, err)
	}
	p := &proxy{listener: listener, target: target, links: make(map[*link]struct{}), cutOff: make(map[netip.Addr]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// setMode replaces the mode and the delay, for open connections as well as new ones.
func (p *proxy) setMode(mode mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = mode, delay
}

// setCutOff sets whether connections of a client are stalled.
func (p *proxy) setCutOff(client netip.Addr, cutOff bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutOff[client] = cutOff
}

// resetLinks resets all open connections.
func (p *proxy) resetLinks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.resetLocked()
	}
}

// stallOpenLinks stalls the connections that are open now, until they are closed; new connections work.
func (p *proxy) stallOpenLinks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.stalled = true
	}
}

func (p *proxy) close() {
	// Accept returns once the listener is closed.
	_ = p.listener.Close()
	p.resetLinks()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.relay(client)
	}
}

// relay connects a client to the target and returns when both directions have ended.
func (p *proxy) relay(client net.Conn) {
	l := &link{client: client}
	p.mu.Lock()
	refused := p.mode == modeRefuse
	p.mu.Unlock()
	target, err := net.Dial("tcp", p.target.String())
	if err != nil || refused {
		p.resetLink(l)
		if err == nil {
			// Nothing was sent on the connection, so a close error is irrelevant.
			_ = target.Close()
		}
		return
	}
	l.target = target
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.copyDirection(l, target, client, true) })
	directions.Go(func() { p.copyDirection(l, client, target, false) })
	directions.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// blockedPollInterval is how often a blocked direction of a link checks whether it may forward again or was closed.
const blockedPollInterval = 20 * time.Millisecond

// copyDirection copies one direction of a link. A half-close is forwarded like the bytes before it.
func (p *proxy) copyDirection(l *link, to, from net.Conn, toTarget bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for p.isBlocked(l, toTarget) {
			time.Sleep(blockedPollInterval)
		}
		p.mu.Lock()
		delay := p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				p.resetLink(l)
				return
			}
		}
		if err == io.EOF {
			closeWrite(to)
			return
		}
		if err != nil {
			p.resetLink(l)
			return
		}
	}
}

func (p *proxy) resetLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.resetLocked()
}

// isBlocked reports whether one direction of an open link forwards nothing, because of the link or the proxy's mode.
func (p *proxy) isBlocked(l *link, toTarget bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !l.closed && (l.stalled || p.cutOff[l.clientAddress()] || p.mode == modeStall || p.mode == modeOneWay && !toTarget)
}

// clientAddress returns the address of the link's client.
func (l *link) clientAddress() netip.Addr {
	if tcp, ok := l.client.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// resetLocked closes both ends so that the peers see a reset. The proxy's mutex must be held.
func (l *link) resetLocked() {
	l.closed = true
	for _, conn := range []net.Conn{l.client, l.target} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Zero linger drops unsent bytes and sends RST. Errors mean that the connection is already closed.
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// The peer may have closed the connection already.
		_ = tcp.CloseWrite()
	}
}
