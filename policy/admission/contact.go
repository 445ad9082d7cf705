package admission

import "time"

// contact holds until when the node has contact with the log or with nodes in
// a majority of the availability zones.
type contact struct {
	known bool
	until time.Time
}

// lost reports whether keyed calls are to be refused: a key may have been
// withdrawn without this node knowing. Before the first report the node has
// just read its configuration.
func (c contact) lost(now time.Time) bool { return c.known && !now.Before(c.until) }
