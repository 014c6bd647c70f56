package pollenfront

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"pollenline.example/pollen/pollendrain"
)

// connTracker knows the connections of a server's callers, so that a stop closes none on which a request has been read.
//
// http.Server.Shutdown does not suffice: from its call on the server closes, without an answer, connections on which it reads a request.
type connTracker struct {
	server *http.Server
	// served is closed when serve returns.
	served chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

// callerConn is the state of one connection.
type callerConn struct {
	state http.ConnState
	since time.Time
	// expired is set while the connection's read deadline is in the past.
	expired bool
}

// newConnTracker returns the tracker of a server that serve will start, and sets the server's hook.
func newConnTracker(server *http.Server) *connTracker {
	t := &connTracker{server: server, served: make(chan struct{}), conns: make(map[net.Conn]*callerConn)}
	server.ConnState = t.setState
	return t
}

// serve serves the listener's connections until it is closed.
func (t *connTracker) serve(listener net.Listener) error {
	defer close(t.served)
	return t.server.Serve(listener)
}

func (t *connTracker) setState(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(t.conns, conn)
		return
	}
	c, ok := t.conns[conn]
	if !ok {
		c = &callerConn{}
		t.conns[conn] = c
	}
	c.state, c.since = state, time.Now()
	if c.expired && state == http.StateActive {
		// The request was read before the deadline expired; its body must be read, too.
		c.expired = false
		setReadDeadline(conn, time.Time{})
	}
}

// endUnused ends the connections that are idle, or on which nothing has come since they were opened a time ago, and returns the number of
// open ones, among them those that have not ended yet.
//
// It lets their reads time out, and does not close them: either a request is read and served, or the server closes the connection. The
// deadline is set again at each call, as the server sets its own once a connection has become idle.
func (t *connTracker) endUnused(minAge time.Duration) int {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn, c := range t.conns {
		if c.state == http.StateIdle || c.state == http.StateNew && now.Sub(c.since) >= minAge {
			c.expired = true
			setReadDeadline(conn, expiredDeadline)
		}
	}
	return len(t.conns)
}

// expiredDeadline is a deadline in the past.
var expiredDeadline = time.Unix(1, 0)

func setReadDeadline(conn net.Conn, deadline time.Time) {
	// It fails only if the connection is closed already.
	_ = conn.SetReadDeadline(deadline)
}

const (
	// firstRequestTimeout is how long a caller that has connected to a stopping instance may take to send its request. Connections take a
	// round trip; a caller has given up on an instance that has not read its request for a second.
	firstRequestTimeout = time.Second
	// drainPollInterval is how often a stopping instance looks whether its callers have their answers.
	drainPollInterval = 20 * time.Millisecond
)

// drain serves callers with a cached directory answer, then closes the listener and waits until all that have connected have their
// answers, and shuts the server down. All answers must tell their callers to close the connection.
//
// It returns at the plan's exit, or once no connection is open.
func (t *connTracker) drain(listener net.Listener, plan pollendrain.Plan) error {
	time.Sleep(time.Until(plan.Close))
	// The listener is closed for good even if closing it reports an error.
	_ = listener.Close()
	// From then on all connections that were accepted are known, and Shutdown finds no listener to close again.
	<-t.served
	for t.endUnused(firstRequestTimeout) > 0 && time.Now().Before(plan.LastAnswer) {
		time.Sleep(drainPollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), plan.Exit)
	defer cancel()
	return t.server.Shutdown(ctx)
}
