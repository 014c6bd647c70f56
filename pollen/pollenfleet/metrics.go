package pollenfleet

import (
	"context"
	"fmt"
	"net/http"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Counters holds sums of metrics over all running instances.
type Counters struct {
	// SubQueriesSent counts sub-queries sent, SubQueriesNeeded those whose answer covered a shard not covered before.
	SubQueriesSent, SubQueriesNeeded float64
	// Violations counts failed assertions of invariants.
	Violations float64
	// GarbledAnswers and LateAnswers count answers that were dropped.
	GarbledAnswers, LateAnswers float64
	// CallErrors counts calls that were answered with an HTTP error.
	CallErrors float64
	// CPUSeconds is the processor time of the instances, in seconds.
	CPUSeconds float64
	// ResidentBytes and HeapBytes are the memory of the instances, in bytes.
	ResidentBytes, HeapBytes float64
	// PeerBytes counts the bytes sent and received on connections between instances.
	PeerBytes float64
}

// Counters reads the metrics of all running instances.
func (f *Fleet) Counters(ctx context.Context) (Counters, error) {
	var sum Counters
	for n, p := range f.Instances {
		if p.Ended() {
			continue
		}
		families, err := f.scrape(ctx, n)
		if err != nil {
			return sum, err
		}
		sum.SubQueriesSent += sumMetrics(families["pollen_subqueries_sent_total"])
		sum.SubQueriesNeeded += sumMetrics(families["pollen_subqueries_needed_total"])
		sum.Violations += sumMetrics(families["pollen_invariant_violations_total"])
		sum.GarbledAnswers += sumMetrics(families["pollen_owner_garbled_total"]) + sumMetrics(families["pollen_garbled_answers_total"])
		sum.CallErrors += sumMetrics(families["pollen_http_errors_total"])
		sum.LateAnswers += sumMetrics(families["pollen_late_answers_total"])
		sum.CPUSeconds += sumMetrics(families["process_cpu_seconds_total"])
		sum.ResidentBytes += sumMetrics(families["process_resident_memory_bytes"])
		sum.HeapBytes += sumMetrics(families["go_memstats_heap_inuse_bytes"])
		sum.PeerBytes += sumMetrics(families["pollen_peer_bytes_total"])
	}
	return sum, nil
}

func (f *Fleet) scrape(ctx context.Context, n int) (map[string]*dto.MetricFamily, error) {
	url := fmt.Sprintf("http://%s/metrics", f.Settings[n].OperatorAddress)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	return parser.TextToMetricFamilies(response.Body)
}

func sumMetrics(family *dto.MetricFamily) float64 {
	var sum float64
	for _, metric := range family.GetMetric() {
		sum += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
	}
	return sum
}
