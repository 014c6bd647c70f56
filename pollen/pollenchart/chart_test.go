package pollenchart

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestParseRejectsInvalidCharts guards against a chart file with an error that would only show at run time.
func TestParseRejectsInvalidCharts(t *testing.T) {
	tests := []struct {
		name    string
		data    string
		problem string
	}{
		{"unknown state", `{"Initial":"A","Events":["E"],"States":[{"Name":"A","Transitions":[{"Event":"E","To":"B"}]}]}`, `unknown state "B"`},
		{"unknown event", `{"Initial":"A","States":[{"Name":"A","Transitions":[{"Event":"E","To":"A"}]}]}`, `unknown event "E"`},
		{"unknown initial state", `{"Initial":"B","States":[{"Name":"A"}]}`, `unknown initial state "B"`},
		{"state twice", `{"Initial":"A","States":[{"Name":"A"},{"Name":"A"}]}`, "is defined twice"},
		{"event twice", `{"Initial":"A","Events":["E"],"States":[{"Name":"A","Transitions":[{"Event":"E","To":"A"},{"Event":"E","To":"A"}]}]}`, "two transitions"},
		{"unknown field", `{"Start":"A"}`, "not a chart"},
		{"not JSON", `{`, "not a chart"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Parse("test", []byte(test.data))
			var chartError *ChartError
			c.Assert(err, qt.ErrorAs, &chartError)
			c.Assert(strings.Contains(err.Error(), test.problem), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestEmbeddedChartsAreValid guards against a chart file that makes MustLoad panic at start.
func TestEmbeddedChartsAreValid(t *testing.T) {
	entries, err := charts.ReadDir("charts")
	qt.Assert(t, err, qt.IsNil)
	for _, entry := range entries {
		name := strings.TrimSuffix(entry.Name(), ".json")
		_, err := Load(name)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", name))
	}
}

// TestMachineFollowsTransitions guards against a machine that misses a transition or accepts an undeclared event.
func TestMachineFollowsTransitions(t *testing.T) {
	c := qt.New(t)
	m := NewMachine(MustLoad("backendserver"))
	c.Assert(m.State(), qt.Equals, StateName("Cold"))
	_, to, changed := m.Fire("Answered")
	c.Assert(changed, qt.IsTrue)
	c.Assert(to, qt.Equals, StateName("Warming"))
	c.Assert(m.Has("Ramps"), qt.IsTrue)
	_, _, changed = m.Fire("Answered")
	c.Assert(changed, qt.IsFalse)
	c.Assert(func() { m.Fire("NoSuchEvent") }, qt.PanicMatches, ".*NoSuchEvent.*")
}

// FuzzParse checks that Parse never panics, and that a machine of a chart it accepts can fire every declared event.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"Initial":"A","Events":["E"],"States":[{"Name":"A","Transitions":[{"Event":"E","To":"A"}]}]}`))
	f.Add([]byte(`{"States":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		chart, err := Parse("fuzz", data)
		if err != nil {
			return
		}
		m := NewMachine(chart)
		for _, event := range chart.Events {
			m.Fire(event)
		}
	})
}
