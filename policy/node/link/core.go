// Package link manages the links between the nodes of package agent. It decides when a
// node dials its peers, which connection to a peer it uses, and when a connection counts
// as silent. A session is the state of one connection. Package fleet manages the links
// between the nodes of package agent/mesh.
package link

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// HeartbeatPeriod is the time between two heartbeats on a connection.
	HeartbeatPeriod = time.Second
	// SilenceLimit is the time without received bytes after which a connection counts
	// as silent. It corresponds to three missed heartbeats.
	SilenceLimit = 3 * time.Second
	// SilentGracePeriod is the time for which a silent connection is kept open, since
	// late answers may still arrive.
	SilentGracePeriod = time.Second

	// minBackoff and maxBackoff bound the mean delay after a failed dial or a lost
	// connection; jitter makes the delay 0.5 to 1.5 times as long.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// A node starts at most maxDials dials in dialWindow, so that the loss of many peers
	// does not cause a reconnect storm.
	maxDials   = 10
	dialWindow = time.Second
	// tickPeriod is the time between two checks of all links.
	tickPeriod = 250 * time.Millisecond
)

// SessionID identifies a session within one node. Zero stands for no session.
type SessionID uint64

// Heartbeat holds the fields of a heartbeat message that this package uses. Sent is the
// time since the zero point of the sender's monotonic clock. EchoSent is a time on the
// clock of the peer that receives this heartbeat.
type Heartbeat struct {
	Sent     time.Duration // always positive
	EchoSent time.Duration // Sent of the latest heartbeat that the sender received from the peer; 0 if none
	EchoHeld time.Duration // time between the receipt of that heartbeat and the sending of this one
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	Dial          ActionKind = iota // open a connection to Peer
	CloseSession                    // close Session
	UseSession                      // send new calls to Peer on Session, or stop sending if Session is 0
	SendHeartbeat                   // send Heartbeat on Session
	ReportSilent                    // report that Session has become silent
)

// Action is an operation on a link that the node must execute.
type Action struct {
	Kind      ActionKind
	Peer      model.Member
	Session   SessionID
	Heartbeat Heartbeat
}

// Core holds the links and sessions of one node. It is not safe for concurrent use: the
// duty that owns it calls all methods from its thread.
type Core struct {
	rng            *rand.Rand
	start          time.Time // zero point of the monotonic clock used in heartbeats
	linkMachine    *chart.Machine[*peerLink]
	sessionMachine *chart.Machine[*session]
	links          map[model.Instance]*peerLink
	sessions       map[SessionID]*session
	recentDials    [maxDials]time.Time // ring buffer with the times of the latest dials
	dialCount      int
	actions        []Action
}

// New returns a core without links. start is the zero point of the monotonic clock that
// is used in heartbeats.
func New(rng *rand.Rand, start time.Time) *Core {
	return &Core{
		rng:            rng,
		start:          start,
		linkMachine:    newLinkMachine(),
		sessionMachine: newSessionMachine(),
		links:          make(map[model.Instance]*peerLink),
		sessions:       make(map[SessionID]*session),
	}
}

// Actions returns and clears the actions decided since the last call.
func (c *Core) Actions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// SetPeers sets the peers to which the node keeps links.
func (c *Core) SetPeers(now time.Time, members []model.Member) {
	wanted := make(map[model.Instance]bool, len(members))
	for _, m := range members {
		wanted[m.Instance] = true
		if p := c.links[m.Instance]; p != nil {
			p.member = m
			continue
		}
		c.links[m.Instance] = &peerLink{core: c, member: m, dialAt: now, backoff: minBackoff}
	}
	for instance, p := range c.links {
		if !wanted[instance] {
			p.step(now, eventPeerRemoved)
		}
	}
}

// OnConnected handles a successful dial to a peer and its new connection.
func (c *Core) OnConnected(now time.Time, instance model.Instance, id SessionID) {
	s := c.addSession(now, id)
	p := c.links[instance]
	if p == nil {
		s.step(now, eventRetired) // the peer was removed during the dial
		return
	}
	if old := c.sessions[p.currentSession]; old != nil {
		old.step(now, eventRetired)
	}
	s.link = p
	p.currentSession = id
	p.step(now, eventConnected)
}

