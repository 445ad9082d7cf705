package chart

import (
	"slices"

	"github.com/pkg/errors"
)

// StateID is the number of a state: its position in the chart's order list.
type StateID uint8

// EventID is the number of an event: its position in the chart's event list.
type EventID uint8

// Binding ties a chart's names to code. C is the value that guards and
// actions work on, usually a pointer to the record that holds the state.
type Binding[C any] struct {
	// States and Events list the names in the order of the code's constants.
	// They must equal the chart's order and events.
	States []string
	Events []string
	// Guards and Actions must bind exactly the names that the chart declares.
	Guards  map[string]func(C) bool
	Actions map[string]func(C)
}

// Machine is a compiled chart. It holds no state of its own and may be shared
// by any number of records.
type Machine[C any] struct {
	name    string
	states  []string
	events  []string
	initial StateID
	final   []bool
	cells   []cell[C] // index: state*len(events) + event
}

// cell holds the transitions of one state and event, indexed by guard bits.
type cell[C any] struct {
	guards  []func(C) bool
	targets []target[C]
}

type target[C any] struct {
	to      StateID
	actions []func(C)
}

// Compile checks def, binds its names and builds the table.
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
		cells:  make([]cell[C], len(def.Order)*len(def.Events)),
	}
	m.initial = m.stateID(def.Initial)
	for s, name := range def.Order {
		state := def.States[name]
		m.final[s] = state.Final
		for e, event := range def.Events {
			m.cells[s*len(def.Events)+e] = m.compileCell(StateID(s), state.On[event], b)
		}
	}
	return m, nil
}

// MustCompile parses and compiles an embedded chart. It panics on a fault,
// since embedded charts are part of the program.
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

func (m *Machine[C]) compileCell(from StateID, transitions []Transition, b Binding[C]) cell[C] {
	if len(transitions) == 0 {
		return cell[C]{targets: []target[C]{{to: from}}}
	}
	names := guardsOf(transitions)
	out := cell[C]{targets: make([]target[C], 1<<len(names))}
	for _, name := range names {
		out.guards = append(out.guards, b.Guards[name])
	}
	for bits := range out.targets {
		t := transitions[enabled(transitions, names, bits)[0]]
		out.targets[bits] = m.compileTarget(from, t, b)
	}
	return out
}

func (m *Machine[C]) compileTarget(from StateID, t Transition, b Binding[C]) target[C] {
	out := target[C]{to: from}
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

// Step applies event e to a record in state s: it runs the actions of the
// one enabled transition and returns the next state. It does not allocate.
// An action must not step the same record; it leaves follow-up events to the
// caller.
func (m *Machine[C]) Step(c C, s StateID, e EventID) StateID {
	cell := &m.cells[int(s)*len(m.events)+int(e)]
	bits := 0
	for i, guard := range cell.guards {
		if guard(c) {
			bits |= 1 << i
		}
	}
	t := &cell.targets[bits]
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
	if err := sameNames("guard", def.Guards, b.Guards); err != nil {
		return err
	}
	return sameNames("action", def.Actions, b.Actions)
}

func sameNames[F any](kind string, declared []string, bound map[string]F) error {
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
