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

// inForceTime is within what a change must be in force everywhere.
const inForceTime = 6 * time.Second

var fleetMenu = []pollentrial.Fault{
	pollentrial.FaultKill, pollentrial.FaultPause, pollentrial.FaultCutNodes, pollentrial.FaultCutStore, pollentrial.FaultIsolate,
	pollentrial.FaultStoreDown, pollentrial.FaultStoreSlow, pollentrial.FaultStoreLose, pollentrial.FaultStoreStale,
}

func menu(first ...pollentrial.Fault) []pollentrial.Fault {
	return append(first, fleetMenu...)
}

func TestInvariantColdStart(t *testing.T) {
	prove(t, proof{
		config: pollentrial.Config{Instances: 5, ColdTime: 3 * time.Second},
		load:   pollentrial.Load{Rate: 150, ActionShare: 0.1, Timeout: answerTimeout},
		menu:   menu(pollentrial.FaultServerRestart, pollentrial.FaultServerDown, pollentrial.FaultServerStraggle, pollentrial.FaultSilent),
		steps:  16, drive: 20 * time.Second, longest: 6 * time.Second,
		met:   []pollentrial.Fault{pollentrial.SeenDone},
		judge: judgeCold,
	})
}

func TestInvariantZoneOut(t *testing.T) {
	prove(t, proof{
		config: pollentrial.Config{Instances: 6, ColdTime: time.Second},
		load:   pollentrial.Load{Rate: 40, ActionShare: 0.2, CopyShare: 0.1, Timeout: 1500 * time.Millisecond},
		menu:   menu(pollentrial.FaultZoneOut, pollentrial.FaultZoneOut, pollentrial.FaultServerStraggle),
		steps:  14, drive: 45 * time.Second, longest: 20 * time.Second,
		met:   []pollentrial.Fault{pollentrial.SeenWindow},
		judge: judgeZones,
	})
}

func TestInvariantServerLeaving(t *testing.T) {
	prove(t, proof{
		config: pollentrial.Config{Instances: 6, ColdTime: time.Second},
		load:   pollentrial.Load{Rate: 40, ActionShare: 0.2, Timeout: 1500 * time.Millisecond},
		menu:   menu(pollentrial.FaultDrain, pollentrial.FaultDrain, pollentrial.FaultRace, pollentrial.FaultServerStraggle),
		steps:  14, drive: 45 * time.Second, longest: 20 * time.Second,
		met:   []pollentrial.Fault{pollentrial.SeenWindow},
		judge: judgeDrains,
	})
}

func TestInvariantGracefulStop(t *testing.T) {
	prove(t, proof{
		config: pollentrial.Config{Instances: 6, ColdTime: time.Second},
		load:   pollentrial.Load{Rate: 40, ActionShare: 0.2, Timeout: 1500 * time.Millisecond},
		menu:   []pollentrial.Fault{pollentrial.FaultGracefulStop, pollentrial.FaultPublish},
		steps:  6, drive: 40 * time.Second, longest: 20 * time.Second,
		met:   []pollentrial.Fault{pollentrial.SeenDone},
		judge: judgeStops,
	})
}

func TestInvariantConfigurationInForce(t *testing.T) {
	prove(t, proof{
		config: pollentrial.Config{Instances: 6, ColdTime: time.Second},
		load:   pollentrial.Load{Rate: 10, Timeout: answerTimeout},
		menu:   menu(pollentrial.FaultRace, pollentrial.FaultPublish, pollentrial.FaultZoneOut, pollentrial.FaultGracefulStop),
		steps:  16, drive: 30 * time.Second, longest: 8 * time.Second,
		met:   []pollentrial.Fault{pollentrial.SeenAccepted, pollentrial.SeenWindow},
		watch: watchRevisions,
		judge: func(*pollentrial.Trial) []string { return nil },
	})
}

// TestStoreOutage keeps the store down for half an hour: no query may fail by it, and the first change after its
// return must be in force within seconds.
func TestStoreOutage(t *testing.T) {
	c := qt.New(t)
	var failures []string
	var accepted bool
	var took time.Duration
	synctest.Test(t, func(*testing.T) {
		trial := pollentrial.Start(pollentrial.Config{Instances: 6, Seed: 1, ColdTime: time.Second})
		trial.Store.SetFaults(pollenfakestore.Faults{Down: true})
		trial.Drive(pollentrial.Load{Rate: 3, ActionShare: 0.2, Timeout: 1500 * time.Millisecond}, outageTime)
		failures = judgeStops(trial)
		trial.Store.SetFaults(pollenfakestore.Faults{})
		returned := time.Now()
		for !accepted && time.Since(returned) < inForceTime {
			response, err := trial.Apply(pollentrial.PutZone("zone-1", pollenschema.Admin_ADMIN_IN))
			accepted = err == nil && response.Accepted
		}
		took = time.Since(returned)
		trial.End()
		time.Sleep(pollentrial.Linger)
	})
	c.Check(failures, qt.HasLen, 0)
	c.Check(accepted, qt.IsTrue)
	c.Check(took <= inForceTime, qt.IsTrue, qt.Commentf("%v", took))
}

const outageTime = 30 * time.Minute

// judgeCold reads the servers' own ledgers.
func judgeCold(trial *pollentrial.Trial) []string {
	var problems []string
	for name, server := range trial.Servers {
		if ledger := server.Ledger(); ledger.Overloads > 0 {
			problems = append(problems, problem("%s was overloaded %d times in a cold start, after %s", name, ledger.Overloads, lastSends(trial, name, ledger.OverloadedAt)))
		}
	}
	for _, r := range trial.Results() {
		if r.Response.GetOutcome() == pollenschema.Outcome_OUTCOME_DONE {
			trial.Met(pollentrial.SeenDone)
		}
	}
	return problems
}

