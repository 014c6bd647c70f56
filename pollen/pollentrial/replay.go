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

// Report holds the measured results of a replay.
//
// Requests, Latency, Coverage and Done cover only the class of requests that the trace's expected results apply to.
type Report struct {
	// Requests is the number of requests that were sent.
	Requests int
	// Latency is the 99th percentile of the requests' latencies.
	Latency time.Duration
	// Coverage is the share of shards that idempotent requests covered.
	Coverage float64
	// Done is the share of requests that ended with OUTCOME_DONE.
	Done float64
	// DuplicateRuns counts actions that ran more than once.
	DuplicateRuns int
	// FalseNotRun counts actions that were reported as not run although they ran.
	FalseNotRun int
	// Untruthful counts answers with rows other than those of the stated snapshot.
	Untruthful int
	// Problems describes each expected result of the trace that was missed and each violation of an invariant.
	Problems []string
}

const (
	// replaySettleTime is the pause between the last response and the evaluation of the replay.
	replaySettleTime = 3 * time.Second
	// replayColdTime is how long backend servers take to warm up.
	replayColdTime = 2 * time.Second
	// latencyPercentile is the percentile that Report.Latency holds.
	latencyPercentile = 99
)

// Replay runs the requests and failures of a trace in a trial and compares the results with those that trace.Outcome expects.
//
// The baseline is empty or polleninstance.BaselineNaive, which is expected to miss them. Replay runs in real time or inside a testing/synctest bubble.
func Replay(trace *pollentrace.Trace, baseline string) (*Report, error) {
	t := Start(Config{Instances: trace.Outcome.Instances, Seed: 1, ColdTime: replayColdTime, Baseline: baseline})
	defer t.Stop()
	if err := t.checkTargets(trace); err != nil {
		return nil, err
	}
	started := time.Now()
	var running sync.WaitGroup
	for _, f := range trace.Failures {
		running.Go(func() {
			time.Sleep(f.At.Std())
			target, _ := t.resolveTarget(f)
			t.inject(Step{Fault: Fault(f.Kind), For: f.For.Std()}, target)
		})
	}
	cache := &locateCache{}
	requests := slices.Clone(trace.Requests)
	slices.SortStableFunc(requests, func(a, b pollentrace.Request) int { return int(a.At - b.At) })
	for n, r := range requests {
		time.Sleep(time.Until(started.Add(r.At.Std())))
		request, node := t.newTraceRequest(cache, r, n)
		if node == nil {
			continue
		}
		running.Go(func() { t.sendRequest(node, request, false, Load{Timeout: r.Timeout.Std()}) })
	}
	running.Wait()
	time.Sleep(replaySettleTime)
	return t.report(trace, requests), nil
}

// TargetError reports a trace that names an unknown target, service or kind of failure.
type TargetError struct {
	// Target is the service of a request, or the target and the kind of a failure.
	Target string
}

func (e *TargetError) Error() string {
	return fmt.Sprintf("no instance, backend server, zone, service or failure %q", e.Target)
}

func (t *Trial) checkTargets(trace *pollentrace.Trace) error {
	for _, f := range trace.Failures {
		if _, ok := t.resolveTarget(f); !ok {
			return &TargetError{Target: f.Target + " " + f.Kind}
		}
	}
	for _, r := range trace.Requests {
		if _, ok := t.PublishedSnapshot(r.Service, firstSnapshot); !ok {
			return &TargetError{Target: r.Service}
		}
	}
	return nil
}

// resolveTarget returns the target of a trace's failure, or false if the target or the kind of failure is unknown.
//
// What the failure doesn't name is the first instance, backend server or availability zone.
func (t *Trial) resolveTarget(f pollentrace.Failure) (faultTarget, bool) {
	target := faultTarget{node: t.Nodes()[0], server: t.backendServers[0].Name, zone: t.Firm.Zones[0]}
	known := slices.Contains(injectableFaults, Fault(f.Kind))
	if f.Target == "" || f.Target == "store" {
		return target, known
	}
	for _, n := range t.Nodes() {
		if n.Name == f.Target {
			target.node = n
			return target, known
		}
	}
	for _, s := range t.backendServers {
		if s.Name == f.Target {
			target.server = s.Name
			return target, known
		}
	}
	target.zone = f.Target
	return target, known && slices.Contains(t.Firm.Zones, f.Target)
}

