package pollensoak

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
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
