package pollenreach

import (
	"fmt"
	"strings"
	"time"
)

// maxObservations bounds the servers that Evidence names.
const maxObservations = 5

// Evidence holds what an instance was cut off for: the first observations, and how many there were. The zero value is ready to use.
type Evidence struct {
	Observations []Observation
	Total        int
}

// Observation is one reason to think that a server is not reached.
type Observation struct {
	Server  string
	failure failure
	// at is when it was made, or from when on the server was silent.
	at time.Time
}

// failure is how a server failed to be reached.
type failure int

const (
	// brokenLink means that a connection for a request broke or could not be made, failedProbe that one of a probe could not be
	// made, and silence that requests were unanswered for much longer than usual.
	brokenLink failure = iota
	failedProbe
	silence
)

func (f failure) String() string {
	switch f {
	case brokenLink:
		return "connection broken or not made"
	case failedProbe:
		return "no connection for a probe"
	case silence:
		return "silent beyond its usual work"
	}
	return fmt.Sprintf("failure %d", int(f))
}

func (e *Evidence) add(o Observation) {
	e.Total++
	if len(e.Observations) < maxObservations {
		e.Observations = append(e.Observations, o)
	}
}

// Format returns the evidence for a log line, with its age.
func (e Evidence) Format(now time.Time) string {
	var text strings.Builder
	for i, o := range e.Observations {
		if i > 0 {
			text.WriteString("; ")
		}
		fmt.Fprintf(&text, "%s: %v, %d ms ago", o.Server, o.failure, now.Sub(o.at).Milliseconds())
	}
	if more := e.Total - len(e.Observations); more > 0 {
		fmt.Fprintf(&text, "; and %d more", more)
	}
	return text.String()
}
