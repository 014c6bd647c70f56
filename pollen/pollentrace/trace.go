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

// Line is a line of a trace file; exactly one field is set.
type Line struct {
	Outcome *Outcome `json:",omitempty"`
	Request *Request `json:",omitempty"`
	Failure *Failure `json:",omitempty"`
}

// Outcome is the expected result of a replay of the trace.
type Outcome struct {
	Name string
	// Story describes the incident that the trace reproduces.
	Story string
	// Instances is the number of instances to start.
	Instances int
	// Class is the class of requests that Latency, Coverage and Done apply to; empty for all classes.
	Class string `json:",omitempty"`
	// Latency is the upper limit of the 99th percentile of request latencies.
	Latency pollensettings.Duration
	// Coverage is the lower limit of the share of shards that idempotent requests cover, 0 to 1.
	Coverage float64
	// Done is the lower limit of the share of requests that end with OUTCOME_DONE, 0 to 1.
	Done float64
}

// Request is a request to send during the replay.
type Request struct {
	// At is the time since the start of the replay.
	At      pollensettings.Duration
	Service string
	Class   string
	Timeout pollensettings.Duration
	// Action is set for an action, which is not idempotent, and unset for a query.
	Action bool `json:",omitempty"`
	// Key determines the shard of an action.
	Key string `json:",omitempty"`
}

// Failure is a failure to inject through the fakes.
type Failure struct {
	// At is the time since the start of the replay.
	At pollensettings.Duration
	// Kind is a fault kind of package pollentrial.
	Kind string
	// Target names the instance, backend server or availability zone that fails. If it is empty or store, a Kind that
	// needs one of these applies to the first.
	Target string
	// For is how long the failure lasts.
	For pollensettings.Duration
}

// Trace is a validated trace.
type Trace struct {
	Outcome  Outcome
	Requests []Request
	Failures []Failure
}

// LineError reports an invalid line of a trace; lines are counted from 1.
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
	maxLineBytes = 1 << 20
	maxInstances = 50
	maxDuration  = time.Hour
)

// Read reads and validates a trace.
func Read(r io.Reader) (*Trace, error) {
	trace := &Trace{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	number := 0
	for scanner.Scan() {
		number++
		if err := trace.addLine(number, scanner.Bytes()); err != nil {
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

// Write writes the trace as JSON lines: the outcome, then the failures, then the requests.
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

// addLine decodes and validates a line and adds it to the trace.
func (t *Trace) addLine(number int, data []byte) error {
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
		problem = checkDurations(line.Failure.At, line.Failure.For)
	default:
		problem = "want a request or a failure"
	}
	if problem != "" {
		return &LineError{Line: number, Problem: problem}
	}
	return nil
}

// check returns the first problem of the outcome, or an empty string.
func (o *Outcome) check() string {
	if o.Instances < 1 || o.Instances > maxInstances {
		return fmt.Sprintf("field Instances: want 1 to %d", maxInstances)
	}
	if o.Class != "" {
		if _, err := pollenmessage.ParseClass(o.Class); err != nil {
			return err.Error()
		}
	}
	if o.Coverage < 0 || o.Coverage > 1 || o.Done < 0 || o.Done > 1 {
		return "fields Coverage and Done: want 0 to 1"
	}
	return checkDurations(o.Latency)
}

// check returns the first problem of the request, or an empty string.
func (r *Request) check() string {
	if _, err := pollenmessage.ParseClass(r.Class); err != nil {
		return err.Error()
	}
	return checkDurations(r.At, r.Timeout)
}

// checkDurations returns the first problem of the durations, or an empty string.
func checkDurations(durations ...pollensettings.Duration) string {
	for _, d := range durations {
		if d < 0 || d.Std() > maxDuration {
			return fmt.Sprintf("time %v: want 0 to %v", d.Std(), maxDuration)
		}
	}
	return ""
}
