package pollenfront

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/platform/pollenfakeplatform"
	"pollenline.example/pollen/pollensettings"
)

// Guards against a stopping instance that passes requests on to sound servers and ends their connections without an answer when it
// exits. Callers send them late on kept connections, or before the stop, and the servers take longer than the instance has left.
func TestStopEndsNoRequestWithoutAnswer(t *testing.T) {
	const stopTimeout = 4 * time.Second
	tests := []struct {
		name       string
		idempotent bool
		// sentAfter is when the requests are sent, relative to the begin of the stop; slowFactor is how much longer they work than those
		// before.
		sentAfter  time.Duration
		slowFactor float64
		// refused is set if all requests must be refused without having run.
		refused bool
	}{
		{name: "runs once, after the directory's answers have expired", sentAfter: 2600 * time.Millisecond, slowFactor: 100, refused: true},
		{name: "runs once, while callers may use the instance", sentAfter: 1400 * time.Millisecond, slowFactor: 200},
		{name: "runs once, before the stop", sentAfter: -100 * time.Millisecond, slowFactor: 800},
		{name: "idempotent, late", idempotent: true, sentAfter: 2600 * time.Millisecond, slowFactor: 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store, ledger := newStoreServer(t), pollenfakeplatform.NewLedger()
			_, err := pollenfakeplatform.PutConfiguration(t.Context(), store.store, pollenfakeplatform.Configuration{
				Version: 1, Services: []string{"x"}, Connections: 60, Routes: []pollenfakeplatform.Route{
					{Name: "one", Host: "h", Prefix: "/", Idempotent: test.idempotent, Service: "x", Timeout: 15 * time.Second, Objective: 2 * time.Second, Attempts: 1},
				},
			})
			c.Assert(err, qt.IsNil)
			var servers []*pollenfakeplatform.Server
			for n := range 3 {
				server, err := pollenfakeplatform.StartServer(pollenfakeplatform.ServerConfig{
					ID: fmt.Sprintf("i-%d", n), Service: "x", Zone: "zone-a", Slots: 4, QueueLength: 16, MeanWork: 10 * time.Millisecond,
					Store: store.store, Ledger: ledger, HeartbeatInterval: time.Second,
				})
				c.Assert(err, qt.IsNil)
				t.Cleanup(server.Kill)
				server.Advertise(server.Address())
				servers = append(servers, server)
			}
			f, stop := startStoppableFrontend(t, c, "entry", store.address, func(s *Settings) {
				s.StopTimeout, s.RetryRatio, s.RetrySlack = pollensettings.Duration(stopTimeout), 0.2, 50
			})
			waitFor(c, 10*time.Second, "instance that knows the servers", func() bool { return f.ready() && len(f.view.Table().ServersOf("x")) == 3 })
			callers := make([]*pollenfakeplatform.Caller, 24)
			send := func(n int, id string) pollenfakeplatform.Outcome {
				return callers[n].Send(t.Context(), pollenfakeplatform.Request{ID: id, Method: http.MethodPost, Host: "h", Path: "/", Timeout: 15 * time.Second})
			}
			for n := range callers {
				callers[n] = &pollenfakeplatform.Caller{
					Directories: []netip.AddrPort{f.settings.Load().DirectoryAddress}, Pick: func(int) int { return 0 },
				}
				t.Cleanup(callers[n].Close)
				c.Assert(send(n, fmt.Sprintf("warm-%d", n)).Status, qt.Equals, http.StatusOK)
			}
			for _, server := range servers {
				server.SetFaults(pollenfakeplatform.ServerFaults{SlowFactor: test.slowFactor})
			}
			begin := time.Now().Add(max(-test.sentAfter, 0))
			time.AfterFunc(time.Until(begin), stop)
			time.Sleep(time.Until(begin.Add(test.sentAfter)))
			var wg sync.WaitGroup
			wg.Go(func() {
				// The listener must be closed while requests are open.
				time.Sleep(time.Until(begin.Add(stopTimeout * 3 / 4)))
				conn, err := net.Dial("tcp", f.settings.Load().CallerAddress.String())
				if err == nil {
					_ = conn.Close()
				}
				c.Check(err, qt.IsNotNil)
			})
			for n := range callers {
				wg.Go(func() {
					id := fmt.Sprintf("r-%d", n)
					outcome := send(n, id)
					c.Check(outcome.Err, qt.IsNil)
					refused := outcome.Status == http.StatusServiceUnavailable
					c.Check(refused && len(ledger.Runs(id)) > 0, qt.IsFalse, qt.Commentf("%s was refused and has run", id))
					c.Check(refused || !test.refused, qt.IsTrue, qt.Commentf("status %d", outcome.Status))
				})
			}
			wg.Wait()
		})
	}
}

// Guards against an instance that exits at once when one of its listeners fails, and ends open requests without an answer.
func TestFailedListenerEndsNoRequestWithoutAnswer(t *testing.T) {
	c := qt.New(t)
	store, ledger := newStoreServer(t), pollenfakeplatform.NewLedger()
	_, err := pollenfakeplatform.PutConfiguration(t.Context(), store.store, pollenfakeplatform.Configuration{
		Version: 1, Services: []string{"x"}, Connections: 10, Routes: []pollenfakeplatform.Route{
			{Name: "one", Host: "h", Prefix: "/", Service: "x", Timeout: 5 * time.Second, Objective: time.Second, Attempts: 1},
		},
	})
	c.Assert(err, qt.IsNil)
	server, err := pollenfakeplatform.StartServer(pollenfakeplatform.ServerConfig{
		ID: "i-1", Service: "x", Zone: "zone-a", Slots: 1, MeanWork: 300 * time.Millisecond, Store: store.store, Ledger: ledger, HeartbeatInterval: time.Second,
	})
	c.Assert(err, qt.IsNil)
	t.Cleanup(server.Kill)
	server.Advertise(server.Address())
	f, _, stopped := runFrontend(t, c, "entry", store.address, func(s *Settings) { s.StopTimeout = pollensettings.Duration(2 * time.Second) })
	waitFor(c, 10*time.Second, "instance that knows the server", func() bool { return f.ready() && len(f.view.Table().ServersOf("x")) == 1 })
	caller := &pollenfakeplatform.Caller{
		Directories: []netip.AddrPort{f.settings.Load().DirectoryAddress}, Pick: func(int) int { return 0 },
		OnWritten: func(netip.AddrPort) { time.AfterFunc(50*time.Millisecond, func() { _ = f.httpServers[2].Close() }) },
	}
	t.Cleanup(caller.Close)
	outcome := caller.Send(t.Context(), pollenfakeplatform.Request{ID: "r", Method: http.MethodPost, Host: "h", Path: "/", Timeout: 5 * time.Second})
	c.Assert(outcome.Err, qt.IsNil)
	c.Assert(outcome.Status, qt.Equals, http.StatusOK)
	c.Assert(<-stopped, qt.ErrorIs, http.ErrServerClosed)
}
