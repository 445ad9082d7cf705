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
	eventMajorityHeard
	eventRetryDue
	eventLeaveRequested
	eventLeaveAppended
)

// ownEntry is this node's entry in the members of its service.
type ownEntry struct {
	core           *Core
	machine        *chart.Machine[*ownEntry]
	now            time.Time
	state          chart.StateID
	appendFailedAt time.Time // when the latest append failed; zero for none
}

func newOwnEntry(c *Core) ownEntry {
	return ownEntry{core: c, machine: chart.MustCompile(charts.MustRead("membership"), chart.Binding[*ownEntry]{
		States: []string{"waiting_for_target", "joining", "member", "removed", "leaving", "left"},
		Events: []string{"target_up", "listed", "not_listed", "majority_heard", "retry_due", "leave_requested", "leave_appended"},
		Actions: map[string]func(*ownEntry){
			"append_join":     func(o *ownEntry) { o.append(false) },
			"append_leave":    func(o *ownEntry) { o.append(true) },
			"new_incarnation": (*ownEntry).newIncarnation,
		},
	})}
}

func (o *ownEntry) step(now time.Time, e chart.EventID) {
	o.now = now
	o.state = o.machine.Step(o, o.state, e)
}

func (o *ownEntry) hasLeft() bool { return o.machine.Final(o.state) }

func (o *ownEntry) onListed(now time.Time, listed bool) {
	if listed {
		o.step(now, eventListed)
		return
	}
	o.step(now, eventNotListed)
}

func (o *ownEntry) tick(now time.Time) {
	if now.Sub(o.core.majorityHeardSince(now)) < silenceLimit {
		o.step(now, eventMajorityHeard)
	}
	if !o.appendFailedAt.IsZero() && now.Sub(o.appendFailedAt) >= appendRetryDelay {
		o.step(now, eventRetryDue)
	}
}

// onAppended handles the result of an append of this node's record. An outage
// of the log does not fail the append: the record waits for the log.
func (o *ownEntry) onAppended(now time.Time, leave, ok bool) {
	if !ok {
		o.appendFailedAt = now
		return
	}
	if leave {
		o.step(now, eventLeaveAppended)
	}
}

func (o *ownEntry) append(leave bool) {
	o.appendFailedAt = time.Time{}
	record := &model.MemberRecord{Time: o.now, Leave: leave, Member: o.core.self}
	o.core.emit(Action{Kind: AppendRecord, Record: record})
}

// newIncarnation gives this node a new incarnation, since the removal of the
// old one is final.
func (o *ownEntry) newIncarnation() {
	o.core.self.Incarnation = model.Incarnation(o.core.rng.Uint64())
	o.core.emit(Action{Kind: ChangeIncarnation, Peer: o.core.self})
}
