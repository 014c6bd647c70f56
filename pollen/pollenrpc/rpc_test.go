package pollenrpc

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenconn"
	"pollenline.example/pollen/pollenmemory"
)

// Guards against messages that are cut, or whose lengths are misread at the borders of reads.
func TestFrameReaderPassesMessages(t *testing.T) {
	c := qt.New(t)
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	var want []uint64
	before := 0
	for _, length := range []int{0, 1, 100, 200, 70000} {
		c.Assert(encoder.Encode(strings.Repeat("x", length)), qt.IsNil)
		message := stream.Bytes()[before:]
		// A length above 127 is preceded by the number of its bytes.
		lengthBytes := 1
		if message[0] > 0x7f {
			lengthBytes = 1 - int(int8(message[0]))
		}
		want = append(want, uint64(len(message)-lengthBytes))
		before = stream.Len()
	}
	whole := bytes.Clone(stream.Bytes())
	for _, reader := range []io.Reader{bytes.NewReader(whole), iotest.OneByteReader(bytes.NewReader(whole)), iotest.HalfReader(bytes.NewReader(whole))} {
		var lengths []uint64
		got, err := io.ReadAll(&frameReader{reader: reader, maxBytes: 1 << 20, onFrame: func(n uint64) error {
			lengths = append(lengths, n)
			return nil
		}})
		c.Check(err, qt.IsNil)
		c.Check(bytes.Equal(got, whole), qt.IsTrue)
		c.Check(lengths, qt.DeepEquals, want)
	}
}

var errNoMemory = errors.New("no memory")

// Guards against messages that a decoder would allocate before they have come, or keep for as long as the connection lasts.
func TestFrameReaderRefusesMessages(t *testing.T) {
	long := append([]byte{0xfc}, binary.BigEndian.AppendUint32(nil, 512<<20)...)
	definition := append([]byte{0xfe, 0x40, 0x00, 0x7f}, make([]byte, 0x3fff)...)
	tests := []struct {
		name string
		data []byte
		want any
	}{
		{"stated length", long, new(*MessageTooLargeError)},
		{"length of too many bytes", []byte{0x80, 1}, new(*MessageTooLargeError)},
		{"definitions of types", bytes.Repeat(definition, 5), new(*MessageTooLargeError)},
		{"definitions within the bound", bytes.Repeat(definition, 3), nil},
	}
	for _, test := range tests {
		c := qt.New(t)
		_, err := io.ReadAll(&frameReader{reader: iotest.OneByteReader(bytes.NewReader(test.data)), maxBytes: 1 << 20, onFrame: func(uint64) error { return nil }})
		if test.want == nil {
			c.Check(err, qt.IsNil, qt.Commentf("%s", test.name))
		} else {
			c.Check(err, qt.ErrorAs, test.want, qt.Commentf("%s", test.name))
		}
	}
	_, err := io.ReadAll(&frameReader{reader: bytes.NewReader([]byte{3, 4, 5, 6}), maxBytes: 10, onFrame: func(uint64) error { return errNoMemory }})
	qt.Check(t, err, qt.ErrorIs, errNoMemory)
}

// fakeConnection records what it is told.
type fakeConnection struct {
	serving []bool
	closed  []pollenconn.Reason
}

func (f *fakeConnection) SetServing(serving bool) { f.serving = append(f.serving, serving) }

func (f *fakeConnection) CountClosed(reason pollenconn.Reason) { f.closed = append(f.closed, reason) }

// Echo is a service that answers with its argument.
type Echo struct{}

// Wait answers after a second.
func (Echo) Wait(argument string, reply *string) error {
	time.Sleep(time.Second)
	*reply = argument
	return nil
}

// Load pattern: one client calls without end, and sends large messages. Some of its calls are handled at once, a message that does not fit
// ends its connection, and what its messages took is free again.
func TestServeBoundsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		server := rpc.NewServer()
		c.Assert(server.Register(Echo{}), qt.IsNil)
		budget := pollenmemory.New(pollenmemory.Config{LimitBytes: 1 << 20, SmallBytes: smallBytes})
		var connection fakeConnection
		connect := func() *rpc.Client {
			clientConn, serverConn := net.Pipe()
			go Serve(server, serverConn, Config{
				MaxMessageBytes: 1 << 20, MaxCalls: 4, DecodedFactor: 10, Messages: budget, Connection: &connection,
			})
			return rpc.NewClient(clientConn)
		}
		client := connect()
		start := time.Now()
		var calls []*rpc.Call
		for range 8 {
			calls = append(calls, client.Go("Echo.Wait", strings.Repeat("x", 1000), new(string), nil))
		}
		for _, call := range calls {
			c.Check((<-call.Done).Error, qt.IsNil)
		}
		c.Check(time.Since(start), qt.Equals, 2*time.Second)
		synctest.Wait()
		c.Check(budget.Used(), qt.Equals, int64(0))
		c.Check(connection.serving[0], qt.IsTrue)
		c.Check(connection.serving[len(connection.serving)-1], qt.IsFalse)
		c.Check(client.Call("Echo.Wait", strings.Repeat("x", 50_000), new(string)), qt.IsNil)
		c.Check(client.Call("Echo.Wait", strings.Repeat("x", 200_000), new(string)), qt.IsNotNil)
		synctest.Wait()
		c.Check(budget.Used(), qt.Equals, int64(0))
		c.Check(connection.closed, qt.DeepEquals, []pollenconn.Reason{pollenconn.Message})
		client = connect()
		c.Check(client.Call("Echo.Wait", "x", new(string)), qt.IsNil)
		c.Check(client.Close(), qt.IsNil)
	})
}
