package event

import "github.com/hashicorp/go-hclog"

// Events of a shutdown.
var (
	ShutdownBegun = define(900, "shutdown_begun", hclog.Info,
		"The node announces that it leaves.", "None.")
	DrainBegun = define(901, "drain_begun", hclog.Info,
		"The node refuses new calls and waits for the running ones.", "None.")
	DrainEnded = define(902, "drain_ended", hclog.Info,
		"The node closes its connections; in_flight is above 0 when the drain time was too short.", "Raise drain_time if in_flight is above 0.")
)
