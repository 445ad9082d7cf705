package quorum

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// notWatching is the order of a node that does not watch the group.
const notWatching = -1

// group is one quorum group as this node sees it.
type group struct {
	core  *Composer
	key   model.GroupKey
	state chart.StateID
	now   time.Time
	due   time.Time
	since time.Time // start of the observation

	current    *model.GroupRecord // nil when there is no composition
	candidates []model.Member     // best rank first
	order      int                // place among the nodes that watch the group

	seen     map[model.NodeID]sighting // members by voter
	live     map[model.Instance]model.NodeID
	seals    map[model.NodeID]seal
	unfitAt  time.Time // since when the group is unfit; zero when it is fit
	betterAt time.Time // since when a better composition is possible
	lostAt   time.Time // since when a majority is lost
}

// seal is what a sealed member answered.
type seal struct {
	time      time.Time
	remaining time.Duration // of the lease that it has promised
}

// sighting is the latest answer of a member.
type sighting struct {
	at       time.Time
	standing VoterStatus
}

func (g *group) step(now time.Time, e chart.EventID) {
	g.now = now
	g.state = g.core.machine.Step(g, g.state, e)
}

func (g *group) epoch() uint64 {
	if g.current == nil {
		return 0
	}
	return g.current.Epoch
}

func (g *group) members() []model.Member {
	if g.current == nil {
		return nil
	}
	return g.current.Members
}

// place returns this node's place among those that watch the group: members
// first, then the best ranks outside it. Before a first composition every
// node watches by its rank.
func (g *group) place(latest *model.GroupRecord) int {
	self := g.core.self.Instance
	place := 0
	if latest != nil {
		for i, m := range latest.Members {
			if m.Instance == self {
				return i
			}
		}
		place = len(latest.Members)
	}
	for _, m := range g.candidates {
		if latest != nil && contains(latest.Members, m.Instance) {
			continue
		}
		if m.Instance == self {
			return place
		}
		place++
		if latest != nil && place >= len(latest.Members)+watchers {
			return notWatching
		}
	}
	return notWatching
}

func (g *group) reset() {
	g.since = g.now
	g.seen = make(map[model.NodeID]sighting)
	g.live = make(map[model.Instance]model.NodeID)
	g.seals = make(map[model.NodeID]seal)
	g.unfitAt, g.betterAt, g.lostAt = time.Time{}, time.Time{}, time.Time{}
	g.due = g.now
}

func (g *group) observe(now time.Time, b Ballot, s VoterStatus, voter model.NodeID) {
	g.live[voter.Instance] = voter
	if b.Epoch == g.epoch() && s != VoterUninformed {
		g.seen[b.Voter] = sighting{at: now, standing: s}
	}
}

// unfit decides whether this node composes the group now.
func (g *group) unfit() bool {
	if g.order == notWatching || g.now.Sub(g.core.votes.LogContact()) > contactFresh {
		return false
	}
	delay := time.Duration(min(g.order, maxRank)) * rankDelay
	if g.current == nil {
		return g.now.Sub(g.since) >= firstDelay+delay
	}
	mark(&g.unfitAt, g.now, g.memberLost())
	mark(&g.betterAt, g.now, g.betterPossible())
	if !g.unfitAt.IsZero() && g.now.Sub(g.unfitAt) >= delay {
		return true
	}
	return !g.betterAt.IsZero() && g.now.Sub(g.betterAt) >= settleTime+delay
}

// mark keeps the time since which a condition holds.
func mark(at *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*at = time.Time{}
	case at.IsZero():
		*at = now
	}
}

func (g *group) memberLost() bool {
	for _, m := range g.members() {
		if g.lost(m) {
			return true
		}
	}
	return false
}

// lost reports whether a member votes no more: it said so, or is silent. A
// sealed member counts, since the node that sealed it may have ended before
// it appended the next composition.
func (g *group) lost(m model.Member) bool {
	s, ok := g.seen[m.NodeID]
	if !ok {
		return g.now.Sub(g.since) > lostAfter
	}
	return s.standing != VoterActive || g.now.Sub(s.at) > lostAfter
}

// betterPossible reports whether nodes that answer would make the group
// larger or spread it over more availability zones.
func (g *group) betterPossible() bool {
	size, zones := spread(g.members())
	newSize, newZones := spread(choose(g.members(), g.liveCandidates()))
	return newSize > size || newZones > zones
}

func (g *group) liveCandidates() []model.Member {
	var out []model.Member
	for _, m := range g.candidates {
		if voter, ok := g.live[m.Instance]; ok {
			m.NodeID = voter
			out = append(out, m)
		}
	}
	return out
}

func (g *group) survivors() []model.Member {
	var out []model.Member
	for _, m := range g.members() {
		if g.live[m.Instance] == m.NodeID && !g.silent(m) {
			out = append(out, m)
		}
	}
	return out
}

func (g *group) silent(m model.Member) bool {
	s, ok := g.seen[m.NodeID]
	return !ok || g.now.Sub(s.at) > lostAfter
}
