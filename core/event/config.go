package event

import "github.com/hashicorp/go-hclog"

// Events of the follower duty.
var (
	ConfigAccepted = define(600, "config_accepted", hclog.Info,
		"A publication is in force on this node.", "None.")
	ConfigRejected = define(601, "config_rejected", hclog.Warn,
		"A publication was made from a version that is not current.", "Publish again from the current version.")
	RecordMalformed = define(602, "record_malformed", hclog.Error,
		"A log record does not decode and was skipped.", "Find the writer of the record.")
	LogUnavailable = define(603, "log_unavailable", hclog.Warn,
		"The log service does not answer.", "None; the node goes on with its configuration.")
)
