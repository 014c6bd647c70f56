package pollenchart

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
)

// StateName names a state of a chart.
type StateName string

// Event names something that happens to a machine.
type Event string

// Trait names a property that states have or lack.
type Trait string

// Chart is a checked state chart.
type Chart struct {
	Name    string
	Initial StateName
	States  []State
	Events  []Event

	transitions map[transitionKey]StateName
	traits      map[traitKey]bool
}

// State is one state of a chart with the events that leave it.
type State struct {
	Name        StateName
	Traits      []Trait
	Transitions []Transition
}

// Transition leads to state To when Event is fired.
type Transition struct {
	Event Event
	To    StateName
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
	state StateName
}

// NewMachine returns a machine in the chart's initial state.
func NewMachine(chart *Chart) *Machine {
	return &Machine{chart: chart, state: chart.Initial}
}

// Fire takes the transition for event and reports whether the state changed.
//
// An event that the current state does not mention leaves the state as it is; one that the chart does not
// mention at all is a programming error and panics.
func (m *Machine) Fire(event Event) (from, to StateName, changed bool) {
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
func (m *Machine) State() StateName {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Has reports whether the current state has a trait.
func (m *Machine) Has(trait Trait) bool {
	return m.chart.Has(m.State(), trait)
}

// Has reports whether a state of the chart has a trait.
func (c *Chart) Has(state StateName, trait Trait) bool {
	return c.traits[traitKey{state, trait}]
}

//go:embed charts/*.json
var charts embed.FS

// transitionKey is a state with an event.
type transitionKey struct {
	state StateName
	event Event
}

// traitKey is a state with a trait.
type traitKey struct {
	state StateName
	trait Trait
}

func (c *Chart) check(name string) error {
	c.transitions = make(map[transitionKey]StateName)
	c.traits = make(map[traitKey]bool)
	known := make(map[StateName]bool)
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

func (c *Chart) checkState(name string, s State, known map[StateName]bool) error {
	for _, trait := range s.Traits {
		c.traits[traitKey{s.Name, trait}] = true
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
