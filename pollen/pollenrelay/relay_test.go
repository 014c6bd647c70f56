package pollenrelay

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenstore"
)

// recordingStore records the calls that reach the store itself.
type recordingStore struct {
	mu    sync.Mutex
	calls []string
	err   error
}

func (s *recordingStore) record(call string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	return s.err
}

func (s *recordingStore) ListStale(context.Context, string) (pollenstore.Listing, error) {
	return pollenstore.Listing{Revision: 1}, s.record("stale list")
}

func (s *recordingStore) List(context.Context, string) (pollenstore.Listing, error) {
	return pollenstore.Listing{Revision: 100}, s.record("list")
}

func (s *recordingStore) Watch(context.Context, string, pollenstore.Position, time.Duration) (pollenstore.Changes, error) {
	return pollenstore.Changes{Revision: 100}, s.record("watch")
}

// testZone is a watcher and an instance that follows it over an in-memory connection.
type testZone struct {
	watcher    *Server
	store      *recordingStore
	source     *Source
	hasWatcher bool
	// unreachable makes new connections fail; unresponsive makes the watcher read nothing from them.
	unreachable, unresponsive bool
	conns                     []net.Conn
}

var errConnectionRefused = errors.New("connection refused")

// pipeListener accepts the watcher's ends of in-memory connections.
type pipeListener struct {
	conns chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l *pipeListener) Close() error   { close(l.conns); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// newTestZone returns a zone and the function that closes its connections and its listener.
func newTestZone(t *testing.T) (*testZone, func()) {
	z := &testZone{watcher: NewServer(ServerConfig{MaxStaleness: 2400 * time.Millisecond}), store: &recordingStore{}, hasWatcher: true}
	listener := &pipeListener{conns: make(chan net.Conn)}
	served := make(chan error, 1)
	go func() { served <- z.watcher.Serve(listener) }()
	z.source = NewSource(SourceConfig{
		Store: z.store, Standby: func() bool { return true }, Server: NewServer(ServerConfig{}), WatchWait: 450 * time.Millisecond, WatchSlack: 300 * time.Millisecond, TransferTimeout: time.Second,
		ListedWatcher: func(pollenstore.Listing) (netip.AddrPort, bool) {
			return netip.MustParseAddrPort("10.0.0.1:7380"), z.hasWatcher
		},
		Watcher: func() (netip.AddrPort, bool) { return netip.MustParseAddrPort("10.0.0.1:7380"), z.hasWatcher },
		Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
			if z.unreachable {
				return nil, errConnectionRefused
			}
			clientConn, serverConn := net.Pipe()
			z.conns = append(z.conns, clientConn, serverConn)
			if !z.unresponsive {
				listener.conns <- serverConn
			}
			return clientConn, nil
		},
	})
	return z, func() {
		z.source.watcher.close()
		for _, conn := range z.conns {
			conn.Close()
		}
		listener.Close()
		qt.Check(t, <-served, qt.IsNil)
		// The watcher holds watches whose connection is closed for up to 450 ms more.
		time.Sleep(time.Second)
	}
}

// event returns changes that write one key.
func event(key string, version uint64) pollenstore.Changes {
	return pollenstore.Changes{Revision: version, Events: []pollenstore.Event{{Entry: pollenstore.Entry{Key: key, Version: version}}}}
}

// Load pattern: many instances read one store. Calls must reach the store only while the watcher is unreachable,
// unresponsive or stale.
func TestSourceFallsBackToStore(t *testing.T) {
	tests := []struct {
		name     string
		prepare  func(z *testZone)
		calls    []string
		duration time.Duration
	}{
		{"watcher is fresh", func(*testZone) {}, nil, 450 * time.Millisecond},
		{"this instance is the watcher", func(z *testZone) { z.hasWatcher = false }, []string{"watch"}, 0},
		{"watcher is unreachable", func(z *testZone) { z.unreachable = true }, []string{"watch"}, 0},
		{"watcher is unresponsive", func(z *testZone) { z.unresponsive = true }, []string{"watch"}, 750 * time.Millisecond},
		{"watcher has lost the store", func(z *testZone) { z.watcher.SetLastContact(time.Time{}) }, []string{"watch"}, 0},
		{"watcher is stale", func(z *testZone) { z.watcher.SetLastContact(time.Now().Add(-2500 * time.Millisecond)) }, []string{"watch"}, 0},
		{"watcher loses the store during the watch", func(z *testZone) {
			time.AfterFunc(100*time.Millisecond, func() { z.watcher.SetLastContact(time.Time{}) })
		}, []string{"watch"}, 450 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				z, cleanup := newTestZone(t)
				defer cleanup()
				z.watcher.Reset(pollenstore.Listing{Revision: 7})
				z.watcher.SetLastContact(time.Now())
				test.prepare(z)
				start := time.Now()
				_, err := z.source.Watch(t.Context(), "", pollenstore.Position{Revision: 7}, time.Minute)
				c.Assert(err, qt.IsNil)
				c.Assert(time.Since(start), qt.Equals, test.duration)
				c.Assert(z.store.calls, qt.DeepEquals, test.calls)
			})
		})
	}
}

