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

// peerLink is the link to one peer.
type peerLink struct {
	core           *Core
	now            time.Time
	state          chart.StateID
	member         model.Member
	currentSession SessionID // session of the latest connection that this node opened
	dialAt         time.Time
	backoff        time.Duration
}

func newLinkMachine() *chart.Machine[*peerLink] {
	return chart.MustCompile(charts.MustRead("peer_link"), chart.Binding[*peerLink]{
		States: []string{stateWaiting, "dialing", "up", "removed"},
		Events: []string{"dial_due", "connected", "dial_failed", "connection_lost", "connection_silent", "connection_restored", "peer_removed"},
		Guards: map[string]func(*peerLink) bool{"has_open_connection": (*peerLink).hasOpenConnection},
		Actions: map[string]func(*peerLink){
			"dial":               func(p *peerLink) { p.core.emit(Action{Kind: Dial, Peer: p.member}) },
			"dial_now":           func(p *peerLink) { p.dialAt = p.now },
			"reset_backoff":      func(p *peerLink) { p.backoff = minBackoff },
			"back_off":           (*peerLink).backOff,
			"use_new_connection": (*peerLink).useCurrentSession,
			"use_old_connection": (*peerLink).useCurrentSession,
			"use_no_connection":  func(p *peerLink) { p.core.emit(Action{Kind: UseSession, Peer: p.member}) },
			"drain_connection":   (*peerLink).drainConnection,
		},
	})
}

func (p *peerLink) step(now time.Time, e chart.EventID) {
	p.now = now
	p.state = p.core.linkMachine.Step(p, p.state, e)
	if p.core.linkMachine.Final(p.state) {
		delete(p.core.links, p.member.Instance)
	}
}

// hasOpenConnection reports whether the link's latest connection is open and not silent.
func (p *peerLink) hasOpenConnection() bool {
	s := p.core.sessions[p.currentSession]
	return s != nil && s.isOpen()
}

// useCurrentSession sends new calls on the current session. That is a new one after a
// dial, or otherwise the previous one if it is no longer silent.
func (p *peerLink) useCurrentSession() {
	p.core.emit(Action{Kind: UseSession, Peer: p.member, Session: p.currentSession})
}

// drainConnection stops sending new calls on the link's connection and lets the calls in
// progress finish.
func (p *peerLink) drainConnection() {
	p.core.emit(Action{Kind: UseSession, Peer: p.member})
	if s := p.core.sessions[p.currentSession]; s != nil {
		s.step(p.now, eventRetired)
	}
}

// backOff schedules the next dial after a failure and doubles the backoff. The jitter
// prevents nodes that lost the same peer from dialing it at the same time.
func (p *peerLink) backOff() {
	jitter := time.Duration(p.core.rng.Int64N(int64(p.backoff)))
	p.dialAt = p.now.Add(p.backoff/2 + jitter)
	p.backoff = min(2*p.backoff, maxBackoff)
}
