package pollentrace

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const sample = `{"Outcome":{"Name":"Sample","Story":"none","Instances":3,"Latency":"1s","Coverage":1,"Done":1}}
{"Failure":{"At":"1s","Kind":"Silent","Target":"desk-01-a","For":"2s"}}
{"Request":{"At":"2s","Service":"desk-01","Class":"urgent","Timeout":"500ms"}}
`

// TestWriteReproducesInput guards against fields that are lost when a trace is read and written again.
func TestWriteReproducesInput(t *testing.T) {
	c := qt.New(t)
	trace, err := Read(strings.NewReader(sample))
	c.Assert(err, qt.IsNil)
	var written bytes.Buffer
	c.Assert(trace.Write(&written), qt.IsNil)
	c.Assert(written.String(), qt.Equals, sample)
}

// TestReadRejectsInvalidTraces guards against replaying a trace with a misspelt field or an invalid value.
func TestReadRejectsInvalidTraces(t *testing.T) {
	outcome := strings.SplitAfter(sample, "\n")[0]
	tests := []struct {
		name, data, problem string
		line                int
	}{
		{"empty", "", "the outcome is missing", 1},
		{"no outcome first", `{"Request":{"Class":"urgent"}}`, "the first line must hold the outcome", 1},
		{"two outcomes", outcome + outcome, "want a request or a failure", 2},
		{"unknown field", outcome + `{"Reqest":{}}`, "not valid", 2},
		{"unknown class", outcome + `{"Request":{"Class":"slow"}}`, `no class "slow"`, 2},
		{"time without unit", outcome + `{"Request":{"Class":"urgent","At":"5"}}`, "not a duration with a unit", 2},
		{"negative time", outcome + `{"Failure":{"At":"-1s"}}`, "want 0 to", 2},
		{"no instances", `{"Outcome":{"Instances":0}}`, "field Instances", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Read(strings.NewReader(test.data))
			var lineError *LineError
			c.Assert(err, qt.ErrorAs, &lineError)
			c.Assert(lineError.Line, qt.Equals, test.line)
			c.Assert(err.Error(), qt.Contains, test.problem)
		})
	}
}

// FuzzRead checks that Read never panics and accepts every trace that Write has written.
func FuzzRead(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		trace, err := Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		var written bytes.Buffer
		if err := trace.Write(&written); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(&written); err != nil {
			t.Fatalf("a written trace is refused: %v", err)
		}
	})
}
