package link

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// Events of the state chart peer_link, in the chart's order.
const (
	eventDialDue chart.EventID = iota
	eventConnected
	eventDialFailed
	eventConnectionLost
	eventConnectionSilent
	eventConnectionRestored
	eventPeerRemoved
)

const stateWaiting = "waiting"

// peer is the link to one peer.
type peer struct {
	core    *Core
	now     time.Time
	state   chart.StateID
	member  model.Member
	current SessionID // latest connection that this node opened
	dialAt  time.Time
	backoff time.Duration
}

func newPeerMachine() *chart.Machine[*peer] {
	return chart.MustCompile(charts.MustRead("peer_link"), chart.Binding[*peer]{
		States: []string{stateWaiting, "connecting", "up", "removed"},
		Events: []string{"dial_due", "connected", "dial_failed", "connection_lost", "connection_silent", "connection_restored", "peer_removed"},
		Guards: map[string]func(*peer) bool{"has_open_connection": (*peer).hasOpenConnection},
		Actions: map[string]func(*peer){
			"dial":               func(p *peer) { p.core.emit(Action{Kind: Dial, Peer: p.member}) },
			"dial_now":           func(p *peer) { p.dialAt = p.now },
			"reset_backoff":      func(p *peer) { p.backoff = minBackoff },
			"grow_backoff":       (*peer).growBackoff,
			"use_new_connection": (*peer).useCurrent,
			"use_old_connection": (*peer).useCurrent,
			"use_no_connection":  func(p *peer) { p.core.emit(Action{Kind: UseSession, Peer: p.member}) },
			"close_all":          (*peer).closeAll,
		},
	})
}

func (p *peer) step(now time.Time, e chart.EventID) {
	p.now = now
	p.state = p.core.peerMachine.Step(p, p.state, e)
	if p.core.peerMachine.Final(p.state) {
		delete(p.core.peers, p.member.Instance)
	}
}

func (p *peer) hasOpenConnection() bool {
	s := p.core.sessions[p.current]
	return s != nil && s.isOpen()
}

func (p *peer) useCurrent() {
	p.core.emit(Action{Kind: UseSession, Peer: p.member, Session: p.current})
}

// closeAll removes the link. Its connection is drained, so that calls in progress
// still get their answers.
func (p *peer) closeAll() {
	p.core.emit(Action{Kind: UseSession, Peer: p.member})
	if s := p.core.sessions[p.current]; s != nil {
		s.step(p.now, eventReplaced)
	}
}

// growBackoff schedules the next dial and doubles the backoff. The jitter keeps
// nodes that lost the same peer from dialing it at the same time.
func (p *peer) growBackoff() {
	jitter := time.Duration(p.core.rng.Int64N(int64(p.backoff)))
	p.dialAt = p.now.Add(p.backoff/2 + jitter)
	p.backoff = min(2*p.backoff, maxBackoff)
}
