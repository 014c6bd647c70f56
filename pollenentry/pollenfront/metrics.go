package pollenfront

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the Prometheus collectors of one instance.
type metrics struct {
	registry *prometheus.Registry
	latency  *prometheus.HistogramVec
	requests *prometheus.CounterVec
	quotas   *prometheus.CounterVec

	mu sync.Mutex
	// quotaTeams holds the teams that have a label of their own in quotas.
	quotaTeams map[string]bool
}

const (
	// maxQuotaTeams bounds the labels of teams; further teams share otherTeams.
	maxQuotaTeams = 100
	otherTeams    = "other"
)

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
		quotas: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollen_quota_requests_total", Help: "Requests of teams with a limit that this instance admitted or refused.",
		}, []string{"team", "result"}),
		quotaTeams: make(map[string]bool),
	}
	m.registry.MustRegister(m.latency, m.requests, m.quotas, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pollen_limited_servers", Help: "Backend servers that state a limit of requests per second.",
	}, func() float64 { return float64(limitedServers()) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pollen_refused_contents", Help: "Contents of which requests are refused because servers end under them.",
	}, func() float64 { return float64(refusedContents()) }))
	return m
}

// Observe records one request. It implements pollenplatform.Observer.
func (m *metrics) Observe(route string, status int, latency time.Duration) {
	m.latency.WithLabelValues(route).Observe(latency.Seconds())
	m.requests.WithLabelValues(route, strconv.Itoa(status)).Inc()
}

// ObserveQuota records a decision about a request of a limited team. It implements pollenallowance.Observer.
func (m *metrics) ObserveQuota(team string, admitted bool) {
	result := "refused"
	if admitted {
		result = "admitted"
	}
	m.quotas.WithLabelValues(m.quotaTeam(team), result).Inc()
}

// quotaTeam returns the label of a team.
func (m *metrics) quotaTeam(team string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.quotaTeams[team] {
		if len(m.quotaTeams) >= maxQuotaTeams {
			return otherTeams
		}
		m.quotaTeams[team] = true
	}
	return team
}
