package pollentrial_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenfakestore"
	"pollenline.example/pollen/pollenschema"
	"pollenline.example/pollen/pollentrial"
)

// inForceTimeout is the time within which a change must be in force on every instance.
const inForceTimeout = 6 * time.Second

var instanceAndStoreFaults = []pollentrial.Fault{
	pollentrial.FaultKill, pollentrial.FaultPause, pollentrial.FaultCutNodes, pollentrial.FaultCutStore, pollentrial.FaultIsolate,
	pollentrial.FaultStoreDown, pollentrial.FaultStoreSlow, pollentrial.FaultStoreLose, pollentrial.FaultStoreStale,
}

func withInstanceAndStoreFaults(faults ...pollentrial.Fault) []pollentrial.Fault {
	return append(faults, instanceAndStoreFaults...)
}

// TestInvariantColdStart guards against cold backend servers that get more requests than they have capacity for.
func TestInvariantColdStart(t *testing.T) {
	testInvariant(t, invariantTest{
		config: pollentrial.Config{Instances: 5, ColdTime: 3 * time.Second},
		load:   pollentrial.Load{Rate: 150, ActionShare: 0.1, Timeout: answerTimeout},
		faults: withInstanceAndStoreFaults(pollentrial.FaultServerRestart, pollentrial.FaultServerDown, pollentrial.FaultServerStraggle, pollentrial.FaultSilent),
		steps:  16, loadDuration: 20 * time.Second, maxDuration: 6 * time.Second,
		required: []pollentrial.Fault{pollentrial.SeenDone},
		check:    checkColdStarts,
	})
}

// TestInvariantZoneOut guards against new work in an availability zone that was taken out of service.
func TestInvariantZoneOut(t *testing.T) {
	testInvariant(t, invariantTest{
		config: pollentrial.Config{Instances: 6, ColdTime: time.Second},
		load:   pollentrial.Load{Rate: 40, ActionShare: 0.2, CopyShare: 0.1, Timeout: 1500 * time.Millisecond},
		faults: withInstanceAndStoreFaults(pollentrial.FaultZoneOut, pollentrial.FaultZoneOut, pollentrial.FaultServerStraggle),
		steps:  14, loadDuration: 45 * time.Second, maxDuration: 20 * time.Second,
		required: []pollentrial.Fault{pollentrial.SeenWindow},
		check:    checkZonesOut,
	})
}

// TestInvariantServerLeaving guards against new work for a backend server that is draining.
func TestInvariantServerLeaving(t *testing.T) {
	testInvariant(t, invariantTest{
		config: pollentrial.Config{Instances: 6, ColdTime: time.Second},
		load:   pollentrial.Load{Rate: 40, ActionShare: 0.2, Timeout: 1500 * time.Millisecond},
		faults: withInstanceAndStoreFaults(pollentrial.FaultDrain, pollentrial.FaultDrain, pollentrial.FaultRace, pollentrial.FaultServerStraggle),
		steps:  14, loadDuration: 45 * time.Second, maxDuration: 20 * time.Second,
		required: []pollentrial.Fault{pollentrial.SeenWindow},
		check:    checkDrains,
	})
}

// TestInvariantGracefulStop guards against requests that fail or lose coverage because instances stop gracefully.
func TestInvariantGracefulStop(t *testing.T) {
	testInvariant(t, invariantTest{
		config: pollentrial.Config{Instances: 6, ColdTime: time.Second},
		load:   pollentrial.Load{Rate: 40, ActionShare: 0.2, Timeout: 1500 * time.Millisecond},
		faults: []pollentrial.Fault{pollentrial.FaultGracefulStop, pollentrial.FaultPublish},
		steps:  6, loadDuration: 40 * time.Second, maxDuration: 20 * time.Second,
		required: []pollentrial.Fault{pollentrial.SeenDone},
		check:    checkAllAnswered,
	})
}

