package event

import "github.com/hashicorp/go-hclog"

// Events of the routing duty.
var (
	CallRouted = define(200, "call_routed", hclog.Info,
		"A target was chosen for the first attempt of a call.", "None.")
	EntryCallRefused = define(201, "call_refused", hclog.Info,
		"A call was refused or failed without an answer of a target. With an empty reason: a kept answer was replayed.", "See the reason in docs/callers.md.")
	CallMoved = define(202, "call_moved", hclog.Info,
		"A call that did not run is sent to another target.", "The field after gives the reason why the previous attempt ended.")
	CallRetried = define(203, "call_retried", hclog.Info,
		"An idempotent call that may have run is sent to another target; this counts against its retry budget.",
		"The field after gives the reason why the previous attempt ended; frequent retries indicate a failing target.")
	CallCanceled = define(204, "call_canceled", hclog.Info,
		"The caller disconnected; the running attempt was canceled.", "None.")
	TargetSuspected = define(206, "target_suspected", hclog.Warn,
		"A target was excluded from new calls, or included again.", "Check the target's node if it repeats.")
	ContactChanged = define(207, "contact_known", hclog.Warn,
		"The node lost or regained contact with the fleet; without contact it refuses requests that need a key.",
		"Check the network between the node, the log service and the peers.")
)
