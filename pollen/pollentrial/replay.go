package pollentrial

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"pollenline.example/pollen/pollenfakeserver"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenschema"
	"pollenline.example/pollen/pollentrace"
)

// Report is what a replay came to.
type Report struct {
	Requests int
	// Latency is the 99th percentile, Coverage and Done are shares, all of the outcome's class.
	Latency  time.Duration
	Coverage float64
	Done     float64
	// RunTwice counts actions that ran more than once, and FalseNotRun those that were told as not run and ran.
	RunTwice    int
	FalseNotRun int
	// Untruthful counts answers whose rows are not those of the stated snapshot.
	Untruthful int
	// Problems are the points in which the outcome was missed.
	Problems []string
}

const (
	replaySettle = 3 * time.Second
	replayCold   = 2 * time.Second
	tailPercent  = 99
)

// Replay runs a trace against instances with fakes around them and compares with its stated outcome.
//
// Under a baseline that outcome should be missed. It runs in real time, or inside a testing/synctest bubble.
func Replay(trace *pollentrace.Trace, baseline string) (*Report, error) {
	t := Start(Config{Instances: trace.Outcome.Instances, Seed: 1, ColdTime: replayCold, Baseline: baseline})
	defer t.End()
	if err := t.checkTargets(trace); err != nil {
		return nil, err
	}
	started := time.Now()
	var running sync.WaitGroup
	for _, f := range trace.Failures {
		running.Go(func() {
			time.Sleep(f.At.Std())
			at, _ := t.place(f)
			t.bring(Step{Fault: Fault(f.Kind), For: f.For.Std()}, at)
		})
	}
	cache := &locateCache{}
	requests := slices.Clone(trace.Requests)
	slices.SortStableFunc(requests, func(a, b pollentrace.Request) int { return int(a.At - b.At) })
	for n, r := range requests {
		time.Sleep(time.Until(started.Add(r.At.Std())))
		request, node := t.replayed(cache, r, n)
		if node == nil {
			continue
		}
		running.Go(func() { t.ask(node, request, false, Load{Timeout: r.Timeout.Std()}) })
	}
	running.Wait()
	time.Sleep(replaySettle)
	return t.report(trace, requests), nil
}

// TargetError reports a failure or request that names something which does not exist.
type TargetError struct {
	Target string
}

func (e *TargetError) Error() string {
	return fmt.Sprintf("no instance, backend server, zone, service or failure %q", e.Target)
}

func (t *Trial) checkTargets(trace *pollentrace.Trace) error {
	for _, f := range trace.Failures {
		if _, ok := t.place(f); !ok {
			return &TargetError{Target: f.Target + " " + f.Kind}
		}
	}
	for _, r := range trace.Requests {
		if _, ok := t.Map(r.Service, firstName); !ok {
			return &TargetError{Target: r.Service}
		}
	}
	return nil
}

// place finds what a failure of a trace happens to.
func (t *Trial) place(f pollentrace.Failure) (place, bool) {
	at := place{node: t.Nodes()[0], server: t.fleet[0].Name, zone: t.Firm.Zones[0]}
	known := slices.Contains(allFaults, Fault(f.Kind))
	if f.Target == "" || f.Target == "store" {
		return at, known
	}
	for _, n := range t.Nodes() {
		if n.Name == f.Target {
			at.node = n
			return at, known
		}
	}
	for _, s := range t.fleet {
		if s.Name == f.Target {
			at.server = s.Name
			return at, known
		}
	}
	at.zone = f.Target
	return at, known && slices.Contains(t.Firm.Zones, f.Target)
}

var allFaults = []Fault{
	FaultKill, FaultPause, FaultCutNodes, FaultCutStore, FaultIsolate, FaultStoreDown, FaultStoreSlow, FaultStoreLose, FaultStoreStale,
	FaultServerRestart, FaultServerDown, FaultServerLose, FaultServerGarble, FaultServerTruncate, FaultServerStraggle,
	FaultServerLostData, FaultServerMissing, FaultSilent, FaultZoneOut, FaultDrain, FaultPublish, FaultRepartition, FaultRace,
	FaultGracefulStop,
}

