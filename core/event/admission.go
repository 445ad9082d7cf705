package event

import "github.com/hashicorp/go-hclog"

// Events of the admission duty.
var (
	CallStarted = define(300, "call_started", hclog.Debug,
		"A call was handed to the target.", "None.")
	CallRefused = define(301, "call_not_admitted", hclog.Info,
		"The target's node refused a call.", "See the reason in docs/callers.md.")
)
