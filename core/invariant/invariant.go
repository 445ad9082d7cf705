// Package invariant checks assertions in the running program. A violated invariant
// is counted, logged as an event and passed to a hook; tests use the hook to fail.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/oleanderworks/oleanderworks/core/event"
)

// Checker checks invariants and counts violations. A nil Checker ignores all
// assertions, so that a policy can be used without one.
type Checker struct {
	log         *event.Log
	onViolation func(name, detail string)
	violations  atomic.Int64
}

// New returns a checker that logs violations to log. It calls onViolation, unless nil,
// for each one.
func New(log *event.Log, onViolation func(name, detail string)) *Checker {
	return &Checker{log: log, onViolation: onViolation}
}

// Assert reports a violation of the named invariant if ok is false. The message
// is formatted only in that case.
func (c *Checker) Assert(ok bool, name, format string, args ...any) {
	if ok || c == nil {
		return
	}
	c.violations.Add(1)
	detail := fmt.Sprintf(format, args...)
	c.log.Emit(event.InvariantBroken, "invariant", name, "detail", detail)
	if c.onViolation != nil {
		c.onViolation(name, detail)
	}
}

// Violations returns the number of violations so far.
func (c *Checker) Violations() int64 {
	if c == nil {
		return 0
	}
	return c.violations.Load()
}
