package pollenrelay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenstore"
)

// Load pattern: the store fails for six seconds, and 100 instances on standby try to follow it four times a second. They must not
// call it a dozen times each, and must have called it once within the retry time.
func TestStandbysSpareFailingStore(t *testing.T) {
	c := qt.New(t)
	const standbys, interval = 100, 2500 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	calls := 0
	for range standbys {
		pace, first := storePace{}, time.Time{}
		start := time.Unix(1_000_000, 0)
		for now := start; now.Before(start.Add(6 * time.Second)); now = now.Add(250 * time.Millisecond) {
			if pace.allow(now, interval, random.Float64()) {
				calls++
				if first.IsZero() {
					first = now
				}
				pace.record(false, now, interval, random.Float64())
			}
		}
		c.Assert(first.Sub(start) <= interval && !first.IsZero(), qt.IsTrue)
	}
	c.Assert(calls <= 4*standbys, qt.IsTrue, qt.Commentf("%d calls", calls))
}

// An instance on standby whose zone's watcher has lost the store must read from another zone's watcher, and only then from the
// store, without a pause as long as the store answers.
func TestStandbyAsksOtherWatchersBeforeStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		z, cleanup := newTestZone(t)
		defer cleanup()
		other, listener := NewServer(ServerConfig{MaxStaleness: time.Minute}), &pipeListener{conns: make(chan net.Conn)}
		served := make(chan error, 1)
		go func() { served <- other.Serve(listener) }()
		other.Reset(pollenstore.Listing{Revision: 7})
		other.SetLastContact(time.Now())
		other.Apply(event("a", 8))
		z.source.config.OtherWatchers = func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("10.0.1.1:7380")} }
		z.source.config.StoreRetry = 2 * time.Second
		z.source.other.dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
			clientConn, serverConn := net.Pipe()
			z.conns = append(z.conns, clientConn, serverConn)
			listener.conns <- serverConn
			return clientConn, nil
		}
		watch := func() (pollenstore.Changes, error) {
			return z.source.Watch(t.Context(), "", pollenstore.Position{Revision: 7}, time.Minute)
		}
		z.watcher.Reset(pollenstore.Listing{Revision: 7})
		z.watcher.SetLastContact(time.Time{})
		changes, err := watch()
		c.Assert(err, qt.IsNil)
		c.Assert(changes.Events, qt.HasLen, 1)
		c.Assert(z.store.calls, qt.HasLen, 0)

		other.SetLastContact(time.Time{})
		z.store.err = &pollenstore.UnavailableError{Call: "watch", Err: errConnectionRefused}
		for range 24 {
			_, err := watch()
			var stale *StaleError
			var unavailable *pollenstore.UnavailableError
			c.Assert(errors.As(err, &stale) || errors.As(err, &unavailable), qt.IsTrue, qt.Commentf("%v", err))
			time.Sleep(250 * time.Millisecond)
		}
		c.Assert(len(z.store.calls) >= 2 && len(z.store.calls) <= 6, qt.IsTrue, qt.Commentf("%v", z.store.calls))

		z.store.err = nil
		time.Sleep(2 * time.Second)
		before := len(z.store.calls)
		for range 3 {
			_, err := watch()
			c.Assert(err, qt.IsNil)
		}
		c.Assert(z.store.calls, qt.HasLen, before+3)
		z.source.other.close()
		listener.Close()
		c.Assert(<-served, qt.IsNil)
	})
}
