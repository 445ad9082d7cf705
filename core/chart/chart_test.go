package chart

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const doorChart = `
chart: door
initial: closed
order: [closed, open]
events: [push, lock]
guards: [locked]
actions: [count]
states:
  closed:
    on:
      push:
        - {if: ["!locked"], to: open, do: [count]}
        - {if: [locked]}
      lock:
        - {do: [count]}
  open:
    final: true
    ignore: ["*"]
`

type doorState struct {
	locked bool
	count  int
}

func doorBinding() Binding[*doorState] {
	return Binding[*doorState]{
		States:  []string{"closed", "open"},
		Events:  []string{"push", "lock"},
		Guards:  map[string]func(*doorState) bool{"locked": func(c *doorState) bool { return c.locked }},
		Actions: map[string]func(*doorState){"count": func(c *doorState) { c.count++ }},
	}
}

// Guards against a Step that takes the wrong transition or skips an action.
func TestStepSelectsTransitionByGuards(t *testing.T) {
	m := MustCompile([]byte(doorChart), doorBinding())
	c := &doorState{locked: true}
	s := m.Step(c, m.Initial(), 0)
	assert.Equal(t, m.StateName(s), "closed")
	assert.Equal(t, c.count, 0)
	c.locked = false
	s = m.Step(c, s, 0)
	assert.Equal(t, m.StateName(s), "open")
	assert.Equal(t, c.count, 1)
	assert.Assert(t, m.Final(s))
}

// Guards against allocations in Step, which runs for every call.
func TestStepDoesNotAllocate(t *testing.T) {
	m := MustCompile([]byte(doorChart), doorBinding())
	c := &doorState{locked: true}
	n := testing.AllocsPerRun(100, func() { m.Step(c, m.Initial(), 0) })
	assert.Equal(t, n, 0.0)
}

// Guards against invalid charts that Parse accepts.
func TestCheckReportsInvalidCharts(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown action", "do: [count]}\n        - {if: [locked]}", "do: [cuont]}\n        - {if: [locked]}", `unknown action "cuont"`},
		{"unknown guard", `["!locked"]`, `["!lokced"]`, `unknown guard "lokced"`},
		{"unknown state", "to: open", "to: opne", `unknown state "opne"`},
		{"unreachable state", "to: open, ", "", `state "open" is unreachable`},
		{"two enabled", `{if: ["!locked"], `, "{", "2 transitions enabled when locked=true"},
		{"none enabled", "\n        - {if: [locked]}", "", "0 transitions enabled when locked=true"},
		{"event unhandled", `ignore: ["*"]`, "ignore: [push]", `neither handles nor ignores event "lock"`},
		{"unused action", "actions: [count]", "actions: [count, ring]", `action "ring" is declared but not used`},
		{"misspelt field", "initial:", "inital:", "unknown field"},
		{"duplicate event", "      lock:", "      push:", "push"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(doorChart, tc.old, tc.new, 1)
			assert.Assert(t, text != doorChart)
			_, err := Parse([]byte(text))
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

// Guards against code that binds no function to a guard, or whose event constants have
// another order than the chart's events, so that Step would take the wrong transition.
func TestCompileRejectsWrongBinding(t *testing.T) {
	def, err := Parse([]byte(doorChart))
	assert.NilError(t, err)
	b := doorBinding()
	delete(b.Guards, "locked")
	_, err = Compile(def, b)
	assert.ErrorContains(t, err, `guard "locked" is not bound`)
	b = doorBinding()
	b.Events = []string{"lock", "push"}
	_, err = Compile(def, b)
	assert.ErrorContains(t, err, "events are")
}

func BenchmarkStep(b *testing.B) {
	m := MustCompile([]byte(doorChart), doorBinding())
	c := &doorState{locked: true}
	for b.Loop() {
		m.Step(c, 0, 0)
	}
}
