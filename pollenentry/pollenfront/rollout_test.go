package pollenfront

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/platform/pollenfakeplatform"
	"pollenline.example/pollen/pollenrollout"
	"pollenline.example/pollen/pollenstore"
)

// rolloutFleet is three instances with a service whose servers have one version.
type rolloutFleet struct {
	store     *storeServer
	ledger    *pollenfakeplatform.Ledger
	instances []*Frontend
	// endedAt is when the store got a status that is not running; ended is closed then.
	endedAt time.Time
	status  string
	ended   chan struct{}
}

func startRolloutFleet(t *testing.T, c *qt.C) *rolloutFleet {
	f := &rolloutFleet{store: newStoreServer(t), ledger: pollenfakeplatform.NewLedger(), ended: make(chan struct{})}
	f.store.store.SetObserver(func(event pollenstore.Event) {
		if !strings.HasPrefix(event.Entry.Key, "status/rollout/") || f.status != "" {
			return
		}
		var status struct {
			State string `json:"state"`
		}
		if json.Unmarshal(event.Entry.Value, &status) == nil && status.State != "running" {
			f.endedAt, f.status = time.Now(), status.State
			close(f.ended)
		}
	})
	_, err := pollenfakeplatform.PutConfiguration(t.Context(), f.store.store, pollenfakeplatform.Configuration{
		Version: 1, Services: []string{"x"}, Connections: 26, Routes: []pollenfakeplatform.Route{
			{Name: "one", Host: "h", Prefix: "/", Idempotent: true, Service: "x", Timeout: 2 * time.Second, Objective: 200 * time.Millisecond, Attempts: 2},
		},
	})
	c.Assert(err, qt.IsNil)
	for n := range 3 {
		f.instances = append(f.instances, startFrontend(t, c, fmt.Sprintf("entry-%d", n), f.store.address, func(s *Settings) {
			s.RolloutShare, s.RolloutSlack, s.RetryRatio, s.RetrySlack = 0.1, 50, 0.2, 50
		}))
	}
	return f
}

func (f *rolloutFleet) startServers(t *testing.T, c *qt.C, version string, faults pollenfakeplatform.ServerFaults) []*pollenfakeplatform.Server {
	var servers []*pollenfakeplatform.Server
	for n := range 3 {
		server, err := pollenfakeplatform.StartServer(pollenfakeplatform.ServerConfig{
			ID: fmt.Sprintf("%s-%d", version, n), Service: "x", Zone: "zone-a", Version: version, Slots: 4, QueueLength: 12,
			MeanWork: 10 * time.Millisecond, Store: f.store.store, Ledger: f.ledger, HeartbeatInterval: time.Second,
		})
		c.Assert(err, qt.IsNil)
		t.Cleanup(server.Kill)
		server.SetFaults(faults)
		server.Advertise(server.Address())
		servers = append(servers, server)
	}
	return servers
}

// call sends a request about every interval until ctx is done, and counts those without a successful answer.
func (f *rolloutFleet) call(ctx context.Context, interval time.Duration, failed *atomic.Int32) {
	var directories []netip.AddrPort
	for _, instance := range f.instances {
		directories = append(directories, instance.settings.Load().DirectoryAddress)
	}
	caller := pollenfakeplatform.Caller{Directories: directories, Pick: rand.IntN}
	defer caller.Close()
	for ctx.Err() == nil {
		outcome := caller.Send(ctx, pollenfakeplatform.Request{ID: fmt.Sprintf("%x", rand.Uint64()), Method: "GET", Host: "h", Path: "/", Timeout: 2 * time.Second})
		if outcome.Status != 200 && ctx.Err() == nil {
			failed.Add(1)
		}
		time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(interval)))
	}
}

