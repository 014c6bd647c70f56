package pollenrelay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenstore"
	"pollenline.example/pollen/pollensuspect"
)

var suspectContent = pollensuspect.Fingerprint{7}

// convict records evidence that suffices for a verdict.
func convict(r *pollensuspect.Registry) {
	for range 3 {
		r.RecordCrash(suspectContent, "route", "s", time.Now(), time.Now())
		time.Sleep(time.Millisecond)
	}
}

func refuses(r *pollensuspect.Registry) bool {
	decision, _ := r.Decide(suspectContent, "route", time.Now())
	return decision == pollensuspect.Refuse
}

// sharingFleet is a number of instances with evidence of their own, over in-memory connections.
type sharingFleet struct {
	registries []*pollensuspect.Registry
	listeners  map[netip.AddrPort]*pipeListener
	// unreachable holds the instances that can't be connected to.
	unreachable map[netip.AddrPort]bool
	instances   []pollencatalog.Instance

	mu    sync.Mutex
	dials int
}

func newSharingFleet(n int) *sharingFleet {
	f := &sharingFleet{listeners: make(map[netip.AddrPort]*pipeListener), unreachable: make(map[netip.AddrPort]bool)}
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 8106)
		name := string(rune('a' + i))
		f.instances = append(f.instances, pollencatalog.Instance{Name: name, PeerAddress: address, Incarnation: name})
		f.registries = append(f.registries, pollensuspect.New(pollensuspect.Config{InstanceName: name}))
		f.listeners[address] = &pipeListener{conns: make(chan net.Conn, n)}
		go NewServer(ServerConfig{Suspects: f.registries[i]}).Serve(f.listeners[address])
	}
	return f
}

func (f *sharingFleet) dial(_ context.Context, address netip.AddrPort) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dials++
	if f.unreachable[address] {
		return nil, errConnectionRefused
	}
	clientConn, serverConn := net.Pipe()
	f.listeners[address].conns <- serverConn
	return clientConn, nil
}

// setUnreachable replaces the set of instances that can't be connected to.
func (f *sharingFleet) setUnreachable(addresses ...netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.unreachable)
	for _, a := range addresses {
		f.unreachable[a] = true
	}
}

func (f *sharingFleet) setInstances(instances []pollencatalog.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = instances
}

// peers returns all instances but the first.
func (f *sharingFleet) peers() []pollencatalog.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[1:]
}

func (f *sharingFleet) close() {
	for _, l := range f.listeners {
		l.Close()
	}
}

// Guards against instances that send a request although others know that servers end under it: after failed calls, after
// they have joined or restarted, and without the store.
func TestEvidenceReachesRegisteredInstances(t *testing.T) {
	tests := []struct {
		name string
		// change changes the fleet; the evidence is recorded before it.
		change func(f *sharingFleet)
		wait   time.Duration
		// dials is the largest number of connections in all: two to each peer for each of the three rounds.
		dials int
	}{
		{"at once", func(*sharingFleet) {}, 50 * time.Millisecond, 12},
		{"once an instance is reachable again", func(f *sharingFleet) { f.setUnreachable(f.instances[1].PeerAddress) }, 2100 * time.Millisecond, -1},
		{"an instance joins", func(f *sharingFleet) {
			f.setInstances(f.instances[:2])
			time.AfterFunc(500*time.Millisecond, func() { f.setInstances(f.instances[:3]) })
		}, 1500 * time.Millisecond, 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newSharingFleet(3)
				defer f.close()
				ctx, cancel := context.WithCancel(t.Context())
				sharer := NewSharer(SharerConfig{
					Suspects: f.registries[0], Timeout: 500 * time.Millisecond, Dial: f.dial,
					Peers: f.peers,
				})
				go sharer.Run(ctx)
				time.Sleep(10 * time.Second)
				c.Check(f.dials, qt.Equals, 0, qt.Commentf("calls without evidence"))
				test.change(f)
				convict(f.registries[0])
				time.AfterFunc(time.Second, func() { f.setUnreachable() })
				time.Sleep(test.wait)
				for i, r := range f.registries {
					c.Check(refuses(r), qt.IsTrue, qt.Commentf("instance %d", i))
				}
				time.Sleep(10 * time.Second)
				if test.dials > 0 {
					c.Check(f.dials <= test.dials, qt.IsTrue, qt.Commentf("%d connections", f.dials))
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against an instance on standby, or one that has just started, that does not know what its watcher knows.
func TestEvidenceReachesFollowers(t *testing.T) {
	tests := []struct {
		name string
		call func(z *testZone) error
	}{
		{"watch", func(z *testZone) error {
			_, err := z.source.Watch(context.Background(), "", pollenstore.Position{Revision: 7}, time.Minute)
			return err
		}},
		{"watch while the store is away", func(z *testZone) error {
			z.watcher.SetLastContact(time.Time{})
			_, err := z.source.Watch(context.Background(), "", pollenstore.Position{Revision: 7}, time.Minute)
			return err
		}},
		{"start", func(z *testZone) error {
			z.source.CatchUp(context.Background(), pollenstore.Listing{Revision: 7})
			return nil
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				z, cleanup := newTestZone(t)
				defer cleanup()
				z.watcher.Reset(pollenstore.Listing{Revision: 7})
				z.watcher.SetLastContact(time.Now())
				convict(z.watcher.config.Suspects)
				c.Assert(test.call(z), qt.IsNil)
				c.Check(refuses(z.source.config.Suspects), qt.IsTrue)
				version := z.source.suspectsVersion
				c.Assert(test.call(z), qt.IsNil)
				c.Check(z.source.suspectsVersion, qt.Equals, version)
			})
		})
	}
}

// Guards against an instance that starts while the store is down and does not know what its seeds know.
func TestEvidenceReachesStartingInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSharingFleet(2)
		defer f.close()
		convict(f.registries[1])
		started := pollensuspect.New(pollensuspect.Config{InstanceName: "started"})
		seeds := NewSeeds(SeedsConfig{Addresses: []netip.AddrPort{f.instances[1].PeerAddress}, Timeout: time.Second, TransferTimeout: time.Second, Dial: f.dial, Suspects: started})
		_, err := seeds.List(t.Context())
		qt.Check(t, err, qt.ErrorAs, new(*NoSeedError))
		qt.Check(t, refuses(started), qt.IsTrue)
	})
}
