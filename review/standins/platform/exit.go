package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// graceTime is grace_s. linkRate is the rate of the smallest machine's link of the sheets, 17 Mbit/s, in bytes a second.
	graceTime = 6 * time.Second
	linkRate  = 17 * 1000 * 1000 / 8
	// readers is the number of clients that share the link, answerBytes the size of the answer that each of them asks for.
	readers     = 2
	answerBytes = 8_200_000
	// requestDelay is the time from the SIGTERM to the requests.
	requestDelay = 3900 * time.Millisecond
)

// slowReader is a client with one kept connection, which takes answers at a limited rate.
type slowReader struct {
	conn   net.Conn
	reader *bufio.Reader
	rate   float64
}

// Read reads no faster than the rate allows.
func (s *slowReader) Read(p []byte) (int, error) {
	n, err := s.conn.Read(p[:min(len(p), 16<<10)])
	time.Sleep(time.Duration(float64(n) / s.rate * float64(time.Second)))
	return n, err
}

func newSlowReader(address string, rate float64) *slowReader {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		// The link holds little of what the client has not taken yet.
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10) })
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		cannotRun("client: %v", err)
	}
	s := &slowReader{conn: conn, rate: rate}
	s.reader = bufio.NewReaderSize(s, 16<<10)
	return s
}

// send sends a request, and returns the status, the bytes of the body that came and the error that ended them.
func (s *slowReader) send(path, id string) (status, received int, stated int64, err error) {
	_, err = fmt.Fprintf(s.conn, "GET %s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nDeadline: 15000\r\n\r\n", path, id)
	if err != nil {
		return 0, 0, 0, err
	}
	response, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		return 0, 0, 0, err
	}
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, len(data), response.ContentLength, err
}

// exitCase stops one instance while clients take large answers from it.
func exitCase(root, dir string, trouble bool) (broken []string) {
	r := newRecord()
	defer r.write(dir)
	s := newStore()
	s.put("op/config", mustJSON(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "pull", "host": "desk.example", "path_prefix": "/pull/", "type": "idempotent", "backend": "archive",
			"timeout_ms": 15000, "target_latency_ms": 800, "attempts": 2, "priority": 1,
		}},
		"backends": []any{map[string]any{"name": "archive", "max_conns": 45, "warmup_s": 3, "warmup_per_s": 0, "health_check": "/health"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	}), 0)
	for n, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		startServer(&server{id: fmt.Sprintf("i-%d", n+1), service: "archive", zone: zone, slots: 4, queueLen: 16, work: 220 * time.Millisecond, store: s, record: r})
	}
	f := startFleet(root, s, 3)
	f.awaitReady()
	stopped := f.instances[0]
	single := &caller{address: stopped.http}
	for n := range 30 {
		single.send(r, "GET", "desk.example", fmt.Sprintf("/pull/%d", n), fmt.Sprintf("warm-%d", n), 15*time.Second)
	}
	var clients []*slowReader
	for range readers {
		clients = append(clients, newSlowReader(stopped.http, linkRate/readers))
	}
	for n, c := range clients {
		status, _, _, err := c.send("/pull/first", fmt.Sprintf("first-%d", n))
		r.add("client %d: its first request is answered with %d (%v); the connection is kept", n, status, err)
	}
	begin := time.Now()
	if trouble {
		_ = stopped.process.Signal(syscall.SIGTERM)
		r.add("instance %s gets SIGTERM", stopped.name)
		time.AfterFunc(graceTime, func() {
			_ = stopped.process.Kill()
			r.add("instance %s gets SIGKILL, if it still runs", stopped.name)
		})
		go func() {
			<-stopped.exited
			r.add("instance %s has ended", stopped.name)
		}()
	}
	time.Sleep(time.Until(begin.Add(requestDelay)))
	var requests sync.WaitGroup
	var mu sync.Mutex
	for n, c := range clients {
		requests.Go(func() {
			id := fmt.Sprintf("large-%d", n)
			r.add("client %d: request %s is sent, %d ms after the SIGTERM", n, id, time.Since(begin).Milliseconds())
			status, received, stated, err := c.send(fmt.Sprintf("/pull/large/%d", answerBytes), id)
			r.add("client %d: request %s ends: status %d, %d of %d bytes, error %v", n, id, status, received, stated, err)
			r.mu.Lock()
			ran := len(r.runs[id])
			r.mu.Unlock()
			if err != nil && ran > 0 {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("LOST: request %s was run by a server, and its connection ended after %d of %d bytes of the answer", id, received, stated))
			}
		})
	}
	requests.Wait()
	return broken
}