// Guards against a relay that delays a change until the watch's wait has passed.
func TestWatchReturnsOnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		z, cleanup := newTestZone(t)
		defer cleanup()
		z.watcher.Reset(pollenstore.Listing{Revision: 7, Entries: []pollenstore.Entry{{Key: "a", Version: 3}}})
		z.watcher.SetLastContact(time.Now())
		listing, err := z.source.List(t.Context(), "")
		c.Assert(err, qt.IsNil)
		c.Assert(listing.Revision, qt.Equals, uint64(7))
		time.AfterFunc(100*time.Millisecond, func() { z.watcher.Apply(event("b", 8)) })
		start := time.Now()
		changes, err := z.source.Watch(t.Context(), "", listing.Position(), time.Minute)
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(start), qt.Equals, 100*time.Millisecond)
		c.Assert(changes.Events[0].Entry.Key, qt.Equals, "b")
		c.Assert(z.store.calls, qt.HasLen, 0)
	})
}

// checkRank checks what a standby follower's call returns.
func checkRank(c *qt.C, s *Server, instance pollencatalog.Instance, wantRank, wantStandbys int) {
	rank, standbys := s.updateRank(instance, true)
	c.Assert(rank, qt.Equals, wantRank)
	c.Assert(standbys, qt.Equals, wantStandbys)
}

// Guards against ranks that count followers which no longer call or don't stand by.
func TestRankCountsLiveStandbyFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := NewServer(ServerConfig{})
		large := pollencatalog.Instance{Name: "large", Processor: 0.8}
		small := pollencatalog.Instance{Name: "small", Processor: 0.2}
		checkRank(c, s, small, 0, 1)
		checkRank(c, s, large, 0, 2)
		checkRank(c, s, small, 1, 2)
		s.updateRank(large, false)
		checkRank(c, s, small, 0, 1)
		s.updateRank(large, true)
		time.Sleep(followerTimeout + time.Millisecond)
		checkRank(c, s, small, 0, 1)
	})
}

// Guards against keys that are taken for current although the watcher can't say so.
func TestCatchUpNeedsFreshWatcher(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(z *testZone)
		want    bool
	}{
		{"watcher is fresh", func(*testZone) {}, true},
		{"no watcher is listed", func(z *testZone) { z.hasWatcher = false }, false},
		{"watcher is unreachable", func(z *testZone) { z.unreachable = true }, false},
		{"watcher is unresponsive", func(z *testZone) { z.unresponsive = true }, false},
		{"watcher has lost the store", func(z *testZone) { z.watcher.SetLastContact(time.Time{}) }, false},
		{"watcher has read the store later", func(z *testZone) { z.watcher.Reset(pollenstore.Listing{Revision: 20}) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				z, cleanup := newTestZone(t)
				defer cleanup()
				z.watcher.Reset(pollenstore.Listing{Revision: 5})
				z.watcher.Apply(event("a", 8))
				z.watcher.SetLastContact(time.Now())
				test.prepare(z)
				start := time.Now()
				changes, ok := z.source.CatchUp(t.Context(), pollenstore.Listing{Revision: 7})
				c.Assert(ok, qt.Equals, test.want)
				if ok {
					c.Assert(changes.Revision, qt.Equals, uint64(8))
				}
				c.Assert(time.Since(start) <= 300*time.Millisecond, qt.IsTrue)
				c.Assert(z.store.calls, qt.HasLen, 0)
			})
		})
	}
}

// Guards against lost events: a follower whose revision precedes the watcher's history must read all keys again.
func TestCompactedWatcherHistoryIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		z, cleanup := newTestZone(t)
		defer cleanup()
		z.watcher.Reset(pollenstore.Listing{Revision: 50})
		z.watcher.SetLastContact(time.Now())
		_, err := z.source.Watch(t.Context(), "", pollenstore.Position{Revision: 7}, time.Minute)
		c.Assert(err, qt.ErrorAs, new(*pollenstore.CompactedError))
	})
}

