package chart

import (
	"fmt"
	"strings"
)

// Promela renders the chart for the Spin model checker: a constant for each state
// and event, and an inline <chart>_step(s, e) with an option for each transition. A
// model that includes the result must define a macro <chart>_g_<guard> for each
// guard and <chart>_a_<action> for each action. The model then takes the same
// transitions as the program.
func (d *Definition) Promela() string {
	p := promelaWriter{def: d}
	fmt.Fprintf(&p.out, "/* Generated from charts/%s.yaml by \"oleanderworks charts promela %s\"; do not edit. */\n", d.Chart, d.Chart)
	p.writeConstants()
	p.writeStep()
	return p.out.String()
}

type promelaWriter struct {
	def *Definition
	out strings.Builder
}

func (p *promelaWriter) writeConstants() {
	for i, name := range p.def.Order {
		fmt.Fprintf(&p.out, "#define %s %d\n", p.stateName(name), i)
	}
	for i, name := range p.def.Events {
		fmt.Fprintf(&p.out, "#define %s %d\n", p.eventName(name), i)
	}
}

func (p *promelaWriter) stateName(name string) string { return p.def.Chart + "_s_" + name }
func (p *promelaWriter) eventName(name string) string { return p.def.Chart + "_e_" + name }

func (p *promelaWriter) writeStep() {
	fmt.Fprintf(&p.out, "inline %s_step(s, e) {\n\tif\n", p.def.Chart)
	for _, state := range p.def.Order {
		for _, event := range p.def.Events {
			for _, t := range p.def.States[state].On[event] {
				p.writeOption(state, event, t)
			}
		}
	}
	p.out.WriteString("\t:: else -> skip /* ignored */\n\tfi\n}\n")
}

func (p *promelaWriter) writeOption(state, event string, t Transition) {
	fmt.Fprintf(&p.out, "\t:: (s == %s && e == %s%s) ->", p.stateName(state), p.eventName(event), p.guardCondition(t))
	for _, action := range t.Do {
		fmt.Fprintf(&p.out, " %s_a_%s;", p.def.Chart, action)
	}
	to := t.To
	if to == "" {
		to = state
	}
	fmt.Fprintf(&p.out, " s = %s\n", p.stateName(to))
}

func (p *promelaWriter) guardCondition(t Transition) string {
	var out strings.Builder
	for _, text := range t.If {
		lit := parseGuardLiteral(text)
		negation := ""
		if !lit.want {
			negation = "!"
		}
		fmt.Fprintf(&out, " && %s(%s_g_%s)", negation, p.def.Chart, lit.guard)
	}
	return out.String()
}
