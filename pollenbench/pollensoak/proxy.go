package pollensoak

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// mode says what a proxy does with bytes.
type mode int

const (
	pass mode = iota
	// silent keeps connections open and passes nothing, in either direction.
	silent
	// oneWay passes what the dialling side sends and nothing back.
	oneWay
	// refuse closes new connections at once.
	refuse
)

// proxy stands between a process and something that it connects to.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort

	mu    sync.Mutex
	mode  mode
	delay time.Duration
	links map[*link]struct{}
}

// link is one connection through a proxy. A deaf link stays silent for good.
type link struct {
	near, far    net.Conn
	deaf, broken bool
}

func newProxy(target netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &proxy{listener: listener, target: target, links: make(map[*link]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// set replaces what the proxy does with new and open connections.
func (p *proxy) set(mode mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = mode, delay
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.reset()
	}
}

// deafen makes the open connections silent for good while new ones work.
func (p *proxy) deafen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.deaf = true
	}
}

func (p *proxy) close() {
	// Accept returns once the listener is closed.
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(near)
	}
}

func (p *proxy) carry(near net.Conn) {
	l := &link{near: near}
	p.mu.Lock()
	refused := p.mode == refuse
	p.mu.Unlock()
	far, err := net.Dial("tcp", p.target.String())
	if err != nil || refused {
		p.breakLink(l)
		if err == nil {
			// Nothing was sent on it.
			_ = far.Close()
		}
		return
	}
	l.far = far
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	var ends sync.WaitGroup
	ends.Go(func() { p.pump(l, far, near, true) })
	ends.Go(func() { p.pump(l, near, far, false) })
	ends.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// silenceInterval is how often a silent link looks whether it may speak again.
const silenceInterval = 20 * time.Millisecond

// pump copies one direction. The end of one side is passed on like its bytes.
func (p *proxy) pump(l *link, to, from net.Conn, forward bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for p.silenced(l, forward) {
			time.Sleep(silenceInterval)
		}
		p.mu.Lock()
		delay := p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				p.breakLink(l)
				return
			}
		}
		if err == io.EOF {
			closeWrite(to)
			return
		}
		if err != nil {
			p.breakLink(l)
			return
		}
	}
}

func (p *proxy) breakLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.reset()
}

func (p *proxy) silenced(l *link, forward bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !l.broken && (l.deaf || p.mode == silent || p.mode == oneWay && !forward)
}

// reset closes both ends so that the peers see a reset; the proxy's lock must be held.
func (l *link) reset() {
	l.broken = true
	for _, conn := range []net.Conn{l.near, l.far} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Unsent bytes are dropped; a connection that is closed already needs nothing.
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
