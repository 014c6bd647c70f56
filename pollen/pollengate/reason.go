package pollengate

import (
	"fmt"
	"strings"
)

// Reason states why a server is sent no requests.
type Reason int

// The reasons, in the order in which they are checked.
const (
	// None means that the server may be sent a request.
	None Reason = iota
	// Draining means that the store says that the server shuts down.
	Draining
	// ZoneEvacuated means that the server's availability zone is evacuated.
	ZoneEvacuated
	// Leaving means that the server has announced in a response that it leaves.
	Leaving
	// Paused means that the server has refused a request and stated for how long it wants no others.
	Paused
	// Limited means that this instance has used its share of the rate that the server states.
	Limited
	// VersionNotAdmitted means that no traffic is to go to the server's version.
	VersionNotAdmitted
	// Cold means that the server is warming up and takes no request from this instance now.
	Cold
	// Ejected means that the server has failed repeatedly or is unresponsive.
	Ejected

	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "draining", "zone evacuated", "leaving", "paused", "limited", "version not admitted", "cold", "ejected",
}

// Reasons returns all reasons except None.
func Reasons() []Reason {
	reasons := make([]Reason, 0, reasonCount-1)
	for r := None + 1; r < reasonCount; r++ {
		reasons = append(reasons, r)
	}
	return reasons
}

// String returns the name of the reason in log lines and metrics.
func (r Reason) String() string {
	if r < 0 || r >= reasonCount {
		return fmt.Sprintf("reason %d", int(r))
	}
	return reasonNames[r]
}

// Counts holds the number of servers that are held back for each reason.
type Counts [reasonCount]int

// String lists the reasons that occur with their counts, empty if no server is held back.
func (c Counts) String() string {
	var parts []string
	for _, r := range Reasons() {
		if c[r] > 0 {
			parts = append(parts, fmt.Sprintf("%s: %d", r, c[r]))
		}
	}
	return strings.Join(parts, ", ")
}
