package event

import "github.com/hashicorp/go-hclog"

// Events of the follower and appender duties.
var (
	ConfigAccepted = define(600, "config_accepted", hclog.Info,
		"A publication is in force on this node.", "None.")
	ConfigRejected = define(601, "config_rejected", hclog.Warn,
		"A publication was made from a version that is not current.", "Publish again from the current version.")
	RecordMalformed = define(602, "record_malformed", hclog.Error,
		"A log record or document does not decode and was skipped.", "Find the writer of the record.")
	LogUnavailable = define(603, "log_unavailable", hclog.Warn,
		"The log service does not answer.", "None; the node goes on with its configuration.")
	RecordDropped = define(604, "record_dropped", hclog.Error,
		"A record was not taken, because too many wait for the log or it is too large.", "Restore the log service.")
	LogGap = define(605, "log_gap", hclog.Warn,
		"Records expired before this node read them; it asks its peers for all documents.",
		"None, while a peer or refreshed records supply the documents.")
	DocumentSetAdopted = define(606, "document_set_adopted", hclog.Info,
		"The node took all documents from a peer.", "None.")
	RecordsRelayed = define(607, "records_relayed", hclog.Info,
		"Log records arrived through a peer while the log did not answer.", "None.")
	KeyWithdrawn = define(608, "key_withdrawn", hclog.Info,
		"A key stopped working on this node.", "None.")
	DocumentsRefreshed = define(609, "documents_refreshed", hclog.Info,
		"The node appends documents again before their records expire.", "None.")
)
