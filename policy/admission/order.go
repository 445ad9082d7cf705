package admission

import "time"

const (
	// orderInterval is the time over which the shortest sojourn is taken. A
	// burst that passes within it leaves no standing queue.
	orderInterval = 100 * time.Millisecond
	// standingSojourn is the shortest sojourn that shows a standing queue. It
	// is below the usual service times, so that waiting stays a small part of
	// a call.
	standingSojourn = 5 * time.Millisecond
	// maxStanding is the least time after which a call is dropped from a
	// standing queue. Newest first leaves it no chance to start, and while it
	// waits it may hold the slot of its parent at another target.
	maxStanding = 100 * time.Millisecond
)

// order chooses between oldest first and newest first.
//
// In a standing queue the oldest calls have used up most of their time: served
// first, each of them ends late and its work is wasted. The newest calls can
// still meet their deadlines. While the queue is short, the order of arrival
// is kept.
type order struct {
	end         time.Time     // of the current interval; zero before the first
	shortest    time.Duration // shortest sojourn in the current interval
	last        time.Duration // shortest sojourn in the interval before
	newestFirst bool
}

// observe books the sojourn of the oldest waiting call, each time a call is
// taken and at each scan of the queue, and reports whether the newest is to be taken. The oldest is looked
// at also while the newest are taken: their short sojourns would otherwise
// end the order that made them short.
func (o *order) observe(now time.Time, sojourn time.Duration) bool {
	switch {
	case o.end.IsZero():
		o.end, o.shortest = now.Add(orderInterval), sojourn
	case !now.Before(o.end):
		o.last = o.shortest
		o.newestFirst = o.shortest > standingSojourn
		o.end, o.shortest = now.Add(orderInterval), sojourn
	default:
		o.shortest = min(o.shortest, sojourn)
	}
	return o.newestFirst
}

// reset returns to the order of arrival: an empty queue does not stand.
func (o *order) reset() { *o = order{} }
