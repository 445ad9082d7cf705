package admission

import "time"

// contact holds the time until which the node has contact, that is, recent
// heartbeat round trips with nodes in a majority of its region's availability zones
// (see policy/node/membership).
type contact struct {
	known bool
	until time.Time
}

// lost reports whether contact is lost. Calls that need a key must then be
// refused, since this node may not know that a key was withdrawn. Before the
// first report the node has just read its configuration, so it counts as in
// contact.
func (c contact) lost(now time.Time) bool { return c.known && !now.Before(c.until) }
