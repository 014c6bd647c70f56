package pollenrelay

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenfollow"
	"pollenline.example/pollen/pollenreplica"
	"pollenline.example/pollen/pollenstore"
	"pollenline.example/pollen/pollenview"
)

// link is a network link that sends one chunk after the other.
type link struct {
	mu             sync.Mutex
	bytesPerSecond float64
	// free is when the last chunk has left.
	free time.Time
	sent int
}

// maxChunkBytes is the size of the chunks in which connections share a link.
const maxChunkBytes = 16 << 10

func newLink(megabits float64) *link { return &link{bytesPerSecond: megabits * 1e6 / 8} }

// queue adds a chunk and returns how long it takes to leave.
func (l *link) queue(chunkBytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(chunkBytes) / l.bytesPerSecond * float64(time.Second)))
	l.sent += chunkBytes
	return l.free.Sub(now)
}

// transfer waits until all bytes have passed the slowest of the links, or ctx is done.
func transfer(ctx context.Context, size int, links ...*link) error {
	for ; size > 0; size -= maxChunkBytes {
		var wait time.Duration
		for _, l := range links {
			wait = max(wait, l.queue(min(size, maxChunkBytes)))
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// linkedConn is a connection whose writes pass links.
type linkedConn struct {
	net.Conn
	links []*link
}

func (l *linkedConn) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		chunk := p[:min(len(p), maxChunkBytes)]
		if err := transfer(context.Background(), len(chunk), l.links...); err != nil {
			return written, err
		}
		n, err := l.Conn.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
		p = p[len(chunk):]
	}
	return written, nil
}

// linkedStore is a store whose answers pass its own link and that of the instance which asks.
type linkedStore struct {
	replica *pollenreplica.Replica
	links   []*link
}

// storeTimeout bounds an answer of the store beyond the wait of a watch.
const storeTimeout = time.Second

// storeEncoding is the ratio of the store's answers to the values in them, which are base64.
const storeEncoding = 4.0 / 3

func (s *linkedStore) List(ctx context.Context, prefix string) (pollenstore.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	listing := s.replica.List(prefix)
	size := 0
	for _, entry := range listing.Entries {
		size += len(entry.Value)
	}
	return listing, transfer(ctx, int(float64(size)*storeEncoding), s.links...)
}

func (s *linkedStore) ListStale(ctx context.Context, prefix string) (pollenstore.Listing, error) {
	return s.List(ctx, prefix)
}

func (s *linkedStore) Watch(ctx context.Context, _ string, after pollenstore.Position, wait time.Duration) (pollenstore.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+wait)
	defer cancel()
	changes, err := s.replica.Watch(ctx, after, wait)
	if err != nil {
		return changes, err
	}
	size := 0
	for _, event := range changes.Events {
		size += len(event.Entry.Value)
	}
	return changes, transfer(ctx, int(float64(size)*storeEncoding), s.links...)
}

