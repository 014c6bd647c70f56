package pollenchart

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
)

// Chart is a checked state chart.
type Chart struct {
	Name    string
	Initial string
	States  []State
	Events  []string

	transitions map[transitionKey]string
	traits      map[transitionKey]bool
}

// State is one state of a chart with the events that leave it.
type State struct {
	Name        string
	Traits      []string
	Transitions []Transition
}

// Transition leads to state To when Event is fired.
type Transition struct {
	Event string
	To    string
}

// ChartError reports a chart that cannot be interpreted.
type ChartError struct {
	Chart   string
	Problem string
	Err     error
}

func (e *ChartError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("state chart %s: %s: %v", e.Chart, e.Problem, e.Err)
	}
	return fmt.Sprintf("state chart %s: %s", e.Chart, e.Problem)
}

func (e *ChartError) Unwrap() error { return e.Err }

// Load returns the embedded chart of the given file name, without its extension.
func Load(name string) (*Chart, error) {
	data, err := charts.ReadFile("charts/" + name + ".json")
	if err != nil {
		return nil, &ChartError{Chart: name, Problem: "no such chart", Err: err}
	}
	return Parse(name, data)
}

// MustLoad returns an embedded chart and panics when it is refused.
func MustLoad(name string) *Chart {
	chart, err := Load(name)
	if err != nil {
		panic(err)
	}
	return chart
}

// Parse reads and checks a chart.
func Parse(name string, data []byte) (*Chart, error) {
	chart := &Chart{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(chart); err != nil {
		return nil, &ChartError{Chart: name, Problem: "not a chart", Err: err}
	}
	if err := chart.check(name); err != nil {
		return nil, err
	}
	return chart, nil
}

// Machine is one instance of a chart.
type Machine struct {
	chart *Chart
	mu    sync.Mutex
	state string
}

// NewMachine returns a machine in the chart's initial state.
func NewMachine(chart *Chart) *Machine {
	return &Machine{chart: chart, state: chart.Initial}
}

// Fire takes the transition for event and reports whether the state changed.
//
// An event that the current state does not mention leaves the state as it is; one that the chart does not
// mention at all is a programming error and panics.
func (m *Machine) Fire(event string) (from, to string, changed bool) {
	if !slices.Contains(m.chart.Events, event) {
		panic(&ChartError{Chart: m.chart.Name, Problem: fmt.Sprintf("no event %q", event)})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	from = m.state
	to, ok := m.chart.transitions[transitionKey{from, event}]
	if !ok {
		return from, from, false
	}
	m.state = to
	return from, to, from != to
}

// State returns the name of the current state.
func (m *Machine) State() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Has reports whether the current state has a trait.
func (m *Machine) Has(trait string) bool {
	return m.chart.Has(m.State(), trait)
}

// Has reports whether a state of the chart has a trait.
func (c *Chart) Has(state, trait string) bool {
	return c.traits[transitionKey{state, trait}]
}

//go:embed charts/*.json
var charts embed.FS

// transitionKey is a state with an event or a trait.
type transitionKey struct {
	state, label string
}

func (c *Chart) check(name string) error {
	c.transitions = make(map[transitionKey]string)
	c.traits = make(map[transitionKey]bool)
	known := make(map[string]bool)
	for _, s := range c.States {
		if known[s.Name] {
			return &ChartError{Chart: name, Problem: fmt.Sprintf("state %q stands twice", s.Name)}
		}
		known[s.Name] = true
	}
	if !known[c.Initial] {
		return &ChartError{Chart: name, Problem: fmt.Sprintf("unknown initial state %q", c.Initial)}
	}
	for _, s := range c.States {
		if err := c.checkState(name, s, known); err != nil {
			return err
		}
	}
	return nil
}

func (c *Chart) checkState(name string, s State, known map[string]bool) error {
	for _, trait := range s.Traits {
		c.traits[transitionKey{s.Name, trait}] = true
	}
	for _, t := range s.Transitions {
		if !known[t.To] {
			return &ChartError{Chart: name, Problem: fmt.Sprintf("state %q leads to unknown state %q", s.Name, t.To)}
		}
		if !slices.Contains(c.Events, t.Event) {
			return &ChartError{Chart: name, Problem: fmt.Sprintf("state %q names unknown event %q", s.Name, t.Event)}
		}
		key := transitionKey{s.Name, t.Event}
		if _, twice := c.transitions[key]; twice {
			return &ChartError{Chart: name, Problem: fmt.Sprintf("state %q names event %q twice", s.Name, t.Event)}
		}
		c.transitions[key] = t.To
	}
	return nil
}