func (t *Trial) replayed(cache *locateCache, r pollentrace.Request, number int) (*pollenschema.QueryRequest, *Node) {
	i := t.locate(cache)
	if i == nil {
		return nil, nil
	}
	class, err := pollenmessage.ParseClass(r.Class)
	if err != nil {
		// The trace was checked when it was read.
		panic(err)
	}
	nonce := fmt.Sprintf("request-%d", number)
	return &pollenschema.QueryRequest{
		Id:      &pollenschema.RequestId{Incarnation: i.Incarnation, Nonce: nonce, Expiry: timestamppb.New(time.Now().Add(idLifetime))},
		Service: r.Service, Class: class, Caller: "replay", Timeout: durationpb.New(r.Timeout.Std()),
		Idempotent: !r.Action, Key: r.Key, Payload: []byte(nonce),
	}, t.nodeNamed(i.Name)
}

func (t *Trial) nodeNamed(name string) *Node {
	for _, n := range t.Nodes() {
		if n.Name == name {
			return n
		}
	}
	return nil
}

func (t *Trial) report(trace *pollentrace.Trace, requests []pollentrace.Request) *Report {
	report := &Report{}
	runs := t.ActionRuns()
	var latencies []time.Duration
	var covered, total, done int
	for _, r := range t.Results() {
		report.judge(r, runs)
		var number int
		if _, err := fmt.Sscanf(r.Nonce, "request-%d", &number); err != nil || number >= len(requests) {
			continue
		}
		if class := trace.Outcome.Class; class != "" && requests[number].Class != class {
			continue
		}
		report.Requests++
		latencies = append(latencies, r.Ended.Sub(r.Sent))
		if r.Response.GetOutcome() == pollenschema.Outcome_OUTCOME_DONE {
			done++
		}
		if !r.Action {
			shards, _ := t.Map(r.Service, firstName)
			total += len(shards.Shards)
			covered += min(int(r.Response.GetCoverage().GetCovered()), len(shards.Shards))
		}
	}
	for _, n := range runs {
		if n > 1 {
			report.RunTwice++
		}
	}
	report.Latency = percentile(latencies, tailPercent)
	report.Coverage = share(covered, total)
	report.Done = share(done, report.Requests)
	report.compare(&trace.Outcome)
	for _, v := range t.Violations() {
		report.Problems = append(report.Problems, v.Error())
	}
	return report
}

// ActionRuns adds up the servers' ledgers by the nonce of the action.
func (t *Trial) ActionRuns() map[string]int {
	runs := make(map[string]int)
	for _, server := range t.Servers {
		for action, n := range server.Ledger().Runs {
			_, nonce, _ := bytes.Cut([]byte(action), []byte("/"))
			runs[string(nonce)] += n
		}
	}
	return runs
}

func (r *Report) judge(result Result, runs map[string]int) {
	response := result.Response
	if response.GetOutcome() == pollenschema.Outcome_OUTCOME_NOT_RUN && runs[result.Nonce] > 0 {
		r.FalseNotRun++
	}
	for _, s := range response.GetShards() {
		want := pollenfakeserver.Row(result.Service, response.Snapshot, s.Shard, result.Payload)
		if len(s.Rows) != 1 || !bytes.Equal(s.Rows[0], want) {
			r.Untruthful++
			return
		}
	}
}

func (r *Report) compare(o *pollentrace.Outcome) {
	add := func(ok bool, format string, arguments ...any) {
		if !ok {
			r.Problems = append(r.Problems, fmt.Sprintf(format, arguments...))
		}
	}
	add(r.Requests > 0, "no request of class %q", o.Class)
	add(r.Latency <= o.Latency.Std(), "99th percentile %v, want at most %v", r.Latency, o.Latency.Std())
	add(r.Coverage >= o.Coverage, "coverage %.4f, want at least %.4f", r.Coverage, o.Coverage)
	add(r.Done >= o.Done, "done %.4f, want at least %.4f", r.Done, o.Done)
	add(r.RunTwice == 0, "%d actions ran twice", r.RunTwice)
	add(r.FalseNotRun == 0, "%d actions were told as not run and ran", r.FalseNotRun)
	add(r.Untruthful == 0, "%d answers are untruthful", r.Untruthful)
}

func percentile(values []time.Duration, percent int) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(math.Ceil(float64(len(values)*percent)/100))-1)]
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
