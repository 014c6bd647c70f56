package pollenlog

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"
)

// Guards against lines of any length, which clients cause with long identifiers and paths: the queue of a Writer is bounded in lines.
func TestLongValuesAreCut(t *testing.T) {
	long := strings.Repeat("ä\"", 10_000)
	tests := []struct {
		name  string
		value any
		cut   bool
	}{
		{"short text", "r-1", false},
		{"long text", long, true},
		{"long error", errors.New(long), true},
		{"number", 7, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var output bytes.Buffer
			Setup(&output, "p", "i")
			t.Cleanup(klog.ClearLogger)
			klog.InfoS("Request", "requestID", test.value)
			const escaped = 2
			c.Check(output.Len() < escaped*maxValueBytes+500, qt.IsTrue, qt.Commentf("%d bytes", output.Len()))
			c.Check(strings.Contains(output.String(), "…"), qt.Equals, test.cut)
		})
	}
}