// TestInvariantConfigurationInForce guards against serving instances that keep an old revision after the accepted one.
func TestInvariantConfigurationInForce(t *testing.T) {
	testInvariant(t, invariantTest{
		config: pollentrial.Config{Instances: 6, ColdTime: time.Second},
		load:   pollentrial.Load{Rate: 10, Timeout: answerTimeout},
		faults: withInstanceAndStoreFaults(pollentrial.FaultRace, pollentrial.FaultPublish, pollentrial.FaultZoneOut, pollentrial.FaultGracefulStop),
		steps:  16, loadDuration: 30 * time.Second, maxDuration: 8 * time.Second,
		required:      []pollentrial.Fault{pollentrial.SeenAccepted, pollentrial.SeenWindow},
		startObserver: observeRevisions,
		check:         func(*pollentrial.Trial) []string { return nil },
	})
}

// TestStoreOutage keeps the store down for half an hour. It guards against requests that fail because of the outage and
// against changes that are not in force within seconds of its end.
func TestStoreOutage(t *testing.T) {
	c := qt.New(t)
	var failures []string
	var accepted bool
	var took time.Duration
	synctest.Test(t, func(*testing.T) {
		trial := pollentrial.Start(pollentrial.Config{Instances: 6, Seed: 1, ColdTime: time.Second})
		trial.Store.SetFaults(pollenfakestore.Faults{Down: true})
		trial.RunLoad(pollentrial.Load{Rate: 3, ActionShare: 0.2, Timeout: 1500 * time.Millisecond}, outageDuration)
		failures = checkAllAnswered(trial)
		trial.Store.SetFaults(pollenfakestore.Faults{})
		returned := time.Now()
		for !accepted && time.Since(returned) < inForceTimeout {
			response, err := trial.Apply(pollentrial.PutZone("zone-1", pollenschema.Admin_ADMIN_IN))
			accepted = err == nil && response.Accepted
		}
		took = time.Since(returned)
		trial.Stop()
		time.Sleep(pollentrial.ShutdownTime)
	})
	c.Check(failures, qt.HasLen, 0)
	c.Check(accepted, qt.IsTrue)
	c.Check(took <= inForceTimeout, qt.IsTrue, qt.Commentf("%v", took))
}

const outageDuration = 30 * time.Minute

// checkColdStarts returns a problem for each server whose ledger shows overloads.
func checkColdStarts(trial *pollentrial.Trial) []string {
	var problems []string
	for name, server := range trial.Servers {
		if ledger := server.Ledger(); ledger.Overloads > 0 {
			problems = append(problems, problemf("%s was overloaded %d times in a cold start, after %s", name, ledger.Overloads, describeLastSends(trial, name, ledger.OverloadedAt)))
		}
	}
	for _, r := range trial.Results() {
		if r.Response.GetOutcome() == pollenschema.Outcome_OUTCOME_DONE {
			trial.CountFault(pollentrial.SeenDone)
		}
	}
	return problems
}

// describeLastSends lists the last eight requests to a server up to a point in time.
func describeLastSends(trial *pollentrial.Trial, server string, before time.Time) string {
	var lines []string
	for _, s := range trial.Sends() {
		if s.Server == server && !s.Time.After(before) {
			lines = append(lines, problemf("%v by %s", s.Time.Sub(before), s.Node.Name))
		}
	}
	return strings.Join(lines[max(0, len(lines)-8):], ", ")
}

// outWindow is a period in which a zone or a server must receive no new work.
type outWindow struct {
	subject  string
	from, to time.Time
}

// outWindows returns the periods from inForceTimeout after a change that takes a zone or a server out until the next
// change for the same subject; classify returns the subject of a change, or false for changes of another kind.
func outWindows(trial *pollentrial.Trial, classify func(*pollenschema.Change) (subject string, isOut, ok bool)) []outWindow {
	var windows []outWindow
	revisionTimes := trial.RevisionTimes()
	writtenAt := func(stored pollentrial.StoredChange) time.Time { return revisionTimes[stored.Revision] }
	for _, stored := range trial.StoredChanges {
		subject, isOut, ok := classify(stored.Change)
		if !ok || !isOut {
			continue
		}
		w := outWindow{subject: subject, from: writtenAt(stored).Add(inForceTimeout), to: time.Now()}
		for _, later := range trial.StoredChanges {
			other, _, ok := classify(later.Change)
			if ok && other == subject && later.Revision > stored.Revision && writtenAt(later).Before(w.to) {
				w.to = writtenAt(later)
			}
		}
		if w.to.After(w.from) {
			trial.CountFault(pollentrial.SeenWindow)
			windows = append(windows, w)
		}
	}
	return windows
}

