package configcheck

import (
	"fmt"
	"slices"

	"github.com/oleanderworks/oleanderworks/model/graph"
)

// checker collects the findings of one check.
type checker struct {
	draft    *graph.Draft
	findings []Finding
}

// Check returns the findings about a configuration, sorted. inForce is the version in force,
// or nil. Differences are left out while a field of the configuration cannot be decoded.
func Check(draft, inForce *graph.Draft) []Finding {
	c := &checker{draft: draft}
	c.checkUndecoded()
	c.checkVersion(inForce)
	c.checkLimits()
	c.checkRoutes()
	c.checkServices()
	c.checkCustomers()
	c.checkAcceptance()
	if inForce != nil && len(draft.Undecoded) == 0 {
		c.compare(inForce)
	}
	slices.SortFunc(c.findings, compareFindings)
	return slices.Compact(c.findings)
}

func (c *checker) add(s Severity, p Place, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Place: p, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) fail(p Place, format string, args ...any) { c.add(Error, p, format, args...) }

func (c *checker) warn(p Place, format string, args ...any) { c.add(Warning, p, format, args...) }

var document = Place{Kind: graph.KindDocument}

func (c *checker) checkUndecoded() {
	for _, u := range c.draft.Undecoded {
		place := Place{Kind: u.Kind, Index: u.Index, Name: u.Name}
		if u.Field == "" {
			c.fail(place, "cannot be decoded: not an object")
			continue
		}
		c.fail(place, "field %q cannot be decoded: wrong type, range or unit", u.Field)
	}
	for _, w := range c.draft.Warnings {
		c.warn(document, "%s", w)
	}
}

func (c *checker) checkVersion(inForce *graph.Draft) {
	switch {
	case c.draft.Version == 0:
		c.fail(document, "has no version")
	case inForce != nil && c.draft.Version <= inForce.Version:
		c.fail(document, "version %d is not above version %d, which is in force", c.draft.Version, inForce.Version)
	}
}

// checkAcceptance finds what nodes reject and the other checks do not know.
func (c *checker) checkAcceptance() {
	if worst, found := Worst(c.findings); found && worst == Error {
		return
	}
	if _, err := c.draft.Config(); err != nil {
		c.fail(document, "nodes reject it: %v", err)
	}
}
