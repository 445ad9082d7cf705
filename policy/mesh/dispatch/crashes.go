// This file exchanges what is known of requests that crash targets.

package dispatch

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/mesh/poison"
)

// OnPeerCrashes handles what a peer knows of requests that crash targets.
func (c *Core) OnPeerCrashes(now time.Time, reports []model.CrashReport) {
	c.onCrashReports(now, reports, false)
}

// onCrashReports handles reports of crashes. own tells that they come from the node's own
// target.
func (c *Core) onCrashReports(now time.Time, reports []model.CrashReport, own bool) {
	for _, report := range reports {
		c.suspicions.OnCrashReport(now, report)
	}
	c.archiveChanges(now, own)
}

func (c *Core) archiveChanges(now time.Time, own bool) {
	for _, change := range c.suspicions.TakeChanges() {
		c.archive.OnChange(now, change, own)
	}
}

// OnPoisonRecords handles records of refused requests in the log: the complete list if
// loaded, otherwise changes.
func (c *Core) OnPoisonRecords(now time.Time, records []poison.Record, loaded bool) {
	for _, record := range records {
		c.suspicions.OnRecord(now, record, loaded)
		c.archiveChanges(now, false)
		c.archive.OnRecord(now, record)
	}
	if loaded {
		c.archive.OnLoaded(now, records)
	}
}

// OnPoisonRecordWritten handles the end of a write that TakePoisonWrites requested. The log
// has the record if it was successful.
func (c *Core) OnPoisonRecordWritten(now time.Time, record poison.Record) {
	c.archive.OnRecord(now, record)
}

// TakePoisonWrites returns and clears the records of refused requests that the node must
// write to the log.
func (c *Core) TakePoisonWrites() []poison.Record { return c.archive.TakeWrites() }

// CrashReports returns what the node knows of requests that crash targets, for a peer
// that may lack it.
func (c *Core) CrashReports(now time.Time) []model.CrashReport { return c.suspicions.Reports(now) }

// SuspectedRequests returns the number of requests that are suspected of crashing
// targets, including the refused ones.
func (c *Core) SuspectedRequests() int { return c.suspicions.Len() }
