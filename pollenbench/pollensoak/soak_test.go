package pollensoak

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against regressions that show only with real processes. Longer runs are made with pollenbench soak.
func TestRunKeepsPromises(t *testing.T) {
	c := qt.New(t)
	var output bytes.Buffer
	report, err := Run(t.Context(), Config{
		Program: entryProgram(t), Directory: t.TempDir(), Seed: 3, Duration: 3 * time.Second, Instances: 3, Callers: 6, Output: &output,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(report.Violations, qt.HasLen, 0, qt.Commentf("%v\n%s", report.Violations, output.String()))
	c.Assert(report.Served > 0, qt.IsTrue)
	c.Assert(len(report.Faults) > 1, qt.IsTrue)
}

// entryProgram returns the path of the entry instances' executable, built unless POLLEN_PROGRAMS names its directory.
func entryProgram(t *testing.T) string {
	if directory := os.Getenv("POLLEN_PROGRAMS"); directory != "" {
		return filepath.Join(directory, "pollenentry")
	}
	file := filepath.Join(t.TempDir(), "pollenentry")
	build := exec.Command("go", "build", "-o", file, ".")
	build.Dir = filepath.Join("..", "..", "pollenentry")
	output, err := build.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	return file
}

// landingBefore is the landing beside which this one must work while instances are replaced one after the other.
const landingBefore = "5871f8a"

// Guards against a landing that breaks promises beside the one before it, during an upgrade under faults.
func TestUpgradeFromLandingBeforeKeepsPromises(t *testing.T) {
	c := qt.New(t)
	production, err := BuildCommit(t.Context(), landingBefore, t.TempDir())
	var noCommit *NoCommitError
	if errors.As(err, &noCommit) {
		t.Skipf("the history has no commit %s, or there is no git: %v", landingBefore, err)
	}
	c.Assert(err, qt.IsNil)
	var output bytes.Buffer
	config := Config{
		Program: entryProgram(t), Production: production, Directory: t.TempDir(), Seed: 7704, Duration: 3 * time.Second, Instances: 3, Callers: 6, Output: &output,
	}
	report, err := Run(t.Context(), config)
	c.Assert(err, qt.IsNil)
	c.Assert(report.Violations, qt.HasLen, 0, qt.Commentf("%v\n%s", report.Violations, output.String()))
	c.Assert(report.Served > 0, qt.IsTrue)
	c.Assert(strings.Count(output.String(), "replace "), qt.Equals, len(newUpgrade(config)))
}

// Guards against upgrades that skip an instance, or that never or always go back.
func TestUpgradeReplacesAllOrGoesBack(t *testing.T) {
	c := qt.New(t)
	const instances = 4
	goBack := 0
	for seed := range uint64(100) {
		config := Config{Seed: seed, Instances: instances, Production: "former"}
		upgrade := newUpgrade(config)
		c.Assert(fmt.Sprint(upgrade), qt.Equals, fmt.Sprint(newUpgrade(config)))
		upgraded := make(map[int]bool)
		for _, r := range upgrade {
			c.Assert(r.back, qt.Equals, upgraded[r.instance])
			upgraded[r.instance] = !r.back
		}
		if upgrade[len(upgrade)-1].back {
			goBack++
			c.Assert(upgraded, qt.Not(qt.Contains), true)
			continue
		}
		c.Assert(upgrade, qt.HasLen, instances)
		c.Assert(upgraded, qt.HasLen, instances)
	}
	c.Assert(goBack > 30 && goBack < 70, qt.IsTrue, qt.Commentf("%d of 100 seeds go back", goBack))
	c.Assert(newUpgrade(Config{Instances: instances}), qt.HasLen, 0)
}

// Guards against a missing commit that fails a test instead of being reported, and against a load that ignores the production program.
func TestProductionNeedsCommitAndFaults(t *testing.T) {
	c := qt.New(t)
	_, err := BuildCommit(t.Context(), "no-such-commit", t.TempDir())
	c.Assert(err, qt.ErrorAs, new(*NoCommitError))
	_, err = Run(t.Context(), Config{Load: LoadStops, Production: "former"})
	c.Assert(err, qt.ErrorAs, new(*ProductionLoadError))
}

// Guards against seeds that cannot be replayed because their faults differ between runs.
func TestPlanIsDeterminedBySeed(t *testing.T) {
	c := qt.New(t)
	names := func(seed uint64) (names []string) {
		plan, err := newPlan(Config{Seed: seed, Duration: 10 * time.Second})
		c.Assert(err, qt.IsNil)
		for _, f := range plan {
			names = append(names, f.start.String()+f.duration.String()+f.kind.name)
		}
		return names
	}
	c.Assert(names(1), qt.DeepEquals, names(1))
	c.Assert(names(1), qt.Not(qt.DeepEquals), names(2))
	_, err := newPlan(Config{FaultKinds: []string{"nothing"}})
	c.Assert(err, qt.ErrorAs, new(*UnknownFaultError))
}

// Guards against recorded regressions without a cause or with the name of a promise that does not exist.
func TestRegressionsNamePromises(t *testing.T) {
	c := qt.New(t)
	regressions, err := Regressions()
	c.Assert(err, qt.IsNil)
	known := make(map[string]bool)
	for _, p := range allPromises() {
		known[p.name] = true
	}
	for _, r := range regressions {
		c.Check(known[r.Promise] && r.Cause != "", qt.IsTrue, qt.Commentf("%v", r))
		_, err := newPlan(r.Config(Config{Duration: time.Second}))
		c.Check(err, qt.IsNil)
		// Each regression names its kinds of faults in one way, or plays planned stops.
		named := 0
		for _, is := range []bool{r.FaultKindCount > 0, len(r.FaultKinds) > 0, r.Load == LoadStops} {
			if is {
				named++
			}
		}
		c.Check(named, qt.Equals, 1, qt.Commentf("%v", r))
	}
}

// Guards against promises without a mutation, whose check scripts/soak-mutations would never see fail.
func TestMutationsCoverPromises(t *testing.T) {
	for _, p := range allPromises() {
		_, err := os.Stat(filepath.Join("testdata", "mutations", p.name+".patch"))
		qt.Check(t, err, qt.IsNil)
	}
}
