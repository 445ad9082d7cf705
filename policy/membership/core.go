// Package membership decides when a node announces itself, which peers it
// holds for alive, when it reports one as suspect or removes it, and whether
// the node has contact.
package membership

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// silenceLimit is the time without a heartbeat after which a peer gets no
	// new calls: three lost heartbeats.
	silenceLimit = 3 * time.Second
	// probeTimeout bounds the wait for the answers to indirect probes. It
	// exceeds the 2 s in which a dial ends.
	probeTimeout = 2500 * time.Millisecond
	// probePeriod separates rounds of probes for one peer.
	probePeriod = 5 * time.Second
	// reportPeriod separates repeats of a report, so that one may be lost;
	// reportLife is how long a report counts.
	reportPeriod = 4 * time.Second
	reportLife   = 10 * time.Second
	// removalDelay is the time from suspicion to removal from the members.
	removalDelay = 30 * time.Second
	// rankDelay separates the removers by rank, so that one append is enough.
	rankDelay = 5 * time.Second
	// appendRetry separates attempts to append an own record.
	appendRetry = time.Second
	// probers is the number of peers asked to probe.
	probers = 2
	// removalZones is the number of availability zones that must agree.
	removalZones = 2
	// tickPeriod is how often silence and contact are looked at.
	tickPeriod = 250 * time.Millisecond
)

// ActionKind tells what the node does.
type ActionKind uint8

// Kinds of actions.
const (
	Append  ActionKind = iota // append Record to the member stream of its service
	Avoid                     // Avoided tells whether Peer gets no new calls
	Ask                       // ask To to probe Peer, with Probe as id
	Reach                     // dial Peer for To and answer with Probe as id
	Answer                    // tell To that the probe with id Probe has reached Peer or not (Reached)
	Report                    // report Peer as suspect to the other nodes
	Lift                      // take the report on Peer back
	Refute                    // tell To that this node hears Peer
	Renamed                   // this node goes on as Peer, with a new incarnation
	Contact                   // contact lasts until Until; FirstHand is what peers may rely on
)

// Action is what the node does for its membership.
type Action struct {
	Kind      ActionKind
	Peer      model.Member
	To        model.Instance
	Probe     uint64
	Reached   bool
	Avoided   bool
	Record    *model.MemberRecord
	Until     time.Time
	FirstHand time.Time
}

// Core holds the membership of one node. All methods run on one thread.
type Core struct {
	self    model.Member
	rng     *rand.Rand
	own     ownMember
	machine *chart.Machine[*peer]
	peers   map[model.Instance]*peer
	probes  map[uint64]*probe
	contact contactState
	pauseAt time.Time // end of the latest pause
	out     []Action
}

// New returns a core that knows no peers.
func New(self model.Member, rng *rand.Rand) *Core {
	c := &Core{
		self:    self,
		rng:     rng,
		machine: newPeerMachine(),
		peers:   make(map[model.Instance]*peer),
		probes:  make(map[uint64]*probe),
	}
	c.own = newOwnMember(c)
	return c
}

// Actions returns the actions since the last call.
func (c *Core) Actions() []Action {
	out := c.out
	c.out = nil
	return out
}

// Self returns the member as which this node speaks now.
func (c *Core) Self() model.Member { return c.self }

// Settled reports whether this node has left the members of its service.
func (c *Core) Settled() bool { return c.own.settled() }

// OnTargetUp reports that the node's target answers.
func (c *Core) OnTargetUp(now time.Time) { c.own.step(now, eventTargetUp) }

// OnLeave starts the leave of this node.
func (c *Core) OnLeave(now time.Time) { c.own.step(now, eventLeave) }

// OnAppended reports the end of the append of an own record.
func (c *Core) OnAppended(now time.Time, r *model.MemberRecord, ok bool) {
	if ok && r.Leave && r.Member.NodeID == c.self.NodeID {
		c.own.step(now, eventLeaveDone)
	}
}

// OnSnapshot takes the members of the log and of the quorum groups.
func (c *Core) OnSnapshot(now time.Time, s *model.Snapshot) {
	listed := scope(s)
	own, ok := listed[c.self.Instance]
	c.own.onListed(now, ok && own.NodeID == c.self.NodeID)
	delete(listed, c.self.Instance)
	for i, m := range listed {
		c.list(now, i, m)
	}
	for i, p := range c.peers {
		if _, ok := listed[i]; !ok {
			p.step(now, eventUnlisted)
		}
	}
}

// list adds a peer or takes its new incarnation.
func (c *Core) list(now time.Time, i model.Instance, m model.Member) {
	p := c.peers[i]
	if p != nil && p.member.NodeID == m.NodeID {
		p.member = m
		return
	}
	if p != nil {
		// Another life of the instance: what was held of the last one is void.
		p.step(now, eventUnlisted)
	}
	c.peers[i] = &peer{core: c, member: m, heardAt: now, reports: make(map[model.Instance]report)}
}

// scope lists the members of the followed services and of the newest quorum
// groups.
func scope(s *model.Snapshot) map[model.Instance]model.Member {
	out := make(map[model.Instance]model.Member)
	for _, epochs := range s.Groups {
		for _, m := range epochs[len(epochs)-1].Members {
			out[m.Instance] = m
		}
	}
	for _, members := range s.Members {
		for _, m := range members {
			out[m.Instance] = m
		}
	}
	return out
}

// OnHeard takes a heartbeat that the peer sent at the time at, on this node's
// clock. contactAge is the peer's age of contact at first hand; negative for
// none.
func (c *Core) OnHeard(now, at time.Time, from model.Member, contactAge time.Duration) {
	p := c.peers[from.Instance]
	if p == nil {
		return
	}
	if at.After(p.heardAt) {
		p.heardAt = at
	}
	if now.Sub(at) >= silenceLimit {
		return
	}
	if contactAge >= 0 {
		p.contactAt = later(p.contactAt, c.afterPause(at.Add(-contactAge)))
	}
	p.directAt = later(p.directAt, c.afterPause(at))
	p.step(now, eventHeard)
}

// OnGoodbye takes a peer's announcement that it leaves.
func (c *Core) OnGoodbye(now time.Time, i model.Instance) {
	if p := c.peers[i]; p != nil {
		p.step(now, eventGoodbye)
	}
}

// OnLogRead reports a successful read of the configuration that was begun at
// the time begun, and how long the log keeps records.
func (c *Core) OnLogRead(now, begun time.Time, retention time.Duration) {
	c.contact.logReadAt = later(c.contact.logReadAt, c.afterPause(begun))
	c.own.retention = retention
	c.judgeContact(now)
}

// OnPaused drops what others may have changed while the process was paused.
func (c *Core) OnPaused(now time.Time) {
	c.pauseAt = now
	c.contact.logReadAt = time.Time{}
	for _, p := range c.peers {
		p.heardAt = now
		p.contactAt = time.Time{}
		p.directAt = time.Time{}
		clear(p.reports)
	}
	clear(c.probes)
	c.judgeContact(now)
}

// Tick runs timers and returns the time of the next tick.
func (c *Core) Tick(now time.Time) time.Time {
	c.own.tick(now)
	for _, p := range c.peers {
		p.tick(now)
	}
	c.expireProbes(now)
	c.judgeContact(now)
	return now.Add(tickPeriod)
}

// afterPause returns t, or zero when t lies before the end of the latest
// pause: what was sent before then may have been overtaken.
func (c *Core) afterPause(t time.Time) time.Time {
	if t.Before(c.pauseAt) {
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
