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

// Tally counts what came back, for each class.
type Tally struct {
	mu      sync.Mutex
	classes map[pollenschema.Class]*classTally
	// actions are the ids of actions, as backend servers see them, by outcome.
	actions map[pollenschema.Outcome][]string
}

// classTally counts the requests of one class.
type classTally struct {
	requests   int
	whole      int
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

// Summary is what came back for one class, or for all of them.
type Summary struct {
	Requests int
	// Whole counts requests that are done and cover every shard.
	Whole   int
	Done    int
	NotRun  int
	Unknown int
	// Failed counts requests without any response.
	Failed int
	// Untruthful counts answers whose rows, snapshot and coverage do not agree.
	Untruthful int
	// Coverage is the share of all shards that were covered.
	Coverage float64
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
	maximumLatency = 60 * time.Second
	significant    = 3
)

// Classes are the classes in their order of rank.
var Classes = []pollenschema.Class{
	pollenschema.Class_CLASS_URGENT, pollenschema.Class_CLASS_NORMAL, pollenschema.Class_CLASS_ARCHIVE,
}

// Class summarises one class.
func (t *Tally) Class(class pollenschema.Class) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.classes[class]; ok {
		return c.summary()
	}
	return newClassTally().summary()
}

// Total summarises all classes together.
func (t *Tally) Total() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := newClassTally()
	for _, c := range t.classes {
		total.merge(c)
	}
	return total.summary()
}

// Actions returns the ids of the actions that ended with an outcome, as backend servers see them.
func (t *Tally) Actions(outcome pollenschema.Outcome) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.actions[outcome]
}

// Print writes a table with a line for each class.
func (t *Tally) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "Class\tRequests\tP50\tP99\tCoverage\tNotRun\tUnknown\tFailed\t")
	for _, class := range Classes {
		printLine(table, pollenmessage.ClassName(class), t.Class(class))
	}
	printLine(table, "all", t.Total())
	return table.Flush()
}

func printLine(w io.Writer, name string, s Summary) {
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
		latency: hdrhistogram.New(1, maximumLatency.Microseconds(), significant),
		reasons: make(map[string]int),
	}
}

func (c *classTally) add(request *pollencaller.Request, response *pollenschema.QueryResponse, err error, latency time.Duration) {
	c.requests++
	if request.Action {
		c.actions++
	}
	// Latencies above the histogram's range count as its maximum.
	_ = c.latency.RecordValue(min(latency, maximumLatency).Microseconds())
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
			c.whole++
		}
		if !truthful(request, response) {
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

// truthful compares rows with what the stand-ins answer for the stated snapshot.
func truthful(request *pollencaller.Request, response *pollenschema.QueryResponse) bool {
	for _, s := range response.Shards {
		if len(s.Rows) != 1 || !bytes.Equal(s.Rows[0], pollenfakeserver.ExpectedRow(request.Service, response.Snapshot, s.Shard, request.Payload)) {
			return false
		}
	}
	return len(response.Shards)+len(response.Coverage.Missing) == int(response.Coverage.Total)
}

func (c *classTally) merge(other *classTally) {
	c.requests += other.requests
	c.whole += other.whole
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
		Requests: c.requests, Whole: c.whole, Done: c.done, NotRun: c.notRun, Unknown: c.unknown, Failed: c.failed, Untruthful: c.untruthful,
		P50: c.quantile(50), P99: c.quantile(99), P999: c.quantile(99.9), Reasons: make(map[string]int),
	}
	if c.shards > 0 {
		s.Coverage = float64(c.covered) / float64(c.shards)
	}
	for reason, n := range c.reasons {
		s.Reasons[reason] = n
	}
	return s
}

func (c *classTally) quantile(percent float64) time.Duration {
	return time.Duration(c.latency.ValueAtQuantile(percent)) * time.Microsecond
}
