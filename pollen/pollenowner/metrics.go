package pollenowner

import (
	"github.com/prometheus/client_golang/prometheus"

	"pollenline.example/pollen/pollenlimit"
	"pollenline.example/pollen/pollenmessage"
)

// Metrics are the owner's metrics.
type Metrics struct {
	queueTime *prometheus.HistogramVec
	sends     *prometheus.CounterVec
	garbles   *prometheus.CounterVec
}

// NewMetrics registers the owner's metrics.
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
		garbles: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollen_owner_garbled_total",
			Help: "Answers of backend servers that were dropped as garbled, crossed or truncated.",
		}, []string{"service"}),
	}
	registry.MustRegister(m.queueTime, m.sends, m.garbles)
	return m
}

func (m *Metrics) observeQueue(q *pollenmessage.SubQuery, permit *pollenlimit.Permit) {
	waited := max(0, permit.Started().Sub(q.Sent))
	m.queueTime.WithLabelValues(pollenmessage.ClassName(q.Class)).Observe(waited.Seconds())
}

func (m *Metrics) sent(q *pollenmessage.SubQuery) {
	hedge := "no"
	if q.Hedge {
		hedge = "yes"
	}
	m.sends.WithLabelValues(pollenmessage.ClassName(q.Class), hedge).Inc()
}

func (m *Metrics) garbled(q *pollenmessage.SubQuery) {
	m.garbles.WithLabelValues(q.Service).Inc()
}
