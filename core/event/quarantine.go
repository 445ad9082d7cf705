package event

import "github.com/hashicorp/go-hclog"

// Events of the quarantine of requests that crash targets.
var (
	CrashMarked = define(800, "crash_marked", hclog.Warn,
		"The target was lost while it ran a request; the request is marked as a possible cause.", "Check the target's own log.")
	RequestQuarantined = define(801, "request_quarantined", hclog.Error,
		"A request was refused because two targets were lost while they ran it.",
		"Identify the request together with its customer; see docs/operators/quarantine.md.")
	CrashMarkLifted = define(802, "crash_mark_lifted", hclog.Info,
		"A marked request completed; its marks are removed on all nodes.", "None.")
	CrashMarkMalformed = define(803, "crash_mark_malformed", hclog.Warn,
		"A message about crash marks could not be decoded.", "Check that the nodes run the same version.")
)
