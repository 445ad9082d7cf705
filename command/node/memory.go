package node

import (
	"cmp"
	"os"
	"runtime/debug"

	"github.com/oleanderworks/oleanderworks/core/budget"
)

const (
	// gcPercent lets the heap grow to five times the live heap between two
	// collections. With the default of 100, a node collects many times per second,
	// which contributes to the p99 latency that it adds to calls.
	gcPercent = 400
	// overheadBytes is the memory that a node may use besides the bodies of
	// calls. The sum of both is the Go runtime's memory limit. Close to the limit
	// the runtime collects more often.
	overheadBytes = 256 << 20
)

// configureGC configures the garbage collector of a node whose requests and answers
// in memory are limited to byteBudget, or to the default if 0. The environment
// variables GOGC and GOMEMLIMIT take precedence.
func configureGC(byteBudget int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(overheadBytes + cmp.Or(byteBudget, budget.DefaultBytes))
	}
}
