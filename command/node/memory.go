package node

import (
	"cmp"
	"os"
	"runtime/debug"

	"github.com/oleanderworks/oleanderworks/core/budget"
)

const (
	// collectPercent lets the heap grow to five times its live part between
	// two collections. At the runtime's 100 a node collects many times a
	// second, which is part of the latency that it adds at p99.
	gcPercent = 400
	// controlBytes is the memory that a node may use besides the bodies of
	// calls. Near the sum of both the runtime collects more often.
	overheadBytes = 256 << 20
)

// tuneCollector sets the garbage collector for a node that holds at most
// heldBytes of bodies; 0 stands for the default bound. What the environment sets comes first.
func configureGC(maxHeldBytes int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(overheadBytes + cmp.Or(maxHeldBytes, budget.DefaultBytes))
	}
}
