// Package chart builds state machines from state charts: TOML files that declare the
// states and transitions of a job, a gang, a task and so on. The code fires events;
// firing one without a transition from the current state is a broken invariant.
package chart

import (
	"context"
	"embed"
	"fmt"
	"io/fs"
	"slices"

	"github.com/looplab/fsm"
	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

//go:embed charts/*.toml
var files embed.FS

// Transition moves a machine from any of the From states to To when Event is fired.
type Transition struct {
	Event string   `toml:"event"`
	From  []string `toml:"from"`
	To    string   `toml:"to"`
}

// Chart is one state chart, as declared in its file.
type Chart struct {
	Name        string       `toml:"name"`
	Initial     string       `toml:"initial"`
	Final       []string     `toml:"final"`
	Transitions []Transition `toml:"transition"`

	// states and events are computed once, when the chart is loaded.
	states []string
	events fsm.Events
}

// Names returns the names of all charts, sorted.
func Names() []string {
	entries, err := fs.Glob(files, "charts/*.toml")
	if err != nil {
		panic(errors.Wrap(err, "chart: bad pattern"))
	}
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry[len("charts/") : len(entry)-len(".toml")]
	}
	slices.Sort(names)
	return names
}

// Load returns the named chart. It panics when the chart is missing or malformed,
// since the charts are part of the program.
func Load(name string) *Chart {
	text, err := files.ReadFile("charts/" + name + ".toml")
	if err != nil {
		panic(errors.Wrapf(err, "chart %q", name))
	}
	var c Chart
	if err := toml.Unmarshal(text, &c); err != nil {
		panic(errors.Wrapf(err, "chart %q", name))
	}
	c.prepare()
	return &c
}

func (c *Chart) prepare() {
	c.states = c.collectStates()
	c.events = make(fsm.Events, len(c.Transitions))
	for i, t := range c.Transitions {
		c.events[i] = fsm.EventDesc{Name: t.Event, Src: t.From, Dst: t.To}
	}
}

// States returns all states of the chart, sorted.
func (c *Chart) States() []string { return slices.Clone(c.states) }

func (c *Chart) collectStates() []string {
	states := []string{c.Initial}
	for _, t := range c.Transitions {
		states = append(states, t.From...)
		states = append(states, t.To)
	}
	slices.Sort(states)
	return slices.Compact(states)
}

// Machine is one instance of a chart. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	fsm   *fsm.FSM
	// state caches the current state of fsm, since reading it there takes a lock.
	state string
}

// New returns a machine in the chart's initial state.
func (c *Chart) New() *Machine { return c.Restore(c.Initial) }

// Restore returns a machine in the given state, for example one read from the store.
// It panics when the chart has no such state.
func (c *Chart) Restore(state string) *Machine {
	if !slices.Contains(c.states, state) {
		panic(fmt.Sprintf("chart %s: no state %q", c.Name, state))
	}
	return &Machine{chart: c, fsm: fsm.NewFSM(state, c.events, fsm.Callbacks{}), state: state}
}

// State returns the current state.
func (m *Machine) State() string { return m.state }

// Can reports whether the chart has a transition for the event from the current state.
func (m *Machine) Can(event string) bool { return m.fsm.Can(event) }

// Final reports whether the machine is in a final state.
func (m *Machine) Final() bool { return slices.Contains(m.chart.Final, m.state) }

// Fire makes the transition for the event. It panics when the chart has no such
// transition from the current state, since that is a broken invariant.
func (m *Machine) Fire(event string) {
	err := m.fsm.Event(context.Background(), event)
	var sameState fsm.NoTransitionError
	if err != nil && !errors.As(err, &sameState) {
		panic(errors.Wrapf(err, "chart %s: broken invariant", m.chart.Name))
	}
	m.state = m.fsm.Current()
}
