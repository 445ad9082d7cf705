// Package chart loads, checks and interprets state charts. A chart is a YAML
// file that names states, events, guards and actions; the code that owns the
// life cycle binds guards and actions to functions and asks the chart for
// every next state.
package chart

import (
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

const (
	// maxGuards bounds the guards of one state and event, since the table has
	// an entry for each combination of them.
	maxGuards = 6
	// maxNames bounds states and events, which are stored in one byte.
	maxNames = 250
	// ignoreAll in an ignore list covers every event the state does not handle.
	ignoreAll = "*"
)

// Definition is a chart as written in its file.
type Definition struct {
	Chart   string            `yaml:"chart"`
	Doc     string            `yaml:"doc"`
	Initial string            `yaml:"initial"`
	Events  []string          `yaml:"events"`
	Guards  []string          `yaml:"guards"`
	Actions []string          `yaml:"actions"`
	Order   []string          `yaml:"order"`
	States  map[string]*State `yaml:"states"`
}

// State is one state of a chart.
type State struct {
	Doc    string                  `yaml:"doc"`
	Final  bool                    `yaml:"final"`
	On     map[string][]Transition `yaml:"on"`
	Ignore []string                `yaml:"ignore"`
}

// Transition is taken when every guard in If holds. A guard that starts with
// "!" must not hold. An empty To stays in the state.
type Transition struct {
	If []string `yaml:"if"`
	To string   `yaml:"to"`
	Do []string `yaml:"do"`
}

// Parse reads a chart file strictly and checks it. The error names the chart,
// the state and the event, or the line for a syntax error.
func Parse(text []byte) (*Definition, error) {
	def := new(Definition)
	if err := yaml.UnmarshalWithOptions(text, def, yaml.Strict()); err != nil {
		return nil, errors.Wrap(err, "parse chart")
	}
	if err := def.Check(); err != nil {
		return nil, err
	}
	return def, nil
}

// literal is one guard of a transition with the value it must have.
type literal struct {
	guard string
	want  bool
}

func parseLiteral(text string) literal {
	if rest, negated := strings.CutPrefix(text, "!"); negated {
		return literal{guard: rest, want: false}
	}
	return literal{guard: text, want: true}
}

// guardsOf returns the guards that the transitions mention, in order of
// first use. The position of a guard is its bit in the table index.
func guardsOf(transitions []Transition) []string {
	var guards []string
	seen := make(map[string]bool)
	for _, t := range transitions {
		for _, text := range t.If {
			guard := parseLiteral(text).guard
			if !seen[guard] {
				seen[guard] = true
				guards = append(guards, guard)
			}
		}
	}
	return guards
}

// enabled returns the indexes of the transitions whose guards hold for the
// given bits, where bit i is the value of guards[i].
func enabled(transitions []Transition, guards []string, bits int) []int {
	position := make(map[string]int, len(guards))
	for i, guard := range guards {
		position[guard] = i
	}
	var indexes []int
	for i, t := range transitions {
		if holds(t, position, bits) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func holds(t Transition, position map[string]int, bits int) bool {
	for _, text := range t.If {
		lit := parseLiteral(text)
		value := bits>>position[lit.guard]&1 == 1
		if value != lit.want {
			return false
		}
	}
	return true
}