// encodedRoutes returns a configuration with names as operators' tools generate them; those of equal seeds begin alike.
func encodedRoutes(routes int, seed uint64) []byte {
	random := rand.New(rand.NewPCG(seed, 0))
	name := func(length int) string {
		text := make([]byte, length)
		for i := range text {
			text[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[random.IntN(36)]
		}
		return string(text)
	}
	var encoded bytes.Buffer
	for range routes {
		fmt.Fprintf(&encoded, `{"Name":"r-%s","Host":"%s.example","Prefix":"/%s/","Kind":"Idempotent","TimeoutMilliseconds":2500,"ObjectiveMilliseconds":200,"Priority":1,"Service":"%s","Servers":2},`,
			name(7), name(6), name(8), name(7))
	}
	return encoded.Bytes()
}

// relayFleet is a fleet of zones with a watcher each, whose followers apply what they read to replicas.
type relayFleet struct {
	store     *pollenreplica.Replica
	storeLink *link
	watchers  []*Server
	// links are those of the watchers.
	links     []*link
	followers []*relayFollower
}

// relayFollower records when it has read which configuration.
type relayFollower struct {
	mu      sync.Mutex
	adopted []adoption
}

type adoption struct {
	revision uint64
	at       time.Time
}

// receive handles a message of the instance's pollenfollow.Follower.
func (r *relayFollower) receive(message any) {
	var entries []pollenstore.Entry
	switch m := message.(type) {
	case pollenview.StoreListed:
		entries = m.Listing.Entries
	case pollenview.StoreChanged:
		for _, event := range m.Changes.Events {
			entries = append(entries, event.Entry)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range entries {
		if entry.Key == configurationKey {
			r.adopted = append(r.adopted, adoption{entry.Version, time.Now()})
		}
	}
}

// adoptedAt returns when the follower first had a revision or a later one, or false if it has not.
func (r *relayFollower) adoptedAt(revision uint64) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.adopted {
		if a.revision >= revision {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// The link speeds are those of the deployment on which the fault was seen.
const (
	storeMegabits, largeMegabits, smallMegabits = 1000, 200, 17

	configurationDelay = 5 * time.Second
	storePause         = 400 * time.Millisecond
	configurationKey   = "configuration"
)

// newRelayFleet starts a fleet that runs until ctx is done.
func newRelayFleet(ctx context.Context, zones, followersPerZone int, watcherMegabits float64) *relayFleet {
	f := &relayFleet{store: pollenreplica.New(), storeLink: newLink(storeMegabits)}
	f.store.Reset(pollenstore.Listing{Revision: 1, Entries: []pollenstore.Entry{{Key: "first", Version: 1}}})
	listeners := make(map[netip.AddrPort]*pipeListener)
	var addresses []netip.AddrPort
	for zone := range zones {
		watcher := NewServer(ServerConfig{MaxStaleness: configurationDelay * 8 / 10})
		watcher.Reset(f.store.List(""))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(zone)}), 7380)
		listeners[address] = &pipeListener{conns: make(chan net.Conn)}
		go watcher.Serve(listeners[address])
		f.watchers, f.links, addresses = append(f.watchers, watcher), append(f.links, newLink(watcherMegabits)), append(addresses, address)
	}
	go func() {
		for ctx.Err() == nil {
			for _, w := range f.watchers {
				w.SetLastContact(time.Now())
			}
			time.Sleep(time.Second)
		}
		for _, l := range listeners {
			l.Close()
		}
	}()
	for zone := range zones {
		for i := range followersPerZone {
			own := newLink(smallMegabits)
			source := NewSource(SourceConfig{
				Store: &linkedStore{replica: f.store, links: []*link{f.storeLink, own}}, Server: NewServer(ServerConfig{}),
				Self: pollencatalog.Instance{Name: fmt.Sprintf("%d-%d", zone, i)}, Standby: func() bool { return true },
				Watcher: func() (netip.AddrPort, bool) { return addresses[zone], true },
				OtherWatchers: func() []netip.AddrPort {
					return append(append([]netip.AddrPort{}, addresses[:zone]...), addresses[zone+1:]...)
				},
				ListedWatcher: func(pollenstore.Listing) (netip.AddrPort, bool) { return addresses[zone], true },
				WatchWait:     configurationDelay * 15 / 100, WatchSlack: configurationDelay / 10, TransferTimeout: configurationDelay / 2, StoreRetry: configurationDelay / 2,
				Dial: func(_ context.Context, address netip.AddrPort) (net.Conn, error) {
					client, server := net.Pipe()
					listeners[address].conns <- &linkedConn{Conn: server, links: []*link{f.links[address.Addr().As4()[3]], own}}
					return client, nil
				},
			})
			recorder := &relayFollower{}
			f.followers = append(f.followers, recorder)
			follower := pollenfollow.NewFollower(pollenfollow.FollowerConfig{
				Reader: source, Seeds: NewSeeds(SeedsConfig{}), WatchWait: configurationDelay * 45 / 100, BatchDelay: storePause,
				Post: recorder.receive,
			})
			go func() {
				follower.Run(ctx)
				source.watcher.close()
				source.other.close()
			}()
		}
	}
	return f
}

// write writes the configuration to the store; the watchers have it at once.
func (f *relayFleet) write(value []byte) uint64 {
	revision := f.store.Revision() + 1
	changes := pollenstore.Changes{Revision: revision, Events: []pollenstore.Event{{Entry: pollenstore.Entry{Key: configurationKey, Value: value, Version: revision}}}}
	f.store.Apply(changes)
	for _, w := range f.watchers {
		w.Apply(changes)
	}
	return revision
}

// adoptionTime waits until all followers have a revision or the time is up, and returns how long after it was written the last one had it.
func (f *relayFleet) adoptionTime(revision uint64, written time.Time, limit time.Duration) time.Duration {
	var last time.Duration
	for _, r := range f.followers {
		at, ok := r.adoptedAt(revision)
		for !ok && time.Since(written) < limit {
			time.Sleep(10 * time.Millisecond)
			at, ok = r.adoptedAt(revision)
		}
		if !ok {
			return limit
		}
		last = max(last, at.Sub(written))
	}
	return last
}

// Guards against configurations that reach followers too late because replies are given up while they arrive, and begun anew elsewhere.
func TestLargeConfigurationReachesFollowersInTime(t *testing.T) {
	// A watcher reads the store after its pause at the latest.
	const bound = configurationDelay - storePause
	const limit = 15 * time.Second
	tests := []struct {
		name                    string
		zones, followersPerZone int
		watcherMegabits         float64
		routes                  int
	}{
		{"1500 routes of 120 instances", 3, 39, largeMegabits, 1500},
		{"4250 routes of 120 instances", 3, 39, largeMegabits, 4250},
		{"4250 routes of 300 instances", 5, 59, largeMegabits, 4250},
		{"4250 routes of 120 small instances", 3, 39, smallMegabits, 4250},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newRelayFleet(ctx, test.zones, test.followersPerZone, test.watcherMegabits)
				time.Sleep(10 * time.Second)
				firstAt, first := time.Now(), f.write(encodedRoutes(test.routes, 1))
				time.Sleep(3300 * time.Millisecond)
				secondAt, second := time.Now(), f.write(encodedRoutes(test.routes+1, 1))
				firstTook, secondTook := f.adoptionTime(first, firstAt, limit), f.adoptionTime(second, secondAt, limit)
				sent := 0
				for _, l := range f.links {
					sent += l.sent
				}
				t.Logf("in force after %v and %v; watchers sent %d bytes, the store %d", firstTook, secondTook, sent, f.storeLink.sent)
				qt.Check(t, firstTook <= bound, qt.IsTrue)
				qt.Check(t, secondTook <= bound, qt.IsTrue)
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

// Load pattern: an instance starts while the store is away, and asks three seeds at once for more than its link carries in the time for
// which a seed may be silent.
func TestLargeListingsOfSeedsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		incompressible := make([]byte, 800<<10)
		rand.NewChaCha8([32]byte{}).Read(incompressible)
		own := newLink(smallMegabits)
		config := SeedsConfig{Timeout: 500 * time.Millisecond, TransferTimeout: configurationDelay / 2}
		listeners := make(map[netip.AddrPort]*pipeListener)
		for i := range 3 {
			seed := NewServer(ServerConfig{})
			seed.Reset(pollenstore.Listing{Revision: uint64(7 + i), Entries: []pollenstore.Entry{{Key: configurationKey, Value: incompressible, Version: 7}}})
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 8106)
			listeners[address] = &pipeListener{conns: make(chan net.Conn)}
			go seed.Serve(listeners[address])
			config.Addresses = append(config.Addresses, address)
		}
		config.Dial = func(_ context.Context, address netip.AddrPort) (net.Conn, error) {
			client, server := net.Pipe()
			listeners[address].conns <- &linkedConn{Conn: server, links: []*link{own}}
			return client, nil
		}
		listing, err := NewSeeds(config).List(t.Context())
		c.Check(err, qt.IsNil)
		c.Check(listing.Revision, qt.Equals, uint64(9))
		for _, listener := range listeners {
			listener.Close()
		}
		time.Sleep(time.Minute)
	})
}
