package pollenfleet

import (
	"context"
	"fmt"
	"net/http"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Counters are sums of metrics over all instances that answer.
type Counters struct {
	// Sent and Needed count sub-queries.
	Sent, Needed float64
	// Violations counts failed assertions of invariants.
	Violations float64
	// Garbled and Late count answers that were dropped.
	Garbled, Late float64
	// CallErrors counts calls that were answered with an HTTP error.
	CallErrors float64
	// CPUSeconds is the processor time of the instances.
	CPUSeconds float64
	// ResidentBytes and HeapBytes are the instances' memory.
	ResidentBytes, HeapBytes float64
	// PeerBytes went over connections between instances.
	PeerBytes float64
}

// Counters reads the metrics of all instances that run.
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
		sum.Sent += total(families["pollen_subqueries_sent_total"])
		sum.Needed += total(families["pollen_subqueries_needed_total"])
		sum.Violations += total(families["pollen_invariant_violations_total"])
		sum.Garbled += total(families["pollen_owner_garbled_total"]) + total(families["pollen_garbled_answers_total"])
		sum.CallErrors += total(families["pollen_http_errors_total"])
		sum.Late += total(families["pollen_late_answers_total"])
		sum.CPUSeconds += total(families["process_cpu_seconds_total"])
		sum.ResidentBytes += total(families["process_resident_memory_bytes"])
		sum.HeapBytes += total(families["go_memstats_heap_inuse_bytes"])
		sum.PeerBytes += total(families["pollen_peer_bytes_total"])
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

func total(family *dto.MetricFamily) float64 {
	var sum float64
	for _, metric := range family.GetMetric() {
		sum += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
	}
	return sum
}
