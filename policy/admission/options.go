package admission

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/model"
)

// Quarantine refuses requests that crash targets.
type Quarantine interface {
	// Check returns a refusal, or nil for a call that may run.
	Check(now time.Time, call *model.Call) *model.Answer
}

// Options are what a core needs besides its own member.
type Options struct {
	Rand       *rand.Rand         // jitter of retry and probe times; required
	Check      *invariant.Checker // nil checks nothing
	Quarantine Quarantine         // nil refuses nothing
}
