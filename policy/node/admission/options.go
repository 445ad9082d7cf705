package admission

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/model"
)

// Quarantine refuses requests that crash targets.
type Quarantine interface {
	// Check returns a refusal, or nil if the call may run.
	Check(now time.Time, call *model.Call) *model.Answer
}

// Options configure a core.
type Options struct {
	Rand       *rand.Rand         // for the jitter of retry and probe times; required
	Check      *invariant.Checker // nil disables the checks
	Quarantine Quarantine         // nil refuses nothing
}
