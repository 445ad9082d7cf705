package chart

import (
	"slices"

	"github.com/pkg/errors"
)

// StateID is the number of a state: its index in the chart's order list.
type StateID uint8

// EventID is the number of an event: its index in the chart's event list.
type EventID uint8

// Binding binds a chart's names to code. C is the type of the value that guards
// and actions operate on, usually a pointer to the record that holds the state.
type Binding[C any] struct {
	// States and Events list the names in the order of the code's constants.
	// They must equal the chart's order and events.
	States []string
	Events []string
	// Guards and Actions must have exactly the names that the chart declares.
	Guards  map[string]func(C) bool
	Actions map[string]func(C)
}

// Machine is a compiled chart. It is immutable: the current state is kept by the
// caller, and any number of records can share a machine.
type Machine[C any] struct {
	name    string
	states  []string
	events  []string
	initial StateID
	final   []bool
	table   []tableEntry[C] // index: state*len(events) + event
}

// tableEntry holds the transitions of one state and event. The index of a transition
// has one bit for the value of each guard.
type tableEntry[C any] struct {
	guards      []func(C) bool
	transitions []compiledTransition[C]
}

type compiledTransition[C any] struct {
	to      StateID
	actions []func(C)
}

// Compile checks def and its binding and builds the transition table.
func Compile[C any](def *Definition, b Binding[C]) (*Machine[C], error) {
	if err := def.Check(); err != nil {
		return nil, err
	}
	if err := checkBinding(def, b); err != nil {
		return nil, errors.Wrapf(err, "chart %q", def.Chart)
	}
	m := &Machine[C]{
		name:   def.Chart,
		states: def.Order,
		events: def.Events,
		final:  make([]bool, len(def.Order)),
		table:  make([]tableEntry[C], len(def.Order)*len(def.Events)),
	}
	m.initial = m.stateID(def.Initial)
	for s, name := range def.Order {
		state := def.States[name]
		m.final[s] = state.Final
		for e, event := range def.Events {
			m.table[s*len(def.Events)+e] = m.compileEntry(StateID(s), state.On[event], b)
		}
	}
	return m, nil
}

// MustCompile parses and compiles an embedded chart. It panics on an error, since
// embedded charts are part of the program.
func MustCompile[C any](text []byte, b Binding[C]) *Machine[C] {
	def, err := Parse(text)
	if err != nil {
		panic(err)
	}
	m, err := Compile(def, b)
	if err != nil {
		panic(err)
	}
	return m
}

func (m *Machine[C]) compileEntry(from StateID, transitions []Transition, b Binding[C]) tableEntry[C] {
	if len(transitions) == 0 {
		return tableEntry[C]{transitions: []compiledTransition[C]{{to: from}}}
	}
	names := guardsOf(transitions)
	out := tableEntry[C]{transitions: make([]compiledTransition[C], 1<<len(names))}
	for _, name := range names {
		out.guards = append(out.guards, b.Guards[name])
	}
	for bits := range out.transitions {
		t := transitions[enabledTransitions(transitions, names, bits)[0]]
		out.transitions[bits] = m.compileTransition(from, t, b)
	}
	return out
}

func (m *Machine[C]) compileTransition(from StateID, t Transition, b Binding[C]) compiledTransition[C] {
	out := compiledTransition[C]{to: from}
	if t.To != "" {
		out.to = m.stateID(t.To)
	}
	for _, name := range t.Do {
		out.actions = append(out.actions, b.Actions[name])
	}
	return out
}

func (m *Machine[C]) stateID(name string) StateID {
	return StateID(slices.Index(m.states, name))
}

// Step applies event e to a record in state s: it runs the actions of the enabled
// transition and returns the next state. It does not allocate. An action must not
// call Step for the same record; the caller of Step applies any follow-up events.
func (m *Machine[C]) Step(c C, s StateID, e EventID) StateID {
	entry := &m.table[int(s)*len(m.events)+int(e)]
	bits := 0
	for i, guard := range entry.guards {
		if guard(c) {
			bits |= 1 << i
		}
	}
	t := &entry.transitions[bits]
	for _, action := range t.actions {
		action(c)
	}
	return t.to
}

// Name returns the chart's name.
func (m *Machine[C]) Name() string { return m.name }

// Initial returns the initial state.
func (m *Machine[C]) Initial() StateID { return m.initial }

// Final reports whether s is a final state.
func (m *Machine[C]) Final(s StateID) bool { return m.final[s] }

// StateName returns the name of s.
func (m *Machine[C]) StateName(s StateID) string { return m.states[s] }

func checkBinding[C any](def *Definition, b Binding[C]) error {
	if !slices.Equal(def.Order, b.States) {
		return errors.Errorf("states are %q in the chart, %q in the code", def.Order, b.States)
	}
	if !slices.Equal(def.Events, b.Events) {
		return errors.Errorf("events are %q in the chart, %q in the code", def.Events, b.Events)
	}
	if err := checkBoundNames("guard", def.Guards, b.Guards); err != nil {
		return err
	}
	return checkBoundNames("action", def.Actions, b.Actions)
}

func checkBoundNames[F any](kind string, declared []string, bound map[string]F) error {
	for _, name := range declared {
		if _, ok := bound[name]; !ok {
			return errors.Errorf("%s %q is not bound to code", kind, name)
		}
	}
	for _, name := range sortedKeys(bound) {
		if !slices.Contains(declared, name) {
			return errors.Errorf("%s %q is bound to code but not declared", kind, name)
		}
	}
	return nil
}
