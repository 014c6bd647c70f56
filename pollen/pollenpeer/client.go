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
	"pollenline.example/pollen/pollenversion"
)

// Client calls other instances over one connection per instance.
type Client struct {
	mu sync.Mutex
	// conns holds the connections by peer address, including those that are being dialed.
	conns map[netip.AddrPort]*connection
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{conns: make(map[netip.AddrPort]*connection)}
}

// NotConnectedError reports a call that was not sent, since there was no connection.
type NotConnectedError struct {
	Address netip.AddrPort
	Err     error
}

func (e *NotConnectedError) Error() string {
	return fmt.Sprintf("no connection to %s: %v", e.Address, e.Err)
}

func (e *NotConnectedError) Unwrap() error { return e.Err }

// CallError reports a call without a valid reply; it may have run.
type CallError struct {
	// Method is the name of the called method, such as "Execute".
	Method string
	Err    error
}

func (e *CallError) Error() string { return fmt.Sprintf("call %s: %v", e.Method, e.Err) }

func (e *CallError) Unwrap() error { return e.Err }

// UnsupportedError reports a call that the other instance does not know, because it is of another build. It has not run.
type UnsupportedError struct {
	// Method is the name of the called method.
	Method string
}

func (e *UnsupportedError) Error() string {
	return "the instance does not support the call " + e.Method
}

// Execute runs a sub-query on the instance that owns its backend server.
//
// If ctx is done during the call, it asks the instance to cancel the sub-query and returns an unknown outcome.
func (c *Client) Execute(ctx context.Context, i pollenroute.Instance, q *pollenmessage.SubQuery) pollenmessage.SubAnswer {
	var reply ExecuteReply
	err := c.call(ctx, i.Peer, "Execute", &ExecuteRequest{SubQuery: *q}, &reply)
	var notConnected *NotConnectedError
	var unsupported *UnsupportedError
	switch {
	case err == nil:
		return reply.Answer
	case errors.As(err, &notConnected), errors.As(err, &unsupported):
		return q.Refuse(pollenschema.Reason_REASON_NO_OWNER, err.Error())
	case ctx.Err() != nil:
		go c.sendCancel(i.Peer, q.ID)
		return q.Unknown(pollenschema.Reason_REASON_DEADLINE, err.Error())
	}
	return q.Unknown(pollenschema.Reason_REASON_CONNECTION, err.Error())
}

// Forward forwards a caller's request to another instance and returns its reply.
func (c *Client) Forward(ctx context.Context, i pollenroute.Instance, request *ForwardRequest) (*ForwardReply, error) {
	reply := &ForwardReply{}
	if err := c.call(ctx, i.Peer, "Forward", request, reply); err != nil {
		return nil, err
	}
	if reply.ID != request.ID {
		return nil, &CallError{Method: "Forward", Err: ErrOtherCall}
	}
	return reply, nil
}

// ErrOtherCall is the cause of a *CallError for a reply to another call.
var ErrOtherCall = errors.New("reply to another call")

// Ping returns the status of an instance and closes the connection if the instance does not reply.
func (c *Client) Ping(ctx context.Context, i pollenroute.Instance, request PingRequest) (PingReply, error) {
	var reply PingReply
	err := c.call(ctx, i.Peer, "Ping", &request, &reply)
	var call *CallError
	if errors.As(err, &call) {
		c.closeConnection(i.Peer)
	}
	return reply, err
}

// Watch returns changes of another instance's replica, waiting at most request.Wait for one.
func (c *Client) Watch(ctx context.Context, i pollenroute.Instance, request WatchRequest) (WatchReply, error) {
	var reply WatchReply
	err := c.call(ctx, i.Peer, "Watch", &request, &reply)
	return reply, err
}

// InForce waits at most request.Wait until another instance has at least request.Revision in force, and returns the
// revision in force there.
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
)

// connection is the connection to one instance; client or err is set once ready is closed.
type connection struct {
	ready  chan struct{}
	client *rpc.Client
	err    error
}

// call sends a request over the connection to an address and waits for the reply.
func (c *Client) call(ctx context.Context, address netip.AddrPort, method string, request, reply any) error {
	conn := c.connection(address)
	select {
	case <-conn.ready:
	case <-ctx.Done():
		return &NotConnectedError{Address: address, Err: ctx.Err()}
	}
	if conn.err != nil {
		c.removeConnection(address, conn)
		return &NotConnectedError{Address: address, Err: conn.err}
	}
	call := conn.client.Go(serviceName+"."+method, request, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.handleCallError(address, conn, method, call.Error)
	case <-ctx.Done():
		return &CallError{Method: method, Err: ctx.Err()}
	}
}

// handleCallError converts an error of net/rpc, and removes the connection unless the peer's handler returned the error.
func (c *Client) handleCallError(address netip.AddrPort, conn *connection, method string, err error) error {
	if err == nil {
		return nil
	}
	if pollenversion.IsUnknownMethod(err) {
		return &UnsupportedError{Method: method}
	}
	var handlerError rpc.ServerError
	if !errors.As(err, &handlerError) {
		// net/rpc returns rpc.ErrShutdown both for calls that were not sent and for calls in flight, so that after any
		// error here the call may have run.
		c.removeConnection(address, conn)
	}
	return &CallError{Method: method, Err: err}
}

// connection returns the connection to an address, dialing in the background if there is none.
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

// removeConnection closes and removes a connection, so that the next call dials again.
func (c *Client) removeConnection(address netip.AddrPort, conn *connection) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	conn.close()
}

// closeConnection closes the connection to an address; calls in flight end with an unknown outcome.
func (c *Client) closeConnection(address netip.AddrPort) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	c.mu.Unlock()
	if ok {
		c.removeConnection(address, conn)
	}
}

// sendCancel asks an instance to cancel the call with an ID.
func (c *Client) sendCancel(address netip.AddrPort, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// If the call cannot be cancelled, it ends at its own deadline.
	_ = c.call(ctx, address, "Cancel", &CancelRequest{ID: id}, &Empty{})
}

// dial opens the connection and closes ready.
func (c *connection) dial(address netip.AddrPort) {
	defer close(c.ready)
	conn, err := net.DialTimeout("tcp", address.String(), dialTimeout)
	if err != nil {
		c.err = err
		return
	}
	c.client = rpc.NewClient(&countingConn{Conn: conn})
}

// close waits until dialing has ended and closes the connection.
func (c *connection) close() {
	<-c.ready
	if c.client != nil {
		_ = c.client.Close()
	}
}
