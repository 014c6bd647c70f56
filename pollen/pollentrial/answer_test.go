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

func TestInvariantSingleSnapshot(t *testing.T) {
	prove(t, proof{
		config: pollentrial.Config{Instances: 5, ColdTime: time.Second},
		load:   pollentrial.Load{Rate: 40, Timeout: answerTimeout},
		menu: []pollentrial.Fault{
			pollentrial.FaultPublish, pollentrial.FaultRepartition, pollentrial.FaultServerMissing, pollentrial.FaultServerGarble,
			pollentrial.FaultServerRestart, pollentrial.FaultKill, pollentrial.FaultCutStore, pollentrial.FaultStoreStale, pollentrial.FaultServerStraggle,
		},
		steps: 14, drive: 20 * time.Second, longest: 5 * time.Second,
		met:   []pollentrial.Fault{pollentrial.SeenDone},
		judge: judgeSnapshot,
	})
}

func TestInvariantTruthfulCoverage(t *testing.T) {
	prove(t, proof{
		config: pollentrial.Config{Instances: 5, ColdTime: time.Second},
		load:   pollentrial.Load{Rate: 40, Timeout: answerTimeout},
		menu: []pollentrial.Fault{
			pollentrial.FaultServerLostData, pollentrial.FaultServerDown, pollentrial.FaultServerTruncate, pollentrial.FaultServerStraggle,
			pollentrial.FaultRepartition, pollentrial.FaultKill, pollentrial.FaultServerLose, pollentrial.FaultZoneOut, pollentrial.FaultSilent,
			pollentrial.FaultPause,
		},
		steps: 14, drive: 20 * time.Second, longest: 5 * time.Second,
		met:   []pollentrial.Fault{pollentrial.SeenDone, pollentrial.SeenMissing},
		judge: judgeCoverage,
	})
}

func TestInvariantOwnAnswer(t *testing.T) {
	prove(t, proof{
		config: pollentrial.Config{Instances: 5, ColdTime: time.Second, CrossShare: 0.05},
		load:   pollentrial.Load{Rate: 50, ActionShare: 0.2, CopyShare: 0.2, Timeout: answerTimeout},
		menu: []pollentrial.Fault{
			pollentrial.FaultServerGarble, pollentrial.FaultServerTruncate, pollentrial.FaultServerStraggle, pollentrial.FaultSilent,
			pollentrial.FaultServerLose, pollentrial.FaultCutNodes, pollentrial.FaultPause, pollentrial.FaultKill,
		},
		steps: 12, drive: 20 * time.Second, longest: 4 * time.Second,
		met:   []pollentrial.Fault{pollentrial.SeenDone, pollentrial.FaultCrossed, pollentrial.FaultCopy},
		judge: judgeOwn,
	})
}

// judgeSnapshot compares answers with the partition maps as they were published and with the servers' own rows.
func judgeSnapshot(trial *pollentrial.Trial) []string {
	var problems []string
	for _, r := range trial.Results() {
		if r.Action || r.Response.GetOutcome() != pollenschema.Outcome_OUTCOME_DONE {
			continue
		}
		trial.Met(pollentrial.SeenDone)
		published, ok := trial.Map(r.Service, r.Response.Snapshot)
		if !ok {
			problems = append(problems, problem("%s names snapshot %q, which was never published", r.Nonce, r.Response.Snapshot))
			continue
		}
		for n, v := range r.Response.Versions {
			if n >= len(published.Versions) || v.Version != published.Versions[n].Version || v.Index != published.Versions[n].Index {
				problems = append(problems, problem("%s states version %v", r.Nonce, v))
			}
		}
		problems = append(problems, judgeRows(r)...)
	}
	return problems
}

func judgeRows(r pollentrial.Result) []string {
	var problems []string
	for _, s := range r.Response.Shards {
		want := pollenfakeserver.Row(r.Service, r.Response.Snapshot, s.Shard, r.Payload)
		if len(s.Rows) != 1 || !bytes.Equal(s.Rows[0], want) {
			problems = append(problems, problem("%s: shard %s has rows %q, want %q", r.Nonce, s.Shard, s.Rows, want))
		}
	}
	return problems
}

// judgeCoverage counts for itself what answers cover.
func judgeCoverage(trial *pollentrial.Trial) []string {
	problems := judgeSnapshot(trial)
	for _, r := range trial.Results() {
		if r.Action || r.Response.GetSnapshot() == "" {
			continue
		}
		published, ok := trial.Map(r.Service, r.Response.Snapshot)
		if !ok {
			continue
		}
		problems = append(problems, judgeCounts(trial, r, published)...)
	}
	return problems
}

func judgeCounts(trial *pollentrial.Trial, r pollentrial.Result, published *pollenschema.Snapshot) []string {
	var problems []string
	open := make(map[string]bool)
	for _, shard := range published.Shards {
		open[shard.Name] = true
	}
	coverage := r.Response.Coverage
	if int(coverage.Total) != len(published.Shards) || int(coverage.Covered) != len(r.Response.Shards) {
		problems = append(problems, problem("%s: covered %d with %d shards attached, total %d of %d", r.Nonce,
			coverage.Covered, len(r.Response.Shards), coverage.Total, len(published.Shards)))
	}
	for _, s := range r.Response.Shards {
		if !open[s.Shard] {
			problems = append(problems, problem("%s: shard %s is not in the map or stands twice", r.Nonce, s.Shard))
		}
		delete(open, s.Shard)
	}
	for _, missing := range coverage.Missing {
		trial.Met(pollentrial.SeenMissing)
		if !open[missing.Shard] || missing.Reason == pollenschema.Reason_REASON_UNSPECIFIED {
			problems = append(problems, problem("%s: missing shard %s, reason %v", r.Nonce, missing.Shard, missing.Reason))
		}
		delete(open, missing.Shard)
	}
	if len(open) > 0 {
		problems = append(problems, problem("%s: %d shards are neither covered nor missing", r.Nonce, len(open)))
	}
	return problems
}

// judgeOwn compares each answer with its own request, and its time with the caller's timeout.
func judgeOwn(trial *pollentrial.Trial) []string {
	var problems []string
	for _, r := range trial.Results() {
		if r.Response == nil {
			continue
		}
		if r.Response.Id.GetNonce() != r.Nonce {
			problems = append(problems, problem("%s got the answer to %s", r.Nonce, r.Response.Id.GetNonce()))
		}
		if r.Response.Outcome == pollenschema.Outcome_OUTCOME_DONE {
			trial.Met(pollentrial.SeenDone)
			problems = append(problems, judgeRows(r)...)
		}
		if took := r.Ended.Sub(r.Sent); r.Node.Live() && took > answerTimeout+pauseAllowance {
			problems = append(problems, problem("%s took %v", r.Nonce, took))
		}
	}
	return problems
}

// pauseAllowance is the longest pause of a node in these plans, with some time for the call itself.
const pauseAllowance = 4*time.Second + 200*time.Millisecond
