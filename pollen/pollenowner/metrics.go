package pollenowner

import (
	"github.com/prometheus/client_golang/prometheus"

	"pollenline.example/pollen/pollenlimit"
	"pollenline.example/pollen/pollenmessage"
)

// Metrics holds the Prometheus metrics of the owner role.
type Metrics struct {
	queueTime      *prometheus.HistogramVec
	sends          *prometheus.CounterVec
	garbledAnswers *prometheus.CounterVec
}

// NewMetrics registers and returns the metrics of the owner role.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		queueTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "pollen_owner_queue_seconds",
			Help:    "Time that sub-queries waited for a slot of their backend server.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
		}, []string{"class"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollen_owner_sends_total",
			Help: "Requests sent to backend servers; hedges apart.",
		}, []string{"class", "hedge"}),
		garbledAnswers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollen_owner_garbled_total",
			Help: "Answers of backend servers that were dropped as garbled, crossed or truncated.",
		}, []string{"service"}),
	}
	registry.MustRegister(m.queueTime, m.sends, m.garbledAnswers)
	return m
}

// observeQueueTime records the time from sending a sub-query to receiving its permit.
func (m *Metrics) observeQueueTime(q *pollenmessage.SubQuery, permit *pollenlimit.Permit) {
	waited := max(0, permit.Started().Sub(q.Sent))
	m.queueTime.WithLabelValues(pollenmessage.ClassName(q.Class)).Observe(waited.Seconds())
}

// countSend counts a request sent to a backend server.
func (m *Metrics) countSend(q *pollenmessage.SubQuery) {
	hedge := "no"
	if q.Hedge {
		hedge = "yes"
	}
	m.sends.WithLabelValues(pollenmessage.ClassName(q.Class), hedge).Inc()
}

// countGarbled counts an answer of a backend server that failed verification.
func (m *Metrics) countGarbled(q *pollenmessage.SubQuery) {
	m.garbledAnswers.WithLabelValues(q.Service).Inc()
}