// lastSends lists the newest requests to a server before a moment.
func lastSends(trial *pollentrial.Trial, server string, before time.Time) string {
	var lines []string
	for _, s := range trial.Sends() {
		if s.Server == server && !s.Time.After(before) {
			lines = append(lines, problem("%v by %s", s.Time.Sub(before), s.Node.Name))
		}
	}
	return strings.Join(lines[max(0, len(lines)-8):], ", ")
}

// window is a time in which something must get no new work.
type window struct {
	subject  string
	from, to time.Time
}

// windows pairs the orders that take something out with the next order for the same.
func windows(trial *pollentrial.Trial, out func(*pollenschema.Change) (subject string, isOut, ok bool)) []window {
	var found []window
	head := trial.HeadAt()
	written := func(o pollentrial.Order) time.Time { return head[o.Revision] }
	for _, o := range trial.Orders {
		subject, isOut, ok := out(o.Change)
		if !ok || !isOut {
			continue
		}
		w := window{subject: subject, from: written(o).Add(inForceTime), to: time.Now()}
		for _, later := range trial.Orders {
			other, _, ok := out(later.Change)
			if ok && other == subject && later.Revision > o.Revision && written(later).Before(w.to) {
				w.to = written(later)
			}
		}
		if w.to.After(w.from) {
			trial.Met(pollentrial.SeenWindow)
			found = append(found, w)
		}
	}
	return found
}

func (w window) contains(at time.Time) bool { return at.After(w.from) && at.Before(w.to) }

func judgeZones(trial *pollentrial.Trial) []string {
	var problems []string
	for _, w := range windows(trial, func(c *pollenschema.Change) (string, bool, bool) {
		z := c.GetPutZone()
		return z.GetName(), z.GetState() == pollenschema.Admin_ADMIN_OUT, z != nil
	}) {
		for _, s := range trial.Sends() {
			if s.Zone == w.subject && w.contains(s.Time) {
				problems = append(problems, problem("%s in %s was sent work by %s %v after the zone was taken out", s.Server, w.subject, s.Node.Name, s.Time.Sub(w.from)+inForceTime))
			}
		}
		for _, r := range trial.Results() {
			took := r.Response != nil && r.Response.Outcome == pollenschema.Outcome_OUTCOME_DONE
			if took && !r.Copy && r.Zone == w.subject && w.contains(r.Sent) {
				problems = append(problems, problem("%s in %s took a caller's request", r.Node.Name, w.subject))
			}
		}
	}
	return problems
}

func judgeDrains(trial *pollentrial.Trial) []string {
	var problems []string
	for _, w := range windows(trial, func(c *pollenschema.Change) (string, bool, bool) {
		s := c.GetSetServerState()
		return s.GetServer(), s.GetState() == pollenschema.Admin_ADMIN_DRAINING, s != nil
	}) {
		for _, s := range trial.Sends() {
			if s.Server == w.subject && w.contains(s.Time) {
				problems = append(problems, problem("%s was sent work by %s while draining", s.Server, s.Node.Name))
			}
		}
	}
	return problems
}

// judgeStops demands a whole answer to every request, since nothing but graceful stops happened.
func judgeStops(trial *pollentrial.Trial) []string {
	var problems []string
	for _, r := range trial.Results() {
		trial.Met(pollentrial.SeenDone)
		response := r.Response
		switch {
		case r.Err != nil:
			problems = append(problems, problem("%s to %s failed: %v", r.Nonce, r.Node.Name, r.Err))
		case response.Outcome != pollenschema.Outcome_OUTCOME_DONE:
			problems = append(problems, problem("%s to %s: %v %v %s", r.Nonce, r.Node.Name, response.Outcome, response.Reason, response.Detail))
		case response.Coverage.Covered != response.Coverage.Total:
			problems = append(problems, problem("%s to %s covers %d of %d: %v", r.Nonce, r.Node.Name, response.Coverage.Covered, response.Coverage.Total, response.Coverage.Missing))
		}
	}
	return problems
}

// watchRevisions samples the revision in force on every node.
func watchRevisions(trial *pollentrial.Trial) func() []string {
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
			case <-time.After(samplePause):
			}
			problems = append(problems, sample(trial, servingSince, highest)...)
		}
	}()
	return func() []string {
		close(stop)
		<-stopped
		return problems
	}
}

const samplePause = 100 * time.Millisecond

func sample(trial *pollentrial.Trial, servingSince map[*pollentrial.Node]time.Time, highest map[*pollentrial.Node]uint64) []string {
	var problems []string
	now := time.Now()
	head := trial.HeadAt()
	for _, n := range trial.Nodes() {
		if !n.Serving() {
			delete(servingSince, n)
			continue
		}
		if servingSince[n].IsZero() {
			servingSince[n] = now
		}
		revision := n.Instance.Table().Revision
		if revision < highest[n] {
			problems = append(problems, problem("%s went from revision %d back to %d", n.Name, highest[n], revision))
		}
		highest[n] = max(highest[n], revision)
		for r, at := range head {
			if now.Sub(at) > inForceTime {
				trial.Met(pollentrial.SeenWindow)
				if revision < r {
					problems = append(problems, problem("%s serves revision %d, %v after %d was written", n.Name, revision, now.Sub(at), r))
				}
			}
		}
	}
	return problems
}
