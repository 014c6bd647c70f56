package pollenfleet_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenfakeserver"
	"pollenline.example/pollen/pollenfakestore"
	"pollenline.example/pollen/pollenfirm"
	"pollenline.example/pollen/pollenfleet"
	"pollenline.example/pollen/pollenschema"
	"pollenline.example/pollen/pollentraffic"
)

const (
	testInstances = 9
	testRate      = 150
	testTimeout   = 2 * time.Second
)

// TestFleetUnderProcessFaults kills, pauses and resumes processes under load and checks the answers against the
// ledgers, which are the backend servers' records of what they ran.
//
// Its assertions hold on machines of any speed: no action runs twice or after it was reported as not run, every answer
// has the rows and the coverage that it states, and no assertion in a program fails.
func TestFleetUnderProcessFaults(t *testing.T) {
	c := qt.New(t)
	// vunivalu is the firm whose services prefer low latency over full coverage.
	firm, err := pollenfirm.ByName("vunivalu")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	fleet, err := pollenfleet.Start(ctx, pollenfleet.Config{
		Firm: firm, Programs: programsDirectory(t), Directory: t.TempDir(), Instances: testInstances, ColdTime: time.Second,
	})
	c.Assert(err, qt.IsNil)
	defer fleet.Close()
	c.Assert(fleet.CreateServices(ctx, "v1"), qt.IsNil)

	checkBadInput(ctx, c, fleet)
	callers := make(map[string]pollentraffic.Sender)
	for _, family := range firm.Families {
		callers[family.Name] = fleet.Caller(family.Name, firm.Zones[0])
	}
	generator := pollentraffic.NewGenerator(pollentraffic.Config{
		Firm: firm, Callers: callers, Rate: testRate, ActionShare: 0.5, Timeout: testTimeout, Seed: 1,
	})
	var traffic sync.WaitGroup
	traffic.Go(func() { generator.Run(ctx, 20*time.Second) })
	injectFaults(ctx, c, fleet)
	traffic.Wait()
	checkResults(ctx, c, fleet, generator.Tally())
}

// programsDirectory returns the directory POLLEN_PROGRAMS, or a temporary one with freshly built programs if it is unset.
func programsDirectory(t *testing.T) string {
	if directory := os.Getenv("POLLEN_PROGRAMS"); directory != "" {
		return directory
	}
	directory := t.TempDir()
	for _, program := range []string{"pollenentry", "pollenstandin"} {
		build := exec.Command("go", "build", "-o", directory, ".")
		build.Dir = filepath.Join("..", "..", program)
		output, err := build.CombinedOutput()
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	}
	return directory
}

// injectFaults kills, pauses and restarts processes and injects faults into the store and one backend server.
func injectFaults(ctx context.Context, c *qt.C, fleet *pollenfleet.Fleet) {
	const faultInterval = 1500 * time.Millisecond
	server := fleet.Servers[3].Name
	time.Sleep(faultInterval)
	fleet.Instances[1].Kill()
	time.Sleep(faultInterval)
	c.Check(fleet.Instances[2].Signal(syscall.SIGSTOP), qt.IsNil)
	time.Sleep(2 * faultInterval)
	c.Check(fleet.Instances[2].Signal(syscall.SIGCONT), qt.IsNil)
	fleet.HostProcess(fleet.Servers[0].Name).Kill()
	c.Check(fleet.RestartServer(ctx, server), qt.IsNil)
	time.Sleep(faultInterval)
	c.Check(fleet.SetStoreFaults(ctx, pollenfakestore.Faults{Down: true}), qt.IsNil)
	c.Check(fleet.SilenceConnections(ctx, server), qt.IsNil)
	time.Sleep(2 * faultInterval)
	c.Check(fleet.SetStoreFaults(ctx, pollenfakestore.Faults{}), qt.IsNil)
	c.Check(fleet.SetFaults(ctx, server, pollenfakeserver.Faults{LoseAnswers: true}), qt.IsNil)
	c.Check(fleet.Restart(1), qt.IsNil)
	time.Sleep(faultInterval)
	c.Check(fleet.SetFaults(ctx, server, pollenfakeserver.Faults{}), qt.IsNil)
}

// checkResults compares the callers' results with what the backend servers that still run have recorded as run.
func checkResults(ctx context.Context, c *qt.C, fleet *pollenfleet.Fleet, tally *pollentraffic.Tally) {
	total := tally.Total()
	c.Logf("%+v", total)
	c.Check(total.Done > 0, qt.IsTrue)
	c.Check(total.Untruthful, qt.Equals, 0)
	counters, err := fleet.Counters(ctx)
	c.Check(err, qt.IsNil)
	c.Check(counters.Violations, qt.Equals, 0.0)

	runs := make(map[string]int)
	for _, s := range fleet.Servers {
		if fleet.HostProcess(s.Name).Ended() {
			continue
		}
		ledger, err := fleet.Ledger(ctx, s.Name)
		c.Check(err, qt.IsNil)
		for action, n := range ledger.Runs {
			runs[action] += n
		}
	}
	c.Check(len(runs) > 0, qt.IsTrue)
	for action, n := range runs {
		c.Check(n, qt.Equals, 1, qt.Commentf("action %s", action))
	}
	for _, action := range tally.Actions(pollenschema.Outcome_OUTCOME_NOT_RUN) {
		c.Check(runs[action], qt.Equals, 0, qt.Commentf("action %s was reported as not run", action))
	}
}
