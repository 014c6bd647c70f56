package pollenfront

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenpool"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 0x12

// socketOptions returns the keep-alive options of a connection as the kernel has them.
func socketOptions(c *qt.C, conn net.Conn) map[string]int {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	options := make(map[string]int)
	err = raw.Control(func(fd uintptr) {
		for name, option := range map[string]int{
			"idle": syscall.TCP_KEEPIDLE, "interval": syscall.TCP_KEEPINTVL, "count": syscall.TCP_KEEPCNT, "user timeout": tcpUserTimeout,
		} {
			value, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option)
			c.Check(err, qt.IsNil)
			options[name] = value
		}
	})
	c.Assert(err, qt.IsNil)
	return options
}

// A TCP_USER_TIMEOUT that a library sets decides when probes give up, whatever their count. Guards against connections that hang
// for longer than the settings say.
func TestKeepAliveOfLiveSockets(t *testing.T) {
	want := map[string]int{"idle": 1, "interval": 1, "count": 2, "user timeout": 0}
	tests := []struct {
		name string
		open func(c *qt.C, address netip.AddrPort, opened chan net.Conn)
	}{
		{"peers", func(c *qt.C, address netip.AddrPort, opened chan net.Conn) {
			conn, err := dialPeer(context.Background(), address)
			c.Assert(err, qt.IsNil)
			opened <- conn
		}},
		{"servers", func(c *qt.C, address netip.AddrPort, opened chan net.Conn) {
			dialer := pollenpool.NewDialer(pollenpool.Config{DialTimeout: time.Second, KeepAlive: keepAliveConfig})
			pool := pollenpool.New(pollenpool.Config{DialTimeout: time.Second, IdleTimeout: time.Second, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				opened <- conn
				return conn, err
			}})
			c.Assert(pool.Connect(context.Background(), address, 1), qt.IsNil)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer listener.Close()
			opened := make(chan net.Conn, 1)
			test.open(c, netip.MustParseAddrPort(listener.Addr().String()), opened)
			conn := <-opened
			defer conn.Close()
			c.Assert(socketOptions(c, conn), qt.DeepEquals, want)
		})
	}
}
