package pollenfront

import (
	"cmp"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollengate"
	"pollenline.example/pollen/pollenrank"
	"pollenline.example/pollen/pollenrelay"
	"pollenline.example/pollen/pollenteam"
	"pollenline.example/pollen/pollenversion"
)

// metrics holds the Prometheus collectors of one instance.
type metrics struct {
	registry *prometheus.Registry
	latency  *prometheus.HistogramVec
	requests *prometheus.CounterVec
	// teamLatency, teamRequests and quotas have the labels that teamLabels bounds; teamUsage counts what is served for each team.
	teamLatency  *prometheus.HistogramVec
	teamRequests *prometheus.CounterVec
	quotas       *prometheus.CounterVec
	teamLabels   pollenteam.Labels
	teamUsage    *pollenteam.Usage
	rollouts     *prometheus.GaugeVec
}

// teamUsageWindow is the window of the numbers of requests that operators are told.
const teamUsageWindow = 5 * time.Second

// newMetrics returns the collectors; limitedServers returns the number of servers that state a limit, refusedContents that
// of the contents of which requests are refused, heldBack that of the servers that get no requests, by reason, and spread how evenly
// requests were spread over servers.
func newMetrics(limitedServers, refusedContents func() int, heldBack func() pollengate.Counts, spread func() pollenrank.Counts) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pollen_request_seconds", Help: "Latency of callers' requests by route.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"route"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollen_requests_total", Help: "Callers' requests by route and status.",
		}, []string{"route", "status"}),
		teamLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pollen_team_request_seconds", Help: "Latency of callers' requests by team.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"team"}),
		teamRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollen_team_requests_total", Help: "Callers' requests by team and status.",
		}, []string{"team", "status"}),
		quotas: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollen_quota_requests_total", Help: "Requests of teams with a limit that this instance admitted or refused.",
		}, []string{"team", "result"}),
		teamUsage: pollenteam.NewUsage(teamUsageWindow),
		rollouts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "pollen_rollout_share", Help: "Share of a service's first requests that go to the target of its newest rollout, by the rollout's state.",
		}, []string{"service", "state"}),
	}
	m.registry.MustRegister(m.latency, m.requests, m.teamLatency, m.teamRequests, m.quotas, m.rollouts, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pollen_limited_servers", Help: "Backend servers that state a limit of requests per second.",
	}, func() float64 { return float64(limitedServers()) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pollen_refused_contents", Help: "Contents of which requests are refused because servers end under them.",
	}, func() float64 { return float64(refusedContents()) }), &heldBackCollector{
		count: heldBack,
		desc:  prometheus.NewDesc("pollen_held_back_servers", "Backend servers that may not be sent a request now, by reason.", []string{"reason"}, nil),
	}, newSpreadCounter("pollen_choices_total", "Choices of a server among several.", func() int { return spread().Choices }),
		newSpreadCounter("pollen_choices_longer_queue_total", "Choices of a server with more of this instance's requests in flight per slot than another.", func() int { return spread().LongerQueue }),
		newSpreadCounter("pollen_sheds_total", "Requests that servers have shed.", func() int { return spread().Sheds }))
	return m
}

// stateConfiguration adds the version in force, and what the instance exchanges with others to learn it.
func (m *metrics) stateConfiguration(table func() *pollencatalog.Table) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pollen_configuration_version", Help: "Version of the configuration in force here, zero if none is known.",
	}, func() float64 {
		if configuration := table().Configuration(); configuration != nil {
			return float64(configuration.Version)
		}
		return 0
	}), pollenrelay.Bytes, pollenrelay.AbandonedReplies)
}

// countUnreadableKeys adds the number of keys of the store that can't be read.
func (m *metrics) countUnreadableKeys(count func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pollen_unreadable_keys", Help: "Keys of the store that name nothing, as they can't be read.",
	}, func() float64 { return float64(count()) }))
}

// stateBuilds adds this instance's build, and the number of registered instances by build as this instance's table has them.
func (m *metrics) stateBuilds(self pollencatalog.Instance, table func() *pollencatalog.Table) {
	build := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "pollen_build_info", Help: "1, with this instance's build and protocol version."}, []string{"build", "protocol"})
	build.WithLabelValues(self.Build, strconv.Itoa(self.Protocol)).Set(1)
	m.registry.MustRegister(build, &buildCollector{
		table: table, desc: prometheus.NewDesc("pollen_registered_instances", "Registered instances by build and protocol version.", []string{"build", "protocol"}, nil),
	}, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pollen_fleet_protocol", Help: "Lowest protocol version that this and the registered instances state.",
	}, func() float64 { return float64(table().Protocol(self.Protocol)) }))
}

// buildCollector counts the registered instances by build when the metrics are read.
type buildCollector struct {
	table func() *pollencatalog.Table
	desc  *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (b *buildCollector) Describe(descs chan<- *prometheus.Desc) { descs <- b.desc }

// Collect implements prometheus.Collector. Instances that state no build count under pollenversion.Unknown.
func (b *buildCollector) Collect(metrics chan<- prometheus.Metric) {
	type build struct {
		name     string
		protocol int
	}
	counts := make(map[build]int)
	for _, i := range b.table().Instances() {
		counts[build{cmp.Or(i.Build, pollenversion.Unknown), i.Protocol}]++
	}
	for stated, n := range counts {
		metrics <- prometheus.MustNewConstMetric(b.desc, prometheus.GaugeValue, float64(n), stated.name, strconv.Itoa(stated.protocol))
	}
}

func newSpreadCounter(name, help string, count func() int) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(count()) })
}

// heldBackCollector counts the servers that get no requests when the metrics are read.
type heldBackCollector struct {
	count func() pollengate.Counts
	desc  *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (h *heldBackCollector) Describe(descs chan<- *prometheus.Desc) { descs <- h.desc }

// Collect implements prometheus.Collector.
func (h *heldBackCollector) Collect(metrics chan<- prometheus.Metric) {
	counts := h.count()
	for _, reason := range pollengate.Reasons() {
		metrics <- prometheus.MustNewConstMetric(h.desc, prometheus.GaugeValue, float64(counts[reason]), reason.String())
	}
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

// ObserveTeam records one request of a team. It implements pollenplatform.Observer.
func (m *metrics) ObserveTeam(team string, status int, latency time.Duration) {
	label := m.teamLabels.Label(team)
	m.teamLatency.WithLabelValues(label).Observe(latency.Seconds())
	m.teamRequests.WithLabelValues(label, strconv.Itoa(status)).Inc()
	// Requests with these statuses have not run.
	if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
		m.teamUsage.Record(team, time.Now())
	}
}

// ObserveQuota records a decision about a request of a limited team. It implements pollenallowance.Observer.
func (m *metrics) ObserveQuota(team string, admitted bool) {
	result := "refused"
	if admitted {
		result = "admitted"
	}
	m.quotas.WithLabelValues(m.teamLabels.Label(team), result).Inc()
}
