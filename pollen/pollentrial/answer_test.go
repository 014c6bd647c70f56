package pollentrial_test

import (
	"bytes"
	"testing"
	"time"

	"pollenline.example/pollen/pollenfakeserver"
	"pollenline.example/pollen/pollenschema"
	"pollenline.example/pollen/pollentrial"
)

const answerTimeout = 600 * time.Millisecond

// TestInvariantSingleSnapshot guards against answers that mix rows of several snapshots while snapshots are published.
func TestInvariantSingleSnapshot(t *testing.T) {
	testInvariant(t, invariantTest{
		config: pollentrial.Config{Instances: 5, ColdTime: time.Second},
		load:   pollentrial.Load{Rate: 40, Timeout: answerTimeout},
		faults: []pollentrial.Fault{
			pollentrial.FaultPublish, pollentrial.FaultRepartition, pollentrial.FaultServerMissing, pollentrial.FaultServerGarble,
			pollentrial.FaultServerRestart, pollentrial.FaultKill, pollentrial.FaultCutStore, pollentrial.FaultStoreStale, pollentrial.FaultServerStraggle,
		},
		steps: 14, loadDuration: 20 * time.Second, maxDuration: 5 * time.Second,
		required: []pollentrial.Fault{pollentrial.SeenDone},
		check:    checkSnapshots,
	})
}

// TestInvariantTruthfulCoverage guards against answers that count shards as covered whose rows are lost or missing.
func TestInvariantTruthfulCoverage(t *testing.T) {
	testInvariant(t, invariantTest{
		config: pollentrial.Config{Instances: 5, ColdTime: time.Second},
		load:   pollentrial.Load{Rate: 40, Timeout: answerTimeout},
		faults: []pollentrial.Fault{
			pollentrial.FaultServerLostData, pollentrial.FaultServerDown, pollentrial.FaultServerTruncate, pollentrial.FaultServerStraggle,
			pollentrial.FaultRepartition, pollentrial.FaultKill, pollentrial.FaultServerLose, pollentrial.FaultZoneOut, pollentrial.FaultSilent,
			pollentrial.FaultPause,
		},
		steps: 14, loadDuration: 20 * time.Second, maxDuration: 5 * time.Second,
		required: []pollentrial.Fault{pollentrial.SeenDone, pollentrial.SeenMissing},
		check:    checkCoverage,
	})
}

// TestInvariantOwnAnswer guards against callers that get another request's answer or wait beyond their timeout.
func TestInvariantOwnAnswer(t *testing.T) {
	testInvariant(t, invariantTest{
		config: pollentrial.Config{Instances: 5, ColdTime: time.Second, SwappedAnswerShare: 0.05},
		load:   pollentrial.Load{Rate: 50, ActionShare: 0.2, CopyShare: 0.2, Timeout: answerTimeout},
		faults: []pollentrial.Fault{
			pollentrial.FaultServerGarble, pollentrial.FaultServerTruncate, pollentrial.FaultServerStraggle, pollentrial.FaultSilent,
			pollentrial.FaultServerLose, pollentrial.FaultCutNodes, pollentrial.FaultPause, pollentrial.FaultKill,
		},
		steps: 12, loadDuration: 20 * time.Second, maxDuration: 4 * time.Second,
		required: []pollentrial.Fault{pollentrial.SeenDone, pollentrial.FaultCrossed, pollentrial.FaultCopy},
		check:    checkOwnAnswers,
	})
}

// checkSnapshots compares answers with the published snapshots and with the rows that the servers return.
func checkSnapshots(trial *pollentrial.Trial) []string {
	var problems []string
	for _, r := range trial.Results() {
		if r.Action || r.Response.GetOutcome() != pollenschema.Outcome_OUTCOME_DONE {
			continue
		}
		trial.CountFault(pollentrial.SeenDone)
		published, ok := trial.PublishedSnapshot(r.Service, r.Response.Snapshot)
		if !ok {
			problems = append(problems, problemf("%s names snapshot %q, which was never published", r.Nonce, r.Response.Snapshot))
			continue
		}
		for n, v := range r.Response.Versions {
			if n >= len(published.Versions) || v.Version != published.Versions[n].Version || v.Index != published.Versions[n].Index {
				problems = append(problems, problemf("%s states version %v", r.Nonce, v))
			}
		}
		problems = append(problems, checkRows(r)...)
	}
	return problems
}

