package pollenfront

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
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
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// get sends one request on a new connection and returns the status code of the response.
func (l *pipeListener) get(path string) (int, error) {
	client, server := net.Pipe()
	defer client.Close()
	select {
	case l.conns <- server:
	case <-l.closed:
		return 0, net.ErrClosed
	}
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

// A server that closes at SIGTERM fails open requests and those of callers with a cached directory answer.
func TestDrainServesLateCallersAndOpenRequests(t *testing.T) {
	stopTimeout := 6 * time.Second
	plan := pollendrain.NewPlan(time.Time{}, stopTimeout)
	minDrainTime, maxDrainTime := plan.Close.Sub(plan.Begin), plan.Exit.Sub(plan.Begin)
	tests := []struct {
		name string
		// sentAt is when the request is sent, relative to the start of the drain.
		sentAt time.Duration
		// handlingTime is how long the server takes to answer.
		handlingTime time.Duration
		served       bool
		drainTime    time.Duration
	}{
		{"open request is answered", -time.Second, 3 * time.Second, true, minDrainTime},
		{"late caller is served", 4 * time.Second, time.Millisecond, true, minDrainTime},
		{"long request is waited for", 4 * time.Second, 1200 * time.Millisecond, true, 5200 * time.Millisecond},
		{"request that takes too long is cut", -time.Second, 20 * time.Second, false, maxDrainTime},
		{"no request", time.Minute, 0, false, minDrainTime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					select {
					case <-time.After(test.handlingTime):
					case <-r.Context().Done():
					}
				})}
				go func() { _ = server.Serve(listener) }()
				start := time.Now()
				served := make(chan bool, 1)
				defer server.Close()
				go func() {
					time.Sleep(2*time.Second + test.sentAt)
					status, err := listener.get("/")
					served <- err == nil && status == 200
				}()
				time.Sleep(2 * time.Second)
				err := drain(server, pollendrain.NewPlan(time.Now(), stopTimeout))
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
