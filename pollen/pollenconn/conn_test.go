package pollenconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenmemory"
)

// pipeListener accepts in-memory connections.
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

// testServer serves in-memory connections of a registry.
type testServer struct {
	registry *Registry
	pipes    *pipeListener
	server   *http.Server
}

// answerBytes is the size of the answer to a request for /large.
const answerBytes = 1 << 20

func startTestServer(t *testing.T, config RegistryConfig) *testServer {
	if config.Heads == nil {
		config.Heads = pollenmemory.New(pollenmemory.Config{})
	}
	s := &testServer{registry: NewRegistry(config), pipes: &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}}
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch _, err := io.Copy(io.Discard, r.Body); {
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		case r.URL.Path == "/slow":
			time.Sleep(time.Minute)
		case r.URL.Path == "/large":
			_, _ = w.Write(make([]byte, answerBytes))
		}
	})}
	s.registry.Track(s.server)
	go func() { _ = s.server.Serve(&listener{Listener: s.pipes, registry: s.registry}) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// connect opens a connection.
func (s *testServer) connect() net.Conn {
	client, server := net.Pipe()
	s.pipes.conns <- server
	synctest.Wait()
	return client
}

// send writes a text, and returns the status of the answer.
func send(conn net.Conn, text string) (int, error) {
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(conn, text)
		written <- err
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, errors.Join(err, conn.Close())
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, errors.Join(err, response.Body.Close())
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against limits of heads that are not kept, that come too early, or that do not follow the configuration.
func TestHeadLimits(t *testing.T) {
	fields := func(n int) string {
		var text strings.Builder
		for i := range n {
			fmt.Fprintf(&text, "%x:\r\n", i)
		}
		return text.String()
	}
	start := "GET / HTTP/1.1\r\nHost: h\r\n"
	tests := []struct {
		name        string
		headerBytes int64
		memory      int64
		text        string
		want        int
	}{
		{"ordinary", 1000, 1 << 20, get, http.StatusOK},
		{"long field", 16000, 1 << 20, start + "X: " + strings.Repeat("x", 15000) + "\r\n\r\n", http.StatusOK},
		{"long line and long field", 8000, 1 << 20, "GET /" + strings.Repeat("x", 7000) + " HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 7000) + "\r\n\r\n", http.StatusOK},
		{"field that is too long", 8000, 1 << 20, start + "X: " + strings.Repeat("x", 30000), http.StatusRequestHeaderFieldsTooLarge},
		{"line that is too long", 8000, 1 << 20, "GET /" + strings.Repeat("x", 30000), http.StatusRequestHeaderFieldsTooLarge},
		{"short fields within the memory", 16000, 4 << 20, start + fields(3000) + "\r\n", http.StatusOK},
		{"short fields beyond the memory", 16000, 1 << 20, start + fields(3000) + "\r\n", http.StatusServiceUnavailable},
		{"few fields beyond the memory", 16000, 1, start + fields(10) + "\r\n", http.StatusOK},
		{"no limits are known", 0, 4 << 20, start + "X: " + strings.Repeat("x", 500000) + "\r\n\r\n", http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := startTestServer(t, RegistryConfig{
					MaxConnections: 10, Heads: pollenmemory.New(pollenmemory.Config{LimitBytes: test.memory, SmallBytes: smallHeadBytes}),
					Limits: func() Limits { return Limits{HeaderBytes: test.headerBytes} },
				})
				conn := s.connect()
				status, err := send(conn, test.text)
				c.Check(err, qt.IsNil)
				c.Check(status, qt.Equals, test.want)
				c.Check(conn.Close(), qt.IsNil)
				synctest.Wait()
				c.Check(s.registry.config.Heads.Used(), qt.Equals, int64(0))
				c.Check(s.registry.Counts().Open, qt.Equals, 0)
			})
		})
	}
}

// Guards against memory that stays counted after a request, and against bodies beyond the budget.
func TestBodiesAreCountedWhileTheyAreHandled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		bodies := pollenmemory.New(pollenmemory.Config{LimitBytes: 100_000, SmallBytes: 1000})
		s := startTestServer(t, RegistryConfig{MaxConnections: 10, Bodies: bodies})
		post := func(length int) int {
			status, err := send(s.connect(), fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length)))
			c.Assert(err, qt.IsNil)
			synctest.Wait()
			return status
		}
		for range 10 {
			c.Check(post(100_000/bufferFactor-1), qt.Equals, http.StatusOK)
			c.Check(bodies.Used(), qt.Equals, int64(0))
		}
		c.Check(post(100_000), qt.Equals, http.StatusBadRequest)
		c.Check(bodies.Used(), qt.Equals, int64(0))
	})
}

