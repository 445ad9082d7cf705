// Package invariant asserts properties inside the running program. A breach
// is counted, logged as a numbered event and passed to the hook, with which
// tests fail.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/oleanderworks/oleanderworks/core/event"
)

// Checker checks assertions. A nil Checker checks nothing, so that policies
// can run without one.
type Checker struct {
	log      *event.Log
	onBreach func(name, detail string)
	breaches atomic.Int64
}

// New returns a checker. onBreach may be nil.
func New(log *event.Log, onBreach func(name, detail string)) *Checker {
	return &Checker{log: log, onBreach: onBreach}
}

// Assert reports a breach of the named property when ok is false. The format
// is rendered only then.
func (c *Checker) Assert(ok bool, name, format string, args ...any) {
	if ok || c == nil {
		return
	}
	c.breaches.Add(1)
	detail := fmt.Sprintf(format, args...)
	c.log.Emit(event.InvariantBroken, "invariant", name, "detail", detail)
	if c.onBreach != nil {
		c.onBreach(name, detail)
	}
}

// Breaches returns the number of breaches so far.
func (c *Checker) Breaches() int64 {
	if c == nil {
		return 0
	}
	return c.breaches.Load()
}