// Guards against a follower that returns to an older state: after a change of watchers, the new one may be behind.
func TestWatcherBehindFollowerSendsNoOldEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		z, cleanup := newTestZone(t)
		defer cleanup()
		z.watcher.Reset(pollenstore.Listing{Revision: 7})
		z.watcher.SetLastContact(time.Now())
		time.AfterFunc(100*time.Millisecond, func() { z.watcher.Apply(event("old", 9)) })
		time.AfterFunc(200*time.Millisecond, func() { z.watcher.Apply(event("new", 12)) })
		changes, err := z.source.Watch(t.Context(), "", pollenstore.Position{Revision: 10}, time.Minute)
		c.Assert(err, qt.IsNil)
		c.Assert(changes.Revision, qt.Equals, uint64(12))
		c.Assert(changes.Events, qt.HasLen, 1)
	})
}

// Guards against a follower that waits for a revision which the store has lost, and one that goes back to the era before because
// the watcher has not noticed the restore yet.
func TestFollowerKeepsToNewestEra(t *testing.T) {
	tests := []struct {
		name    string
		watcher pollenstore.Listing
		after   pollenstore.Position
		// gone is set if all keys must be read again, calls are those that reach the store itself.
		gone  bool
		calls []string
	}{
		{name: "same era", watcher: pollenstore.Listing{Revision: 8, Era: 1}, after: pollenstore.Position{Era: 1, Revision: 7}, gone: true},
		{name: "watcher is of a later era", watcher: pollenstore.Listing{Revision: 5, Era: 2}, after: pollenstore.Position{Era: 1, Revision: 7}, gone: true},
		{name: "watcher is of an earlier era", watcher: pollenstore.Listing{Revision: 9, Era: 1}, after: pollenstore.Position{Era: 2, Revision: 7}, calls: []string{"watch", "list"}},
		{name: "watcher states no era", watcher: pollenstore.Listing{Revision: 7}, after: pollenstore.Position{Era: 2, Revision: 7}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				z, cleanup := newTestZone(t)
				defer cleanup()
				z.watcher.Reset(test.watcher)
				z.watcher.SetLastContact(time.Now())
				_, err := z.source.Watch(t.Context(), "", test.after, time.Minute)
				c.Assert(pollenstore.HistoryGone(err), qt.Equals, test.gone)
				z.watcher.SetLastContact(time.Now())
				_, err = z.source.List(t.Context(), "")
				c.Assert(err, qt.IsNil)
				c.Assert(z.store.calls, qt.DeepEquals, test.calls)
			})
		})
	}
}

// Load pattern: an instance restarts while the store is down. It must learn the keys from the seed that knows the newest
// ones, also if that seed's replica is stale, and not wait for a seed that is gone or does not answer.
func TestSeedsReturnNewestKeys(t *testing.T) {
	replica := func(revision uint64) *Server {
		s := NewServer(ServerConfig{})
		if revision > 0 {
			s.Reset(pollenstore.Listing{Revision: revision, Entries: []pollenstore.Entry{{Key: "a", Version: revision}}})
		}
		return s
	}
	tests := []struct {
		name string
		// seeds are the peers; nil is one that can't be reached.
		seeds []*Server
		// silent makes the first seed accept the connection without answering.
		silent   bool
		want     uint64
		duration time.Duration
	}{
		{"newest of three", []*Server{replica(7), replica(9), replica(8)}, false, 9, 0},
		{"two are gone", []*Server{nil, replica(7), nil}, false, 7, 0},
		{"one does not answer", []*Server{replica(9), replica(7)}, true, 7, 500 * time.Millisecond},
		{"one has just started", []*Server{replica(0), replica(7)}, false, 7, 0},
		{"nobody knows the keys", []*Server{replica(0), nil}, false, 0, 0},
		{"no seeds", nil, false, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				config := SeedsConfig{Timeout: 500 * time.Millisecond, TransferTimeout: time.Second}
				listeners := make(map[netip.AddrPort]*pipeListener)
				for i, seed := range test.seeds {
					address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 8106)
					config.Addresses = append(config.Addresses, address)
					if seed == nil {
						continue
					}
					listeners[address] = &pipeListener{conns: make(chan net.Conn, 1)}
					if i > 0 || !test.silent {
						go seed.Serve(listeners[address])
					}
				}
				config.Dial = func(_ context.Context, address netip.AddrPort) (net.Conn, error) {
					listener, ok := listeners[address]
					if !ok {
						return nil, errConnectionRefused
					}
					clientConn, serverConn := net.Pipe()
					listener.conns <- serverConn
					return clientConn, nil
				}
				start := time.Now()
				listing, err := NewSeeds(config).List(t.Context())
				if test.want == 0 {
					c.Check(err, qt.ErrorAs, new(*NoSeedError))
				} else {
					c.Check(err, qt.IsNil)
				}
				c.Check(listing.Revision, qt.Equals, test.want)
				c.Check(time.Since(start), qt.Equals, test.duration)
				for _, listener := range listeners {
					listener.Close()
				}
			})
		})
	}
}
