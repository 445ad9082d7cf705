// Package membership decides when a node announces itself, which peers it
// holds for alive, when it reports one as suspect or removes it, and whether
// the node has contact.
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
	// appendRetry separates attempts to append an own record that was not
	// taken.
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
	AppendRecord      ActionKind = iota // append Record to the member stream of its service
	SetAvoided                          // Avoided tells whether Peer gets no new calls
	RequestProbe                        // ask To to probe Peer, with Probe as id
	ProbePeer                           // dial Peer for To and answer with Probe as id
	AnswerProbe                         // tell To that the probe with id Probe has reached Peer or not (Reached)
	ReportSuspect                       // report Peer as suspect to the other nodes
	RetractReport                       // take the report on Peer back
	RefuteReport                        // tell To that this node hears Peer
	ChangeIncarnation                   // this node goes on as Peer, with a new incarnation
	UpdateContact                       // contact lasts until ContactUntil
)

// Action is what the node does for its membership.
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
	self    model.Member
	rng     *rand.Rand
	own     ownMember
	machine *chart.Machine[*peer]
	peers   map[model.Instance]*peer
	probes  map[uint64]*probe
	pauseAt time.Time // end of the latest pause
	out     []Action

	configured []model.Zone // zones that the configuration places in this region
	until      time.Time    // end of contact, as last told to the other duties
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

// HasLeft reports whether this node has left the members of its service.
func (c *Core) HasLeft() bool { return c.own.settled() }

// OnTargetUp reports that the node's target answers.
func (c *Core) OnTargetUp(now time.Time) { c.own.step(now, eventTargetUp) }

// OnLeave starts the leave of this node.
func (c *Core) OnLeave(now time.Time) { c.own.step(now, eventLeave) }

// OnAppended reports that the log holds a record, or that it was not taken.
func (c *Core) OnAppended(now time.Time, r *model.MemberRecord, ok bool) {
	if r.Member.NodeID == c.self.NodeID {
		c.own.onAppended(now, r.Leave, ok)
		return
	}
	if p := c.peers[r.Member.Instance]; p != nil {
		p.appending = false
		p.appendAt = now
	}
}

// OnSnapshot takes the members of the log and of the quorum groups.
func (c *Core) OnSnapshot(now time.Time, s *model.Snapshot) {
	c.configured = zonesOf(s, c.self.Region)
	listed := members(s)
	own, ok := listed[c.self.Instance]
	c.own.onListed(now, ok && own.NodeID == c.self.NodeID)
	known := scope(s, listed)
	delete(known, c.self.Instance)
	for i, m := range known {
		c.list(now, i, m)
		c.peers[i].listed = listed[i].NodeID == m.NodeID
	}
	for i, p := range c.peers {
		if _, ok := known[i]; !ok {
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

// members lists the members of the followed services.
func members(s *model.Snapshot) map[model.Instance]model.Member {
	out := make(map[model.Instance]model.Member)
	for _, members := range s.Members {
		for _, m := range members {
			out[m.Instance] = m
		}
	}
	return out
}

// scope adds the members of the newest quorum groups, which may serve other
// services or have been removed.
func scope(s *model.Snapshot, listed map[model.Instance]model.Member) map[model.Instance]model.Member {
	out := maps.Clone(listed)
	for _, epochs := range s.Groups {
		for _, m := range epochs[len(epochs)-1].Members {
			if _, ok := listed[m.Instance]; !ok {
				out[m.Instance] = m
			}
		}
	}
	return out
}

// OnHeartbeat takes a heartbeat that the peer sent at the time at, on this node's
// clock. It answers the heartbeat that this node sent at the time echoed; zero
// for none.
func (c *Core) OnHeartbeat(now, at, echoed time.Time, from model.Member) {
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
	p.echoedAt = later(p.echoedAt, c.afterPause(echoed))
	p.directAt = later(p.directAt, c.afterPause(at))
	p.step(now, eventHeard)
}

// OnGoodbye takes a peer's announcement that it leaves.
func (c *Core) OnGoodbye(now time.Time, i model.Instance) {
	if p := c.peers[i]; p != nil {
		p.step(now, eventGoodbye)
	}
}

// OnPaused drops what others may have changed while the process was paused.
func (c *Core) OnPaused(now time.Time) {
	c.pauseAt = now
	for _, p := range c.peers {
		p.heardAt = now
		p.echoedAt = time.Time{}
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
