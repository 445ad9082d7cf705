package event

import "github.com/hashicorp/go-hclog"

// Events of the routing duty.
var (
	CallRouted = define(200, "call_routed", hclog.Info,
		"A target was chosen for an attempt of a call.", "None.")
	CallAnswered = define(201, "call_refused", hclog.Info,
		"A call ended without a target's answer.", "See the reason in docs/callers.md.")
)
