package pollenteam

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against counts of former windows, and against counts that get lost within one.
func TestUsageCountsLastWindow(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	tests := []struct {
		name string
		// sent holds when requests are sent, and asked when the count is read, in seconds.
		sent  []float64
		asked float64
		want  int
	}{
		{"none", nil, 0, 0},
		{"all in the window", []float64{0, 0.5, 3, 4.9}, 4.9, 4},
		{"oldest part is dropped", []float64{0, 0.5, 3, 4.9}, 5, 2},
		{"long after", []float64{0, 1}, 60, 0},
		{"again after a long time", []float64{0, 1, 60}, 61, 1},
		{"clock set back", []float64{10, 9}, 10, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
			u := NewUsage(5 * time.Second)
			for _, seconds := range test.sent {
				u.Record("a", at(seconds))
			}
			c.Assert(u.Used("a", at(test.asked)), qt.Equals, test.want)
			c.Assert(u.Used("b", at(test.asked)), qt.Equals, 0)
		})
	}
}

// Guards against memory and metrics that grow with every name of a team that a configuration ever had.
func TestNamesOfTeamsAreBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	u := NewUsage(5 * time.Second)
	var labels Labels
	seen := make(map[string]bool)
	for n := range 3 * maxCounted {
		name := fmt.Sprintf("team-%d", n)
		u.Record(name, now)
		seen[labels.Label(name)] = true
	}
	c.Assert(u.teams, qt.HasLen, maxCounted)
	c.Assert(seen, qt.HasLen, MaxTeams+1)
	c.Assert(labels.Label("team-3"), qt.Equals, "team-3")
	c.Assert(labels.Label("team-300"), qt.Equals, OtherTeam)
	u.Record("later", now.Add(time.Minute))
	c.Assert(u.Used("later", now.Add(time.Minute)), qt.Equals, 1)
}
