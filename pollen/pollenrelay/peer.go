package pollenrelay

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"

	"k8s.io/klog/v2"
)

// peerConn is a connection to one other instance at a time, which is opened by the first call.
type peerConn struct {
	dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// address is the instance that was called last; client and conn are the connection to it, if client is not nil.
	address netip.AddrPort
	client  *rpc.Client
	conn    net.Conn
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
		return nil, ctx.Err()
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
	p.client, p.conn = rpc.NewClient(conn), conn
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
