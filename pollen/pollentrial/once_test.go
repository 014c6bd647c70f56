package pollentrial_test

import (
	"testing"
	"time"

	"pollenline.example/pollen/pollenschema"
	"pollenline.example/pollen/pollentrial"
)

var onceMenu = []pollentrial.Fault{
	pollentrial.FaultKill, pollentrial.FaultPause, pollentrial.FaultCutNodes, pollentrial.FaultCutStore, pollentrial.FaultIsolate, pollentrial.FaultStoreDown,
	pollentrial.FaultServerRestart, pollentrial.FaultServerDown, pollentrial.FaultServerLose, pollentrial.FaultServerGarble,
	pollentrial.FaultServerStraggle, pollentrial.FaultSilent, pollentrial.FaultZoneOut,
}

func TestInvariantAtMostOnce(t *testing.T) {
	prove(t, proof{
		config: pollentrial.Config{Instances: 5, LateSends: true, ColdTime: time.Second, CrossShare: 0.01},
		load:   pollentrial.Load{Rate: 30, ActionShare: 0.8, CopyShare: 0.4, Timeout: 600 * time.Millisecond},
		menu:   onceMenu, steps: 12, drive: 20 * time.Second, longest: 6 * time.Second,
		met:   []pollentrial.Fault{pollentrial.FaultCopy, pollentrial.FaultLateCopy, pollentrial.FaultCrossed, pollentrial.SeenDone},
		judge: judgeOnce,
	})
}

func TestInvariantNotRun(t *testing.T) {
	prove(t, proof{
		config: pollentrial.Config{Instances: 5, LateSends: true, ColdTime: time.Second},
		load:   pollentrial.Load{Rate: 60, ActionShare: 0.9, CopyShare: 0.5, Timeout: 150 * time.Millisecond},
		menu:   onceMenu, steps: 12, drive: 20 * time.Second, longest: 6 * time.Second,
		met:   []pollentrial.Fault{pollentrial.FaultCopy, pollentrial.FaultLateCopy, pollentrial.SeenDone, pollentrial.SeenRefusal},
		judge: judgeNotRun,
	})
}

func judgeOnce(trial *pollentrial.Trial) []string {
	var problems []string
	runs := trial.ActionRuns()
	for nonce, n := range runs {
		if n > 1 {
			problems = append(problems, problem("%s ran %d times", nonce, n))
		}
	}
	for _, r := range trial.Results() {
		if !r.Action || r.Response.GetOutcome() != pollenschema.Outcome_OUTCOME_DONE {
			continue
		}
		trial.Met(pollentrial.SeenDone)
		if runs[r.Nonce] != 1 {
			problems = append(problems, problem("%s was told as done and ran %d times", r.Nonce, runs[r.Nonce]))
		}
	}
	return problems
}

func judgeNotRun(trial *pollentrial.Trial) []string {
	problems := judgeOnce(trial)
	runs := trial.ActionRuns()
	for _, r := range trial.Results() {
		if r.Response.GetOutcome() != pollenschema.Outcome_OUTCOME_NOT_RUN {
			continue
		}
		trial.Met(pollentrial.SeenRefusal)
		if runs[r.Nonce] > 0 {
			problems = append(problems, problem("%s was told as not run (%v) and ran", r.Nonce, r.Response.Reason))
		}
	}
	return problems
}
