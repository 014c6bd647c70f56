package pollentraffic

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollenline.example/pollen/pollencaller"
	"pollenline.example/pollen/pollenfakeserver"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenschema"
)

// Tally counts the results of requests for each class.
type Tally struct {
	mu      sync.Mutex
	classes map[pollenschema.Class]*classTally
	// actions holds the ids of actions, as in the servers' ledgers, by outcome.
	actions map[pollenschema.Outcome][]string
}

// classTally counts the results of requests of one class.
type classTally struct {
	requests   int
	complete   int
	actions    int
	done       int
	notRun     int
	unknown    int
	failed     int
	untruthful int
	shards     int
	covered    int
	latency    *hdrhistogram.Histogram
	reasons    map[string]int
}

// Summary holds the counts and latencies of one class or of all classes.
type Summary struct {
	Requests int
	// Complete counts requests that are done and cover every shard.
	Complete int
	Done     int
	NotRun   int
	Unknown  int
	// Failed counts requests without a response.
	Failed int
	// Untruthful counts answers whose rows do not match the stated snapshot or whose coverage does not add up.
	Untruthful int
	// Coverage is the share of all shards that were covered.
	Coverage float64
	// P50, P99 and P999 are percentiles of the latency; P999 is the 99.9th.
	P50, P99 time.Duration
	P999     time.Duration
	// Reasons counts refusals, failures and missing shards.
	Reasons map[string]int
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{classes: make(map[pollenschema.Class]*classTally), actions: make(map[pollenschema.Outcome][]string)}
}

const (
	// maxLatency is the upper end of the histograms' range.
	maxLatency        = 60 * time.Second
	significantDigits = 3
)

// Classes holds the classes from the highest priority to the lowest.
var Classes = []pollenschema.Class{
	pollenschema.Class_CLASS_URGENT, pollenschema.Class_CLASS_NORMAL, pollenschema.Class_CLASS_ARCHIVE,
}

// Class returns the summary of one class.
func (t *Tally) Class(class pollenschema.Class) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.classes[class]; ok {
		return c.summary()
	}
	return newClassTally().summary()
}

// Total returns the summary of all classes together.
func (t *Tally) Total() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := newClassTally()
	for _, c := range t.classes {
		total.merge(c)
	}
	return total.summary()
}

// Actions returns the ids of the actions with an outcome, in the form "incarnation/nonce" of the servers' ledgers.
func (t *Tally) Actions(outcome pollenschema.Outcome) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.actions[outcome]
}

// Print writes a table with one row per class and one for all classes.
func (t *Tally) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "Class\tRequests\tP50\tP99\tCoverage\tNotRun\tUnknown\tFailed\t")
	for _, class := range Classes {
		printRow(table, pollenmessage.ClassName(class), t.Class(class))
	}
	printRow(table, "all", t.Total())
	return table.Flush()
}

func printRow(w io.Writer, name string, s Summary) {
	fmt.Fprintf(w, "%s\t%d\t%v\t%v\t%.5f\t%d\t%d\t%d\t\n", name, s.Requests,
		s.P50.Round(10*time.Microsecond), s.P99.Round(10*time.Microsecond), s.Coverage, s.NotRun, s.Unknown, s.Failed)
}

func (t *Tally) add(request *pollencaller.Request, response *pollenschema.QueryResponse, err error, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.classes[request.Class]
	if !ok {
		c = newClassTally()
		t.classes[request.Class] = c
	}
	c.add(request, response, err, latency)
	if request.Action && err == nil {
		id := response.GetId()
		t.actions[response.Outcome] = append(t.actions[response.Outcome], id.GetIncarnation()+"/"+id.GetNonce())
	}
}

func newClassTally() *classTally {
	return &classTally{
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		reasons: make(map[string]int),
	}
}

func (c *classTally) add(request *pollencaller.Request, response *pollenschema.QueryResponse, err error, latency time.Duration) {
	c.requests++
	if request.Action {
		c.actions++
	}
	// Latencies above the histogram's range are recorded as its maximum.
	_ = c.latency.RecordValue(min(latency, maxLatency).Microseconds())
	if err != nil {
		c.failed++
		c.reasons[err.Error()]++
		return
	}
	coverage := response.GetCoverage()
	c.shards += int(coverage.GetTotal())
	c.covered += int(coverage.GetCovered())
	for _, missing := range coverage.GetMissing() {
		c.reasons["missing "+missing.Reason.String()]++
	}
	switch response.Outcome {
	case pollenschema.Outcome_OUTCOME_DONE:
		c.done++
		if coverage.GetCovered() == coverage.GetTotal() {
			c.complete++
		}
		if !isTruthful(request, response) {
			c.untruthful++
		}
		return
	case pollenschema.Outcome_OUTCOME_NOT_RUN:
		c.notRun++
	default:
		c.unknown++
	}
	c.reasons[response.Outcome.String()+" "+response.Reason.String()]++
}

// isTruthful reports whether the rows are those of the stated snapshot and the coverage adds up.
func isTruthful(request *pollencaller.Request, response *pollenschema.QueryResponse) bool {
	for _, s := range response.Shards {
		if len(s.Rows) != 1 || !bytes.Equal(s.Rows[0], pollenfakeserver.ExpectedRow(request.Service, response.Snapshot, s.Shard, request.Payload)) {
			return false
		}
	}
	return len(response.Shards)+len(response.Coverage.Missing) == int(response.Coverage.Total)
}

func (c *classTally) merge(other *classTally) {
	c.requests += other.requests
	c.complete += other.complete
	c.actions += other.actions
	c.done += other.done
	c.notRun += other.notRun
	c.unknown += other.unknown
	c.failed += other.failed
	c.untruthful += other.untruthful
	c.shards += other.shards
	c.covered += other.covered
	c.latency.Merge(other.latency)
	for reason, n := range other.reasons {
		c.reasons[reason] += n
	}
}

func (c *classTally) summary() Summary {
	s := Summary{
		Requests: c.requests, Complete: c.complete, Done: c.done, NotRun: c.notRun, Unknown: c.unknown, Failed: c.failed, Untruthful: c.untruthful,
		P50: c.percentile(50), P99: c.percentile(99), P999: c.percentile(99.9), Reasons: make(map[string]int),
	}
	if c.shards > 0 {
		s.Coverage = float64(c.covered) / float64(c.shards)
	}
	for reason, n := range c.reasons {
		s.Reasons[reason] = n
	}
	return s
}

func (c *classTally) percentile(percent float64) time.Duration {
	return time.Duration(c.latency.ValueAtQuantile(percent)) * time.Microsecond
}