func (w outWindow) contains(at time.Time) bool { return at.After(w.from) && at.Before(w.to) }

func checkZonesOut(trial *pollentrial.Trial) []string {
	var problems []string
	for _, w := range outWindows(trial, func(c *pollenschema.Change) (string, bool, bool) {
		z := c.GetPutZone()
		return z.GetName(), z.GetState() == pollenschema.Admin_ADMIN_OUT, z != nil
	}) {
		for _, s := range trial.Sends() {
			if s.Zone == w.subject && w.contains(s.Time) {
				problems = append(problems, problemf("%s in %s was sent work by %s %v after the zone was taken out", s.Server, w.subject, s.Node.Name, s.Time.Sub(w.from)+inForceTimeout))
			}
		}
		for _, r := range trial.Results() {
			answered := r.Response != nil && r.Response.Outcome == pollenschema.Outcome_OUTCOME_DONE
			if answered && !r.Copy && r.Zone == w.subject && w.contains(r.Sent) {
				problems = append(problems, problemf("%s in %s accepted a caller's request", r.Node.Name, w.subject))
			}
		}
	}
	return problems
}

func checkDrains(trial *pollentrial.Trial) []string {
	var problems []string
	for _, w := range outWindows(trial, func(c *pollenschema.Change) (string, bool, bool) {
		s := c.GetSetServerState()
		return s.GetServer(), s.GetState() == pollenschema.Admin_ADMIN_DRAINING, s != nil
	}) {
		for _, s := range trial.Sends() {
			if s.Server == w.subject && w.contains(s.Time) {
				problems = append(problems, problemf("%s was sent work by %s while draining", s.Server, s.Node.Name))
			}
		}
	}
	return problems
}

// checkAllAnswered requires a complete answer to every request, since none of the injected faults may affect one.
func checkAllAnswered(trial *pollentrial.Trial) []string {
	var problems []string
	for _, r := range trial.Results() {
		trial.CountFault(pollentrial.SeenDone)
		response := r.Response
		switch {
		case r.Err != nil:
			problems = append(problems, problemf("%s to %s failed: %v", r.Nonce, r.Node.Name, r.Err))
		case response.Outcome != pollenschema.Outcome_OUTCOME_DONE:
			problems = append(problems, problemf("%s to %s: %v %v %s", r.Nonce, r.Node.Name, response.Outcome, response.Reason, response.Detail))
		case response.Coverage.Covered != response.Coverage.Total:
			problems = append(problems, problemf("%s to %s covers %d of %d: %v", r.Nonce, r.Node.Name, response.Coverage.Covered, response.Coverage.Total, response.Coverage.Missing))
		}
	}
	return problems
}

// observeRevisions samples the revision in force on every node until the returned function is called.
func observeRevisions(trial *pollentrial.Trial) func() []string {
	var problems []string
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		servingSince := make(map[*pollentrial.Node]time.Time)
		highest := make(map[*pollentrial.Node]uint64)
		for {
			select {
			case <-stop:
				return
			case <-time.After(sampleInterval):
			}
			problems = append(problems, sampleRevisions(trial, servingSince, highest)...)
		}
	}()
	return func() []string {
		close(stop)
		<-stopped
		return problems
	}
}

const sampleInterval = 100 * time.Millisecond

func sampleRevisions(trial *pollentrial.Trial, servingSince map[*pollentrial.Node]time.Time, highest map[*pollentrial.Node]uint64) []string {
	var problems []string
	now := time.Now()
	revisionTimes := trial.RevisionTimes()
	for _, n := range trial.Nodes() {
		if !n.IsServing() {
			delete(servingSince, n)
			continue
		}
		if servingSince[n].IsZero() {
			servingSince[n] = now
		}
		revision := n.Instance.Table().Revision
		if revision < highest[n] {
			problems = append(problems, problemf("%s went from revision %d back to %d", n.Name, highest[n], revision))
		}
		highest[n] = max(highest[n], revision)
		for r, at := range revisionTimes {
			if now.Sub(at) > inForceTimeout {
				trial.CountFault(pollentrial.SeenWindow)
				if revision < r {
					problems = append(problems, problemf("%s serves revision %d, %v after %d was written", n.Name, revision, now.Sub(at), r))
				}
			}
		}
	}
	return problems
}
