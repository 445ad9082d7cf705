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
	eventRefreshDue
	eventLeave
	eventLeaveDone
)

// refreshShare is the part of the log's retention after which a join is
// appended again, so that it does not expire.
const refreshShare = 0.6

// ownMember is this node's entry in the members of its service.
type ownMember struct {
	core      *Core
	machine   *chart.Machine[*ownMember]
	now       time.Time
	state     chart.StateID
	appendAt  time.Time // latest append
	retention time.Duration
}

func newOwnMember(c *Core) ownMember {
	return ownMember{core: c, machine: chart.MustCompile(charts.MustRead("membership"), chart.Binding[*ownMember]{
		States: []string{"waiting", "joining", "member", "removed", "leaving", "left"},
		Events: []string{"target_up", "seen", "missing", "reachable", "retry_due", "refresh_due", "leave", "leave_done"},
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
	since := now.Sub(o.appendAt)
	if since >= appendRetry {
		o.step(now, eventRetryDue)
	}
	if o.retention > 0 && since >= time.Duration(refreshShare*float64(o.retention)) {
		o.step(now, eventRefreshDue)
	}
}

func (o *ownMember) append(leave bool) {
	o.appendAt = o.now
	record := &model.MemberRecord{Time: o.now, Leave: leave, Member: o.core.self}
	o.core.emit(Action{Kind: Append, Record: record})
}

// newIncarnation begins another life in the log: the removal of the last one
// stands.
func (o *ownMember) newIncarnation() {
	o.core.self.Incarnation = model.Incarnation(o.core.rng.Uint64())
	o.core.emit(Action{Kind: Renamed, Peer: o.core.self})
}
