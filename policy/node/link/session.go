package link

import (
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
)

// Events of the state chart link_session, in the chart's order.
const (
	eventSilenceDetected chart.EventID = iota
	eventBytesReceived
	eventGraceExpired
	eventIdle
	eventRetired
	eventClosed
)

const stateOpen = "open"

// session is the state of one connection to a peer, opened by either end. A node sends
// calls only on connections that it opened.
type session struct {
	core  *Core
	now   time.Time
	state chart.StateID
	id    SessionID
	link  *peerLink // link that opened the connection; nil if the peer opened it, or was removed during the dial

	bytesReceived  int64     // total so far
	lastReceivedAt time.Time // when bytesReceived last changed
	silentSince    time.Time // when the connection last became silent; not reset when it recovers

	nextHeartbeatAt time.Time
	lastHeartbeat   Heartbeat
	lastHeartbeatAt time.Time
	offsetEstimator offsetEstimator
}

func newSessionMachine() *chart.Machine[*session] {
	return chart.MustCompile(charts.MustRead("link_session"), chart.Binding[*session]{
		States: []string{stateOpen, "silent", "draining", "ended"},
		Events: []string{"silence_detected", "bytes_received", "grace_expired", "idle", "retired", "closed"},
		Guards: map[string]func(*session) bool{"has_successor": (*session).hasSuccessor},
		Actions: map[string]func(*session){
			"report_silent":   (*session).reportSilent,
			"report_restored": func(s *session) { s.stepLink(eventConnectionRestored) },
			"close":           func(s *session) { s.core.emit(Action{Kind: CloseSession, Session: s.id}) },
		},
	})
}

func (s *session) step(now time.Time, e chart.EventID) {
	s.now = now
	s.state = s.core.sessionMachine.Step(s, s.state, e)
	if s.core.sessionMachine.Final(s.state) {
		delete(s.core.sessions, s.id)
		s.stepLink(eventConnectionLost)
	}
}

func (s *session) tick(now time.Time) {
	if now.Sub(s.lastReceivedAt) >= SilenceLimit {
		s.step(now, eventSilenceDetected)
	}
	if !s.silentSince.IsZero() && now.Sub(s.silentSince) >= SilentGracePeriod {
		s.step(now, eventGraceExpired)
	}
	if !now.Before(s.nextHeartbeatAt) {
		s.sendHeartbeat(now)
	}
}

// sendHeartbeat sends a heartbeat that echoes the peer's latest one.
func (s *session) sendHeartbeat(now time.Time) {
	s.nextHeartbeatAt = now.Add(HeartbeatPeriod)
	h := Heartbeat{Sent: now.Sub(s.core.start)}
	if s.lastHeartbeat.Sent != 0 {
		h.EchoSent = s.lastHeartbeat.Sent
		h.EchoHeld = now.Sub(s.lastHeartbeatAt)
	}
	s.core.emit(Action{Kind: SendHeartbeat, Session: s.id, Heartbeat: h})
}

func (s *session) isOpen() bool { return s.core.sessionMachine.StateName(s.state) == stateOpen }

// hasSuccessor reports whether the link has opened a newer connection.
func (s *session) hasSuccessor() bool { return s.link != nil && s.link.currentSession != s.id }

func (s *session) reportSilent() {
	s.silentSince = s.now
	s.core.emit(Action{Kind: ReportSilent, Session: s.id})
	s.stepLink(eventConnectionSilent)
}

// stepLink steps the link's state machine if this is its current session.
func (s *session) stepLink(e chart.EventID) {
	if s.link != nil && s.link.currentSession == s.id {
		s.link.step(s.now, e)
	}
}
