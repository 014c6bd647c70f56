package pollenquery

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenschema"
)

// Metrics are the root's metrics.
type Metrics struct {
	latency  *prometheus.HistogramVec
	coverage *prometheus.HistogramVec
	outcomes *prometheus.CounterVec
	sent     prometheus.Counter
	need     prometheus.Counter
	lates    prometheus.Counter
	garbles  prometheus.Counter
	callers  callerLabels
}

// NewMetrics registers the root's metrics.
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
		sent:    prometheus.NewCounter(prometheus.CounterOpts{Name: "pollen_subqueries_sent_total", Help: "Copies of sub-queries that went to backend servers."}),
		need:    prometheus.NewCounter(prometheus.CounterOpts{Name: "pollen_subqueries_needed_total", Help: "Sub-queries whose answer covered a shard that no other had covered."}),
		lates:   prometheus.NewCounter(prometheus.CounterOpts{Name: "pollen_late_answers_total", Help: "Answers that came after the merge was sealed and were dropped."}),
		garbles: prometheus.NewCounter(prometheus.CounterOpts{Name: "pollen_garbled_answers_total", Help: "Answers of owners that were not whole and were dropped."}),
	}
	registry.MustRegister(m.latency, m.coverage, m.outcomes, m.sent, m.need, m.lates, m.garbles)
	return m
}

func (m *Metrics) observe(request *pollenschema.QueryRequest, response *pollenschema.QueryResponse, latency time.Duration) {
	class, caller := pollenmessage.ClassName(request.Class), m.callers.label(request.Caller)
	m.latency.WithLabelValues(class, caller).Observe(latency.Seconds())
	if total := response.Coverage.GetTotal(); total > 0 {
		m.coverage.WithLabelValues(class, caller).Observe(float64(response.Coverage.Covered) / float64(total))
	}
	m.outcomes.WithLabelValues(class, response.Outcome.String(), response.Reason.String()).Inc()
}

// Sends counts copies of sub-queries that went to backend servers.
func (m *Metrics) Sends(sent int) { m.sent.Add(float64(sent)) }

// Needed counts a sub-query whose answer was needed.
func (m *Metrics) Needed() { m.need.Inc() }

func (m *Metrics) late() { m.lates.Inc() }

func (m *Metrics) garbled() { m.garbles.Inc() }

// maximumCallers bounds the callers that have histograms of their own.
const maximumCallers = 100

// callerLabels keeps the number of label values bounded, whatever names callers give.
type callerLabels struct {
	mu    sync.Mutex
	known map[string]bool
}

func (c *callerLabels) label(caller string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known[caller] {
		return caller
	}
	if len(c.known) >= maximumCallers {
		return "other"
	}
	if c.known == nil {
		c.known = make(map[string]bool)
	}
	c.known[caller] = true
	return caller
}
