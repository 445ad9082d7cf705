package event

import "github.com/hashicorp/go-hclog"

// Events of the admission duty.
var (
	CallStarted = define(300, "call_started", hclog.Debug,
		"A call was handed to the target.", "None.")
	TargetChanged = define(302, "target_changed", hclog.Warn,
		"The node sees its target in another state (cold, ramping, warm, checking, lost, trial, out, draining).",
		"When it repeats, look at the target: it restarts or resets connections.")
	CallNotAdmitted = define(301, "call_not_admitted", hclog.Info,
		"The target's node refused a call.", "See the reason in docs/callers.md.")
)
