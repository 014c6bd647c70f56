package pollenrelay

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"math"
	"net"
	"net/netip"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenstore"
)

// gobBytes returns the encoding of values, as net/rpc sends them.
func gobBytes(t *testing.T, values ...any) []byte {
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	for _, v := range values {
		qt.Assert(t, encoder.Encode(v), qt.IsNil)
	}
	return buffer.Bytes()
}

// A malformed call of a peer must end at most its own connection: the next peer must be served.
func TestServerSurvivesMalformedCalls(t *testing.T) {
	tests := []struct {
		name string
		data func(t *testing.T) []byte
	}{
		{"no gob", func(*testing.T) []byte { return []byte("GET / HTTP/1.1\r\n\r\n") }},
		{"nothing", func(*testing.T) []byte { return nil }},
		{"half of a header", func(t *testing.T) []byte { return gobBytes(t, &rpc.Request{ServiceMethod: methodWatch, Seq: 1})[:9] }},
		{"unknown method", func(t *testing.T) []byte {
			return gobBytes(t, &rpc.Request{ServiceMethod: serviceName + ".Nothing", Seq: 1}, &ListRequest{})
		}},
		{"no method", func(t *testing.T) []byte { return gobBytes(t, &rpc.Request{}, &ListRequest{}) }},
		{"argument of another type", func(t *testing.T) []byte {
			return gobBytes(t, &rpc.Request{ServiceMethod: methodWatch, Seq: 1}, map[string]int{"After": 1})
		}},
		{"values out of range", func(t *testing.T) []byte {
			return gobBytes(t, &rpc.Request{ServiceMethod: methodWatch, Seq: 1}, &WatchRequest{After: math.MaxUint64, Wait: math.MinInt64})
		}},
		{"message of a stated exabyte", func(*testing.T) []byte { return []byte{0xf8, 0x10, 0, 0, 0, 0, 0, 0, 0, 1} }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				z, cleanup := newTestZone(t)
				defer cleanup()
				z.watcher.Reset(pollenstore.Listing{Revision: 7})
				z.watcher.SetLastContact(time.Now())
				conn, err := z.source.config.Dial(t.Context(), netip.AddrPort{})
				c.Assert(err, qt.IsNil)
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				// The watcher may close the connection before it has read everything.
				_, _ = conn.Write(test.data(t))
				synctest.Wait()
				conn.Close()
				_, err = z.source.Watch(t.Context(), "", pollenstore.Position{Revision: 7}, time.Minute)
				c.Assert(err, qt.IsNil)
				c.Assert(z.store.calls, qt.HasLen, 0)
			})
		})
	}
}

// A malformed answer of a seed must cost no more than the timeout, and not the answers of the others.
func TestSeedsSurviveMalformedAnswers(t *testing.T) {
	tests := []struct {
		name string
		data []byte
	}{
		{"no gob", []byte("HTTP/1.1 400 Bad Request\r\n\r\n")},
		{"closed at once", nil},
		{"half of an answer", gobBytes(t, &rpc.Response{ServiceMethod: methodListKnown})[:9]},
		{"error", gobBytes(t, &rpc.Response{ServiceMethod: methodListKnown, Error: "rpc: can't find method Relay.ListKnown"}, struct{ X int }{})},
		{"message of a stated exabyte", []byte{0xf8, 0x10, 0, 0, 0, 0, 0, 0, 0, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				healthy := NewServer(ServerConfig{})
				healthy.Reset(pollenstore.Listing{Revision: 7})
				listener := &pipeListener{conns: make(chan net.Conn, 1)}
				go healthy.Serve(listener)
				broken, working := netip.MustParseAddrPort("10.0.0.1:8106"), netip.MustParseAddrPort("10.0.0.2:8106")
				seeds := NewSeeds(SeedsConfig{Addresses: []netip.AddrPort{broken, working}, Timeout: 500 * time.Millisecond, TransferTimeout: time.Second, Dial: func(_ context.Context, address netip.AddrPort) (net.Conn, error) {
					clientConn, serverConn := net.Pipe()
					if address == working {
						listener.conns <- serverConn
						return clientConn, nil
					}
					go func() { _, _ = io.Copy(io.Discard, serverConn) }()
					go func() {
						_, _ = serverConn.Write(test.data)
						serverConn.Close()
					}()
					return clientConn, nil
				}})
				start := time.Now()
				listing, err := seeds.List(t.Context())
				c.Check(err, qt.IsNil)
				c.Check(listing.Revision, qt.Equals, uint64(7))
				c.Check(time.Since(start) <= 500*time.Millisecond, qt.IsTrue)
				listener.Close()
			})
		})
	}
}
