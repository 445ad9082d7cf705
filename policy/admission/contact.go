package admission

import "time"

// contact holds the time until which the node has contact with the
// configuration log or with nodes in a majority of the availability zones.
type contact struct {
	known bool
	until time.Time
}

// lost reports whether calls that need a key must be refused, because a key
// may have been withdrawn without this node knowing. Before the first report
// the node has only just read its configuration, so contact is assumed.
func (c contact) lost(now time.Time) bool { return c.known && !now.Before(c.until) }