// OnAccepted handles a connection that a peer opened.
func (c *Core) OnAccepted(now time.Time, id SessionID) { c.addSession(now, id) }

// OnDialFailed handles a failed dial.
func (c *Core) OnDialFailed(now time.Time, instance model.Instance) {
	if p := c.links[instance]; p != nil {
		p.step(now, eventDialFailed)
	}
}

// OnClosed handles the end of a connection.
func (c *Core) OnClosed(now time.Time, id SessionID) {
	if s := c.sessions[id]; s != nil {
		s.step(now, eventClosed)
	}
}

// OnTraffic handles the traffic on a connection. bytesReceived is the total number of
// bytes received so far; the connection counts as silent if it does not change. calls is
// the number of calls in progress on the connection; a draining connection is closed when
// there are none.
func (c *Core) OnTraffic(now time.Time, id SessionID, bytesReceived int64, calls int) {
	s := c.sessions[id]
	if s == nil {
		return
	}
	if bytesReceived != s.bytesReceived {
		s.bytesReceived = bytesReceived
		s.lastReceivedAt = now
		s.step(now, eventBytesReceived)
	}
	if calls == 0 {
		s.step(now, eventIdle)
	}
}

// OnHeartbeat handles a heartbeat that arrived on a connection.
func (c *Core) OnHeartbeat(now time.Time, id SessionID, h Heartbeat) {
	s := c.sessions[id]
	if s == nil {
		return
	}
	receivedAt := now.Sub(c.start)
	if h.EchoSent != 0 {
		s.offsetEstimator.observe(h.EchoSent, receivedAt, h.Sent, h.EchoHeld)
	}
	first := s.lastHeartbeat.Sent == 0
	s.lastHeartbeat = h
	s.lastHeartbeatAt = now
	if first {
		// Answering the first heartbeat immediately lets the peer estimate the clock
		// offset earlier.
		s.sendHeartbeat(now)
	}
}

// ClockOffset returns the clock offset of the peer on a connection, and false if it is
// not yet known.
func (c *Core) ClockOffset(now time.Time, id SessionID) (ClockOffset, bool) {
	s := c.sessions[id]
	if s == nil {
		return ClockOffset{}, false
	}
	return s.offsetEstimator.offset(now.Sub(c.start))
}

// OnPaused handles a pause of this process. It restarts the silence timer of every
// connection, since bytes may have arrived that the process has not read yet.
func (c *Core) OnPaused(now time.Time) {
	for _, s := range c.sessions {
		s.lastReceivedAt = now
	}
}

// Tick sends heartbeats, detects silent connections and dials the peers that are
// due. It returns the time of the next tick.
func (c *Core) Tick(now time.Time) time.Time {
	for _, s := range c.sessions {
		s.tick(now)
	}
	for _, p := range c.dueDials(now) {
		if !c.takeDialSlot(now) {
			break
		}
		p.step(now, eventDialDue)
	}
	return now.Add(tickPeriod)
}

// dueDials returns the links whose dial is due, in order of the due time.
func (c *Core) dueDials(now time.Time) []*peerLink {
	var due []*peerLink
	for _, p := range c.links {
		if c.linkMachine.StateName(p.state) == stateWaiting && !p.dialAt.After(now) {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b *peerLink) int {
		return cmp.Or(a.dialAt.Compare(b.dialAt), cmp.Compare(a.member.Instance, b.member.Instance))
	})
	return due
}

// takeDialSlot reports whether the rate limit allows another dial now, and counts the
// dial if so.
func (c *Core) takeDialSlot(now time.Time) bool {
	slot := &c.recentDials[c.dialCount%maxDials]
	if c.dialCount >= maxDials && now.Sub(*slot) < dialWindow {
		return false
	}
	*slot = now
	c.dialCount++
	return true
}

func (c *Core) addSession(now time.Time, id SessionID) *session {
	s := &session{core: c, id: id, lastReceivedAt: now, nextHeartbeatAt: now}
	c.sessions[id] = s
	return s
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }
