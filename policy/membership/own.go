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
	eventSeen
	eventMissing
	eventReachable
	eventRetryDue
	eventLeave
	eventLeaveDone
)

// ownMember is this node's entry in the members of its service.
type ownMember struct {
	core     *Core
	machine  *chart.Machine[*ownMember]
	now      time.Time
	state    chart.StateID
	failedAt time.Time // when the latest append failed; zero for none
}

func newOwnMember(c *Core) ownMember {
	return ownMember{core: c, machine: chart.MustCompile(charts.MustRead("membership"), chart.Binding[*ownMember]{
		States: []string{"waiting", "joining", "member", "removed", "leaving", "left"},
		Events: []string{"target_up", "seen", "missing", "reachable", "retry_due", "leave", "leave_done"},
		Actions: map[string]func(*ownMember){
			"append_join":     func(o *ownMember) { o.append(false) },
			"append_leave":    func(o *ownMember) { o.append(true) },
			"new_incarnation": (*ownMember).newIncarnation,
		},
	})}
}

func (o *ownMember) step(now time.Time, e chart.EventID) {
	o.now = now
	o.state = o.machine.Step(o, o.state, e)
}

func (o *ownMember) settled() bool { return o.machine.Final(o.state) }

func (o *ownMember) onListed(now time.Time, listed bool) {
	if listed {
		o.step(now, eventSeen)
		return
	}
	o.step(now, eventMissing)
}

func (o *ownMember) tick(now time.Time) {
	if now.Sub(o.core.heard(now)) < silenceLimit {
		o.step(now, eventReachable)
	}
	if !o.failedAt.IsZero() && now.Sub(o.failedAt) >= appendRetry {
		o.step(now, eventRetryDue)
	}
}

// onAppended takes the end of an own append. An outage of the log is no
// failure: the record waits for the log.
func (o *ownMember) onAppended(now time.Time, leave, ok bool) {
	if !ok {
		o.failedAt = now
		return
	}
	if leave {
		o.step(now, eventLeaveDone)
	}
}

func (o *ownMember) append(leave bool) {
	o.failedAt = time.Time{}
	record := &model.MemberRecord{Time: o.now, Leave: leave, Member: o.core.self}
	o.core.emit(Action{Kind: AppendRecord, Record: record})
}

// newIncarnation begins another life in the log: the removal of the last one
// stands.
func (o *ownMember) newIncarnation() {
	o.core.self.Incarnation = model.Incarnation(o.core.rng.Uint64())
	o.core.emit(Action{Kind: ChangeIncarnation, Peer: o.core.self})
}
