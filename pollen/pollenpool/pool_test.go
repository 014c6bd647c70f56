package pollenpool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var server = netip.MustParseAddrPort("10.0.0.1:80")

// newPipePool returns a pool whose connections discard what is sent, and the number of dials.
func newPipePool() (*Pool, *int) {
	dials := 0
	return New(Config{
		DialTimeout: time.Second, IdleTimeout: 5 * time.Second,
		Dial: func(context.Context, string, string) (net.Conn, error) {
			dials++
			client, remote := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, remote) }()
			return client, nil
		},
	}), &dials
}

// get returns a connection to the server, and fails the test if there is none.
func get(t *testing.T, p *Pool, limit int) *Conn {
	conn, err := p.Get(t.Context(), server, limit, nil)
	qt.Assert(t, err, qt.IsNil)
	return conn
}

// Load pattern: a server at its connection limit resets the only connection of this instance. No new one may be opened
// during the backoff although no connection to the server is left.
func TestRefusalIsRememberedWithoutConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, _ := newPipePool()
		conn := get(t, p, 2)
		conn.MarkRefused()
		conn.Discard()
		c.Assert(p.Available(server, 2), qt.IsFalse)
		time.Sleep(refusalBackoff)
		c.Assert(p.Available(server, 2), qt.IsTrue)
		p.Trim()
		c.Assert(p.hosts, qt.HasLen, 0)
	})
}

// A connection must not be used after the server's idle timeout, when the server may be closing it.
func TestConnectionIsReusedUntilIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, dials := newPipePool()
		get(t, p, 2).Put(time.Second)
		time.Sleep(900 * time.Millisecond)
		conn := get(t, p, 2)
		c.Assert(conn.Reused, qt.IsTrue)
		conn.Put(time.Second)
		time.Sleep(time.Second)
		conn = get(t, p, 2)
		c.Assert(conn.Reused, qt.IsFalse)
		c.Assert(*dials, qt.Equals, 2)
		conn.Discard()
	})
}

// Load pattern: there are more requests than connections. Waiting requests must get connections in order; one that waits
// when a connection is closed must open a new one.
func TestWaitersAreServedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, dials := newPipePool()
		held := get(t, p, 1)
		order := make(chan string, 2)
		wait := func(name string, put bool) {
			conn, err := p.Get(t.Context(), server, 1, nil)
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
		c.Assert(p.Available(server, 1), qt.IsFalse)
		held.Put(0)
		c.Assert(<-order, qt.Equals, "first")
		c.Assert(<-order, qt.Equals, "second")
		synctest.Wait()
		c.Assert(*dials, qt.Equals, 2)
		c.Assert(p.Available(server, 1), qt.IsTrue)
		get(t, p, 1).Discard()
	})
}

// Guards against a request that gets a connection which has carried it, and against one that waits for ever because only such a
// connection is left at the limit.
func TestRequestGetsNoConnectionTwice(t *testing.T) {
	tests := []struct {
		name  string
		limit int
		// busy is set if the connection is in use when the request asks again; other is set if another request waits behind it.
		busy, other bool
	}{
		{name: "below the limit", limit: 2},
		{name: "at the limit", limit: 1},
		{name: "at the limit, in use", limit: 1, busy: true},
		{name: "at the limit, in use, another request waits", limit: 1, busy: true, other: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p, dials := newPipePool()
				history := &History{}
				first, err := p.Get(t.Context(), server, test.limit, history)
				c.Assert(err, qt.IsNil)
				if !test.busy {
					first.Put(0)
				}
				second := make(chan *Conn, 1)
				go func() {
					conn, err := p.Get(t.Context(), server, test.limit, history)
					c.Check(err, qt.IsNil)
					second <- conn
				}()
				synctest.Wait()
				if test.other {
					go func() { get(t, p, test.limit).Put(0) }()
					synctest.Wait()
				}
				if test.busy {
					first.Put(0)
				}
				conn := <-second
				c.Assert(conn != first, qt.IsTrue)
				c.Assert(*dials, qt.Equals, 2)
				synctest.Wait()
				c.Assert(p.hosts[server].openConns <= test.limit, qt.IsTrue)
				conn.Put(0)
				p.Retain(map[netip.AddrPort]bool{})
				c.Assert(p.hosts, qt.HasLen, 0)
			})
		})
	}
}

// A wait must end with its context, and must not keep the connection that is released later.
func TestWaitEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, _ := newPipePool()
		held := get(t, p, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := p.Get(ctx, server, 1, nil)
		c.Assert(err, qt.ErrorAs, new(*LimitError))
		held.Discard()
		c.Assert(p.Available(server, 1), qt.IsTrue)
	})
}

// Trim must leave one idle connection to a server; Retain must close all of them once the server has left the table.
func TestTrimKeepsOneIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, _ := newPipePool()
		first, second := get(t, p, 2), get(t, p, 2)
		first.Put(0)
		second.Put(0)
		time.Sleep(spareIdleTimeout + time.Millisecond)
		p.Trim()
		c.Assert(p.hosts[server].idle, qt.HasLen, 1)
		p.Retain(map[netip.AddrPort]bool{})
		c.Assert(p.hosts, qt.HasLen, 0)
	})
}

// A connection that is opened to find out whether a server lives must be of use, and count against the limit.
func TestConnectKeepsConnection(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	tests := []struct {
		name  string
		dial  error
		limit int
		want  error
		// refused is set if the error says that the server refused the connection.
		refused bool
		idle    int
	}{
		{"refused", refused, 2, new(DialError), true, 0},
		{"timeout", &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, 2, new(DialError), false, 0},
		{"accepted", nil, 2, nil, false, 1},
		{"at the limit", refused, 0, new(LimitError), false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := New(Config{DialTimeout: time.Second, IdleTimeout: 5 * time.Second, Dial: func(context.Context, string, string) (net.Conn, error) {
					if test.dial != nil {
						return nil, test.dial
					}
					client, remote := net.Pipe()
					go func() { _, _ = io.Copy(io.Discard, remote) }()
					return client, nil
				}})
				err := p.Connect(t.Context(), server, test.limit)
				c.Assert(fmt.Sprintf("%T", err), qt.Equals, fmt.Sprintf("%T", test.want))
				c.Assert(errors.Is(err, syscall.ECONNREFUSED), qt.Equals, test.refused)
				c.Assert(len(p.host(server).idle), qt.Equals, test.idle)
				c.Assert(p.host(server).openConns, qt.Equals, test.idle)
				p.Retain(nil)
			})
		})
	}
}
