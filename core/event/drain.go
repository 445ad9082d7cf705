package event

import "github.com/hashicorp/go-hclog"

// Events of the shutdown of a node.
var (
	ShutdownBegun = define(900, "shutdown_begun", hclog.Info,
		"The node begins to shut down and announces this to its peers and in the log.", "None.")
	DrainBegun = define(901, "drain_begun", hclog.Info,
		"The node refuses new calls and waits for running calls to finish.", "None.")
	DrainEnded = define(902, "drain_ended", hclog.Info,
		"The node closes its connections; in_flight counts the calls that had not finished.", "Increase drain_time if in_flight is above 0.")
)
