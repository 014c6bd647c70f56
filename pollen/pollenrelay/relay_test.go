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

// countedStore counts the calls that reach the store itself.
type countedStore struct {
	mu    sync.Mutex
	calls []string
	err   error
}

func (s *countedStore) note(call string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	return s.err
}

func (s *countedStore) ListStale(context.Context, string) (pollenstore.Listing, error) {
	return pollenstore.Listing{Revision: 1}, s.note("stale list")
}

func (s *countedStore) List(context.Context, string) (pollenstore.Listing, error) {
	return pollenstore.Listing{Revision: 100}, s.note("list")
}

func (s *countedStore) Watch(context.Context, string, uint64, time.Duration) (pollenstore.Changes, error) {
	return pollenstore.Changes{Revision: 100}, s.note("watch")
}

// zone is a watcher and an instance that follows it over an in-memory connection.
type zone struct {
	watcher  *Server
	store    *countedStore
	source   *Source
	followed bool
	// dead makes new connections fail; silent makes the watcher's connections carry nothing.
	dead, silent bool
	conns        []net.Conn
}

var errDead = errors.New("connection refused")

// pipeListener accepts the far ends of in-memory connections.
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

func newZone(t *testing.T) (*zone, func()) {
	z := &zone{watcher: NewServer(ServerConfig{Freshness: 2400 * time.Millisecond}), store: &countedStore{}, followed: true}
	listener := &pipeListener{conns: make(chan net.Conn)}
	served := make(chan error, 1)
	go func() { served <- z.watcher.Serve(listener) }()
	z.source = NewSource(SourceConfig{
		Store: z.store, Standby: func() bool { return true }, Server: NewServer(ServerConfig{}), Wait: 450 * time.Millisecond, Timeout: 300 * time.Millisecond,
		Watcher: func() (netip.AddrPort, bool) { return netip.MustParseAddrPort("10.0.0.1:7380"), z.followed },
		Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
			if z.dead {
				return nil, errDead
			}
			near, far := net.Pipe()
			z.conns = append(z.conns, near, far)
			if !z.silent {
				listener.conns <- far
			}
			return near, nil
		},
	})
	return z, func() {
		z.source.close()
		for _, conn := range z.conns {
			conn.Close()
		}
		listener.Close()
		qt.Check(t, <-served, qt.IsNil)
		time.Sleep(time.Second)
	}
}

func event(key string, version uint64) pollenstore.Changes {
	return pollenstore.Changes{Revision: version, Events: []pollenstore.Event{{Entry: pollenstore.Entry{Key: key, Version: version}}}}
}

// Load pattern: many instances follow one store. Calls reach the store only while the watcher is of no use.
func TestSource(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(z *zone)
		calls   []string
		took    time.Duration
	}{
		{"watcher is fresh", func(*zone) {}, nil, 450 * time.Millisecond},
		{"this instance is the watcher", func(z *zone) { z.followed = false }, []string{"watch"}, 0},
		{"watcher is dead", func(z *zone) { z.dead = true }, []string{"watch"}, 0},
		{"watcher is silent", func(z *zone) { z.silent = true }, []string{"watch"}, 750 * time.Millisecond},
		{"watcher has lost the store", func(z *zone) { z.watcher.Heard(time.Time{}) }, []string{"watch"}, 0},
		{"watcher has not heard the store lately", func(z *zone) { z.watcher.Heard(time.Now().Add(-2500 * time.Millisecond)) }, []string{"watch"}, 0},
		{"watcher loses the store meanwhile", func(z *zone) {
			time.AfterFunc(100*time.Millisecond, func() { z.watcher.Heard(time.Time{}) })
		}, []string{"watch"}, 450 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				z, end := newZone(t)
				defer end()
				z.watcher.Reset(pollenstore.Listing{Revision: 7})
				z.watcher.Heard(time.Now())
				test.prepare(z)
				begun := time.Now()
				_, err := z.source.Watch(t.Context(), "", 7, time.Minute)
				c.Assert(err, qt.IsNil)
				c.Assert(time.Since(begun), qt.Equals, test.took)
				c.Assert(z.store.calls, qt.DeepEquals, test.calls)
			})
		})
	}
}

func TestChangesArriveAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		z, end := newZone(t)
		defer end()
		z.watcher.Reset(pollenstore.Listing{Revision: 7, Entries: []pollenstore.Entry{{Key: "a", Version: 3}}})
		z.watcher.Heard(time.Now())
		listing, err := z.source.List(t.Context(), "")
		c.Assert(err, qt.IsNil)
		c.Assert(listing.Revision, qt.Equals, uint64(7))
		time.AfterFunc(100*time.Millisecond, func() { z.watcher.Apply(event("b", 8)) })
		begun := time.Now()
		changes, err := z.source.Watch(t.Context(), "", listing.Revision, time.Minute)
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(begun), qt.Equals, 100*time.Millisecond)
		c.Assert(changes.Events[0].Entry.Key, qt.Equals, "b")
		c.Assert(z.store.calls, qt.HasLen, 0)
	})
}

// Followers learn their rank, and forget one that is gone.
func TestRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := NewServer(ServerConfig{})
		large := pollencatalog.Instance{Name: "large", Processor: 0.8}
		small := pollencatalog.Instance{Name: "small", Processor: 0.2}
		c.Assert(s.rank(small, true), qt.Equals, 0)
		c.Assert(s.rank(large, true), qt.Equals, 0)
		c.Assert(s.rank(small, true), qt.Equals, 1)
		s.rank(large, false)
		c.Assert(s.rank(small, true), qt.Equals, 0)
		s.rank(large, true)
		time.Sleep(followerMemory + time.Millisecond)
		c.Assert(s.rank(small, true), qt.Equals, 0)
	})
}

// A follower whose revision the watcher's history does not reach reads all keys again.
func TestHistoryOfWatcherIsShorter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		z, end := newZone(t)
		defer end()
		z.watcher.Reset(pollenstore.Listing{Revision: 50})
		z.watcher.Heard(time.Now())
		_, err := z.source.Watch(t.Context(), "", 7, time.Minute)
		c.Assert(err, qt.ErrorAs, new(*pollenstore.CompactedError))
	})
}

// A watcher that is behind its follower, as after a change of watchers, gives it nothing old.
func TestWatcherBehindFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		z, end := newZone(t)
		defer end()
		z.watcher.Reset(pollenstore.Listing{Revision: 7})
		z.watcher.Heard(time.Now())
		time.AfterFunc(100*time.Millisecond, func() { z.watcher.Apply(event("old", 9)) })
		time.AfterFunc(200*time.Millisecond, func() { z.watcher.Apply(event("new", 12)) })
		changes, err := z.source.Watch(t.Context(), "", 10, time.Minute)
		c.Assert(err, qt.IsNil)
		c.Assert(changes.Revision, qt.Equals, uint64(12))
		c.Assert(changes.Events, qt.HasLen, 1)
	})
}
