// Package membership decides when a node joins and leaves its service, which peers
// it considers alive, and when it reports a peer as suspect or removes it. It also
// decides whether the node has contact, that is, recent heartbeat round trips with
// nodes in a majority of its region's availability zones.
package membership

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// silenceLimit is the time without a heartbeat after which a peer counts as
	// silent and gets no new calls. Heartbeats are sent once a second, so that
	// three are missing by then.
	silenceLimit = 3 * time.Second
	// probeTimeout limits the wait for answers to indirect probes. It is longer
	// than the dial timeout of 2 s.
	probeTimeout = 2500 * time.Millisecond
	// probeInterval is the time between rounds of indirect probes of a peer.
	probeInterval = 5 * time.Second
	// reportInterval is the time after which a suspicion report is repeated, and
	// reportLifetime is how long a report is valid, so that one repeat may be lost.
	reportInterval = 4 * time.Second
	reportLifetime = 10 * time.Second
	// removalDelay is the minimum time from the suspicion of a peer to its removal
	// from the members.
	removalDelay = 30 * time.Second
	// removerRankDelay is the additional delay of a remover per rank, so that
	// usually only the first one appends a leave record. A remover also waits this
	// long after an append has ended before it appends again.
	removerRankDelay = 5 * time.Second
	// appendRetryDelay is the delay before a failed append of this node's own join
	// or leave record is repeated.
	appendRetryDelay = time.Second
	// probeHelpers is the number of peers asked to probe a silent peer.
	probeHelpers = 2
	// minRemovalZones is the number of availability zones in which nodes must
	// suspect a peer before it is removed.
	minRemovalZones = 2
	// tickInterval is the interval at which timers and contact are checked.
	tickInterval = 250 * time.Millisecond
)

// ActionKind is the kind of an action.
type ActionKind uint8

// Kinds of actions.
const (
	AppendRecord      ActionKind = iota // append Record to the member stream of its service
	SetAvoided                          // stop sending new calls to Peer, or resume if Avoided is false
	RequestProbe                        // ask To to probe Peer, with ProbeID
	ProbePeer                           // dial Peer for To and send the result to To, with ProbeID
	AnswerProbe                         // send the result (Reached) of the probe ProbeID of Peer to To
	ReportSuspect                       // report Peer as suspect to the other nodes
	RetractReport                       // retract the report on Peer
	RefuteReport                        // tell To that this node receives heartbeats from Peer
	ChangeIncarnation                   // use the new incarnation of this node that Peer holds
	UpdateContact                       // contact lasts until ContactUntil
)

// Action is work that the core requests from its duty.
type Action struct {
	Kind         ActionKind
	Peer         model.Member
	To           model.Instance
	ProbeID      uint64
	Reached      bool
	Avoided      bool
	Record       *model.MemberRecord
	ContactUntil time.Time
}

// Core holds the membership state of one node. It is not safe for concurrent use:
// the duty that owns it calls all methods on its thread.
type Core struct {
	self           model.Member
	rng            *rand.Rand
	selfEntry      selfEntry
	machine        *chart.Machine[*peer]
	peers          map[model.Instance]*peer
	probeRounds    map[uint64]*probeRound
	resumedAt      time.Time // end of the latest pause of the process
	pendingActions []Action

	configuredZones []model.Zone // zones of this node's region in the configuration
	contactUntil    time.Time    // end of contact, as last reported to the other duties
}

// New returns a core that knows no peers.
func New(self model.Member, rng *rand.Rand) *Core {
	c := &Core{
		self:        self,
		rng:         rng,
		machine:     newPeerMachine(),
		peers:       make(map[model.Instance]*peer),
		probeRounds: make(map[uint64]*probeRound),
	}
	c.selfEntry = newSelfEntry(c)
	return c
}

// Actions returns the actions since the last call.
func (c *Core) Actions() []Action {
	out := c.pendingActions
	c.pendingActions = nil
	return out
}

// Self returns this node's member entry with its current incarnation.
func (c *Core) Self() model.Member { return c.self }

// HasLeft reports whether this node has left the members of its service.
func (c *Core) HasLeft() bool { return c.selfEntry.hasLeft() }

// OnTargetUp handles the report that the node's target answers.
func (c *Core) OnTargetUp(now time.Time) { c.selfEntry.step(now, eventTargetUp) }

// OnLeave handles the request that this node leave its service.
func (c *Core) OnLeave(now time.Time) { c.selfEntry.step(now, eventLeaveRequested) }

// OnAppended handles the result of an append: the log holds the record, or the
// append failed.
func (c *Core) OnAppended(now time.Time, r *model.MemberRecord, ok bool) {
	if r.Member.NodeID == c.self.NodeID {
		c.selfEntry.onAppended(now, r.Leave, ok)
		return
	}
	if p := c.peers[r.Member.Instance]; p != nil {
		p.leavePending = false
		p.leaveAppendEndedAt = now
	}
}

// OnSnapshot updates the peers to the members that the log and the quorum groups
// list.
func (c *Core) OnSnapshot(now time.Time, s *model.Snapshot) {
	c.configuredZones = zonesOfRegion(s, c.self.Region)
	listed := listedMembers(s)
	own, ok := listed[c.self.Instance]
	c.selfEntry.onListed(now, ok && own.NodeID == c.self.NodeID)
	peerMembers := withGroupMembers(s, listed)
	delete(peerMembers, c.self.Instance)
	for i, m := range peerMembers {
		c.addPeer(now, i, m)
		c.peers[i].listed = listed[i].NodeID == m.NodeID
	}
	for i, p := range c.peers {
		if _, ok := peerMembers[i]; !ok {
			p.step(now, eventUnlisted)
		}
	}
}

// addPeer adds a peer, or replaces it when its incarnation is new.
func (c *Core) addPeer(now time.Time, instance model.Instance, m model.Member) {
	p := c.peers[instance]
	if p != nil && p.member.NodeID == m.NodeID {
		p.member = m
		return
	}
	if p != nil {
		// The state of the old incarnation does not apply to the new one.
		p.step(now, eventUnlisted)
	}
	c.peers[instance] = &peer{core: c, member: m, assumedAliveAt: now, reportsByNode: make(map[model.Instance]suspicionReport)}
}

// listedMembers returns the members of the followed services.
func listedMembers(s *model.Snapshot) map[model.Instance]model.Member {
	out := make(map[model.Instance]model.Member)
	for _, members := range s.Members {
		for _, m := range members {
			out[m.Instance] = m
		}
	}
	return out
}

// withGroupMembers adds the members of the newest composition of each quorum group.
// They may belong to services that this node does not follow, or may have been
// removed from theirs.
func withGroupMembers(s *model.Snapshot, listed map[model.Instance]model.Member) map[model.Instance]model.Member {
	out := maps.Clone(listed)
	for _, compositions := range s.Groups {
		for _, m := range compositions[len(compositions)-1].Members {
			if _, ok := listed[m.Instance]; !ok {
				out[m.Instance] = m
			}
		}
	}
	return out
}

// OnHeartbeat handles a heartbeat that a peer sent at sentAt. It echoes the
// heartbeat that this node sent at echoedSentAt, which is zero if there is none.
// Both times are on this node's clock. The links duty estimates sentAt from the
// clock offset.
func (c *Core) OnHeartbeat(now, sentAt, echoedSentAt time.Time, from model.Member) {
	p := c.peers[from.Instance]
	if p == nil {
		return
	}
	if sentAt.After(p.assumedAliveAt) {
		p.assumedAliveAt = sentAt
	}
	if now.Sub(sentAt) >= silenceLimit {
		return
	}
	p.echoedSentAt = later(p.echoedSentAt, c.zeroIfBeforePause(echoedSentAt))
	p.lastHeartbeatAt = later(p.lastHeartbeatAt, c.zeroIfBeforePause(sentAt))
	p.step(now, eventHeartbeat)
}

// OnGoodbye handles a peer's announcement that it is leaving.
func (c *Core) OnGoodbye(now time.Time, instance model.Instance) {
	if p := c.peers[instance]; p != nil {
		p.step(now, eventGoodbye)
	}
}

// OnPaused handles a pause of the process that ended at now. It discards the state
// that may be out of date since then.
func (c *Core) OnPaused(now time.Time) {
	c.resumedAt = now
	for _, p := range c.peers {
		p.assumedAliveAt = now
		p.echoedSentAt = time.Time{}
		p.lastHeartbeatAt = time.Time{}
		clear(p.reportsByNode)
	}
	clear(c.probeRounds)
	c.updateContact(now)
}

// Tick handles the timers that are due and returns when it must be called again.
func (c *Core) Tick(now time.Time) time.Time {
	c.selfEntry.tick(now)
	for _, p := range c.peers {
		p.tick(now)
	}
	c.expireProbeRounds(now)
	c.updateContact(now)
	return now.Add(tickInterval)
}

// zeroIfBeforePause returns t, or the zero time if t is before the end of the
// latest pause. A message that was sent before then may be out of date.
func (c *Core) zeroIfBeforePause(t time.Time) time.Time {
	if t.Before(c.resumedAt) {
		return time.Time{}
	}
	return t
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (c *Core) emit(a Action) { c.pendingActions = append(c.pendingActions, a) }
