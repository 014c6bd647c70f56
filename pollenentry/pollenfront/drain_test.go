package pollenfront

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollendrain"
)

// pipeListener accepts in-memory connections that get opens.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// get opens a connection, sends one request on it after a pause and returns the status code of the response.
func (l *pipeListener) get(path string, pause time.Duration) (int, error) {
	client, server := net.Pipe()
	defer client.Close()
	select {
	case l.conns <- server:
	case <-l.closed:
		return 0, net.ErrClosed
	}
	time.Sleep(pause)
	if _, err := io.WriteString(client, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, errors.Join(err, response.Body.Close())
}

// A server that closes at SIGTERM fails open requests and those of callers with a cached directory answer. One that shuts down when it
// closes its listener fails callers who have connected and not sent their requests.
func TestDrainServesLateCallersAndOpenRequests(t *testing.T) {
	stopTimeout := 6 * time.Second
	plan := pollendrain.NewPlan(time.Time{}, stopTimeout)
	minDrainTime, maxDrainTime := plan.Close.Sub(plan.Begin), plan.Exit.Sub(plan.Begin)
	tests := []struct {
		name string
		// sentAt is when the request is sent, relative to the start of the drain, connectedBefore for how long its connection has been
		// open then.
		sentAt          time.Duration
		connectedBefore time.Duration
		// handlingTime is how long the server takes to answer.
		handlingTime time.Duration
		served       bool
		drainTime    time.Duration
	}{
		{name: "open request is answered", sentAt: -time.Second, handlingTime: 3 * time.Second, served: true, drainTime: minDrainTime},
		{name: "late caller is served", sentAt: 4 * time.Second, handlingTime: time.Millisecond, served: true, drainTime: minDrainTime},
		{name: "long request is waited for", sentAt: 4 * time.Second, handlingTime: 1200 * time.Millisecond, served: true, drainTime: 5200 * time.Millisecond},
		{name: "request that takes too long is cut", sentAt: -time.Second, handlingTime: 20 * time.Second, drainTime: maxDrainTime},
		{name: "no request", sentAt: time.Minute, drainTime: minDrainTime},
		{
			name: "caller that has connected and sends after the listener is closed is served", sentAt: 4400 * time.Millisecond,
			connectedBefore: 300 * time.Millisecond, handlingTime: 10 * time.Millisecond, served: true, drainTime: 4410 * time.Millisecond,
		},
		{
			name: "caller that has connected and sends nothing for a second is not waited for", sentAt: 10 * time.Second,
			connectedBefore: 6 * time.Second, drainTime: 5 * time.Second,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Connection", "close")
					select {
					case <-time.After(test.handlingTime):
					case <-r.Context().Done():
					}
				})}
				tracker := newConnTracker(server)
				go func() { _ = tracker.serve(listener) }()
				start := time.Now()
				served := make(chan bool, 1)
				defer server.Close()
				go func() {
					time.Sleep(2*time.Second + test.sentAt - test.connectedBefore)
					status, err := listener.get("/", test.connectedBefore)
					served <- err == nil && status == 200
				}()
				time.Sleep(2 * time.Second)
				err := tracker.drain(listener, pollendrain.NewPlan(time.Now(), stopTimeout))
				drainTime := time.Since(start) - 2*time.Second
				c.Assert(errors.Is(err, context.DeadlineExceeded), qt.Equals, drainTime > 5500*time.Millisecond)
				// Shutdown polls for idle connections at intervals of up to 500 ms.
				c.Assert(drainTime >= test.drainTime && drainTime <= min(test.drainTime+500*time.Millisecond, stopTimeout), qt.IsTrue, qt.Commentf("%v", drainTime))
				c.Assert(server.Close(), qt.IsNil)
				c.Assert(<-served, qt.Equals, test.served)
			})
		})
	}
}

// readCounter is a connection that counts the requests whose last byte the server has read.
type readCounter struct {
	net.Conn
	reads *atomic.Int64
}

func (c readCounter) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if bytes.HasSuffix(b[:n], []byte("\r\n\r\n")) {
		c.reads.Add(1)
	}
	return n, err
}

// countingListener wraps the connections that it accepts in readCounters.
type countingListener struct {
	net.Listener
	reads *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return readCounter{Conn: conn, reads: l.reads}, err
}

// Guards against a stop that closes idle connections whose next request the server has just read. Many callers send at random times, so that
// some requests are being read when the stop ends the idle connections.
func TestStopServesEachRequestThatWasRead(t *testing.T) {
	const (
		stops    = 10
		callers  = 200
		maxPause = 10 * time.Millisecond
	)
	c := qt.New(t)
	var reads, served atomic.Int64
	for range stops {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		server := &http.Server{ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })}
		tracker := newConnTracker(server)
		go func() { _ = tracker.serve(countingListener{Listener: listener, reads: &reads}) }()
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				conn, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					return
				}
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for err == nil {
					time.Sleep(rand.N(maxPause))
					if _, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
						return
					}
					_, err = http.ReadResponse(reader, nil)
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		now := time.Now()
		c.Assert(tracker.drain(listener, pollendrain.Plan{Close: now, LastAnswer: now.Add(5 * time.Second), Exit: now.Add(10 * time.Second)}), qt.IsNil)
		wg.Wait()
	}
	c.Assert(served.Load() > 0, qt.IsTrue)
	c.Assert(served.Load(), qt.Equals, reads.Load())
}
