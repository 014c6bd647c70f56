package pollenpeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenroute"
	"pollenline.example/pollen/pollenschema"
)

// Client calls other instances over one connection each.
type Client struct {
	mu    sync.Mutex
	conns map[netip.AddrPort]*connection
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{conns: make(map[netip.AddrPort]*connection)}
}

// NotConnectedError reports a call for which no connection could be made; nothing was sent.
type NotConnectedError struct {
	Address netip.AddrPort
	Err     error
}

func (e *NotConnectedError) Error() string {
	return fmt.Sprintf("no connection to %s: %v", e.Address, e.Err)
}

func (e *NotConnectedError) Unwrap() error { return e.Err }

// CallError reports a call whose reply did not come; it may have run.
type CallError struct {
	Method string
	Err    error
}

func (e *CallError) Error() string { return fmt.Sprintf("call %s: %v", e.Method, e.Err) }

func (e *CallError) Unwrap() error { return e.Err }

// Execute runs a sub-query on the instance that owns its backend server.
func (c *Client) Execute(ctx context.Context, i pollenroute.Instance, q *pollenmessage.SubQuery) pollenmessage.SubAnswer {
	var reply ExecuteReply
	err := c.call(ctx, i.Peer, "Execute", &ExecuteRequest{SubQuery: *q}, &reply)
	var notConnected *NotConnectedError
	switch {
	case err == nil:
		return reply.Answer
	case errors.As(err, &notConnected):
		return q.Refuse(pollenschema.Reason_REASON_NO_OWNER, err.Error())
	case ctx.Err() != nil:
		go c.cancel(i.Peer, q.ID)
		return q.Unknown(pollenschema.Reason_REASON_DEADLINE, err.Error())
	}
	return q.Unknown(pollenschema.Reason_REASON_CONNECTION, err.Error())
}

// Forward passes a caller's request on to another instance.
func (c *Client) Forward(ctx context.Context, i pollenroute.Instance, request *ForwardRequest) (*ForwardReply, error) {
	reply := &ForwardReply{}
	if err := c.call(ctx, i.Peer, "Forward", request, reply); err != nil {
		return nil, err
	}
	if reply.ID != request.ID {
		return nil, &CallError{Method: "Forward", Err: ErrCrossed}
	}
	return reply, nil
}

// ErrCrossed is the cause of a reply that belongs to another call.
var ErrCrossed = errors.New("reply to another call")

// Ping asks an instance for what it has in force; a connection that does not answer is retired.
func (c *Client) Ping(ctx context.Context, i pollenroute.Instance, request PingRequest) (PingReply, error) {
	var reply PingReply
	err := c.call(ctx, i.Peer, "Ping", &request, &reply)
	var call *CallError
	if errors.As(err, &call) {
		c.retire(i.Peer)
	}
	return reply, err
}

// Watch waits for changes of another instance's replica.
func (c *Client) Watch(ctx context.Context, i pollenroute.Instance, request WatchRequest) (WatchReply, error) {
	var reply WatchReply
	err := c.call(ctx, i.Peer, "Watch", &request, &reply)
	return reply, err
}

// InForce waits until another instance has a revision in force.
func (c *Client) InForce(ctx context.Context, i pollenroute.Instance, request InForceRequest) (InForceReply, error) {
	var reply InForceReply
	err := c.call(ctx, i.Peer, "InForce", &request, &reply)
	return reply, err
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.close()
	}
}

const (
	dialTimeout   = 400 * time.Millisecond
	cancelTimeout = 200 * time.Millisecond
	// callMargin is added to a call's own wait.
	callMargin = 200 * time.Millisecond
)

// connection is the one connection to an instance; client and err are set once ready is closed.
type connection struct {
	ready  chan struct{}
	client *rpc.Client
	err    error
}

func (c *Client) call(ctx context.Context, address netip.AddrPort, method string, request, reply any) error {
	conn := c.connection(address)
	select {
	case <-conn.ready:
	case <-ctx.Done():
		return &NotConnectedError{Address: address, Err: ctx.Err()}
	}
	if conn.err != nil {
		c.drop(address, conn)
		return &NotConnectedError{Address: address, Err: conn.err}
	}
	call := conn.client.Go(serviceName+"."+method, request, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.finish(address, conn, method, call.Error)
	case <-ctx.Done():
		return &CallError{Method: method, Err: ctx.Err()}
	}
}

func (c *Client) finish(address netip.AddrPort, conn *connection, method string, err error) error {
	if err == nil {
		return nil
	}
	var refused rpc.ServerError
	if !errors.As(err, &refused) {
		// rpc.ErrShutdown comes before anything is written and for calls under way alike, so that every error
		// here leaves open whether the call ran.
		c.drop(address, conn)
	}
	return &CallError{Method: method, Err: err}
}

func (c *Client) connection(address netip.AddrPort) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.conns[address]
	if !ok {
		conn = &connection{ready: make(chan struct{})}
		c.conns[address] = conn
		go conn.dial(address)
	}
	return conn
}

// drop forgets a connection, so that the next call dials again.
func (c *Client) drop(address netip.AddrPort, conn *connection) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	conn.close()
}

// retire closes the connection to an address; calls under way end as unknown.
func (c *Client) retire(address netip.AddrPort) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	c.mu.Unlock()
	if ok {
		c.drop(address, conn)
	}
}

func (c *Client) cancel(address netip.AddrPort, id string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	// A call that cannot be cancelled ends by its own deadline.
	_ = c.call(ctx, address, "Cancel", &CancelRequest{ID: id}, &Empty{})
}

func (c *connection) dial(address netip.AddrPort) {
	defer close(c.ready)
	raw, err := net.DialTimeout("tcp", address.String(), dialTimeout)
	if err != nil {
		c.err = err
		return
	}
	c.client = rpc.NewClient(&countedConn{Conn: raw})
}

// close closes the connection, once it is dialled.
func (c *connection) close() {
	<-c.ready
	if c.client != nil {
		_ = c.client.Close()
	}
}
