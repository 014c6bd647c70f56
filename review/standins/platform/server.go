package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in of a backend server.
type server struct {
	id, service, zone string
	slots, queueLen   int
	work              time.Duration
	// slow multiplies the work, in thousandths.
	slow     atomic.Int64
	draining atomic.Bool
	born     time.Time
	store    *store
	record   *record
	listener net.Listener
	http     *http.Server
	running  chan struct{}
	queued   atomic.Int64
	count    atomic.Int64
	stop     chan struct{}
	once     sync.Once
}

// beat is the time between two writes of a server's entry.
const beat = 1200 * time.Millisecond

func startServer(s *server) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("server: %v", err)
	}
	s.listener, s.born, s.running, s.stop = listener, time.Now(), make(chan struct{}, s.slots), make(chan struct{})
	s.slow.Store(1000)
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	s.write()
	go func() {
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(beat):
				s.write()
			}
		}
	}()
	return s
}

// write writes the server's entry, and returns the time of the store's acknowledgement.
func (s *server) write() time.Time {
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	return s.store.put("servers/"+s.id, mustJSON(map[string]any{
		"backend": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"warmup_left_ms": 0, "seq": s.count.Load(), "born": s.born.UnixMilli(),
	}), 0)
}

// drain reports that the server is draining, and returns the time of the store's acknowledgement.
func (s *server) drain() time.Time {
	s.draining.Store(true)
	return s.write()
}

// end ends the server, which takes its entry away.
func (s *server) end() {
	s.once.Do(func() {
		close(s.stop)
		s.store.remove("servers/" + s.id)
		_ = s.http.Close()
	})
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get("Request-Id")
	if id == "" || r.Header.Get("Target-Instance") != "" && r.Header.Get("Target-Instance") != s.id {
		w.Header().Set("Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Request-Id", id)
	s.record.add("server %s: request %s arrives", s.id, id)
	s.record.arrival(s.id, id, arrived)
	_, _ = io.Copy(io.Discard, r.Body)
	limit, err := strconv.Atoi(r.Header.Get("Deadline"))
	if err != nil {
		limit = 30000
	}
	deadline := time.NewTimer(time.Duration(limit) * time.Millisecond)
	defer deadline.Stop()
	if s.queued.Add(1) > int64(s.queueLen+s.slots) {
		s.queued.Add(-1)
		s.refuse(w, id)
		return
	}
	defer s.queued.Add(-1)
	select {
	case s.running <- struct{}{}:
	case <-deadline.C:
		s.refuse(w, id)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.running }()
	s.record.add("server %s: request %s runs", s.id, id)
	s.record.run(s.id, id)
	work := time.Duration(float64(s.work) * (0.97 + 0.06*rand.Float64()) * float64(s.slow.Load()) / 1000)
	select {
	case <-time.After(work):
	case <-deadline.C:
		s.record.add("server %s: request %s reaches its deadline", s.id, id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		s.record.add("server %s: request %s is broken off", s.id, id)
		return
	}
	body := fmt.Sprintf("%s answers %s", s.id, id)
	if size, err := strconv.Atoi(path.Base(r.URL.Path)); err == nil && strings.Contains(r.URL.Path, "/large/") {
		body += strings.Repeat(".", max(size-len(body), 0))
	}
	w.Header().Set("Server-Stamp", fmt.Sprintf("%s.%d", s.id, s.count.Add(1)))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
	s.record.add("server %s: request %s is answered", s.id, id)
}

func (s *server) refuse(w http.ResponseWriter, id string) {
	s.record.add("server %s: request %s is refused, not run", s.id, id)
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
