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

// TestReplay replays each committed trace: its outcome is met, and the naive policy misses it.
func TestReplay(t *testing.T) {
	files, err := filepath.Glob("testdata/traces/*.jsonl")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) >= 5, qt.IsTrue)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			c := qt.New(t)
			ours := replay(t, file, "")
			t.Logf("ours: %+v", *ours)
			c.Check(ours.Problems, qt.HasLen, 0)
			naive := replay(t, file, polleninstance.BaselineNaive)
			t.Logf("naive: %+v", *naive)
			c.Check(len(naive.Problems) > 0, qt.IsTrue, qt.Commentf("the naive policy meets the outcome"))
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
		time.Sleep(pollentrial.Linger)
	})
	qt.Assert(t, err, qt.IsNil)
	return report
}
