package pollenfront

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/platform/pollenfakeplatform"
	"pollenline.example/pollen/pollenfakestore"
	"pollenline.example/pollen/pollensettings"
)

// storeServer serves a store over HTTP, except while it is down.
type storeServer struct {
	store   *pollenfakestore.Store
	down    atomic.Bool
	address netip.AddrPort
}

func newStoreServer(t *testing.T) *storeServer {
	s := &storeServer{store: pollenfakestore.New()}
	handler := pollenfakeplatform.NewStoreHandler(s.store)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.down.Load() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	s.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	return s
}

// configure writes a version of the configuration.
func (s *storeServer) configure(ctx context.Context, c *qt.C, version uint64) {
	_, err := pollenfakeplatform.PutConfiguration(ctx, s.store, pollenfakeplatform.Configuration{Version: version, Services: []string{"s"}, Connections: 26})
	c.Assert(err, qt.IsNil)
}

// testConfigurationDelay is the time within which a change must be in force in these tests.
const testConfigurationDelay = time.Second

// testBasePort is below the ports that systems give out by themselves.
const testBasePort = 7200

// nextTestPort counts the ports that instances of this process listen on.
var nextTestPort atomic.Uint32

// freeAddress returns an address that nothing else listens on: the process has a loopback address of its own.
func freeAddress() netip.AddrPort {
	pid := os.Getpid()
	address := netip.AddrFrom4([4]byte{127, 200 + byte(pid>>16&15), byte(pid >> 8), byte(pid)})
	return netip.AddrPortFrom(address, testBasePort+uint16(nextTestPort.Add(1)))
}

// startFrontend starts an instance, with changes to its settings; it ends with the test.
func startFrontend(t *testing.T, c *qt.C, name string, store netip.AddrPort, changes ...func(*Settings)) *Frontend {
	f, _ := startStoppableFrontend(t, c, name, store, changes...)
	return f
}

// startStoppableFrontend is startFrontend for an instance that stops when the returned function is called.
func startStoppableFrontend(t *testing.T, c *qt.C, name string, store netip.AddrPort, changes ...func(*Settings)) (*Frontend, func()) {
	f, stop, stopped := runFrontend(t, c, name, store, changes...)
	t.Cleanup(func() {
		stop()
		qt.Check(t, <-stopped, qt.IsNil)
	})
	return f, stop
}

// runFrontend runs an instance until the returned function is called, and sends the error of its run when its connections are closed.
func runFrontend(t *testing.T, c *qt.C, name string, store netip.AddrPort, changes ...func(*Settings)) (*Frontend, func(), <-chan error) {
	settings := DefaultSettings()
	settings.Name, settings.Zone, settings.StoreAddress, settings.ProcessorShare = name, "zone-a", store, 1
	for _, address := range []*netip.AddrPort{
		&settings.CallerAddress, &settings.DirectoryAddress, &settings.ReadinessAddress, &settings.MetricsAddress, &settings.PeerAddress,
	} {
		*address = freeAddress()
	}
	settings.ConfigurationDelay = pollensettings.Duration(testConfigurationDelay)
	settings.StorePause, settings.StopTimeout = pollensettings.Duration(50*time.Millisecond), pollensettings.Duration(10*time.Millisecond)
	for _, change := range changes {
		change(settings)
	}
	f, err := New(settings, slog.Default())
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() {
		err := f.Run(ctx)
		// The end of a process closes its connections.
		for _, server := range f.httpServers {
			err = errors.Join(err, server.Close())
		}
		stopped <- err
	}()
	return f, cancel, stopped
}

// waitFor waits until a condition holds and fails the test if it does not within a time.
func waitFor(c *qt.C, timeout time.Duration, description string, condition func() bool) {
	deadline := time.Now().Add(timeout)
	for !condition() {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s within %v", description, timeout))
		time.Sleep(5 * time.Millisecond)
	}
}

func versionInForce(f *Frontend) uint64 {
	if configuration := f.view.Table().Configuration(); configuration != nil {
		return configuration.Version
	}
	return 0
}

// Guards against changes that never come into force after the store came back from a copy: at revisions that a watcher has
// relayed already, or below the revision that an instance watches from.
func TestChangesOfRestoredStoreReachAllInstances(t *testing.T) {
	tests := []struct {
		name string
		// missed is the number of keys that are written after the restore and before an instance can read the store again.
		missed int
	}{
		{name: "revisions given out again one by one"},
		{name: "revision passed before the first answer", missed: 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctx := t.Context()
			store := newStoreServer(t)
			store.configure(ctx, c, 1)
			var instances []*Frontend
			for n := range 3 {
				instances = append(instances, startFrontend(t, c, fmt.Sprintf("entry-%d", n), store.address))
			}
			everywhere := func(version uint64) func() bool {
				return func() bool {
					for _, f := range instances {
						if versionInForce(f) != version || len(f.view.Table().Instances()) < 2 {
							return false
						}
					}
					return true
				}
			}
			waitFor(c, 10*time.Second, "first version in force", everywhere(1))
			// Registrations that are too many have been withdrawn by then.
			time.Sleep(2 * time.Second)
			copied := store.store.Copy()
			store.configure(ctx, c, 2)
			for n := range 3 {
				_, err := store.store.Put(ctx, fmt.Sprintf("other/%d", n), nil, 0)
				c.Assert(err, qt.IsNil)
			}
			waitFor(c, testConfigurationDelay, "second version in force", everywhere(2))
			store.down.Store(true)
			store.store.Restore(copied)
			version := uint64(2)
			if test.missed > 0 {
				version++
				store.configure(ctx, c, version)
			}
			for n := range test.missed {
				_, err := store.store.Put(ctx, fmt.Sprintf("other/%d", n), nil, 0)
				c.Assert(err, qt.IsNil)
			}
			time.Sleep(300 * time.Millisecond)
			store.down.Store(false)
			// The store counts as undisturbed some time after its return.
			time.Sleep(4 * testConfigurationDelay)
			waitFor(c, testConfigurationDelay, "version written before the return in force", everywhere(version))
			for range 5 {
				version++
				store.configure(ctx, c, version)
				waitFor(c, testConfigurationDelay, "version written after the return in force", everywhere(version))
			}
		})
	}
}
