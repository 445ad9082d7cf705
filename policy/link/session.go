package link

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
)

// Events of the link_session chart, in the chart's order.
const (
	eventSilence chart.EventID = iota
	eventProgress
	eventKeepOver
	eventIdle
	eventReplaced
	eventClosed
)

const stateOpen = "open"

// session is one connection, opened by either end.
type session struct {
	core  *Core
	now   time.Time
	state chart.StateID
	id    SessionID
	peer  *peer // nil for a connection that the peer opened

	received    int64     // bytes
	progressAt  time.Time // when received last grew
	silentSince time.Time

	beatAt  time.Time
	heard   Heartbeat
	heardAt time.Time
	clock   clock
}

func newSessionMachine() *chart.Machine[*session] {
	return chart.MustCompile(charts.MustRead("link_session"), chart.Binding[*session]{
		States: []string{stateOpen, "silent", "draining", "ended"},
		Events: []string{"silence", "progress", "keep_over", "idle", "replaced", "closed"},
		Guards: map[string]func(*session) bool{"has_successor": (*session).hasSuccessor},
		Actions: map[string]func(*session){
			"report_silent": (*session).reportSilent,
			"restore":       func(s *session) { s.stepPeer(eventRestored) },
			"close":         func(s *session) { s.core.emit(Action{Kind: CloseSession, Session: s.id}) },
		},
	})
}

func (s *session) step(now time.Time, e chart.EventID) {
	s.now = now
	s.state = s.core.machine.Step(s, s.state, e)
	if s.core.machine.Final(s.state) {
		delete(s.core.sessions, s.id)
		s.stepPeer(eventLost)
	}
}

func (s *session) tick(now time.Time) {
	if now.Sub(s.progressAt) >= SilenceLimit {
		s.step(now, eventSilence)
	}
	if !s.silentSince.IsZero() && now.Sub(s.silentSince) >= SilentGracePeriod {
		s.step(now, eventKeepOver)
	}
	if !now.Before(s.beatAt) {
		s.beat(now)
	}
}

// beat sends a heartbeat that echoes the latest one of the peer.
func (s *session) beat(now time.Time) {
	s.beatAt = now.Add(HeartbeatPeriod)
	h := Heartbeat{Sent: now.Sub(s.core.start)}
	if s.heard.Sent != 0 {
		h.EchoSent = s.heard.Sent
		h.EchoHeld = now.Sub(s.heardAt)
	}
	s.core.emit(Action{Kind: SendHeartbeat, Session: s.id, Heartbeat: h})
}

func (s *session) isOpen() bool { return s.core.machine.StateName(s.state) == stateOpen }

func (s *session) hasSuccessor() bool { return s.peer != nil && s.peer.current != s.id }

func (s *session) reportSilent() {
	s.silentSince = s.now
	s.core.emit(Action{Kind: ReportSilent, Session: s.id})
	s.stepPeer(eventSilent)
}

// stepPeer passes an event to the link whose current connection this is.
func (s *session) stepPeer(e chart.EventID) {
	if s.peer != nil && s.peer.current == s.id {
		s.peer.step(s.now, e)
	}
}
