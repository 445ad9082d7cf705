package chart

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Check verifies the chart: every name is declared and used, every state is
// reachable, exactly one transition is enabled for each event and each
// combination of its guards, and every event is handled or ignored in every
// state. The error lists all faults, one a line.
func (d *Definition) Check() error {
	c := checker{def: d}
	c.names()
	c.states()
	c.unused()
	c.reachable()
	if len(c.faults) == 0 {
		return nil
	}
	return errors.Errorf("chart %q: %s", d.Chart, strings.Join(c.faults, "\n\t"))
}

type checker struct {
	def         *Definition
	faults      []string
	usedEvents  map[string]bool
	usedGuards  map[string]bool
	usedActions map[string]bool
}

func (c *checker) faultf(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *checker) names() {
	c.usedEvents = make(map[string]bool)
	c.usedGuards = make(map[string]bool)
	c.usedActions = make(map[string]bool)
	d := c.def
	if d.Chart == "" {
		c.faultf("field chart is empty")
	}
	if d.States[d.Initial] == nil {
		c.faultf("initial state %q is not defined", d.Initial)
	}
	c.unique("event", d.Events)
	c.unique("guard", d.Guards)
	c.unique("action", d.Actions)
	c.order()
	if len(d.States) > maxNames || len(d.Events) > maxNames {
		c.faultf("more than %d states or events", maxNames)
	}
}

// order checks that the order list names each state exactly once. It fixes
// the numbers of the states.
func (c *checker) order() {
	c.unique("state in order", c.def.Order)
	for _, name := range c.def.Order {
		if c.def.States[name] == nil {
			c.faultf("order names unknown state %q", name)
		}
	}
	for _, name := range sortedKeys(c.def.States) {
		if !slices.Contains(c.def.Order, name) {
			c.faultf("state %q is missing in order", name)
		}
		if c.def.States[name] == nil {
			c.faultf("state %q is empty", name)
		}
	}
}

func (c *checker) unique(kind string, names []string) {
	seen := make(map[string]bool)
	for _, name := range names {
		if name == "" || seen[name] {
			c.faultf("%s %q is empty or declared twice", kind, name)
		}
		seen[name] = true
	}
}

func (c *checker) states() {
	for _, name := range sortedKeys(c.def.States) {
		state := c.def.States[name]
		if state == nil {
			continue
		}
		if state.Final && len(state.On) > 0 {
			c.faultf("state %q is final but handles events", name)
		}
		for _, event := range sortedKeys(state.On) {
			c.transitions(name, event, state.On[event])
		}
		c.coverage(name, state)
	}
}

func (c *checker) transitions(state, event string, transitions []Transition) {
	where := fmt.Sprintf("state %q event %q", state, event)
	c.usedEvents[event] = true
	if !slices.Contains(c.def.Events, event) {
		c.faultf("%s: unknown event", where)
	}
	for _, t := range transitions {
		if t.To != "" && c.def.States[t.To] == nil {
			c.faultf("%s: unknown state %q", where, t.To)
		}
		for _, action := range t.Do {
			c.usedActions[action] = true
			if !slices.Contains(c.def.Actions, action) {
				c.faultf("%s: unknown action %q", where, action)
			}
		}
	}
	guards := guardsOf(transitions)
	for _, guard := range guards {
		c.usedGuards[guard] = true
		if !slices.Contains(c.def.Guards, guard) {
			c.faultf("%s: unknown guard %q", where, guard)
		}
	}
	c.exactlyOne(where, transitions, guards)
}

func (c *checker) exactlyOne(where string, transitions []Transition, guards []string) {
	if len(guards) > maxGuards {
		c.faultf("%s: more than %d guards", where, maxGuards)
		return
	}
	for bits := range 1 << len(guards) {
		n := len(enabled(transitions, guards, bits))
		if n == 1 {
			continue
		}
		c.faultf("%s: %d transitions enabled when %s", where, n, describe(guards, bits))
		return
	}
}

func describe(guards []string, bits int) string {
	if len(guards) == 0 {
		return "no guard applies"
	}
	parts := make([]string, len(guards))
	for i, guard := range guards {
		parts[i] = fmt.Sprintf("%s=%t", guard, bits>>i&1 == 1)
	}
	return strings.Join(parts, ", ")
}

func (c *checker) coverage(name string, state *State) {
	all := slices.Contains(state.Ignore, ignoreAll)
	for _, event := range c.def.Events {
		_, handled := state.On[event]
		ignored := slices.Contains(state.Ignore, event)
		if handled && ignored {
			c.faultf("state %q both handles and ignores event %q", name, event)
		}
		if !handled && !ignored && !all {
			c.faultf("state %q neither handles nor ignores event %q", name, event)
		}
	}
	for _, event := range state.Ignore {
		if event != ignoreAll && !slices.Contains(c.def.Events, event) {
			c.faultf("state %q ignores unknown event %q", name, event)
		}
	}
}

func (c *checker) unused() {
	c.reportUnused("event", c.def.Events, c.usedEvents)
	c.reportUnused("guard", c.def.Guards, c.usedGuards)
	c.reportUnused("action", c.def.Actions, c.usedActions)
}

func (c *checker) reportUnused(kind string, names []string, used map[string]bool) {
	for _, name := range names {
		if !used[name] {
			c.faultf("%s %q is declared but not used", kind, name)
		}
	}
}

func (c *checker) reachable() {
	seen := make(map[string]bool)
	next := []string{c.def.Initial}
	for len(next) > 0 {
		name := next[0]
		next = next[1:]
		state := c.def.States[name]
		if seen[name] || state == nil {
			continue
		}
		seen[name] = true
		for _, transitions := range state.On {
			for _, t := range transitions {
				next = append(next, t.To)
			}
		}
	}
	for _, name := range sortedKeys(c.def.States) {
		if !seen[name] {
			c.faultf("state %q is unreachable", name)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
