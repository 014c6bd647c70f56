package pollenrelay

import (
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"pollenline.example/pollen/pollenprogress"
)

var (
	// Bytes counts the bytes that this instance exchanges with the others, by direction.
	Bytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pollen_relay_bytes_total", Help: "Bytes exchanged with other instances, by direction.",
	}, []string{"direction"})
	// AbandonedReplies counts the calls of other instances that were given up after a part of the reply had arrived.
	AbandonedReplies = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "pollen_relay_abandoned_replies_total", Help: "Replies of other instances that were given up after a part of them had arrived.",
	})

	sentBytes     = Bytes.WithLabelValues("sent")
	receivedBytes = Bytes.WithLabelValues("received")
)

// meteredConn is a connection to another instance that counts its traffic.
type meteredConn struct {
	net.Conn
	// transfer is the reply that is arriving, if there is one.
	transfer atomic.Pointer[pollenprogress.Transfer]
}

// Read implements net.Conn and counts the received bytes.
func (m *meteredConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	if transfer := m.transfer.Load(); transfer != nil && n > 0 {
		transfer.Add(n)
	}
	receivedBytes.Add(float64(n))
	return n, err
}

// Write implements net.Conn and counts the sent bytes.
func (m *meteredConn) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	sentBytes.Add(float64(n))
	return n, err
}
