package event

import "github.com/hashicorp/go-hclog"

// Events of requests that crash targets.
var (
	CrashMarked = define(800, "crash_marked", hclog.Warn,
		"The target was lost while a request ran there; the request is marked.", "Look at the target's own log.")
	RequestQuarantined = define(801, "request_quarantined", hclog.Error,
		"A request is refused: two targets were lost while it ran.",
		"Find the request with its customer; see docs/operators/quarantine.md.")
	CrashMarkLifted = define(802, "crash_mark_lifted", hclog.Info,
		"A marked request has completed; its marks are cleared on all nodes.", "None.")
	CrashMarkMalformed = define(803, "crash_mark_malformed", hclog.Warn,
		"A message about marks does not decode.", "Check that the nodes run the same version.")
)
