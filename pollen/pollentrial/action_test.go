package pollentrial_test

import (
	"testing"
	"time"

	"pollenline.example/pollen/pollenschema"
	"pollenline.example/pollen/pollentrial"
)

var actionFaults = []pollentrial.Fault{
	pollentrial.FaultKill, pollentrial.FaultPause, pollentrial.FaultCutNodes, pollentrial.FaultCutStore, pollentrial.FaultIsolate, pollentrial.FaultStoreDown,
	pollentrial.FaultServerRestart, pollentrial.FaultServerDown, pollentrial.FaultServerLose, pollentrial.FaultServerGarble,
	pollentrial.FaultServerStraggle, pollentrial.FaultSilent, pollentrial.FaultZoneOut,
}

// TestInvariantAtMostOnce guards against actions that run twice because a copy arrives or an attempt is repeated.
func TestInvariantAtMostOnce(t *testing.T) {
	testInvariant(t, invariantTest{
		config: pollentrial.Config{Instances: 5, LateSends: true, ColdTime: time.Second, SwappedAnswerShare: 0.01},
		load:   pollentrial.Load{Rate: 30, ActionShare: 0.8, CopyShare: 0.4, Timeout: 600 * time.Millisecond},
		faults: actionFaults, steps: 12, loadDuration: 20 * time.Second, maxDuration: 6 * time.Second,
		required: []pollentrial.Fault{pollentrial.FaultCopy, pollentrial.FaultLateCopy, pollentrial.FaultCrossed, pollentrial.SeenDone},
		check:    checkAtMostOnce,
	})
}

// TestInvariantNotRun guards against actions that run although they were reported as not run.
func TestInvariantNotRun(t *testing.T) {
	testInvariant(t, invariantTest{
		config: pollentrial.Config{Instances: 5, LateSends: true, ColdTime: time.Second},
		load:   pollentrial.Load{Rate: 60, ActionShare: 0.9, CopyShare: 0.5, Timeout: 150 * time.Millisecond},
		faults: actionFaults, steps: 12, loadDuration: 20 * time.Second, maxDuration: 6 * time.Second,
		required: []pollentrial.Fault{pollentrial.FaultCopy, pollentrial.FaultLateCopy, pollentrial.SeenDone, pollentrial.SeenRefusal},
		check:    checkNotRun,
	})
}

func checkAtMostOnce(trial *pollentrial.Trial) []string {
	var problems []string
	runs := trial.ActionRuns()
	for nonce, n := range runs {
		if n > 1 {
			problems = append(problems, problemf("%s ran %d times", nonce, n))
		}
	}
	for _, r := range trial.Results() {
		if !r.Action || r.Response.GetOutcome() != pollenschema.Outcome_OUTCOME_DONE {
			continue
		}
		trial.CountFault(pollentrial.SeenDone)
		if runs[r.Nonce] != 1 {
			problems = append(problems, problemf("%s was reported as done and ran %d times", r.Nonce, runs[r.Nonce]))
		}
	}
	return problems
}

func checkNotRun(trial *pollentrial.Trial) []string {
	problems := checkAtMostOnce(trial)
	runs := trial.ActionRuns()
	for _, r := range trial.Results() {
		if r.Response.GetOutcome() != pollenschema.Outcome_OUTCOME_NOT_RUN {
			continue
		}
		trial.CountFault(pollentrial.SeenRefusal)
		if runs[r.Nonce] > 0 {
			problems = append(problems, problemf("%s was reported as not run (%v) and ran", r.Nonce, r.Response.Reason))
		}
	}
	return problems
}