// Guards against heads that are not counted because they came together with the request before.
func TestPipelinedHeadsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := startTestServer(t, RegistryConfig{MaxConnections: 10})
		conn := s.connect()
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		_, err := io.WriteString(conn, get+"GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 500))
		c.Assert(err, qt.IsNil)
		synctest.Wait()
		c.Check(s.registry.config.Heads.Used() >= 500*lineCost, qt.IsTrue, qt.Commentf("%d bytes", s.registry.config.Heads.Used()))
		c.Check(conn.Close(), qt.IsNil)
	})
}

// Guards against heads that are not counted because they begin like HTTP/2, and against HTTP/2 that is taken for a head.
func TestPrefaceOfHTTP2(t *testing.T) {
	preface := string(http2Preface)
	tests := []struct {
		name  string
		parts []string
		http2 bool
		want  bool
	}{
		{"whole", []string{preface}, true, true},
		{"in parts", []string{preface[:1], preface[1:10], preface[10:] + "frames"}, true, true},
		{"fields instead of its end", []string{"PRI * HTTP/2.0\r\n", "a:\r\n"}, true, false},
		{"begins later", []string{"x", preface}, true, false},
		{"not served", []string{preface}, false, false},
	}
	for _, test := range tests {
		c := qt.New(t)
		registry := NewRegistry(RegistryConfig{MaxConnections: 1, HTTP2: test.http2, Heads: pollenmemory.New(pollenmemory.Config{})})
		_, server := net.Pipe()
		conn := registry.open(server, time.Now())
		for _, part := range test.parts {
			c.Assert(conn.countRead([]byte(part), time.Now()), qt.IsNil)
		}
		c.Check(conn.http2, qt.Equals, test.want, qt.Commentf("%s", test.name))
		c.Check(registry.config.Heads.Used() > 0, qt.Equals, !test.want, qt.Commentf("%s", test.name))
	}
}

// Guards against limits that hold only for connections that are opened after them.
func TestLimitsFollowConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var limits atomic.Pointer[Limits]
		limits.Store(&Limits{HeaderBytes: 16000, IdleTimeout: time.Minute})
		s := startTestServer(t, RegistryConfig{MaxConnections: 10, Limits: func() Limits { return *limits.Load() }})
		conn := s.connect()
		text := "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 12000) + "\r\n\r\n"
		status, err := send(conn, text)
		c.Assert(err, qt.IsNil)
		c.Assert(status, qt.Equals, http.StatusOK)
		limits.Store(&Limits{HeaderBytes: 1000, IdleTimeout: 5 * time.Second})
		status, err = send(conn, text)
		c.Assert(err, qt.IsNil)
		c.Assert(status, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
		conn = s.connect()
		_, err = send(conn, get)
		c.Assert(err, qt.IsNil)
		time.Sleep(4 * time.Second)
		c.Check(s.registry.Counts().Open, qt.Equals, 1)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		c.Check(s.registry.Counts().Open, qt.Equals, 0)
		c.Check(s.registry.Counts().Closed[Timeout], qt.Equals, int64(0))
	})
}

