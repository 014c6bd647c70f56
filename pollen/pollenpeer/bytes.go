package pollenpeer

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// Bytes counts what this instance sent to and received from others on the connections that it opened.
var Bytes = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "pollen_peer_bytes_total",
	Help: "Bytes on connections to other instances, by direction.",
}, []string{"direction"})

var (
	sentBytes     = Bytes.WithLabelValues("sent")
	receivedBytes = Bytes.WithLabelValues("received")
)

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
}

// Read counts what was received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	receivedBytes.Add(float64(n))
	return n, err
}

// Write counts what was sent.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	sentBytes.Add(float64(n))
	return n, err
}
