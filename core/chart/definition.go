// Package chart loads, checks and interprets state charts. A chart is a YAML file
// with states, events, guards and actions. The code that uses a chart binds its
// guards and actions to functions and calls Machine.Step for every event.
package chart

import (
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

const (
	// maxGuards limits the number of guards for one state and event, since the
	// transition table has one transition for each combination of their values.
	maxGuards = 6
	// maxNames limits the number of states and that of events. Their IDs are stored
	// in one byte each; a few values stay unused.
	maxNames = 250
	// ignoreAll in an ignore list stands for all events that the state does not
	// handle.
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
	Order   []string          `yaml:"order"` // names of the states; the index is the StateID
	States  map[string]*State `yaml:"states"`
}

// State is one state of a chart.
type State struct {
	Doc    string                  `yaml:"doc"`
	Final  bool                    `yaml:"final"`
	On     map[string][]Transition `yaml:"on"`
	Ignore []string                `yaml:"ignore"`
}

// Transition is taken if all guards in If are satisfied: a plain guard must hold,
// and a guard prefixed with "!" must not. If To is empty, the state stays the same.
type Transition struct {
	If []string `yaml:"if"`
	To string   `yaml:"to"`
	Do []string `yaml:"do"`
}

// Parse decodes a chart file strictly and checks the chart. The error names the
// chart, state and event, or the line of a syntax error.
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

// guardLiteral is a guard of a transition and the value that it must have.
type guardLiteral struct {
	guard string
	want  bool
}

func parseGuardLiteral(text string) guardLiteral {
	if rest, negated := strings.CutPrefix(text, "!"); negated {
		return guardLiteral{guard: rest, want: false}
	}
	return guardLiteral{guard: text, want: true}
}

// guardsOf returns the guards that the transitions use, in order of first use. The
// index of a guard is that of its bit in the index of the compiled transitions.
func guardsOf(transitions []Transition) []string {
	var guards []string
	seen := make(map[string]bool)
	for _, t := range transitions {
		for _, text := range t.If {
			guard := parseGuardLiteral(text).guard
			if !seen[guard] {
				seen[guard] = true
				guards = append(guards, guard)
			}
		}
	}
	return guards
}

// enabledTransitions returns the indexes of the transitions whose guards are
// satisfied if bit i of bits is the value of guards[i].
func enabledTransitions(transitions []Transition, guards []string, bits int) []int {
	bitIndex := make(map[string]int, len(guards))
	for i, guard := range guards {
		bitIndex[guard] = i
	}
	var indexes []int
	for i, t := range transitions {
		if guardsHold(t, bitIndex, bits) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func guardsHold(t Transition, bitIndex map[string]int, bits int) bool {
	for _, text := range t.If {
		lit := parseGuardLiteral(text)
		value := bits>>bitIndex[lit.guard]&1 == 1
		if value != lit.want {
			return false
		}
	}
	return true
}
