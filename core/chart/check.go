package chart

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Check validates the chart: every name is declared and used, every state is
// reachable, every state handles or ignores every event, and exactly one
// transition is enabled for each handled event and each combination of its guards.
// The error lists all problems, one per line.
func (d *Definition) Check() error {
	c := checker{def: d}
	c.checkNames()
	c.checkStates()
	c.checkUnused()
	c.checkReachable()
	if len(c.problems) == 0 {
		return nil
	}
	return errors.Errorf("chart %q: %s", d.Chart, strings.Join(c.problems, "\n\t"))
}

type checker struct {
	def         *Definition
	problems    []string
	usedEvents  map[string]bool
	usedGuards  map[string]bool
	usedActions map[string]bool
}

func (c *checker) reportf(format string, args ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

func (c *checker) checkNames() {
	c.usedEvents = make(map[string]bool)
	c.usedGuards = make(map[string]bool)
	c.usedActions = make(map[string]bool)
	d := c.def
	if d.Chart == "" {
		c.reportf("field chart is empty")
	}
	if d.States[d.Initial] == nil {
		c.reportf("initial state %q is not defined", d.Initial)
	}
	c.checkUnique("event", d.Events)
	c.checkUnique("guard", d.Guards)
	c.checkUnique("action", d.Actions)
	c.checkOrder()
	if len(d.States) > maxNames || len(d.Events) > maxNames {
		c.reportf("more than %d states or events", maxNames)
	}
}

// checkOrder checks that the order list names each state exactly once. The list
// determines the numbers of the states.
func (c *checker) checkOrder() {
	c.checkUnique("state in order", c.def.Order)
	for _, name := range c.def.Order {
		if c.def.States[name] == nil {
			c.reportf("order names unknown state %q", name)
		}
	}
	for _, name := range sortedKeys(c.def.States) {
		if !slices.Contains(c.def.Order, name) {
			c.reportf("state %q is missing in order", name)
		}
		if c.def.States[name] == nil {
			c.reportf("state %q is empty", name)
		}
	}
}

func (c *checker) checkUnique(kind string, names []string) {
	seen := make(map[string]bool)
	for _, name := range names {
		if name == "" || seen[name] {
			c.reportf("%s %q is empty or declared twice", kind, name)
		}
		seen[name] = true
	}
}

func (c *checker) checkStates() {
	for _, name := range sortedKeys(c.def.States) {
		state := c.def.States[name]
		if state == nil {
			continue
		}
		if state.Final && len(state.On) > 0 {
			c.reportf("state %q is final but handles events", name)
		}
		for _, event := range sortedKeys(state.On) {
			c.checkTransitions(name, event, state.On[event])
		}
		c.checkEventCoverage(name, state)
	}
}

func (c *checker) checkTransitions(state, event string, transitions []Transition) {
	where := fmt.Sprintf("state %q event %q", state, event)
	c.usedEvents[event] = true
	if !slices.Contains(c.def.Events, event) {
		c.reportf("%s: unknown event", where)
	}
	for _, t := range transitions {
		if t.To != "" && c.def.States[t.To] == nil {
			c.reportf("%s: unknown state %q", where, t.To)
		}
		for _, action := range t.Do {
			c.usedActions[action] = true
			if !slices.Contains(c.def.Actions, action) {
				c.reportf("%s: unknown action %q", where, action)
			}
		}
	}
	guards := guardsOf(transitions)
	for _, guard := range guards {
		c.usedGuards[guard] = true
		if !slices.Contains(c.def.Guards, guard) {
			c.reportf("%s: unknown guard %q", where, guard)
		}
	}
	c.checkExactlyOneEnabled(where, transitions, guards)
}

func (c *checker) checkExactlyOneEnabled(where string, transitions []Transition, guards []string) {
	if len(guards) > maxGuards {
		c.reportf("%s: more than %d guards", where, maxGuards)
		return
	}
	for bits := range 1 << len(guards) {
		n := len(enabledTransitions(transitions, guards, bits))
		if n == 1 {
			continue
		}
		c.reportf("%s: %d transitions enabled when %s", where, n, describeGuards(guards, bits))
		return
	}
}

func describeGuards(guards []string, bits int) string {
	if len(guards) == 0 {
		return "there are no guards"
	}
	parts := make([]string, len(guards))
	for i, guard := range guards {
		parts[i] = fmt.Sprintf("%s=%t", guard, bits>>i&1 == 1)
	}
	return strings.Join(parts, ", ")
}

func (c *checker) checkEventCoverage(name string, state *State) {
	ignoresAll := slices.Contains(state.Ignore, ignoreAll)
	for _, event := range c.def.Events {
		_, handled := state.On[event]
		ignored := slices.Contains(state.Ignore, event)
		if handled && ignored {
			c.reportf("state %q both handles and ignores event %q", name, event)
		}
		if !handled && !ignored && !ignoresAll {
			c.reportf("state %q neither handles nor ignores event %q", name, event)
		}
	}
	for _, event := range state.Ignore {
		if event != ignoreAll && !slices.Contains(c.def.Events, event) {
			c.reportf("state %q ignores unknown event %q", name, event)
		}
	}
}

func (c *checker) checkUnused() {
	c.reportUnused("event", c.def.Events, c.usedEvents)
	c.reportUnused("guard", c.def.Guards, c.usedGuards)
	c.reportUnused("action", c.def.Actions, c.usedActions)
}

func (c *checker) reportUnused(kind string, names []string, used map[string]bool) {
	for _, name := range names {
		if !used[name] {
			c.reportf("%s %q is declared but not used", kind, name)
		}
	}
}

func (c *checker) checkReachable() {
	visited := make(map[string]bool)
	queue := []string{c.def.Initial}
	for len(queue) > 0 {
		name := queue[0]
		queue = queue[1:]
		state := c.def.States[name]
		if visited[name] || state == nil {
			continue
		}
		visited[name] = true
		for _, transitions := range state.On {
			for _, t := range transitions {
				queue = append(queue, t.To)
			}
		}
	}
	for _, name := range sortedKeys(c.def.States) {
		if !visited[name] {
			c.reportf("state %q is unreachable", name)
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
