package pollenrelay

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenrollout"
	"pollenline.example/pollen/pollenstore"
	"pollenline.example/pollen/pollensuspect"
)

// formerService holds the methods of a build that knows fewer of them.
type formerService struct{}

// ListKnown returns no keys.
func (formerService) ListKnown(ListRequest, *Reply) error { return nil }

// formerInstance is an instance of a build that has formerService only, over in-memory connections.
type formerInstance struct {
	server *rpc.Server
	conns  []net.Conn
}

func newFormerInstance(c *qt.C) *formerInstance {
	f := &formerInstance{server: rpc.NewServer()}
	c.Assert(f.server.RegisterName(serviceName, formerService{}), qt.IsNil)
	return f
}

func (f *formerInstance) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	f.conns = append(f.conns, clientConn)
	go f.server.ServeConn(serverConn)
	return clientConn, nil
}

func (f *formerInstance) close() {
	for _, conn := range f.conns {
		conn.Close()
	}
}

// Guards against callers that take an unknown method for a broken connection, or its empty reply for an answer.
func TestUnknownMethodIsTypedError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFormerInstance(c)
		defer f.close()
		conn := peerConn{dial: f.dial}
		defer conn.close()
		address := netip.MustParseAddrPort("10.0.0.1:8106")
		for range 3 {
			reply, err := conn.call(t.Context(), address, methodUsage, UsageRequest{})
			var unsupported *UnsupportedError
			c.Assert(errors.As(err, &unsupported), qt.IsTrue, qt.Commentf("%T %v", err, err))
			c.Assert(*unsupported, qt.Equals, UnsupportedError{Address: address, Method: methodUsage})
			c.Assert(reply, qt.IsNil)
		}
		_, err := conn.call(t.Context(), address, "Other.Method", ListRequest{})
		c.Assert(err, qt.ErrorAs, new(*UnsupportedError))
		_, err = conn.call(t.Context(), address, methodListKnown, ListRequest{})
		c.Assert(err, qt.IsNil)
		c.Assert(len(f.conns), qt.Equals, 1)
	})
}

// Load pattern: instances are replaced one after the other by a build with a new call. Those that have it must not call the others
// again and again: a build that lacks the call has it only after a restart.
func TestEvidenceIsOfferedOnceToFormerBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFormerInstance(c)
		defer f.close()
		suspects := pollensuspect.New(pollensuspect.Config{InstanceName: "a"})
		peer := pollencatalog.Instance{Name: "b", Incarnation: "1", PeerAddress: netip.MustParseAddrPort("10.0.0.1:8106")}
		sharer := NewSharer(SharerConfig{
			Suspects: suspects, Timeout: 500 * time.Millisecond, Dial: f.dial, Peers: func() []pollencatalog.Instance { return []pollencatalog.Instance{peer} },
		})
		ctx, cancel := context.WithCancel(t.Context())
		go sharer.Run(ctx)
		convict(suspects)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		c.Check(len(f.conns), qt.Equals, 1)
		c.Check(refuses(suspects), qt.IsTrue)
		peer.Incarnation = "2"
		time.Sleep(2 * time.Second)
		synctest.Wait()
		c.Check(len(f.conns), qt.Equals, 2)
		cancel()
		synctest.Wait()
	})
}

// Guards against an instance that is taken for the driver of a rollout because it answers reports without rulings, and against one
// whose empty usage report is taken for a report of no use.
func TestInstanceWithoutPartSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		z, cleanup := newTestZone(t)
		defer cleanup()
		conn := peerConn{dial: z.source.config.Dial}
		defer conn.close()
		tests := []struct {
			method  string
			request any
		}{
			{methodRollouts, RolloutsRequest{Reports: []pollenrollout.Report{{Service: "s"}}}},
			{methodUsage, UsageRequest{}},
		}
		for _, test := range tests {
			_, err := conn.call(t.Context(), netip.MustParseAddrPort("10.0.0.1:8106"), test.method, test.request)
			c.Check(err, qt.ErrorAs, new(*UnsupportedError), qt.Commentf("%s", test.method))
		}
		c.Check(len(z.conns), qt.Equals, 2)
	})
}

// Load pattern: a watcher is replaced, and its former registration is still in the store. Between its first answer from the store and
// its first listing, it knows no keys: nobody may take that for the keys of the store.
func TestEmptyReplicaIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		z, cleanup := newTestZone(t)
		defer cleanup()
		z.watcher.SetLastContact(time.Now())
		_, ok := z.source.CatchUp(t.Context(), pollenstore.Listing{Revision: 7})
		c.Check(ok, qt.IsFalse)
		listing, err := z.source.List(t.Context(), "")
		c.Check(err, qt.IsNil)
		c.Check(listing.Revision, qt.Equals, uint64(100))
		_, err = z.source.Watch(t.Context(), "", pollenstore.Position{Revision: 7}, time.Minute)
		c.Check(err, qt.IsNil)
		c.Check(z.store.calls, qt.DeepEquals, []string{"list", "watch"})
	})
}