func checkRows(r pollentrial.Result) []string {
	var problems []string
	for _, s := range r.Response.Shards {
		want := pollenfakeserver.ExpectedRow(r.Service, r.Response.Snapshot, s.Shard, r.Payload)
		if len(s.Rows) != 1 || !bytes.Equal(s.Rows[0], want) {
			problems = append(problems, problemf("%s: shard %s has rows %q, want %q", r.Nonce, s.Shard, s.Rows, want))
		}
	}
	return problems
}

// checkCoverage compares the coverage of answers with the shards of the published snapshot.
func checkCoverage(trial *pollentrial.Trial) []string {
	problems := checkSnapshots(trial)
	for _, r := range trial.Results() {
		if r.Action || r.Response.GetSnapshot() == "" {
			continue
		}
		published, ok := trial.PublishedSnapshot(r.Service, r.Response.Snapshot)
		if !ok {
			continue
		}
		problems = append(problems, checkShardCounts(trial, r, published)...)
	}
	return problems
}

func checkShardCounts(trial *pollentrial.Trial, r pollentrial.Result, published *pollenschema.Snapshot) []string {
	var problems []string
	unaccounted := make(map[string]bool)
	for _, shard := range published.Shards {
		unaccounted[shard.Name] = true
	}
	coverage := r.Response.Coverage
	if int(coverage.Total) != len(published.Shards) || int(coverage.Covered) != len(r.Response.Shards) {
		problems = append(problems, problemf("%s: covered %d with %d shards attached, total %d of %d", r.Nonce,
			coverage.Covered, len(r.Response.Shards), coverage.Total, len(published.Shards)))
	}
	for _, s := range r.Response.Shards {
		if !unaccounted[s.Shard] {
			problems = append(problems, problemf("%s: shard %s is duplicated or not in the partition map", r.Nonce, s.Shard))
		}
		delete(unaccounted, s.Shard)
	}
	for _, missing := range coverage.Missing {
		trial.CountFault(pollentrial.SeenMissing)
		if !unaccounted[missing.Shard] || missing.Reason == pollenschema.Reason_REASON_UNSPECIFIED {
			problems = append(problems, problemf("%s: missing shard %s, reason %v", r.Nonce, missing.Shard, missing.Reason))
		}
		delete(unaccounted, missing.Shard)
	}
	if len(unaccounted) > 0 {
		problems = append(problems, problemf("%s: %d shards are neither covered nor missing", r.Nonce, len(unaccounted)))
	}
	return problems
}

// checkOwnAnswers compares each answer with its request, and its latency with the caller's timeout.
func checkOwnAnswers(trial *pollentrial.Trial) []string {
	var problems []string
	for _, r := range trial.Results() {
		if r.Response == nil {
			continue
		}
		if r.Response.Id.GetNonce() != r.Nonce {
			problems = append(problems, problemf("%s got the answer to %s", r.Nonce, r.Response.Id.GetNonce()))
		}
		if r.Response.Outcome == pollenschema.Outcome_OUTCOME_DONE {
			trial.CountFault(pollentrial.SeenDone)
			problems = append(problems, checkRows(r)...)
		}
		if took := r.Ended.Sub(r.Sent); r.Node.IsAvailable() && took > answerTimeout+pauseAllowance {
			problems = append(problems, problemf("%s took %v, want at most %v", r.Nonce, took, answerTimeout+pauseAllowance))
		}
	}
	return problems
}

// pauseAllowance is the longest pause of a node in a plan, plus 200 ms for the call itself.
const pauseAllowance = 4*time.Second + 200*time.Millisecond
