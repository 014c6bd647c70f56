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
	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

// callerConn is the state of one connection.
type callerConn struct {
	state http.ConnState
	since time.Time
	// closed is set once the tracker has closed the connection.
	closed bool
}

// connKey is the context key of a request's callerConn.
type connKey struct{}

// newConnTracker returns the tracker of a server that has not been started, and sets the server's hooks and handler.
func newConnTracker(server *http.Server) *connTracker {
	t := &connTracker{conns: make(map[net.Conn]*callerConn)}
	server.ConnState = t.setState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, t.conn(conn))
	}
	server.Handler = t.withoutClosed(server.Handler)
	return t
}

// conn returns the state of a connection, which it adds if there is none.
func (t *connTracker) conn(conn net.Conn) *callerConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lockedConn(conn)
}

// lockedConn is conn for callers that hold the mutex.
func (t *connTracker) lockedConn(conn net.Conn) *callerConn {
	c, ok := t.conns[conn]
	if !ok {
		c = &callerConn{state: http.StateNew, since: time.Now()}
		t.conns[conn] = c
	}
	return c
}

func (t *connTracker) setState(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(t.conns, conn)
		return
	}
	c := t.lockedConn(conn)
	c.state, c.since = state, time.Now()
}

// withoutClosed aborts requests whose connection the tracker has closed while they were read: their callers can't get an answer.
func (t *connTracker) withoutClosed(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*callerConn); ok && t.isClosed(c) {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
}

func (t *connTracker) isClosed(c *callerConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.closed
}

// closeUnused closes the connections that are idle, or on which nothing has come since they were opened a time ago, and returns the
// number of the others.
func (t *connTracker) closeUnused(minAge time.Duration) int {
	now := time.Now()
	inUse := 0
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn, c := range t.conns {
		switch {
		case c.closed:
		case c.state == http.StateIdle, c.state == http.StateNew && now.Sub(c.since) >= minAge:
			c.closed = true
			// The connection is not used again, so that an error has no effect.
			_ = conn.Close()
		default:
			inUse++
		}
	}
	return inUse
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
// It returns at the plan's exit, or once no connection is in use.
func (t *connTracker) drain(server *http.Server, listener net.Listener, plan pollendrain.Plan) error {
	time.Sleep(time.Until(plan.Close))
	// The listener is closed for good even if closing it reports an error.
	_ = listener.Close()
	for t.closeUnused(firstRequestTimeout) > 0 && time.Now().Before(plan.LastAnswer) {
		time.Sleep(drainPollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), plan.Exit)
	defer cancel()
	return server.Shutdown(ctx)
}
