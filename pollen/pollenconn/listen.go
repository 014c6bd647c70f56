package pollenconn

import (
	"context"
	"net"
	"time"
)

// listener accepts connections into a registry.
type listener struct {
	net.Listener
	registry *Registry
}

// Listen listens for TCP connections at an address.
func (r *Registry) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: limitBuffers}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, registry: r}, nil
}

// Accept waits for a connection that the registry takes, and closes others.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.registry.open(conn, time.Now()); c != nil {
			return c, nil
		}
		// Its client may try again elsewhere, as nothing was read.
		_ = conn.Close()
	}
}
