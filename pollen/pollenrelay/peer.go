package pollenrelay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"k8s.io/klog/v2"
)

// peerConn is a connection to one other instance at a time, which is opened by the first call.
type peerConn struct {
	dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// address is the instance that was called last; client and conn are the connection to it, if client is not nil.
	address netip.AddrPort
	client  *rpc.Client
	conn    *meteredConn
}

// IncompleteReplyError reports a call whose reply had not arrived whole when it was given up.
type IncompleteReplyError struct {
	Address netip.AddrPort
	// Received is the number of bytes that had arrived by then, Waited the time since the call began.
	Received int64
	Waited   time.Duration
	Err      error
}

func (e *IncompleteReplyError) Error() string {
	return fmt.Sprintf("instance %v has sent %d bytes of a reply in %v: %v", e.Address, e.Received, e.Waited, e.Err)
}

func (e *IncompleteReplyError) Unwrap() error { return e.Err }

// call calls a method over the connection to address. The connection is closed if the call fails, but for an *UnsupportedError.
func (p *peerConn) call(ctx context.Context, address netip.AddrPort, method string, request any) (*Reply, error) {
	if err := p.connect(ctx, address); err != nil {
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		// rpc.Client sets no write deadline itself.
		if err := p.conn.SetWriteDeadline(deadline); err != nil {
			p.close()
			return nil, err
		}
	}
	reply, start, before := &Reply{}, time.Now(), p.conn.received.Load()
	call := p.client.Go(method, request, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			return nil, p.callError(address, method, call.Error)
		}
		return reply, nil
	case <-ctx.Done():
		p.close()
		return nil, p.incompleteReply(ctx.Err(), p.conn.received.Load()-before, time.Since(start))
	}
}

// incompleteReply returns the error of a call that was given up because of err, and counts it if a part of the reply was wasted.
func (p *peerConn) incompleteReply(err error, received int64, waited time.Duration) error {
	if received > 0 {
		AbandonedReplies.Inc()
	}
	return &IncompleteReplyError{Address: p.address, Received: received, Waited: waited, Err: err}
}

// callError returns the error of a failed call, and closes the connection unless the peer has only refused the call.
func (p *peerConn) callError(address netip.AddrPort, method string, err error) error {
	if isUnsupported(err) {
		return &UnsupportedError{Address: address, Method: method}
	}
	p.close()
	return err
}

// connect opens the connection to address, unless there is one.
func (p *peerConn) connect(ctx context.Context, address netip.AddrPort) error {
	if p.client != nil && p.address == address {
		return nil
	}
	p.close()
	p.address = address
	conn, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.conn = &meteredConn{Conn: conn}
	p.client = rpc.NewClient(p.conn)
	return nil
}

// close closes the connection, if there is one.
func (p *peerConn) close() {
	if p.client == nil {
		return
	}
	if err := p.client.Close(); err != nil && !errors.Is(err, rpc.ErrShutdown) {
		klog.V(1).InfoS("Closing a peer connection failed", "err", err)
	}
	p.client = nil
}
