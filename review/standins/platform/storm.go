package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// applyTime is config_apply_ms, contactTime contact_ms.
	applyTime   = 3000 * time.Millisecond
	contactTime = 4000 * time.Millisecond
	// idleRoutes is the number of routes that three big_config of 1,400 routes add.
	idleRoutes = 3 * 1400
	// stormGap and stormTime are gap_s and for_s of config_storm.
	stormGap  = 60 * time.Millisecond
	stormTime = 1500 * time.Millisecond
)

// configuration returns a configuration of many routes that nobody uses, and one that names a service.
func configuration(version int, service string) []byte {
	routes := []any{map[string]any{
		"name": "moved", "host": "desk.example", "path_prefix": "/lot/", "type": "idempotent", "backend": service,
		"timeout_ms": 3000, "target_latency_ms": 500, "attempts": 2, "priority": 1,
	}}
	for n := range idleRoutes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-idle%05d", n), "host": "idle.example", "path_prefix": fmt.Sprintf("/idle%05d/", n), "type": "idempotent", "backend": "old",
			"timeout_ms": 15000, "target_latency_ms": 800, "attempts": 2, "priority": 2,
		})
	}
	backend := func(name string) any {
		return map[string]any{"name": name, "max_conns": 45, "warmup_s": 3, "warmup_per_s": 0, "health_check": "/health"}
	}
	return mustJSON(map[string]any{
		"version": version, "routes": routes, "backends": []any{backend("old"), backend("new")},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
}

// stormCase moves a route to another service at the end of a storm of configurations that change nothing.
func stormCase(root, dir string, trouble bool) (broken []string) {
	r := newRecord()
	defer r.write(dir)
	s := newStore()
	version := 3
	first := configuration(version, "old")
	s.put("op/config", first, 0)
	r.add("the configuration has %d routes and %d bytes", idleRoutes+1, len(first))
	for n, service := range []string{"old", "old", "new", "new"} {
		startServer(&server{
			id: fmt.Sprintf("i-%s-%d", service, n%2+1), service: service, zone: fmt.Sprintf("zone-%c", 'a'+n%2), slots: 4, queueLen: 16, work: 5 * time.Millisecond,
			store: s, record: r,
		})
	}
	f := startFleet(root, s, instanceCount)
	f.awaitReady()
	r.add("%d instances are ready", len(f.instances))
	// The operator has the versions ready.
	var unchanged [][]byte
	for range int(stormTime / stormGap) {
		version += 2
		unchanged = append(unchanged, configuration(version, "old"))
	}
	moved := configuration(version+2, "new")
	time.Sleep(contactTime + 2*time.Second)
	if trouble {
		begin := time.Now()
		for n, value := range unchanged {
			time.Sleep(time.Until(begin.Add(time.Duration(n) * stormGap)))
			s.put("op/config", value, 0)
			r.add("the store acknowledges version %d, which changes nothing", 3+2*(n+1))
		}
		time.Sleep(stormGap)
	}
	version += 2
	acknowledged := s.put("op/config", moved, 0)
	r.add("the store acknowledges version %d, which moves the route from service old to service new", version)
	type sent struct {
		id       string
		at       time.Time
		instance string
	}
	var mu sync.Mutex
	var requests []sent
	var clients sync.WaitGroup
	for _, i := range f.instances {
		clients.Go(func() {
			c := &caller{address: i.http}
			for n := 0; time.Since(acknowledged) < 2*applyTime+4*time.Second; n++ {
				id := fmt.Sprintf("%s-%d", i.name, n)
				at := time.Now()
				c.send(r, "GET", "desk.example", "/lot/x", id, 3*time.Second)
				mu.Lock()
				requests = append(requests, sent{id, at, i.name})
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	late, last := map[string]int{}, map[string]time.Duration{}
	r.mu.Lock()
	for _, q := range requests {
		for _, server := range r.runs[q.id] {
			if after := q.at.Sub(acknowledged); after > applyTime && server[:5] == "i-old" {
				late[q.instance]++
				last[q.instance] = max(last[q.instance], after)
			}
		}
	}
	r.mu.Unlock()
	for _, i := range f.instances {
		if late[i.name] > 0 {
			broken = append(broken, fmt.Sprintf("CONFIG: %d requests that were sent to %s later than %d ms after the acknowledgement were run by the old service, the last one sent after %d ms",
				late[i.name], i.name, applyTime.Milliseconds(), last[i.name].Milliseconds()))
		}
		for _, line := range f.logged(i, `"Configuration adopted"`) {
			r.add("moved at %s; log of the instance: %s", acknowledged.UTC().Format(time.RFC3339Nano), line)
		}
	}
	return broken
}
