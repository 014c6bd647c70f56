package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// drainNotice is drain_ms and evacuationNotice evacuate_ms. slowFactor and slowTime are the largest x and for_s of srv_slow.
	drainNotice      = 3000 * time.Millisecond
	evacuationNotice = 5000 * time.Millisecond
	slowFactor       = 12
	slowTime         = 8 * time.Second
	instanceCount    = 9
)

// workload describes the servers of a case and the requests that are sent at once.
type workload struct {
	slots, connections, attempts, burst int
	work, objective, deadline           time.Duration
	// replaced is set if a new server starts before the slow one leaves.
	replaced bool
}

// archivePull has the servers of skjalasafn and the times of archive-pull on the sheet of dunhlyja-leit.
var archivePull = workload{slots: 4, connections: 45, attempts: 2, burst: 24, objective: 800 * time.Millisecond, deadline: 15 * time.Second}

// drainCase replaces a server that has turned slow.
func drainCase(root, dir string, trouble bool) (broken []string) {
	r := newRecord()
	defer r.write(dir)
	w := archivePull
	w.attempts, w.burst, w.work, w.replaced = 1, 30, 300*time.Millisecond, true
	return stopSending(root, r, trouble, w, "DRAIN", drainNotice, func(s *store, leaving *server) time.Time {
		acknowledged := leaving.drain()
		r.add("the store acknowledges that server %s is draining", leaving.id)
		// The server serves on for the notice and some seconds, then ends.
		time.AfterFunc(drainNotice+2*time.Second, func() {
			r.add("server %s ends", leaving.id)
			leaving.end()
		})
		return acknowledged
	})
}

// evacuateCase evacuates the zone of a server that has turned slow.
func evacuateCase(root, dir string, trouble bool) (broken []string) {
	r := newRecord()
	defer r.write(dir)
	w := archivePull
	w.work = 480 * time.Millisecond
	return stopSending(root, r, trouble, w, "EVAC", evacuationNotice, func(s *store, evacuated *server) time.Time {
		acknowledged := s.put("op/evacuate/"+evacuated.zone, []byte("{}"), 0)
		r.add("the store acknowledges the evacuation of %s, the zone of server %s", evacuated.zone, evacuated.id)
		return acknowledged
	})
}

// stopSending sends a few requests at once to one instance, while one of three servers turns slow. Soon after, the operator or the server
// wants no more requests at that server. It returns the requests that reach the server later than the notice after that.
func stopSending(root string, r *record, trouble bool, w workload, rule string, notice time.Duration, stop func(*store, *server) time.Time) (broken []string) {
	s := newStore()
	s.put("op/config", mustJSON(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "lot", "host": "desk.example", "path_prefix": "/lot/", "type": "idempotent", "backend": "desk",
			"timeout_ms": w.deadline.Milliseconds(), "target_latency_ms": w.objective.Milliseconds(), "attempts": w.attempts, "priority": 1,
		}},
		"backends": []any{map[string]any{"name": "desk", "max_conns": w.connections, "warmup_s": 3, "warmup_per_s": 0, "health_check": "/health"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	}), 0)
	start := func(id, zone string) *server {
		return startServer(&server{id: id, service: "desk", zone: zone, slots: w.slots, queueLen: 16, work: w.work, store: s, record: r})
	}
	servers := []*server{start("i-1", "zone-a"), start("i-2", "zone-b"), start("i-3", "zone-c")}
	f := startFleet(root, s, instanceCount)
	f.awaitReady()
	r.add("%d instances are ready; the requests go to %s", len(f.instances), f.instances[0].http)
	// The instance learns the usual latency of the route, is in touch, and uses its whole share of the servers' connections.
	single := &caller{address: f.instances[0].http}
	for n := range 30 {
		single.send(r, "GET", "desk.example", fmt.Sprintf("/lot/%d", n), fmt.Sprintf("warm-%d", n), w.deadline)
	}
	if w.replaced {
		start("i-4", "zone-a")
		r.add("server i-4 starts, to replace server i-1")
	}
	time.Sleep(time.Second)
	if trouble {
		servers[0].slow.Store(slowFactor * 1000)
		time.AfterFunc(slowTime, func() { servers[0].slow.Store(1000) })
		r.add("server %s turns slow for %v: its work takes %d times as long", servers[0].id, slowTime, slowFactor)
	}
	var requests sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for n := range w.burst {
		requests.Go(func() {
			c := &caller{address: f.instances[0].http}
			status, _ := c.send(r, "GET", "desk.example", fmt.Sprintf("/lot/b%d", n), fmt.Sprintf("burst-%d", n), w.deadline)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	time.Sleep(100 * time.Millisecond)
	acknowledged := stop(s, servers[0])
	requests.Wait()
	r.add("answers of the burst by status (0: none): %v", statuses)
	for _, line := range append(f.logged(f.instances[0], `"servers/`+servers[0].id+`"`, `"Leaving":true`), f.logged(f.instances[0], `"op/evacuate/`)...) {
		r.add("acknowledged at %s; log of the instance: %s", acknowledged.UTC().Format(time.RFC3339Nano), line)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		if late := a.at.Sub(acknowledged); a.server == servers[0].id && late > notice {
			broken = append(broken, fmt.Sprintf("%s: request %s reaches server %s %d ms after the acknowledgement", rule, a.request, a.server, late.Milliseconds()))
		}
	}
	return broken
}
