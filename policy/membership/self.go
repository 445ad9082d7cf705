package membership

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// Events of the membership chart, in the chart's order.
const (
	eventTargetUp chart.EventID = iota
	eventListed
	eventNotListed
	eventMajorityAlive
	eventRetryDue
	eventLeaveRequested
	eventLeaveAppended
)

// selfEntry is this node's entry in the members of its service.
type selfEntry struct {
	core           *Core
	machine        *chart.Machine[*selfEntry]
	now            time.Time
	state          chart.StateID
	appendFailedAt time.Time // when the latest append failed; zero if it has not failed
}

func newSelfEntry(c *Core) selfEntry {
	return selfEntry{core: c, machine: chart.MustCompile(charts.MustRead("membership"), chart.Binding[*selfEntry]{
		States: []string{"waiting_for_target", "joining", "member", "removed", "leaving", "left"},
		Events: []string{"target_up", "listed", "not_listed", "majority_alive", "retry_due", "leave_requested", "leave_appended"},
		Actions: map[string]func(*selfEntry){
			"append_join":     func(o *selfEntry) { o.append(false) },
			"append_leave":    func(o *selfEntry) { o.append(true) },
			"new_incarnation": (*selfEntry).newIncarnation,
		},
	})}
}

func (o *selfEntry) step(now time.Time, e chart.EventID) {
	o.now = now
	o.state = o.machine.Step(o, o.state, e)
}

func (o *selfEntry) hasLeft() bool { return o.machine.Final(o.state) }

func (o *selfEntry) onListed(now time.Time, listed bool) {
	if listed {
		o.step(now, eventListed)
		return
	}
	o.step(now, eventNotListed)
}

func (o *selfEntry) tick(now time.Time) {
	if now.Sub(o.core.majorityAliveSince(now)) < silenceLimit {
		o.step(now, eventMajorityAlive)
	}
	if !o.appendFailedAt.IsZero() && now.Sub(o.appendFailedAt) >= appendRetryDelay {
		o.step(now, eventRetryDue)
	}
}

// onAppended handles the result of an append of this node's record. An outage of
// the log is not a failure, since the appender duty keeps the record until the log
// is available.
func (o *selfEntry) onAppended(now time.Time, leave, ok bool) {
	if !ok {
		o.appendFailedAt = now
		return
	}
	if leave {
		o.step(now, eventLeaveAppended)
	}
}

func (o *selfEntry) append(leave bool) {
	o.appendFailedAt = time.Time{}
	record := &model.MemberRecord{Time: o.now, Leave: leave, Member: o.core.self}
	o.core.emit(Action{Kind: AppendRecord, Record: record})
}

// newIncarnation gives this node a new incarnation, since the removal of an
// incarnation is final.
func (o *selfEntry) newIncarnation() {
	o.core.self.Incarnation = model.Incarnation(o.core.rng.Uint64())
	o.core.emit(Action{Kind: ChangeIncarnation, Peer: o.core.self})
}