// Guards against clients that take as long as they like to send a request or to read an answer, and against limits that cut those who are
// slow but go on.
func TestTimeouts(t *testing.T) {
	limits := Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 10 * time.Second}
	tests := []struct {
		name   string
		behave func(conn net.Conn) error
		// closedAfter is when the connection is closed, zero if it is open after a minute.
		closedAfter time.Duration
	}{
		{"silent", func(net.Conn) error { return nil }, 10 * time.Second},
		{"head that does not end", func(conn net.Conn) error { return write(conn, "GET / HTTP/1.1\r\n") }, 3 * time.Second},
		{"body that does not end", func(conn net.Conn) error {
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			return write(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nx")
		}, 10 * time.Second},
		{"answer that is not read", func(conn net.Conn) error { return write(conn, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n") }, 10 * time.Second},
		{"body that goes on", func(conn net.Conn) error {
			err := write(conn, "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
			for range 4 {
				time.Sleep(9 * time.Second)
				err = errors.Join(err, write(conn, "x"))
			}
			return err
		}, 0},
		{"answer that is read slowly", func(conn net.Conn) error {
			err := write(conn, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
			for range 6 {
				time.Sleep(9 * time.Second)
				_, readErr := io.ReadFull(conn, make([]byte, writeChunkBytes))
				err = errors.Join(err, readErr)
			}
			return err
		}, 0},
		{"request that takes long", func(conn net.Conn) error { return write(conn, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n") }, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := startTestServer(t, RegistryConfig{MaxConnections: 10, Limits: func() Limits { return limits }})
				start := time.Now()
				conn := s.connect()
				go func() { c.Check(test.behave(conn), qt.IsNil) }()
				synctest.Wait()
				for s.registry.Counts().Open > 0 && time.Since(start) < 55*time.Second {
					time.Sleep(100 * time.Millisecond)
				}
				if test.closedAfter > 0 {
					c.Check(time.Since(start).Round(time.Second), qt.Equals, test.closedAfter)
					c.Check(s.registry.Counts().Closed[Timeout], qt.Equals, int64(1))
				} else {
					c.Check(s.registry.Counts().Open, qt.Equals, 1)
				}
				c.Check(conn.Close(), qt.IsNil)
				time.Sleep(time.Hour)
			})
		})
	}
}

func write(conn net.Conn, text string) error {
	_, err := io.WriteString(conn, text)
	return err
}

// Load pattern: silent clients hold all connections. Callers that send at once are served, and a request that comes on a connection that is
// being closed for another one is served as well.
func TestFullListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := startTestServer(t, RegistryConfig{MaxConnections: 3})
		slow := s.connect()
		c.Assert(write(slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"), qt.IsNil)
		idle := s.connect()
		status, err := send(idle, get)
		c.Assert(err, qt.IsNil)
		c.Assert(status, qt.Equals, http.StatusOK)
		s.connect()
		time.Sleep(2 * promptness)
		for range 20 {
			conn := s.connect()
			status, err := send(conn, get)
			c.Assert(err, qt.IsNil)
			c.Assert(status, qt.Equals, http.StatusOK)
		}
		response, err := http.ReadResponse(bufio.NewReader(slow), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		c.Assert(response.Body.Close(), qt.IsNil)
	})
}

// Load pattern: clients have a request in hand on all connections, one after the other. A caller is served, and connections are closed after
// their answers, so that there is room again; there are never more than the maximum.
func TestBusyConnectionsGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const most = 16
		s := startTestServer(t, RegistryConfig{MaxConnections: most})
		for range most - most/spareShare {
			conn := s.connect()
			go func() {
				for conn != nil {
					if _, err := send(conn, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
						conn = nil
					}
				}
			}()
		}
		time.Sleep(time.Second)
		for n := range 2 * most {
			conn := s.connect()
			status, err := send(conn, get)
			if n < most/spareShare {
				c.Check(err, qt.IsNil)
				c.Check(status, qt.Equals, http.StatusOK)
			}
			c.Check(conn.Close(), qt.IsNil)
			c.Check(s.registry.Counts().Open <= most, qt.IsTrue)
		}
		before := s.registry.Counts().Open
		time.Sleep(time.Minute)
		synctest.Wait()
		c.Check(s.registry.Counts().Open < before, qt.IsTrue, qt.Commentf("%d, %d before", s.registry.Counts().Open, before))
	})
}

// Guards against a request that has come on an idle connection and is lost because the connection was chosen to be closed meanwhile.
func TestRequestOnEvictedConnectionIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		registry := NewRegistry(RegistryConfig{MaxConnections: 1, Heads: pollenmemory.New(pollenmemory.Config{})})
		client, server := net.Pipe()
		defer client.Close()
		conn := registry.open(server, time.Now())
		conn.setState(http.StateIdle, time.Now())
		go func() { _, _ = io.WriteString(client, get) }()
		n, err := conn.Read(make([]byte, len(get)))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, len(get))
		// The head has come, so that the connection is no longer idle.
		c.Assert(registry.closeOne(time.Now()), qt.IsTrue)
		conn.setState(http.StateActive, time.Now())
		c.Assert(conn.beginServing(time.Now()), qt.IsFalse)

		other, otherServer := net.Pipe()
		defer other.Close()
		idle := registry.open(otherServer, time.Now())
		idle.setState(http.StateIdle, time.Now())
		c.Assert(registry.closeOne(time.Now()), qt.IsTrue)
		c.Assert(registry.Counts().Open, qt.Equals, 0)
		idle.setState(http.StateActive, time.Now())
		c.Assert(idle.beginServing(time.Now()), qt.IsTrue)
		c.Assert(registry.Counts().Open, qt.Equals, 1)
	})
}

// Load pattern: clients with HTTP/2 open as many requests as they can and end none. A caller with one request is served.
func TestOpenRequestsAreShared(t *testing.T) {
	c := qt.New(t)
	registry := NewRegistry(RegistryConfig{MaxConnections: 10, MaxRequests: 100, Heads: pollenmemory.New(pollenmemory.Config{})})
	now := time.Unix(1000, 0)
	open := func() *Conn {
		_, server := net.Pipe()
		conn := registry.open(server, now)
		conn.http2 = true
		return conn
	}
	admitted := 0
	greedy := open()
	for range 3 {
		open()
	}
	for range 200 {
		if greedy.beginRequest(now) {
			admitted++
		}
	}
	c.Check(admitted, qt.Equals, 25)
	c.Check(greedy.currentState().Phase, qt.Equals, Reading)
	ordinary := open()
	c.Check(ordinary.beginRequest(now), qt.IsTrue)
	ordinary.completeRequest(now)
	c.Check(ordinary.currentState().Phase, qt.Equals, Serving)
	ordinary.endRequest(true, now)
	c.Check(ordinary.currentState().Phase, qt.Equals, Idle)
}
