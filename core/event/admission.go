package event

import "github.com/hashicorp/go-hclog"

// Events of the admission duty.
var (
	CallStarted = define(300, "call_started", hclog.Debug,
		"The node sent a call to its target.", "None.")
	TargetChanged = define(302, "target_changed", hclog.Warn,
		"The target's state, as seen by its node, has changed (cold, ramping, warm, checking, lost, trial, out, draining, drained).",
		"If it repeats, check the target: it restarts or resets connections.")
	CallNotAdmitted = define(301, "call_not_admitted", hclog.Info,
		"The target's node refused a call.", "See the reason in docs/callers.md.")
)
