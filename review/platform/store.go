package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store. It loses nothing and is always up.
type store struct {
	listener net.Listener
	server   *http.Server

	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	events    []item
	leases    map[uint64]*lease
	nextLease uint64
	changed   chan struct{}
}

// item is the JSON form of an item or an event.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	duration time.Duration
	ends     time.Time
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		listener: listener, revision: 100, items: make(map[string]item), leases: make(map[uint64]*lease), nextLease: 7000, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.renew)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(listener)
	go s.expire()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an item for the operator or a server.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, data, 0)
	s.notify()
}

// remove deletes an item for the operator or a server.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		s.unset(key)
		s.notify()
	}
}

// has reports whether any key with a prefix exists.
func (s *store) has(prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

func (s *store) set(key string, value []byte, lease uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.events = append(s.events, i)
}

func (s *store) unset(key string) {
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases that were not renewed.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.unset(key)
			s.notify()
		}
	}
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		Current uint64 `json:"current_rev"`
	}{i, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "current_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, revision, changed := []item{}, s.revision, s.changed
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("path_prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timer.C:
			}
		}
		answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
		return
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []item   `json:"precondition"`
		Puts         []item   `json:"puts"`
		Remove       []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, p := range t.Precondition {
		i, ok := s.items[p.Key]
		if ok {
			current = append(current, i)
		}
		holds = holds && i.Revision == p.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, http.StatusForbidden, struct{}{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			s.unset(key)
		}
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Milliseconds int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	duration := time.Duration(max(request.Milliseconds, 1000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &lease{duration: duration, ends: time.Now().Add(duration)}
	answer(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttl_ms": duration.Milliseconds()})
}

func (s *store) renew(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	l, ok := s.leases[id]
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.ends = time.Now().Add(l.duration)
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.duration.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if s.leases[id] == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, struct{}{})
}

// route is a route of the operator's configuration.
type route map[string]any

// configuration returns the operator's configuration of some routes and services.
func configuration(version int, routes []route, services []string) map[string]any {
	var backends []map[string]any
	for _, name := range services {
		backends = append(backends, map[string]any{
			"name": name, "max_conns": 45, "health_check": "/health", "warmup_s": 3.0, "warmup_per_s": 50.0,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "backends": backends,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 10000, "idle_timeout_ms": 30000},
	}
}

// plainRoute returns a route to one service.
func plainRoute(name, prefix, kind, service string, attempts int, timeout, objective time.Duration) route {
	return route{
		"name": name, "host": host, "path_prefix": prefix, "type": kind, "backend": service, "attempts": attempts,
		"timeout_ms": timeout.Milliseconds(), "target_latency_ms": objective.Milliseconds(), "priority": 1,
	}
}

const host = "desk.example"

func fail(format string, a ...any) { panic(fmt.Sprintf(format, a...)) }

// value returns the value of a key as text, "none" if it does not exist.
func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, ok := s.items[key]; ok {
		return string(i.Value)
	}
	return "none"
}
