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
)

// pipeListener accepts the far ends of in-memory connections.
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

// ask sends one request on a new connection and returns the status.
func (l *pipeListener) ask(path string) (int, error) {
	near, far := net.Pipe()
	defer near.Close()
	select {
	case l.conns <- far:
	case <-l.closed:
		return 0, net.ErrClosed
	}
	if _, err := io.WriteString(near, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(near), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, errors.Join(err, response.Body.Close())
}

func TestDrain(t *testing.T) {
	stop := 6 * time.Second
	late := time.Duration(float64(stop) * serveShare)
	end := time.Duration(float64(stop) * endShare)
	tests := []struct {
		name string
		// after is when a request is sent, counted from the signal; negative if before it.
		after time.Duration
		// work is how long it takes to answer.
		work   time.Duration
		served bool
		ended  time.Duration
	}{
		{"open request is answered", -time.Second, 3 * time.Second, true, late},
		{"late caller is served", 4 * time.Second, time.Millisecond, true, late},
		{"long request is waited for", 4 * time.Second, 1200 * time.Millisecond, true, 5200 * time.Millisecond},
		{"request that takes too long is cut", -time.Second, 20 * time.Second, false, end},
		{"no request", time.Minute, 0, false, late},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					select {
					case <-time.After(test.work):
					case <-r.Context().Done():
					}
				})}
				go func() { _ = server.Serve(listener) }()
				begun := time.Now()
				served := make(chan bool, 1)
				defer server.Close()
				go func() {
					time.Sleep(2*time.Second + test.after)
					status, err := listener.ask("/")
					served <- err == nil && status == 200
				}()
				time.Sleep(2 * time.Second)
				err := drain(server, stop)
				ended := time.Since(begun) - 2*time.Second
				c.Assert(errors.Is(err, context.DeadlineExceeded), qt.Equals, ended > 5500*time.Millisecond)
				// Shutdown looks for idle connections at intervals of up to half a second.
				c.Assert(ended >= test.ended && ended <= min(test.ended+500*time.Millisecond, stop), qt.IsTrue, qt.Commentf("%v", ended))
				c.Assert(server.Close(), qt.IsNil)
				c.Assert(<-served, qt.Equals, test.served)
			})
		})
	}
}
