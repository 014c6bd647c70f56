package pollenconn

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenmemory"
)

// Guards against memory of the kernel that clients fill with what the process does not read.
func TestKernelHoldsLittleOfUnreadConnection(t *testing.T) {
	c := qt.New(t)
	registry := NewRegistry(RegistryConfig{MaxConnections: 1, Heads: pollenmemory.New(pollenmemory.Config{})})
	l, err := registry.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer client.Close()
	server, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer server.Close()
	// What the client's side holds is bounded, so that the rest is held here.
	c.Assert(client.(*net.TCPConn).SetWriteBuffer(16<<10), qt.IsNil)
	sent := 0
	for {
		c.Assert(client.SetWriteDeadline(time.Now().Add(200*time.Millisecond)), qt.IsNil)
		n, err := client.Write(make([]byte, 4<<10))
		sent += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		c.Assert(err, qt.IsNil)
	}
	const most = 2 * (receiveBufferBytes + 16<<10)
	c.Check(sent <= most, qt.IsTrue, qt.Commentf("%d bytes", sent))
}
