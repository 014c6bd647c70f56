package pollentrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollensettings"
)

// Line is one line of a trace; exactly one field is set.
type Line struct {
	Outcome *Outcome `json:",omitempty"`
	Request *Request `json:",omitempty"`
	Failure *Failure `json:",omitempty"`
}

// Outcome is what a replay of the trace must come to.
type Outcome struct {
	Name string
	// Story is the accident that the trace retells.
	Story     string
	Instances int
	// Class limits the latency, coverage and completion bounds to requests of one class; empty for all.
	Class string `json:",omitempty"`
	// Latency bounds the 99th percentile.
	Latency pollensettings.Duration
	// Coverage is the least share of shards covered by idempotent requests.
	Coverage float64
	// Done is the least share of requests that are done.
	Done float64
}

// Request is one request.
type Request struct {
	At      pollensettings.Duration
	Service string
	Class   string
	Timeout pollensettings.Duration
	Action  bool   `json:",omitempty"`
	Key     string `json:",omitempty"`
}

// Failure is one failure, as the fakes bring it about.
type Failure struct {
	At     pollensettings.Duration
	Kind   string
	Target string
	For    pollensettings.Duration
}

// Trace is a whole trace.
type Trace struct {
	Outcome  Outcome
	Requests []Request
	Failures []Failure
}

// LineError reports a line that cannot be read.
type LineError struct {
	Line    int
	Problem string
	Err     error
}

func (e *LineError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("line %d: %s: %v", e.Line, e.Problem, e.Err)
	}
	return fmt.Sprintf("line %d: %s", e.Line, e.Problem)
}

func (e *LineError) Unwrap() error { return e.Err }

const (
	maximumLine      = 1 << 20
	maximumInstances = 50
	maximumTime      = time.Hour
)

// Read reads and checks a trace.
func Read(r io.Reader) (*Trace, error) {
	trace := &Trace{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maximumLine)
	number := 0
	for scanner.Scan() {
		number++
		if err := trace.add(number, scanner.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, &LineError{Line: number + 1, Problem: "cannot be read", Err: err}
	}
	if number == 0 {
		return nil, &LineError{Line: 1, Problem: "the outcome is missing"}
	}
	return trace, nil
}

// Write writes a trace.
func (t *Trace) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	if err := encoder.Encode(Line{Outcome: &t.Outcome}); err != nil {
		return err
	}
	for n := range t.Failures {
		if err := encoder.Encode(Line{Failure: &t.Failures[n]}); err != nil {
			return err
		}
	}
	for n := range t.Requests {
		if err := encoder.Encode(Line{Request: &t.Requests[n]}); err != nil {
			return err
		}
	}
	return nil
}

func (t *Trace) add(number int, data []byte) error {
	var line Line
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&line); err != nil {
		return &LineError{Line: number, Problem: "not valid", Err: err}
	}
	problem := ""
	switch {
	case line.Outcome != nil && number == 1:
		t.Outcome = *line.Outcome
		problem = line.Outcome.check()
	case number == 1:
		problem = "the first line must hold the outcome"
	case line.Request != nil:
		t.Requests = append(t.Requests, *line.Request)
		problem = line.Request.check()
	case line.Failure != nil:
		t.Failures = append(t.Failures, *line.Failure)
		problem = checkTime(line.Failure.At, line.Failure.For)
	default:
		problem = "want a request or a failure"
	}
	if problem != "" {
		return &LineError{Line: number, Problem: problem}
	}
	return nil
}

func (o *Outcome) check() string {
	if o.Instances < 1 || o.Instances > maximumInstances {
		return fmt.Sprintf("field Instances: want 1 to %d", maximumInstances)
	}
	if o.Class != "" {
		if _, err := pollenmessage.ParseClass(o.Class); err != nil {
			return err.Error()
		}
	}
	if o.Coverage < 0 || o.Coverage > 1 || o.Done < 0 || o.Done > 1 {
		return "fields Coverage and Done: want 0 to 1"
	}
	return checkTime(o.Latency)
}

func (r *Request) check() string {
	if _, err := pollenmessage.ParseClass(r.Class); err != nil {
		return err.Error()
	}
	return checkTime(r.At, r.Timeout)
}

func checkTime(durations ...pollensettings.Duration) string {
	for _, d := range durations {
		if d < 0 || d.Std() > maximumTime {
			return fmt.Sprintf("time %v: want 0 to %v", d.Std(), maximumTime)
		}
	}
	return ""
}
