package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// crashTime is how long the servers of the version in force are down, silenceTime the time after which their entries are removed:
	// three heartbeats of 1,200 ms.
	crashTime   = 4500 * time.Millisecond
	silenceTime = 3600 * time.Millisecond
	// orderTime is duration_s of the order.
	orderTime = 20 * time.Second
)

// rolloutSettings are the settings of a deployment with roll-outs, by the bounds of its sheet.
var rolloutSettings = map[string]any{
	"RolloutShare": 0.1, "RolloutSlack": 50, "RollbackDelay": "5000ms", "DrainNotice": "5000ms", "ConfigurationDelay": "5000ms", "RetrySlack": 166,
}

// runVersion lets all servers of a service crash while those of a new version, which no order has named yet, stand beside them.
func runVersion(f *fleet, trouble bool) (verdict, error) {
	f.extra = rolloutSettings
	f.store.put("op/config", configuration(3, []route{
		plainRoute("sweep", "/sweep/", "idempotent", "ship-office", 2, 8*time.Second, 600*time.Millisecond),
	}, []string{"ship-office"}))
	start := func(id, version string, n int) (*server, error) {
		s := &server{
			id: id, service: "ship-office", zone: zoneOf(n), version: version, record: f.record,
			work: func(*http.Request) time.Duration { return 30 * time.Millisecond },
		}
		if version == "v2" {
			// A bad version: a portion of its answers are failures.
			s.fails = func() bool { return rand.Float64() < 0.5 }
		}
		if err := startServer(s, 6, 16); err != nil {
			return nil, err
		}
		f.store.put("servers/"+s.id, s.entry("ready"))
		return s, nil
	}
	var old []*server
	for n := range 3 {
		s, err := start(fmt.Sprintf("old-%d", n+1), "v1", n)
		if err != nil {
			return verdict{}, err
		}
		old = append(old, s)
	}
	for n := range 3 {
		f.add(fmt.Sprintf("entry-%d", n+1), zoneOf(n), n)
	}
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	t := &versionTally{record: f.record}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 9 {
		clients.Go(func() { t.send(f.entries[n%3].caller, n, stop) })
	}
	time.Sleep(5 * time.Second)
	f.record.printf("servers of version v2 start beside the old ones")
	for n := range 3 {
		if _, err := start(fmt.Sprintf("new-%d", n+1), "v2", n); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		f.record.printf("all servers of version v1 crash for %v", crashTime)
		crashed := time.Now()
		for _, s := range old {
			s.crash()
		}
		time.Sleep(silenceTime)
		f.record.printf("the entries of the servers of version v1 are removed after three heartbeats of silence")
		for _, s := range old {
			f.store.remove("servers/" + s.id)
		}
		time.Sleep(time.Until(crashed.Add(crashTime)))
		f.record.printf("the servers of version v1 are back")
		for _, s := range old {
			if err := startServer(s, 6, 16); err != nil {
				return verdict{}, err
			}
			f.store.put("servers/"+s.id, s.entry("ready"))
		}
		time.Sleep(5 * time.Second)
	}
	v := t.order(f)
	close(stop)
	clients.Wait()
	return v, nil
}

// versionTally counts the runs on the servers of version v2 and on all.
type versionTally struct{ record *record }

func (t *versionTally) send(address string, number int, stop chan struct{}) {
	var c *client
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+rand.IntN(200)) * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dial(address); err != nil {
				continue
			}
		}
		res, err := c.send(t.record, http.MethodGet, "/sweep/", fmt.Sprintf("v%d-%d", number, i), "", 8*time.Second)
		if err != nil || res.close {
			c.conn.Close()
			c = nil
		}
	}
}

// count returns the number of runs on servers of version v2, and of all runs.
func (t *versionTally) count() (target, all int) {
	t.record.mu.Lock()
	defer t.record.mu.Unlock()
	for _, servers := range t.record.runs {
		for _, s := range servers {
			all++
			if s[:3] == "new" {
				target++
			}
		}
	}
	return target, all
}

// order orders a roll-out to version v2, and returns after its deadline whether the version had requests before the order, or too many
// under it.
func (t *versionTally) order(f *fleet) verdict {
	before, allBefore := t.count()
	t.record.printf("order: traffic of ship-office to v2 within %v", orderTime)
	f.store.put("op/rollout/ship-office", map[string]any{"backend": "ship-office", "target_version": "v2", "duration_s": orderTime.Seconds()})
	time.Sleep(orderTime)
	after, allAfter := t.count()
	status := f.store.value("status/rollout/ship-office")
	exposure, all := after-before, allAfter-allBefore
	bound := 0.1*float64(all) + 50
	return verdict{broken: before > 0 || float64(exposure) > bound, text: fmt.Sprintf(
		"%d requests ran on version v2 before any order named it; between order and deadline %d of %d requests ran on the bad version (bound %.0f); status %s",
		before, exposure, all, bound, status)}
}
