package pollenfront

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pollenline.example/pollen/pollencatalog"
)

// metrics holds the Prometheus collectors of one instance.
type metrics struct {
	registry *prometheus.Registry
	latency  *prometheus.HistogramVec
	requests *prometheus.CounterVec
	rollouts *prometheus.GaugeVec
}

// newMetrics returns the collectors; limitedServers returns the number of servers that state a limit, refusedContents that
// of the contents of which requests are refused.
func newMetrics(limitedServers, refusedContents func() int) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pollen_request_seconds", Help: "Latency of callers' requests by route.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"route"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollen_requests_total", Help: "Callers' requests by route and status.",
		}, []string{"route", "status"}),
		rollouts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "pollen_rollout_share", Help: "Share of a service's first requests that go to the target of its newest rollout, by the rollout's state.",
		}, []string{"service", "state"}),
	}
	m.registry.MustRegister(m.latency, m.requests, m.rollouts, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pollen_limited_servers", Help: "Backend servers that state a limit of requests per second.",
	}, func() float64 { return float64(limitedServers()) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pollen_refused_contents", Help: "Contents of which requests are refused because servers end under them.",
	}, func() float64 { return float64(refusedContents()) }))
	return m
}

// setRollout replaces the state and share of a service's rollout.
func (m *metrics) setRollout(state pollencatalog.RolloutState) {
	m.rollouts.DeletePartialMatch(prometheus.Labels{"service": state.Service})
	m.rollouts.WithLabelValues(state.Service, state.State).Set(state.Share)
}

// Observe records one request. It implements pollenplatform.Observer.
func (m *metrics) Observe(route string, status int, latency time.Duration) {
	m.latency.WithLabelValues(route).Observe(latency.Seconds())
	m.requests.WithLabelValues(route, strconv.Itoa(status)).Inc()
}
