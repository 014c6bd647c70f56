package pollenrelay

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenallowance"
	"pollenline.example/pollen/pollencatalog"
)

// Load pattern: a team's requests go to the first of three instances, which have been idle. Guards against admissions that the others
// don't learn of, calls while no limited team sends, and a connection for each report.
func TestUsageReachesRegisteredInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		team := &pollencatalog.Team{Name: "t", PerSecond: 20, Burst: 20}
		config := pollencatalog.TableConfig{Configuration: &pollencatalog.Configuration{Teams: []*pollencatalog.Team{team}}}
		listeners := make(map[netip.AddrPort]*pipeListener)
		var dials atomic.Int32
		dial := func(_ context.Context, address netip.AddrPort) (net.Conn, error) {
			dials.Add(1)
			clientConn, serverConn := net.Pipe()
			listeners[address].conns <- serverConn
			return clientConn, nil
		}
		for _, name := range []string{"a", "b", "c"} {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name[0]}), 8106)
			config.Instances = append(config.Instances, pollencatalog.Instance{Name: name, PeerAddress: address, Incarnation: name})
			listeners[address] = &pipeListener{conns: make(chan net.Conn, 9)}
		}
		table := pollencatalog.NewTable(config)
		ctx, cancel := context.WithCancel(t.Context())
		var all []*pollenallowance.Allowances
		for n, i := range config.Instances {
			a := pollenallowance.New(pollenallowance.Config{InstanceName: i.Name, Incarnation: i.Name, Start: time.Now(), Window: 5 * time.Second, Overshoot: 0.1, Slack: 20})
			a.SetTable(table, time.Now())
			all = append(all, a)
			go NewServer(ServerConfig{Allowances: a}).Serve(listeners[i.PeerAddress])
			peers := append(append([]pollencatalog.Instance{}, config.Instances[:n]...), config.Instances[n+1:]...)
			go NewReporter(ReporterConfig{Allowances: a, Timeout: time.Second, Dial: dial, Peers: func() []pollencatalog.Instance { return peers }}).Run(ctx)
		}
		time.Sleep(5 * time.Second)
		c.Check(dials.Load(), qt.Equals, int32(0), qt.Commentf("calls without requests"))
		admitted := 0
		for range 25 {
			if _, ok := all[0].TryAcquire(team, time.Now()); ok {
				admitted++
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		c.Check(admitted, qt.Equals, 25)
		for _, a := range all {
			c.Check(a.Usage(time.Now())[0].Admitted, qt.Equals, admitted)
		}
		time.Sleep(time.Minute)
		c.Check(dials.Load() <= 6, qt.IsTrue, qt.Commentf("%d connections", dials.Load()))
		cancel()
		for _, l := range listeners {
			l.Close()
		}
		synctest.Wait()
	})
}
