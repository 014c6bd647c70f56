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

	"pollenline.example/pollen/pollenprogress"
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
	Err     error
}

func (e *IncompleteReplyError) Error() string {
	return fmt.Sprintf("reply of instance %v: %v", e.Address, e.Err)
}

func (e *IncompleteReplyError) Unwrap() error { return e.Err }

// fetch calls a method whose reply may be large: it may arrive for as long as the limits allow.
func (p *peerConn) fetch(ctx context.Context, address netip.AddrPort, limits pollenprogress.Limits, method string, request any) (*Reply, error) {
	ctx, transfer := pollenprogress.Start(ctx, limits)
	defer transfer.End()
	if err := p.connect(ctx, address); err != nil {
		return nil, err
	}
	conn := p.conn
	conn.transfer.Store(transfer)
	defer conn.transfer.Store(nil)
	if err := conn.SetWriteDeadline(time.Now().Add(limits.First)); err != nil {
		p.close()
		return nil, err
	}
	reply, err := p.call(ctx, address, method, request)
	var timeout *pollenprogress.TimeoutError
	if errors.As(err, &timeout) && timeout.Received > 0 {
		AbandonedReplies.Inc()
	}
	if err != nil {
		return nil, err
	}
	if err := reply.unpack(); err != nil {
		p.close()
		return nil, err
	}
	return reply, nil
}

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
	reply := &Reply{}
	call := p.client.Go(method, request, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			return nil, p.callError(address, method, call.Error)
		}
		return reply, nil
	case <-ctx.Done():
		p.close()
		return nil, &IncompleteReplyError{Address: address, Err: context.Cause(ctx)}
	}
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