// Guards against instances, relay and store that do not work together: a version that gets requests before its order, a good one that
// is not completed in time or loses requests when the former servers end at once, and a bad one that is not rolled back.
func TestRolloutOverRealConnections(t *testing.T) {
	tests := []struct {
		name   string
		faults pollenfakeplatform.ServerFaults
		want   string
	}{
		{"good", pollenfakeplatform.ServerFaults{}, "completed"},
		{"slow", pollenfakeplatform.ServerFaults{SlowFactor: 8}, "rolled_back"},
		{"answers lost", pollenfakeplatform.ServerFaults{LostAnswerShare: 0.4}, "rolled_back"},
	}
	const duration = 10 * time.Second
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := startRolloutFleet(t, c)
			former := f.startServers(t, c, "v1", pollenfakeplatform.ServerFaults{})
			waitFor(c, 10*time.Second, "three instances and servers", func() bool {
				for _, instance := range f.instances {
					if table := instance.view.Table(); len(table.Instances()) < 2 || len(table.ServersOf("x")) < 3 {
						return false
					}
				}
				return true
			})
			ctx, cancel := context.WithCancel(t.Context())
			var callers sync.WaitGroup
			var failed atomic.Int32
			for range 8 {
				callers.Go(func() { f.call(ctx, 200*time.Millisecond, &failed) })
			}
			time.Sleep(time.Second)
			f.startServers(t, c, "v2", test.faults)
			time.Sleep(time.Second)
			ordered, err := pollenfakeplatform.OrderRollout(t.Context(), f.store.store, "x", "v2", duration)
			c.Assert(err, qt.IsNil)
			select {
			case <-f.ended:
			case <-time.After(duration):
			}
			if f.status == "completed" {
				for _, server := range former {
					server.Kill()
				}
			}
			time.Sleep(2 * time.Second)
			cancel()
			callers.Wait()
			c.Assert(f.status, qt.Equals, test.want)
			exposure, total, afterEnd := 0, 0, 0
			for _, run := range f.ledger.All() {
				isTarget := strings.HasPrefix(run.Server, "v2")
				c.Assert(isTarget && run.StartedAt.Before(ordered), qt.IsFalse, qt.Commentf("%s ran a request before the order", run.Server))
				if run.StartedAt.After(ordered) && run.StartedAt.Before(ordered.Add(duration)) {
					total++
					if isTarget {
						exposure++
					}
				}
				if isTarget != (test.want == "completed") && run.StartedAt.After(f.endedAt.Add(600*time.Millisecond)) {
					afterEnd++
				}
			}
			t.Logf("%s after %v; %d of %d requests to the target; %d requests failed", f.status, f.endedAt.Sub(ordered), exposure, total, failed.Load())
			c.Assert(afterEnd, qt.Equals, 0)
			c.Assert(failed.Load(), qt.Equals, int32(0))
			if test.want == "rolled_back" {
				c.Assert(float64(exposure) <= 0.1*float64(total)+50, qt.IsTrue)
			}
		})
	}
}

// Guards against a version that no order has named and that gets requests when all servers of the one in force are down, also from an
// instance that starts then, and against its order being completed without a canary.
func TestVersionInForceOutlivesCrash(t *testing.T) {
	c := qt.New(t)
	f := startRolloutFleet(t, c)
	former := f.startServers(t, c, "v1", pollenfakeplatform.ServerFaults{})
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	var failed atomic.Int32
	for range 8 {
		callers.Go(func() { f.call(ctx, 200*time.Millisecond, &failed) })
	}
	recordedAt := func() uint64 {
		entry, err := f.store.store.Get(t.Context(), pollenrollout.RecordPrefix+"x")
		c.Assert(err, qt.IsNil)
		return entry.Version
	}
	waitFor(c, 15*time.Second, "version in the store", func() bool { return recordedAt() > 0 })
	revision := recordedAt()
	f.startServers(t, c, "v2", pollenfakeplatform.ServerFaults{LostAnswerShare: 0.4})
	time.Sleep(time.Second)
	for _, server := range former {
		server.KillAndDeregister(t.Context())
	}
	started := startFrontend(t, c, "entry-3", f.store.address, func(s *Settings) { s.RolloutShare, s.RolloutSlack = 0.1, 50 })
	waitFor(c, 5*time.Second, "servers known to the instance that starts", func() bool { return len(started.view.Table().ServersOf("x")) == 3 })
	c.Assert(started.rollouts.Admit(started.view.Table().AppendEligible(nil, "x"), "x", pollenrollout.Any, time.Now()), qt.HasLen, 0)
	time.Sleep(2 * time.Second)
	f.startServers(t, c, "v1", pollenfakeplatform.ServerFaults{})
	time.Sleep(2 * time.Second)
	c.Assert(recordedAt(), qt.Equals, revision, qt.Commentf("the version in force has not changed"))
	ordered, err := pollenfakeplatform.OrderRollout(t.Context(), f.store.store, "x", "v2", 10*time.Second)
	c.Assert(err, qt.IsNil)
	select {
	case <-f.ended:
	case <-time.After(10 * time.Second):
	}
	cancel()
	callers.Wait()
	before, exposure, total := 0, 0, 0
	for _, run := range f.ledger.All() {
		isTarget := strings.HasPrefix(run.Server, "v2")
		switch {
		case run.StartedAt.After(ordered):
			total++
			if isTarget {
				exposure++
			}
		case isTarget:
			before++
		}
	}
	t.Logf("%d requests to the target before the order; %s with %d of %d requests to it", before, f.status, exposure, total)
	c.Assert(before, qt.Equals, 0)
	c.Assert(f.status, qt.Equals, "rolled_back")
	c.Assert(float64(exposure) <= 0.1*float64(total)+50, qt.IsTrue)
}
