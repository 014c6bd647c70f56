package pollenconn

import "net"

// listener accepts connections into a registry.
type listener struct {
	net.Listener
	registry *Registry
}

// Listen listens for TCP connections at an address.
func (r *Registry) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, registry: r}, nil
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.registry.open(conn), nil
}
