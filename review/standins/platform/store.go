package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []event
	leases   map[uint64]*lease
	nextID   uint64
	changed  chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

type event struct {
	item
	Deleted bool `json:"deleted,omitempty"`
	at      time.Time
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

const (
	historyKept = 20 * time.Second
	// maxPageItems and maxPageBytes bound a page of a listing and an answer of a watch.
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

func newStore() *store {
	s := &store{revision: 7, items: map[string]item{}, leases: map[uint64]*lease{}, nextID: 100, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// put writes a key as an operator or a server does, and returns the time of the acknowledgement.
func (s *store) put(key string, value []byte, leaseID uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, value, leaseID)
	return time.Now()
}

func (s *store) putLocked(key string, value []byte, leaseID uint64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.addEvent(event{item: i})
}

// remove deletes a key as an operator or a server does.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
	return time.Now()
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.addEvent(event{item: item{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *store) addEvent(e event) {
	e.at = time.Now()
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.removeLocked(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	data, _ := json.Marshal(body)
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	query := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-range":
		s.serveRange(w, query.Get("path_prefix"), query.Get("after"))
	case r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.serveWatch(w, r, query.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == "/kv-txn":
		s.serveTransaction(w, r)
	case r.URL.Path == "/kv-lease":
		var q struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&q)
		s.mu.Lock()
		s.nextID++
		id, ttl := s.nextID, time.Duration(max(q.TTL, 1000))*time.Millisecond
		s.leases[id] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"), strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
		s.mu.Lock()
		l, ok := s.leases[id]
		if ok && r.Method == http.MethodDelete {
			s.endLease(id)
		} else if ok {
			l.until = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{})
	default:
		reply(w, 404, map[string]any{})
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, more, size := []item{}, false, 0
	for _, key := range keys {
		if len(page) == maxPageItems || size > maxPageBytes {
			more = true
			break
		}
		page = append(page, s.items[key])
		size += len(s.items[key].Value)
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, 200, map[string]any{"items": page, "has_more": more, "current_rev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		for len(s.events) > 0 && time.Since(s.events[0].at) > historyKept {
			s.events = s.events[1:]
		}
		gone := after > s.revision || after < s.revision && (len(s.events) == 0 || s.events[0].Revision > after+1)
		found, revision, size := []event{}, s.revision, 0
		for _, e := range s.events {
			if e.Revision <= after || !strings.HasPrefix(e.Key, prefix) {
				continue
			}
			if len(found) == maxPageItems || size > maxPageBytes {
				revision = found[len(found)-1].Revision
				break
			}
			found = append(found, e)
			size += len(e.Value)
		}
		changed := s.changed
		s.mu.Unlock()
		switch {
		case gone:
			reply(w, 410, map[string]any{})
			return
		case len(found) > 0:
			reply(w, 200, map[string]any{"events": found, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, 200, map[string]any{"events": found, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, failed := []item{}, false
	for _, c := range q.Precondition {
		failed = failed || s.items[c.Key].Revision != c.Revision
		if i, ok := s.items[c.Key]; ok {
			current = append(current, i)
		}
	}
	if failed {
		reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, p := range q.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, map[string]any{})
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, 404, map[string]any{})
			return
		}
	}
	for _, p := range q.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range q.Remove {
		s.removeLocked(key)
	}
	reply(w, 200, map[string]any{"revision": s.revision})
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprint(err))
	}
	return data
}
