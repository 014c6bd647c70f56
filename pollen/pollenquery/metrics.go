package pollenquery

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenschema"
)

// Metrics holds the Prometheus metrics of the root role.
type Metrics struct {
	latency        *prometheus.HistogramVec
	coverage       *prometheus.HistogramVec
	outcomes       *prometheus.CounterVec
	sent           prometheus.Counter
	needed         prometheus.Counter
	lateAnswers    prometheus.Counter
	garbledAnswers prometheus.Counter
	callers        callerLabels
}

// NewMetrics registers and returns the metrics of the root role.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "pollen_request_seconds",
			Help:    "Time from a request to its response, for each class and caller.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 1.6, 24),
		}, []string{"class", "caller"}),
		coverage: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "pollen_request_coverage",
			Help:    "Share of the shards that responses covered, for each class and caller.",
			Buckets: []float64{0, 0.5, 0.9, 0.95, 0.99, 0.999, 1},
		}, []string{"class", "caller"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollen_requests_total",
			Help: "Responses by class, outcome and reason.",
		}, []string{"class", "outcome", "reason"}),
		sent:           prometheus.NewCounter(prometheus.CounterOpts{Name: "pollen_subqueries_sent_total", Help: "Copies of sub-queries that went to backend servers."}),
		needed:         prometheus.NewCounter(prometheus.CounterOpts{Name: "pollen_subqueries_needed_total", Help: "Sub-queries whose answer covered a shard that no other had covered."}),
		lateAnswers:    prometheus.NewCounter(prometheus.CounterOpts{Name: "pollen_late_answers_total", Help: "Answers that came after the merge was sealed and were dropped."}),
		garbledAnswers: prometheus.NewCounter(prometheus.CounterOpts{Name: "pollen_garbled_answers_total", Help: "Answers of owners that were not whole and were dropped."}),
	}
	registry.MustRegister(m.latency, m.coverage, m.outcomes, m.sent, m.needed, m.lateAnswers, m.garbledAnswers)
	return m
}

// observe records the latency, coverage and outcome of a response.
func (m *Metrics) observe(request *pollenschema.QueryRequest, response *pollenschema.QueryResponse, latency time.Duration) {
	class, caller := pollenmessage.ClassName(request.Class), m.callers.label(request.Caller)
	m.latency.WithLabelValues(class, caller).Observe(latency.Seconds())
	if total := response.Coverage.GetTotal(); total > 0 {
		m.coverage.WithLabelValues(class, caller).Observe(float64(response.Coverage.Covered) / float64(total))
	}
	m.outcomes.WithLabelValues(class, response.Outcome.String(), response.Reason.String()).Inc()
}

// CountSends adds to the number of requests sent to backend servers, hedges and retries included.
func (m *Metrics) CountSends(sent int) { m.sent.Add(float64(sent)) }

// CountNeeded counts a sub-query whose answer covered a shard that no other had covered.
func (m *Metrics) CountNeeded() { m.needed.Inc() }

// countLate counts an answer that arrived after the merge.
func (m *Metrics) countLate() { m.lateAnswers.Inc() }

// countGarbled counts an answer of an owner that failed validation.
func (m *Metrics) countGarbled() { m.garbledAnswers.Inc() }

// maxCallerLabels bounds the callers with their own label value.
const maxCallerLabels = 100

// callerLabels bounds the number of caller label values, since callers choose their own names.
type callerLabels struct {
	mu    sync.Mutex
	known map[string]bool
}

// label returns the caller's name, or "other" once maxCallerLabels names are in use.
func (c *callerLabels) label(caller string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known[caller] {
		return caller
	}
	if len(c.known) >= maxCallerLabels {
		return "other"
	}
	if c.known == nil {
		c.known = make(map[string]bool)
	}
	c.known[caller] = true
	return caller
}
