package pollenfakeserver

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"pollenline.example/pollen/pollenbackend"
)

// The HTTP paths of the control interface of a server.
const (
	PathFaults  = "/stand-in/faults"  // replaces the injected faults
	PathRestart = "/stand-in/restart" // restarts the server cold
	PathLedger  = "/stand-in/ledger"  // returns the ledger
	PathSilence = "/stand-in/silence" // makes half of the open connections unresponsive
)

// maxRequestBytes bounds the body of one request.
const maxRequestBytes = 8 << 20

// NewHandler returns a handler of the backend servers' protocol, without the control paths.
func NewHandler(server *Server) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pollenbackend.PathAnswer, func(w http.ResponseWriter, r *http.Request) {
		var request pollenbackend.Request
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := server.Answer(r.Context(), &request)
		if err != nil {
			// net/http aborts the connection without a response.
			panic(http.ErrAbortHandler)
		}
		if answer.NotRun {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		// Encoding fails only if the client has disconnected.
		_ = json.NewEncoder(w).Encode(answer)
	})
	return mux
}

// NewControlHandler returns a handler of the control paths; it needs a listener of its own, which faults do not affect.
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

// ListenerConfig holds the connection limits of a Listener.
type ListenerConfig struct {
	Listener net.Listener
	// Connections is the maximum number of open connections; further ones are closed when they are accepted.
	Connections int
	// ConnectTime is the delay between accepting a connection and its first read.
	ConnectTime time.Duration
}

// Listener is a net.Listener that limits the number of connections, delays them and can make them unresponsive.
type Listener struct {
	config    ListenerConfig
	mu        sync.Mutex
	openConns map[*conn]bool
}

// NewListener returns a listener that accepts connections from config.Listener.
func NewListener(config ListenerConfig) *Listener {
	return &Listener{config: config, openConns: make(map[*conn]bool)}
}

// Accept waits for a connection and closes those above the limit.
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

// Close closes the underlying listener; accepted connections stay open.
func (l *Listener) Close() error { return l.config.Listener.Close() }

// Addr returns the address of the underlying listener.
func (l *Listener) Addr() net.Addr { return l.config.Listener.Addr() }

// SilenceHalf makes every second open connection permanently unresponsive, while new ones work.
func (l *Listener) SilenceHalf() {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.openConns {
		if n%2 == 0 {
			c.silence()
		}
		n++
	}
}

// add registers an open connection, and reports false if the limit is reached.
func (l *Listener) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.openConns) >= l.config.Connections {
		return false
	}
	l.openConns[c] = true
	return true
}

// conn is an accepted connection that can become unresponsive.
type conn struct {
	net.Conn
	listener  *Listener
	readyAt   time.Time
	mu        sync.Mutex
	silent    bool
	closeOnce sync.Once
	closed    chan struct{}
}

// Read waits for the connect time to pass; on a silent connection it then blocks until the connection is closed.
func (c *conn) Read(p []byte) (int, error) {
	time.Sleep(time.Until(c.readyAt))
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write discards its data if the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from the listener's count.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.openConns, c)
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
