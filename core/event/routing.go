package event

import "github.com/hashicorp/go-hclog"

// Events of the routing duty.
var (
	CallRouted = define(200, "call_routed", hclog.Info,
		"A target was chosen for the first attempt of a call.", "None.")
	EntryCallRefused = define(201, "call_refused", hclog.Info,
		"A call ended without a target's answer.", "See the reason in docs/callers.md.")
	CallMoved = define(202, "call_moved", hclog.Info,
		"A call that was not run goes to another target.", "See the reason in the field after.")
	CallRetried = define(203, "call_retried", hclog.Info,
		"An idempotent call that may have run goes to another target, at the cost of its retry budget.",
		"See the reason in the field after; many of them point to a failing target.")
	CallCanceled = define(204, "call_canceled", hclog.Info,
		"The caller has gone; the attempt in progress is ended.", "None.")
	TargetSuspected = define(206, "target_suspected", hclog.Warn,
		"A target is excluded from new calls, or admitted again.", "Check the target's node if it repeats.")
	ContactKnown = define(207, "contact_known", hclog.Warn,
		"The node lost or regained contact with the fleet; without it keyed requests are refused.",
		"Check the network to the log service and the peers.")
)
