package membership

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// Events of the peer_liveness chart, in the chart's order.
const (
	eventHeartbeat chart.EventID = iota
	eventSilent
	eventProbeDue
	eventProbeSucceeded
	eventProbeFailed
	eventReportDue
	eventRemovalDue
	eventGoodbye
	eventUnlisted
)

const stateAlive = "alive"

// peer is the state that this node keeps about another node.
type peer struct {
	core               *Core
	now                time.Time
	state              chart.StateID
	member             model.Member
	listed             bool      // it is a member in the log; false if only a quorum group lists it
	assumedAliveAt     time.Time // silence counts from here: when the latest heartbeat was sent, the peer was first listed, or a pause of this process ended
	lastHeartbeatAt    time.Time // when the latest heartbeat was sent; zero for none
	echoedSentAt       time.Time // when this node sent the latest heartbeat that the peer has echoed; zero for none
	lastProbeAt        time.Time
	lastReportAt       time.Time
	suspectSince       time.Time
	lastRefutedAt      time.Time                          // when another node last reported that it can reach the peer
	leavePending       bool                               // this node is appending a leave record for the peer
	leaveAppendEndedAt time.Time                          // when the latest such append ended, whether or not it succeeded
	reportsByNode      map[model.Instance]suspicionReport // from other nodes
}

func newPeerMachine() *chart.Machine[*peer] {
	return chart.MustCompile(charts.MustRead("peer_liveness"), chart.Binding[*peer]{
		States: []string{stateAlive, "avoided", "suspect", "leaving", "dropped"},
		Events: []string{"heartbeat", "silent", "probe_due", "probe_succeeded", "probe_failed", "report_due", "removal_due", "goodbye", "unlisted"},
		Guards: map[string]func(*peer) bool{"removal_agreed": (*peer).removalAgreed},
		Actions: map[string]func(*peer){
			"avoid_peer":     func(p *peer) { p.emit(Action{Kind: SetAvoided, Avoided: true}) },
			"stop_avoiding":  func(p *peer) { p.emit(Action{Kind: SetAvoided}) },
			"request_probes": (*peer).requestProbes,
			"report_suspect": (*peer).reportSuspect,
			"retract_report": (*peer).retractReport,
			"append_leave":   (*peer).appendLeave,
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
	if now.Sub(p.assumedAliveAt) >= silenceLimit {
		p.step(now, eventSilent)
	}
	if now.Sub(p.lastProbeAt) >= probeInterval {
		p.step(now, eventProbeDue)
	}
	if now.Sub(p.lastReportAt) >= reportInterval {
		p.step(now, eventReportDue)
	}
	if p.removalDue(now) {
		p.step(now, eventRemovalDue)
	}
}

// removalDue reports whether this node's delay before removing the peer has passed.
// It computes the rank last, since that takes a hash for each peer.
func (p *peer) removalDue(now time.Time) bool {
	lostFor := now.Sub(p.lostSince())
	return lostFor >= removalDelay && p.listed && !p.leavePending && now.Sub(p.leaveAppendEndedAt) >= removerRankDelay && lostFor >= p.removalDelayByRank()
}

// lostSince returns when this node began to suspect the peer or, without a
// suspicion, when the peer counted as silent. The latter applies to a leaving peer.
func (p *peer) lostSince() time.Time {
	if !p.suspectSince.IsZero() {
		return p.suspectSince
	}
	return p.assumedAliveAt.Add(silenceLimit)
}

func (p *peer) reportSuspect() {
	p.lastReportAt = p.now
	if p.suspectSince.IsZero() {
		p.suspectSince = p.now
	}
	p.emit(Action{Kind: ReportSuspect})
}

func (p *peer) retractReport() {
	p.suspectSince = time.Time{}
	p.emit(Action{Kind: RetractReport})
}

func (p *peer) appendLeave() {
	p.leavePending = true
	record := &model.MemberRecord{Time: p.now, Leave: true, Member: p.member, Reporter: p.core.self.Instance}
	p.emit(Action{Kind: AppendRecord, Record: record})
}
