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
			"append_join":     func(s *selfEntry) { s.append(false) },
			"append_leave":    func(s *selfEntry) { s.append(true) },
			"new_incarnation": (*selfEntry).newIncarnation,
		},
	})}
}

func (s *selfEntry) step(now time.Time, e chart.EventID) {
	s.now = now
	s.state = s.machine.Step(s, s.state, e)
}

func (s *selfEntry) hasLeft() bool { return s.machine.Final(s.state) }

func (s *selfEntry) onListed(now time.Time, listed bool) {
	if listed {
		s.step(now, eventListed)
		return
	}
	s.step(now, eventNotListed)
}

func (s *selfEntry) tick(now time.Time) {
	if now.Sub(s.core.latestMajorityHeartbeat(now)) < silenceLimit {
		s.step(now, eventMajorityAlive)
	}
	if !s.appendFailedAt.IsZero() && now.Sub(s.appendFailedAt) >= appendRetryDelay {
		s.step(now, eventRetryDue)
	}
}

// onAppended handles the result of an append of this node's record. An outage of
// the log is not a failure, since the appender duty keeps the record until the log
// is available.
func (s *selfEntry) onAppended(now time.Time, leave, ok bool) {
	if !ok {
		s.appendFailedAt = now
		return
	}
	if leave {
		s.step(now, eventLeaveAppended)
	}
}

func (s *selfEntry) append(leave bool) {
	s.appendFailedAt = time.Time{}
	record := &model.MemberRecord{Time: s.now, Leave: leave, Member: s.core.self}
	s.core.emit(Action{Kind: AppendRecord, Record: record})
}

// newIncarnation gives this node a new incarnation, since the removal of an
// incarnation is final.
func (s *selfEntry) newIncarnation() {
	s.core.self.Incarnation = model.Incarnation(s.core.rng.Uint64())
	s.core.emit(Action{Kind: ChangeIncarnation, Peer: s.core.self})
}
