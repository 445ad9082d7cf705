package membership

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// Events of the peer_liveness chart, in the chart's order.
const (
	eventHeard chart.EventID = iota
	eventSilence
	eventProbeDue
	eventReached
	eventUnreached
	eventReportDue
	eventRemovalDue
	eventGoodbye
	eventUnlisted
)

const stateAlive = "alive"

// peer is what this node holds of another one.
type peer struct {
	core      *Core
	now       time.Time
	state     chart.StateID
	member    model.Member
	listed    bool      // a member; others are in a quorum group only
	heardAt   time.Time // latest heartbeat, or since when one is expected
	directAt  time.Time // latest heartbeat; zero for none
	echoedAt  time.Time // when the latest own heartbeat that it answered was sent; zero for none
	probedAt  time.Time
	reportAt  time.Time
	suspectAt time.Time
	refutedAt time.Time                 // when another node last said that it hears the peer
	appending bool                      // a leave on its behalf waits for the log
	appendAt  time.Time                 // when the log had it
	reports   map[model.Instance]report // of other nodes
}

func newPeerMachine() *chart.Machine[*peer] {
	return chart.MustCompile(charts.MustRead("peer_liveness"), chart.Binding[*peer]{
		States: []string{stateAlive, "avoided", "suspect", "leaving", "forgotten"},
		Events: []string{"heard", "silence", "probe_due", "reached", "unreached", "report_due", "removal_due", "goodbye", "unlisted"},
		Guards: map[string]func(*peer) bool{"agreed": (*peer).agreed},
		Actions: map[string]func(*peer){
			"avoid":        func(p *peer) { p.emit(Action{Kind: SetAvoided, Avoided: true}) },
			"accept":       func(p *peer) { p.emit(Action{Kind: SetAvoided}) },
			"ask_probes":   (*peer).askProbes,
			"report":       (*peer).report,
			"lift":         (*peer).lift,
			"append_leave": (*peer).appendLeave,
		},
	})
}

func (p *peer) step(now time.Time, e chart.EventID) {
	p.now = now
	p.state = p.core.machine.Step(p, p.state, e)
	if p.core.machine.Final(p.state) {
		delete(p.core.peers, p.member.Instance)
	}
}

func (p *peer) emit(a Action) {
	a.Peer = p.member
	p.core.emit(a)
}

func (p *peer) alive() bool { return p.core.machine.StateName(p.state) == stateAlive }

func (p *peer) tick(now time.Time) {
	if now.Sub(p.heardAt) >= silenceLimit {
		p.step(now, eventSilence)
	}
	if now.Sub(p.probedAt) >= probePeriod {
		p.step(now, eventProbeDue)
	}
	if now.Sub(p.reportAt) >= reportPeriod {
		p.step(now, eventReportDue)
	}
	if p.removalDue(now) {
		p.step(now, eventRemovalDue)
	}
}

// removalDue looks at the rank last: it costs a hash for each peer.
func (p *peer) removalDue(now time.Time) bool {
	lasts := now.Sub(p.lostSince())
	return lasts >= removalDelay && p.listed && !p.appending && now.Sub(p.appendAt) >= rankDelay && lasts >= p.removalDelay()
}

// lostSince returns when the suspicion began, or when a peer that said
// goodbye fell silent.
func (p *peer) lostSince() time.Time {
	if !p.suspectAt.IsZero() {
		return p.suspectAt
	}
	return p.heardAt.Add(silenceLimit)
}

func (p *peer) report() {
	p.reportAt = p.now
	if p.suspectAt.IsZero() {
		p.suspectAt = p.now
	}
	p.emit(Action{Kind: ReportSuspect})
}

func (p *peer) lift() {
	p.suspectAt = time.Time{}
	p.emit(Action{Kind: RetractReport})
}

func (p *peer) appendLeave() {
	p.appending = true
	record := &model.MemberRecord{Time: p.now, Leave: true, Member: p.member, Reporter: p.core.self.Instance}
	p.emit(Action{Kind: AppendRecord, Record: record})
}
