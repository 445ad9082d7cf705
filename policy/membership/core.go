// Package membership decides when a node joins and leaves the members of its
// service, which peers it considers alive, when it reports a peer as suspect or
// removes it, and whether the node has contact: recent heartbeat round trips
// with nodes in a majority of its region's availability zones.
package membership

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// silenceLimit is the time without a heartbeat after which a peer gets no
	// new calls: three lost heartbeats, sent once a second.
	silenceLimit = 3 * time.Second
	// probeTimeout bounds the wait for the answers to indirect probes. It
	// exceeds the 2 s in which a dial ends.
	probeTimeout = 2500 * time.Millisecond
	// probeInterval separates rounds of indirect probes for one peer.
	probeInterval = 5 * time.Second
	// reportInterval separates repeats of a suspicion report, so that one may
	// be lost; reportLifetime is how long a report counts.
	reportInterval = 4 * time.Second
	reportLifetime = 10 * time.Second
	// removalDelay is the time from suspicion to removal from the members.
	removalDelay = 30 * time.Second
	// rankDelay separates the removers by rank, so that usually only the first
	// one appends. A remover also waits as long after its append has ended before
	// it tries again.
	rankDelay = 5 * time.Second
	// appendRetryDelay is the delay before a failed append of this node's own
	// record is repeated.
	appendRetryDelay = time.Second
	// probeHelpers is the number of peers asked to probe a silent peer.
	probeHelpers = 2
	// minRemovalZones is the number of availability zones in which nodes must
	// suspect a peer before it is removed.
	minRemovalZones = 2
	// tickInterval is how often timers and contact are checked.
	tickInterval = 250 * time.Millisecond
)

// ActionKind is the kind of an action.
type ActionKind uint8

// Kinds of actions.
const (
	AppendRecord      ActionKind = iota // append Record to the member stream of its service
	SetAvoided                          // when Avoided is set, stop sending new calls to Peer; otherwise resume
	RequestProbe                        // ask To to probe Peer, with ProbeID
	ProbePeer                           // dial Peer on behalf of To and send To the result, with ProbeID
	AnswerProbe                         // tell To whether the probe ProbeID reached Peer (Reached)
	ReportSuspect                       // report Peer as suspect to the other nodes
	RetractReport                       // retract the report on Peer
	RefuteReport                        // tell To that this node hears Peer
	ChangeIncarnation                   // Peer is this node with its new incarnation; continue under it
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

// Core holds the membership of one node. All methods run on one thread.
type Core struct {
	self        model.Member
	rng         *rand.Rand
	own         ownEntry
	machine     *chart.Machine[*peer]
	peers       map[model.Instance]*peer
	probeRounds map[uint64]*probeRound
	resumedAt   time.Time // end of the latest pause
	out         []Action

	configuredZones []model.Zone // zones that the configuration places in this region
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
	c.own = newOwnEntry(c)
	return c
}

// Actions returns the actions since the last call.
func (c *Core) Actions() []Action {
	out := c.out
	c.out = nil
	return out
}

// Self returns this node's member entry with its current incarnation.
func (c *Core) Self() model.Member { return c.self }

// HasLeft reports whether this node has left the members of its service.
func (c *Core) HasLeft() bool { return c.own.hasLeft() }

// OnTargetUp reports that the node's target answers.
func (c *Core) OnTargetUp(now time.Time) { c.own.step(now, eventTargetUp) }

// OnLeave starts the leave of this node.
func (c *Core) OnLeave(now time.Time) { c.own.step(now, eventLeaveRequested) }

// OnAppended reports that the log holds a record, or that its append failed.
func (c *Core) OnAppended(now time.Time, r *model.MemberRecord, ok bool) {
	if r.Member.NodeID == c.self.NodeID {
		c.own.onAppended(now, r.Leave, ok)
		return
	}
	if p := c.peers[r.Member.Instance]; p != nil {
		p.leavePending = false
		p.leaveAppendEndedAt = now
	}
}

// OnSnapshot updates the peers to the members in the log and in the quorum
// groups.
func (c *Core) OnSnapshot(now time.Time, s *model.Snapshot) {
	c.configuredZones = zonesOfRegion(s, c.self.Region)
	listed := listedMembers(s)
	own, ok := listed[c.self.Instance]
	c.own.onListed(now, ok && own.NodeID == c.self.NodeID)
	inScope := withGroupMembers(s, listed)
	delete(inScope, c.self.Instance)
	for i, m := range inScope {
		c.addPeer(now, i, m)
		c.peers[i].listed = listed[i].NodeID == m.NodeID
	}
	for i, p := range c.peers {
		if _, ok := inScope[i]; !ok {
			p.step(now, eventUnlisted)
		}
	}
}

// addPeer adds a peer, or replaces it when its incarnation is new.
func (c *Core) addPeer(now time.Time, instance model.Instance, listed model.Member) {
	p := c.peers[instance]
	if p != nil && p.member.NodeID == listed.NodeID {
		p.member = listed
		return
	}
	if p != nil {
		// A new incarnation: what is known about the old one does not apply.
		p.step(now, eventUnlisted)
	}
	c.peers[instance] = &peer{core: c, member: listed, silenceCountsFrom: now, reportsByNode: make(map[model.Instance]suspicionReport)}
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

// withGroupMembers adds the members of the newest quorum group compositions,
// which may serve other services or have been removed from theirs.
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

// OnHeartbeat handles a heartbeat that a peer sent at sentAt. The heartbeat
// echoes the one that this node sent at echoedSentAt; zero for none. Both times
// are on this node's clock; the links duty estimates sentAt from the clock offset.
func (c *Core) OnHeartbeat(now, sentAt, echoedSentAt time.Time, from model.Member) {
	p := c.peers[from.Instance]
	if p == nil {
		return
	}
	if sentAt.After(p.silenceCountsFrom) {
		p.silenceCountsFrom = sentAt
	}
	if now.Sub(sentAt) >= silenceLimit {
		return
	}
	p.echoedSentAt = later(p.echoedSentAt, c.zeroBeforePause(echoedSentAt))
	p.lastHeartbeatAt = later(p.lastHeartbeatAt, c.zeroBeforePause(sentAt))
	p.step(now, eventHeartbeat)
}

// OnGoodbye handles a peer's announcement that it leaves.
func (c *Core) OnGoodbye(now time.Time, instance model.Instance) {
	if p := c.peers[instance]; p != nil {
		p.step(now, eventGoodbye)
	}
}

// OnPaused drops the state that may be outdated because the process was
// paused.
func (c *Core) OnPaused(now time.Time) {
	c.resumedAt = now
	for _, p := range c.peers {
		p.silenceCountsFrom = now
		p.echoedSentAt = time.Time{}
		p.lastHeartbeatAt = time.Time{}
		clear(p.reportsByNode)
	}
	clear(c.probeRounds)
	c.updateContact(now)
}

// Tick runs timers and returns the time of the next tick.
func (c *Core) Tick(now time.Time) time.Time {
	c.own.tick(now)
	for _, p := range c.peers {
		p.tick(now)
	}
	c.expireProbeRounds(now)
	c.updateContact(now)
	return now.Add(tickInterval)
}

// zeroBeforePause returns t, or zero when t is before the end of the latest
// pause: a message that was sent before then may be outdated.
func (c *Core) zeroBeforePause(t time.Time) time.Time {
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

func (c *Core) emit(a Action) { c.out = append(c.out, a) }
