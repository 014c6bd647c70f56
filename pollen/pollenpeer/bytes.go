package pollenpeer

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// Bytes counts the bytes sent to and received from other instances on the connections that this instance opened.
var Bytes = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "pollen_peer_bytes_total",
	Help: "Bytes on connections to other instances, by direction.",
}, []string{"direction"})

var (
	sentBytes     = Bytes.WithLabelValues("sent")
	receivedBytes = Bytes.WithLabelValues("received")
)

// countingConn is a connection that adds its traffic to Bytes.
type countingConn struct {
	net.Conn
}

// Read implements net.Conn and counts the received bytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	receivedBytes.Add(float64(n))
	return n, err
}

// Write implements net.Conn and counts the sent bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	sentBytes.Add(float64(n))
	return n, err
}
