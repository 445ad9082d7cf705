package event

import "github.com/hashicorp/go-hclog"

// Events of the duties that read (follower) and append (appender) log records.
var (
	ConfigAccepted = define(600, "config_accepted", hclog.Info,
		"A configuration publication has taken effect on this node.", "None.")
	ConfigRejected = define(601, "config_rejected", hclog.Warn,
		"A publication is based on an outdated version and was rejected.", "Publish again, based on the current version.")
	RecordMalformed = define(602, "record_malformed", hclog.Error,
		"A log record or document could not be decoded and was skipped, or a record of this node could not be encoded.", "Find out which program wrote the record.")
	LogUnavailable = define(603, "log_unavailable", hclog.Warn,
		"A request to the log service failed; the field error gives the cause.", "Check the log service; the node continues with its current configuration.")
	RecordDropped = define(604, "record_dropped", hclog.Error,
		"A record was dropped because it is too large or too many records wait for the log.", "Restore the log service.")
	LogGap = define(605, "log_gap", hclog.Warn,
		"Log records expired before this node read them. If they were records of the configuration, it requests all documents from its peers.",
		"None, as long as a peer or refreshed records supply the documents.")
	DocumentSetAdopted = define(606, "document_set_adopted", hclog.Info,
		"The node adopted the complete set of documents of a peer.", "None.")
	RecordsRelayed = define(607, "records_relayed", hclog.Info,
		"The node received log records from a peer while the log service did not answer.", "None.")
	KeyWithdrawn = define(608, "key_withdrawn", hclog.Info,
		"A key was withdrawn; this node no longer accepts it.", "None.")
	DocumentsRefreshed = define(609, "documents_refreshed", hclog.Info,
		"The node appends documents to the log again before their records expire.", "None.")
)
