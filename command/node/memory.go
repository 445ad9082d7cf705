package node

import (
	"cmp"
	"os"
	"runtime/debug"

	"github.com/oleanderworks/oleanderworks/core/budget"
)

const (
	// gcPercent lets the heap grow to five times its live part between
	// two collections. With the default of 100, a node collects many times a
	// second, which is part of the latency that it adds to calls at p99.
	gcPercent = 400
	// overheadBytes is the memory that a node may use besides the bodies of
	// calls. The runtime's memory limit is the sum of both; close to it the
	// runtime collects more often.
	overheadBytes = 256 << 20
)

// configureGC configures the garbage collector of a node that holds at most
// maxHeldBytes of bodies; 0 stands for the default. The environment variables
// GOGC and GOMEMLIMIT take precedence.
func configureGC(maxHeldBytes int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(overheadBytes + cmp.Or(maxHeldBytes, budget.DefaultBytes))
	}
}
