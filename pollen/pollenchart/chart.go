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

// Event names an input of a machine that may cause a transition.
type Event string

// Trait names a property of states that code can query.
type Trait string

// Chart is a validated state chart.
type Chart struct {
	Name    string
	Initial StateName
	States  []State
	Events  []Event

	transitions map[transitionKey]StateName
	traits      map[traitKey]bool
}

// State is a state of a chart with its traits and outgoing transitions.
type State struct {
	Name        StateName
	Traits      []Trait
	Transitions []Transition
}

// Transition changes the state to To when Event is fired.
type Transition struct {
	Event Event
	To    StateName
}

// ChartError reports a chart that is missing or invalid, or an event that a chart doesn't declare.
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

// Load returns the embedded chart with the given file name, which excludes the extension.
func Load(name string) (*Chart, error) {
	data, err := charts.ReadFile("charts/" + name + ".json")
	if err != nil {
		return nil, &ChartError{Chart: name, Problem: "no such chart", Err: err}
	}
	return Parse(name, data)
}

// MustLoad is like Load but panics if the chart is missing or invalid.
func MustLoad(name string) *Chart {
	chart, err := Load(name)
	if err != nil {
		panic(err)
	}
	return chart
}

// Parse decodes and validates a chart; name is used in errors.
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

// Machine holds the current state of one object that follows a chart; it is safe for concurrent use.
type Machine struct {
	chart *Chart
	mu    sync.Mutex
	state StateName
}

// NewMachine returns a machine in the chart's initial state.
func NewMachine(chart *Chart) *Machine {
	return &Machine{chart: chart, state: chart.Initial}
}

// Fire takes the current state's transition for event and reports whether the state changed.
//
// Without such a transition the state stays. Fire panics if the chart does not declare event.
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

// Knows reports whether the chart has a state; a stored one may be of a later build.
func (c *Chart) Knows(state StateName) bool {
	return slices.ContainsFunc(c.States, func(s State) bool { return s.Name == state })
}

// Next returns the state that follows a state on an event; it is the same state if the chart has no such transition.
func (c *Chart) Next(state StateName, event Event) StateName {
	if to, ok := c.transitions[transitionKey{state, event}]; ok {
		return to
	}
	return state
}

//go:embed charts/*.json
var charts embed.FS

// transitionKey identifies a transition by its source state and event.
type transitionKey struct {
	state StateName
	event Event
}

// traitKey identifies a trait of a state.
type traitKey struct {
	state StateName
	trait Trait
}

// check validates the chart and indexes its transitions and traits; name is used in errors.
func (c *Chart) check(name string) error {
	c.transitions = make(map[transitionKey]StateName)
	c.traits = make(map[traitKey]bool)
	known := make(map[StateName]bool)
	for _, s := range c.States {
		if known[s.Name] {
			return &ChartError{Chart: name, Problem: fmt.Sprintf("state %q is defined twice", s.Name)}
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
			return &ChartError{Chart: name, Problem: fmt.Sprintf("state %q has a transition to unknown state %q", s.Name, t.To)}
		}
		if !slices.Contains(c.Events, t.Event) {
			return &ChartError{Chart: name, Problem: fmt.Sprintf("state %q has a transition for unknown event %q", s.Name, t.Event)}
		}
		key := transitionKey{s.Name, t.Event}
		if _, duplicate := c.transitions[key]; duplicate {
			return &ChartError{Chart: name, Problem: fmt.Sprintf("state %q has two transitions for event %q", s.Name, t.Event)}
		}
		c.transitions[key] = t.To
	}
	return nil
}
