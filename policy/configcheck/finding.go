// Package configcheck checks a configuration before it is sent, and compares it with the
// version in force. Its findings contain no key.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/oleanderworks/oleanderworks/model/graph"
)

// Severity is the weight of a finding.
type Severity int

// Severities. Nodes reject a configuration with an error, or a part of it never works as
// written. A warning is about a part that works, but hardly as intended. A change is a
// difference from the version in force.
const (
	Error Severity = iota
	Warning
	Change
)

// String returns the name of the severity.
func (s Severity) String() string {
	return [...]string{Error: "error", Warning: "warning", Change: "change"}[s]
}

// Place is the object of a finding.
type Place struct {
	Kind  graph.Kind
	Index int    // position in the document's list of this kind, from 0; not used for the document
	Name  string // not used for the document
}

// String returns the place as in a finding's line.
func (p Place) String() string {
	if p.Kind == graph.KindDocument {
		return string(p.Kind)
	}
	return fmt.Sprintf("%s %d %q", p.Kind, p.Index, p.Name)
}

// Finding is one result of a check.
type Finding struct {
	Severity Severity
	Place    Place
	Text     string
}

// String returns the finding as one line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Severity, f.Place, f.Text) }

// kindOrder is the order of kinds in the output: that of the document's fields.
var kindOrder = []graph.Kind{graph.KindDocument, graph.KindRoute, graph.KindService, graph.KindCustomer}

func compareFindings(a, b Finding) int {
	return cmp.Or(
		cmp.Compare(a.Severity, b.Severity),
		cmp.Compare(slices.Index(kindOrder, a.Place.Kind), slices.Index(kindOrder, b.Place.Kind)),
		cmp.Compare(a.Place.Index, b.Place.Index),
		cmp.Compare(a.Place.Name, b.Place.Name),
		cmp.Compare(a.Text, b.Text),
	)
}

// Worst returns the most severe of the findings, and false if there is no error and no
// warning. Changes are the purpose of a new version and count as no finding.
func Worst(findings []Finding) (Severity, bool) {
	worst := Change
	for _, f := range findings {
		worst = min(worst, f.Severity)
	}
	return worst, worst != Change
}
