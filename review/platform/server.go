package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in of a backend server. It runs slots requests at once and queues a few more.
type server struct {
	id, service, zone string
	listener          net.Listener
	slots             chan struct{}
	queue             int32
	queued, answers   atomic.Int32
	record            *record
	// work is how long a request occupies a slot.
	work func(r *http.Request) time.Duration
	// shed reports whether a request is rejected although there is room; nil for never.
	shed func(id string) bool
	// fails reports whether a request that has run is answered with a failure; nil for never.
	fails func() bool
	// version is the version of the software; "v1" if it is empty.
	version string
	// repeats reports whether an answer is sent a second time, at the point where the next one is expected; nil for never.
	repeats func(id string, ran bool) bool

	mu    sync.Mutex
	conns map[net.Conn]bool
	born  int64
}

// crash ends the server: its listener and connections are closed.
func (s *server) crash() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

func startServer(s *server, slots, queue int) error {
	address := "127.0.0.1:0"
	if s.listener != nil {
		// A server that starts again has the address that it had.
		address = s.listener.Addr().String()
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener, s.slots, s.queue, s.conns = listener, make(chan struct{}, slots), int32(queue), make(map[net.Conn]bool)
	s.born = time.Now().UnixMilli()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return nil
}

// entry returns what the server writes to the store.
func (s *server) entry(state string) map[string]any {
	return map[string]any{
		"backend": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": cmp.Or(s.version, "v1"), "slots": cap(s.slots), "state": state,
		"warmup_left_ms": 0, "seq": 1, "born": s.born,
	}
}

// serve answers the requests of one connection, one at a time.
func (s *server) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != nil {
			s.record.printf("server %s sends its earlier answer again, in front of the answer to %s", s.id, r.Header.Get("Request-Id"))
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		text, ran := s.handle(r, body)
		if _, err := conn.Write(text); err != nil {
			return
		}
		if s.repeats != nil && s.repeats(r.Header.Get("Request-Id"), ran) {
			late = text
		}
	}
}

// handle returns the answer to a request, and whether the request has run.
func (s *server) handle(r *http.Request, body []byte) (text []byte, ran bool) {
	id := r.Header.Get("Request-Id")
	switch {
	case r.URL.Path == "/health":
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id), false
	case r.Header.Get("Target-Instance") != "" && r.Header.Get("Target-Instance") != s.id:
		s.record.printf("server %s rejects %s: 421", s.id, id)
		return fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id), false
	case s.shed != nil && s.shed(id), !s.acquire():
		s.record.printf("server %s rejects %s: 503 Not-Executed", s.id, id)
		return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id), false
	}
	defer func() { <-s.slots }()
	work := s.work(r)
	s.record.run(s, id, work)
	time.Sleep(work)
	status := "200 OK"
	if s.fails != nil && s.fails() {
		status = "500 Internal Server Error"
	}
	content := fmt.Sprintf("%s of %s answers %s", s.id, s.service, id)
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\nRequest-Id: %s\r\nServer-Stamp: %s.%d\r\nContent-Length: %d\r\n\r\n%s",
		status, id, s.id, s.answers.Add(1), len(content), content), true
}

// acquire waits for a slot, and reports false if the queue is full.
func (s *server) acquire() bool {
	if s.queued.Add(1) > s.queue+int32(cap(s.slots)) {
		s.queued.Add(-1)
		return false
	}
	s.slots <- struct{}{}
	s.queued.Add(-1)
	return true
}
