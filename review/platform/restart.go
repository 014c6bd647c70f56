package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	oldServers = 4
	// releaseSize is the number of servers that a release replaces, half of the service's.
	releaseSize = oldServers / 2
	// drainTime is drain_ms, and one second more.
	drainTime = 6 * time.Second
)

// versionCase is a service with servers of two versions, and callers.
type versionCase struct {
	fleet   *fleet
	tally   *versionTally
	old     []*server
	started int
}

// startVersion starts a server of a version. Half of the answers of version v2 are failures.
func (c *versionCase) startVersion(id, version string) (*server, error) {
	s := &server{
		id: id, service: "ship-office", zone: zoneOf(c.started), version: version, record: c.fleet.record,
		work: func(*http.Request) time.Duration { return 30 * time.Millisecond },
	}
	c.started++
	if version == "v2" {
		s.fails = func() bool { return rand.Float64() < 0.5 }
	}
	if err := startServer(s, 6, 16); err != nil {
		return nil, err
	}
	c.fleet.record.printf("server %s of version %s starts", id, version)
	c.fleet.store.put("servers/"+id, s.entry("ready"))
	return s, nil
}

// release replaces the servers of version v1 that have run longest by others of version v1, one after the other: the new one starts
// first, the old one drains.
func (c *versionCase) release(generation int) error {
	for n := range releaseSize {
		s, err := c.startVersion(fmt.Sprintf("old-%d-%d", generation, n), "v1")
		if err != nil {
			return err
		}
		time.Sleep(time.Second)
		drained := c.old[0]
		c.fleet.record.printf("server %s reports draining", drained.id)
		c.fleet.store.put("servers/"+drained.id, drained.entry("draining"))
		time.AfterFunc(drainTime, func() {
			c.fleet.record.printf("server %s ends", drained.id)
			drained.crash()
			c.fleet.store.remove("servers/" + drained.id)
		})
		c.old = append(c.old[1:], s)
		time.Sleep(time.Second)
	}
	return nil
}

// runRestart restarts the machines in turn while the servers of a new version, which no order has named yet, have run longer than those of
// the version in force.
func runRestart(f *fleet, trouble bool) (verdict, error) {
	f.extra = rolloutSettings
	f.store.put("op/config", configuration(3, []route{
		plainRoute("sweep", "/sweep/", "idempotent", "ship-office", 2, 8*time.Second, 600*time.Millisecond),
	}, []string{"ship-office"}))
	c := &versionCase{fleet: f, tally: &versionTally{record: f.record}}
	for n := range oldServers {
		s, err := c.startVersion(fmt.Sprintf("old-0-%d", n), "v1")
		if err != nil {
			return verdict{}, err
		}
		c.old = append(c.old, s)
	}
	for n := range 3 {
		f.add(fmt.Sprintf("entry-%d", n+1), zoneOf(n), n)
	}
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 9 {
		clients.Go(func() { c.tally.send(f.entries[n%3].caller, n, stop) })
	}
	time.Sleep(5 * time.Second)
	for n := range 3 {
		if _, err := c.startVersion(fmt.Sprintf("new-%d", n), "v2"); err != nil {
			return verdict{}, err
		}
	}
	for generation := range 2 {
		if err := c.release(generation + 1); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(drainTime + time.Second)
	if trouble {
		for _, e := range f.entries {
			f.record.printf("SIGTERM to %s", e.name)
			e.signal(syscall.SIGTERM)
			<-e.exited
			f.start(e)
			if err := e.awaitReady(10 * time.Second); err != nil {
				return verdict{}, err
			}
			time.Sleep(time.Second)
		}
	}
	time.Sleep(5 * time.Second)
	v := c.tally.order(f)
	close(stop)
	clients.Wait()
	return v, nil
}
