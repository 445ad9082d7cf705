// Package link decides when a node dials its peers, which connection to a
// peer is in use, and when a connection counts as silent.
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
	// SilenceLimit is the time without a received byte after which a
	// connection counts as silent: three lost heartbeats.
	SilenceLimit = 3 * time.Second
	// SilentGracePeriod is how long a silent connection is kept for late answers.
	SilentGracePeriod = time.Second

	// minBackoff and maxBackoff bound the time between two dials of a peer.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxDials in dialWindow bounds the dials of one node, so that the loss
	// of many peers causes no storm of reconnects.
	maxDials   = 10
	dialWindow = time.Second
	// tickPeriod is how often progress is looked at.
	tickPeriod = 250 * time.Millisecond
)

// SessionID identifies a connection within one node.
type SessionID uint64

// Heartbeat is the part of a heartbeat that the link policy uses. Times are
// on the sender's monotonic clock.
type Heartbeat struct {
	Sent     time.Duration // above zero
	EchoSent time.Duration // Sent of the latest heartbeat that the sender received; 0 for none
	EchoHeld time.Duration // time between its receipt and this heartbeat
}

// ActionKind tells what the node does for a link.
type ActionKind uint8

// Kinds of actions.
const (
	Dial          ActionKind = iota // open a connection to Peer
	CloseSession                    // close Session
	UseSession                      // send new calls to Peer on Session; none when Session is 0
	SendHeartbeat                   // send Heartbeat on Session
	ReportSilent                    // report that Session has become silent
)

// Action is what the node does for a link.
type Action struct {
	Kind      ActionKind
	Peer      model.Member
	Session   SessionID
	Heartbeat Heartbeat
}

// Core holds the links of one node. All methods run on one thread.
type Core struct {
	rng         *rand.Rand
	start       time.Time // zero of the monotonic clock in heartbeats
	linkMachine *chart.Machine[*peer]
	machine     *chart.Machine[*session]
	peers       map[model.Instance]*peer
	sessions    map[SessionID]*session
	dials       [maxDials]time.Time // ring of the latest dials
	dialCount   int
	out         []Action
}

// New returns a core without links. start is the zero of the clock in its
// heartbeats.
func New(rng *rand.Rand, start time.Time) *Core {
	return &Core{
		rng:         rng,
		start:       start,
		linkMachine: newPeerMachine(),
		machine:     newSessionMachine(),
		peers:       make(map[model.Instance]*peer),
		sessions:    make(map[SessionID]*session),
	}
}

// Actions returns the actions since the last call.
func (c *Core) Actions() []Action {
	out := c.out
	c.out = nil
	return out
}

// SetPeers sets the peers to which the node keeps links.
func (c *Core) SetPeers(now time.Time, members []model.Member) {
	wanted := make(map[model.Instance]bool, len(members))
	for _, m := range members {
		wanted[m.Instance] = true
		if p := c.peers[m.Instance]; p != nil {
			p.member = m
			continue
		}
		c.peers[m.Instance] = &peer{core: c, member: m, dialAt: now, backoff: minBackoff}
	}
	for i, p := range c.peers {
		if !wanted[i] {
			p.step(now, eventUnwanted)
		}
	}
}

// OnConnected reports a finished dial with its new connection.
func (c *Core) OnConnected(now time.Time, i model.Instance, id SessionID) {
	s := c.addSession(now, id)
	p := c.peers[i]
	if p == nil {
		s.step(now, eventReplaced)
		return
	}
	if old := c.sessions[p.current]; old != nil {
		old.step(now, eventReplaced)
	}
	s.peer = p
	p.current = id
	p.step(now, eventConnected)
}

// OnAccepted reports a connection that a peer opened.
func (c *Core) OnAccepted(now time.Time, id SessionID) { c.addSession(now, id) }

// OnDialFailed reports a dial that did not succeed.
func (c *Core) OnDialFailed(now time.Time, i model.Instance) {
	if p := c.peers[i]; p != nil {
		p.step(now, eventDialFailed)
	}
}

// OnClosed reports the end of a connection.
func (c *Core) OnClosed(now time.Time, id SessionID) {
	if s := c.sessions[id]; s != nil {
		s.step(now, eventClosed)
	}
}

// OnProgress reports the bytes received so far and the calls in progress on
// a connection.
func (c *Core) OnProgress(now time.Time, id SessionID, received int64, calls int) {
	s := c.sessions[id]
	if s == nil {
		return
	}
	if received != s.received {
		s.received = received
		s.progressAt = now
		s.step(now, eventProgress)
	}
	if calls == 0 {
		s.step(now, eventIdle)
	}
}

// OnHeartbeat takes a heartbeat that arrived on a connection.
func (c *Core) OnHeartbeat(now time.Time, id SessionID, h Heartbeat) {
	s := c.sessions[id]
	if s == nil {
		return
	}
	received := now.Sub(c.start)
	if h.EchoSent != 0 {
		s.clock.observe(h.EchoSent, received, h.Sent, h.EchoHeld)
	}
	first := s.heard.Sent == 0
	s.heard = h
	s.heardAt = now
	if first {
		// The peer knows the offset sooner when its first heartbeat is
		// answered at once.
		s.beat(now)
	}
}

// Offset returns the clock offset of the peer on a connection, and false when
// it is not known yet.
func (c *Core) Offset(now time.Time, id SessionID) (Offset, bool) {
	s := c.sessions[id]
	if s == nil {
		return Offset{}, false
	}
	return s.clock.offset(now.Sub(c.start))
}

// OnPaused gives every connection a new start of its silence: bytes may have
// arrived while the process could not look.
func (c *Core) OnPaused(now time.Time) {
	for _, s := range c.sessions {
		s.progressAt = now
	}
}

// Tick sends heartbeats, finds silent connections and dials the peers that
// are due. It returns the time of the next tick.
func (c *Core) Tick(now time.Time) time.Time {
	for _, s := range c.sessions {
		s.tick(now)
	}
	for _, p := range c.due(now) {
		if !c.mayDial(now) {
			break
		}
		p.step(now, eventDialDue)
	}
	return now.Add(tickPeriod)
}

// due returns the peers whose dial is due, the longest waiting first.
func (c *Core) due(now time.Time) []*peer {
	var out []*peer
	for _, p := range c.peers {
		if c.linkMachine.StateName(p.state) == stateWaiting && !p.dialAt.After(now) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *peer) int {
		return cmp.Or(a.dialAt.Compare(b.dialAt), cmp.Compare(a.member.Instance, b.member.Instance))
	})
	return out
}

// mayDial counts a dial and reports whether it stays within the bound.
func (c *Core) mayDial(now time.Time) bool {
	slot := &c.dials[c.dialCount%maxDials]
	if c.dialCount >= maxDials && now.Sub(*slot) < dialWindow {
		return false
	}
	*slot = now
	c.dialCount++
	return true
}

func (c *Core) addSession(now time.Time, id SessionID) *session {
	s := &session{core: c, id: id, progressAt: now, beatAt: now}
	c.sessions[id] = s
	return s
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }
