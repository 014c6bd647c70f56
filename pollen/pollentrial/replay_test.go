package pollentrial_test

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/polleninstance"
	"pollenline.example/pollen/pollentrace"
	"pollenline.example/pollen/pollentrial"
)

// TestReplay checks that each trace in testdata meets its expected results and that the naive policy misses them.
func TestReplay(t *testing.T) {
	files, err := filepath.Glob("testdata/traces/*.jsonl")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) >= 5, qt.IsTrue)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			c := qt.New(t)
			current := replay(t, file, "")
			t.Logf("current policy: %+v", *current)
			c.Check(current.Problems, qt.HasLen, 0)
			naive := replay(t, file, polleninstance.BaselineNaive)
			t.Logf("naive policy: %+v", *naive)
			c.Check(len(naive.Problems) > 0, qt.IsTrue, qt.Commentf("the naive policy meets the expected results"))
		})
	}
}

func replay(t *testing.T, file, baseline string) *pollentrial.Report {
	t.Helper()
	f, err := os.Open(file)
	qt.Assert(t, err, qt.IsNil)
	defer f.Close()
	trace, err := pollentrace.Read(f)
	qt.Assert(t, err, qt.IsNil)
	var report *pollentrial.Report
	synctest.Test(t, func(t *testing.T) {
		report, err = pollentrial.Replay(trace, baseline)
		time.Sleep(pollentrial.ShutdownTime)
	})
	qt.Assert(t, err, qt.IsNil)
	return report
}
