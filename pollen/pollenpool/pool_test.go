package pollenpool

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var server = netip.MustParseAddrPort("10.0.0.1:80")

// newTestPool returns a pool whose connections lead to nobody, and the number of them that were made.
func newTestPool() (*Pool, *int) {
	made := 0
	return New(Config{
		DialTimeout: time.Second, IdleTimeout: 5 * time.Second,
		Dial: func(context.Context, string, string) (net.Conn, error) {
			made++
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			return near, nil
		},
	}), &made
}

func get(t *testing.T, p *Pool, limit int) *Conn {
	conn, err := p.Get(t.Context(), server, limit)
	qt.Assert(t, err, qt.IsNil)
	return conn
}

// Load pattern: a server has too many connections and resets the only new one of this instance. It must be left alone
// for a while although no connection to it is left.
func TestRefusalIsRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, _ := newTestPool()
		conn := get(t, p, 2)
		conn.Refused()
		conn.Discard()
		c.Assert(p.Free(server, 2), qt.IsFalse)
		time.Sleep(refusalPause)
		c.Assert(p.Free(server, 2), qt.IsTrue)
		p.Trim()
		c.Assert(p.hosts, qt.HasLen, 0)
	})
}

func TestConnectionIsReusedUntilIdleTimeIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, made := newTestPool()
		get(t, p, 2).Put(time.Second)
		time.Sleep(900 * time.Millisecond)
		conn := get(t, p, 2)
		c.Assert(conn.Reused, qt.IsTrue)
		conn.Put(time.Second)
		time.Sleep(time.Second)
		conn = get(t, p, 2)
		c.Assert(conn.Reused, qt.IsFalse)
		c.Assert(*made, qt.Equals, 2)
		conn.Discard()
	})
}

// Load pattern: more requests than connections. Those that wait get connections in their order, and a place that becomes
// free by a closed connection.
func TestWaitersTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, made := newTestPool()
		held := get(t, p, 1)
		order := make(chan string, 2)
		wait := func(name string, put bool) {
			conn, err := p.Get(t.Context(), server, 1)
			c.Check(err, qt.IsNil)
			order <- name
			if put {
				conn.Put(0)
			} else {
				conn.Discard()
			}
		}
		go wait("first", false)
		synctest.Wait()
		go wait("second", true)
		synctest.Wait()
		c.Assert(p.Free(server, 1), qt.IsFalse)
		held.Put(0)
		c.Assert(<-order, qt.Equals, "first")
		c.Assert(<-order, qt.Equals, "second")
		synctest.Wait()
		c.Assert(*made, qt.Equals, 2)
		c.Assert(p.Free(server, 1), qt.IsTrue)
		get(t, p, 1).Discard()
	})
}

func TestWaitEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, _ := newTestPool()
		held := get(t, p, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := p.Get(ctx, server, 1)
		c.Assert(err, qt.ErrorAs, new(*WaitError))
		held.Discard()
		c.Assert(p.Free(server, 1), qt.IsTrue)
	})
}

func TestTrimKeepsOneIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, _ := newTestPool()
		first, second := get(t, p, 2), get(t, p, 2)
		first.Put(0)
		second.Put(0)
		time.Sleep(spareIdle + time.Millisecond)
		p.Trim()
		c.Assert(p.hosts[server].idle, qt.HasLen, 1)
		p.Retain(map[netip.AddrPort]bool{})
		c.Assert(p.hosts, qt.HasLen, 0)
	})
}
