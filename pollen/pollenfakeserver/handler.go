package pollenfakeserver

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"pollenline.example/pollen/pollenbackend"
)

// The paths by which a test bench controls a server over HTTP.
const (
	PathFaults  = "/stand-in/faults"
	PathRestart = "/stand-in/restart"
	PathLedger  = "/stand-in/ledger"
	PathSilence = "/stand-in/silence"
)

// maximumRequestBytes bounds what a server reads of one request.
const maximumRequestBytes = 8 << 20

// NewHandler serves the backend servers' protocol, without the paths of the test bench.
func NewHandler(server *Server) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pollenbackend.PathAnswer, func(w http.ResponseWriter, r *http.Request) {
		var request pollenbackend.Request
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumRequestBytes)).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := server.Answer(r.Context(), &request)
		if err != nil {
			// This breaks the connection without an answer.
			panic(http.ErrAbortHandler)
		}
		if answer.NotRun {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		// A caller that has gone away has no use for the answer.
		_ = json.NewEncoder(w).Encode(answer)
	})
	return mux
}

// NewControlHandler lets a test bench control a server; it is served apart, so that faults do not reach it.
func NewControlHandler(server *Server, listener *Listener) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		server.SetFaults(faults)
	})
	mux.HandleFunc("POST "+PathRestart, func(http.ResponseWriter, *http.Request) { server.Restart() })
	mux.HandleFunc("POST "+PathSilence, func(http.ResponseWriter, *http.Request) { listener.SilenceHalf() })
	mux.HandleFunc("POST "+PathLedger, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(server.Ledger())
	})
	return mux
}

// ListenerConfig configures a Listener.
type ListenerConfig struct {
	Listener net.Listener
	// Connections is the most that are open at once; more are closed at once.
	Connections int
	// ConnectTime is what a new connection takes before its first request is read.
	ConnectTime time.Duration
}

// Listener limits, delays and silences connections.
type Listener struct {
	config ListenerConfig
	mu     sync.Mutex
	open   map[*conn]bool
}

// NewListener returns a listener.
func NewListener(config ListenerConfig) *Listener {
	return &Listener{config: config, open: make(map[*conn]bool)}
}

// Accept waits for a connection within the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.config.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, listener: l, readyAt: time.Now().Add(l.config.ConnectTime), closed: make(chan struct{})}
		if l.add(c) {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// Close stops accepting.
func (l *Listener) Close() error { return l.config.Listener.Close() }

// Addr returns the address listened on.
func (l *Listener) Addr() net.Addr { return l.config.Listener.Addr() }

// SilenceHalf makes every second open connection silent for good, while new ones work.
func (l *Listener) SilenceHalf() {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for c := range l.open {
		if count%2 == 0 {
			c.silence()
		}
		count++
	}
}

func (l *Listener) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.config.Connections {
		return false
	}
	l.open[c] = true
	return true
}

// conn is one accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	readyAt  time.Time
	mu       sync.Mutex
	silent   bool
	once     sync.Once
	closed   chan struct{}
}

// Read waits for ever once the connection is silent.
func (c *conn) Read(p []byte) (int, error) {
	time.Sleep(time.Until(c.readyAt))
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write loses its data once the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.open, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}

func (c *conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}