// injectableFaults are the kinds of failures that a trace may have; it excludes those that RunLoad and swapAnswer cause.
var injectableFaults = []Fault{
	FaultKill, FaultPause, FaultCutNodes, FaultCutStore, FaultIsolate, FaultStoreDown, FaultStoreSlow, FaultStoreLose, FaultStoreStale,
	FaultServerRestart, FaultServerDown, FaultServerLose, FaultServerGarble, FaultServerTruncate, FaultServerStraggle,
	FaultServerLostData, FaultServerMissing, FaultSilent, FaultZoneOut, FaultDrain, FaultPublish, FaultRepartition, FaultRace,
	FaultGracefulStop,
}

func (t *Trial) newTraceRequest(cache *locateCache, r pollentrace.Request, number int) (*pollenschema.QueryRequest, *Node) {
	i := t.locateInstance(cache)
	if i == nil {
		return nil, nil
	}
	class, err := pollenmessage.ParseClass(r.Class)
	if err != nil {
		// pollentrace.Read has validated the class.
		panic(err)
	}
	nonce := fmt.Sprintf("request-%d", number)
	return &pollenschema.QueryRequest{
		Id:      &pollenschema.RequestId{Incarnation: i.Incarnation, Nonce: nonce, Expiry: timestamppb.New(time.Now().Add(idLifetime))},
		Service: r.Service, Class: class, Caller: "replay", Timeout: durationpb.New(r.Timeout.Std()),
		Idempotent: !r.Action, Key: r.Key, Payload: []byte(nonce),
	}, t.nodeByName(i.Name)
}

func (t *Trial) nodeByName(name string) *Node {
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
		report.checkResult(r, runs)
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
			shards, _ := t.PublishedSnapshot(r.Service, firstSnapshot)
			total += len(shards.Shards)
			covered += min(int(r.Response.GetCoverage().GetCovered()), len(shards.Shards))
		}
	}
	for _, n := range runs {
		if n > 1 {
			report.DuplicateRuns++
		}
	}
	report.Latency = percentile(latencies, latencyPercentile)
	report.Coverage = ratio(covered, total)
	report.Done = ratio(done, report.Requests)
	report.compareWithExpected(&trace.Outcome)
	for _, v := range t.Violations() {
		report.Problems = append(report.Problems, v.Error())
	}
	return report
}

// ActionRuns returns how often each action ran on all servers together, by the nonce of its request.
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

func (r *Report) checkResult(result Result, runs map[string]int) {
	response := result.Response
	if response.GetOutcome() == pollenschema.Outcome_OUTCOME_NOT_RUN && runs[result.Nonce] > 0 {
		r.FalseNotRun++
	}
	for _, s := range response.GetShards() {
		want := pollenfakeserver.ExpectedRow(result.Service, response.Snapshot, s.Shard, result.Payload)
		if len(s.Rows) != 1 || !bytes.Equal(s.Rows[0], want) {
			r.Untruthful++
			return
		}
	}
}

// compareWithExpected adds a problem for each expected result that the replay missed.
func (r *Report) compareWithExpected(expected *pollentrace.Outcome) {
	require := func(ok bool, format string, arguments ...any) {
		if !ok {
			r.Problems = append(r.Problems, fmt.Sprintf(format, arguments...))
		}
	}
	require(r.Requests > 0, "no request of class %q", expected.Class)
	require(r.Latency <= expected.Latency.Std(), "99th percentile %v, want at most %v", r.Latency, expected.Latency.Std())
	require(r.Coverage >= expected.Coverage, "coverage %.4f, want at least %.4f", r.Coverage, expected.Coverage)
	require(r.Done >= expected.Done, "done %.4f, want at least %.4f", r.Done, expected.Done)
	require(r.DuplicateRuns == 0, "%d actions ran more than once", r.DuplicateRuns)
	require(r.FalseNotRun == 0, "%d actions were reported as not run and ran", r.FalseNotRun)
	require(r.Untruthful == 0, "%d answers have rows other than those of the stated snapshot", r.Untruthful)
}

// percentile returns the nearest-rank percentile, or zero without values; it sorts the values.
func percentile(values []time.Duration, percent int) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(math.Ceil(float64(len(values)*percent)/100))-1)]
}

// ratio returns part divided by whole, or 1 if whole is zero.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
