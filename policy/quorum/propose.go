package quorum

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// probe asks the members for their standing. Candidates are asked as well
// while the group is smaller or less spread than it could be.
func (g *group) probe() {
	g.due = g.now.Add(probeInterval)
	if g.order == notWatching || g.current == nil {
		g.due = g.now.Add(rankDelay)
		return
	}
	g.probeMembers()
	if size, zones := spread(g.members()); size < GroupSize || zones < GroupSize {
		g.askCandidates()
	}
}

func (g *group) probeMembers() {
	for _, m := range g.members() {
		g.core.Send(m.Instance, &ProbeRequest{Ballot: g.ballot(m)})
	}
}

// ask starts a composition: members are sealed, candidates are asked whether
// they live.
func (g *group) ask() {
	g.due = g.now.Add(askTimeout)
	g.seals = make(map[model.NodeID]time.Time)
	g.live = make(map[model.Instance]model.NodeID)
	for _, m := range g.members() {
		g.core.Send(m.Instance, &SealRequest{Ballot: g.ballot(m), Time: g.now})
	}
	g.askCandidates()
}

func (g *group) askCandidates() {
	for i, m := range g.candidates {
		if i == askedCandidates {
			return
		}
		g.core.Send(m.Instance, &ProbeRequest{Ballot: Ballot{Key: g.key, Epoch: g.epoch()}})
	}
}

func (g *group) ballot(m model.Member) Ballot {
	return Ballot{Key: g.key, Epoch: g.epoch(), Voter: m.NodeID}
}

// complete reports that waiting longer would not change the composition.
func (g *group) complete() bool {
	if !g.sealedByMajority() {
		return false
	}
	for _, m := range g.members() {
		if _, ok := g.live[m.Instance]; !ok {
			return false
		}
	}
	for i, m := range g.candidates {
		if i == askedCandidates {
			break
		}
		if _, ok := g.live[m.Instance]; !ok {
			return false
		}
	}
	return true
}

// sealedByMajority reports whether a majority accepts nothing more from some
// time on. A restarted voter accepts nothing more at all.
func (g *group) sealedByMajority() bool {
	if len(g.chosen()) == 0 {
		return false
	}
	sealed, gone := g.sealCount()
	return g.current == nil || sealed+gone >= Majority(len(g.members()))
}

func (g *group) sealCount() (sealed, gone int) {
	for _, m := range g.members() {
		if _, ok := g.seals[m.NodeID]; ok {
			sealed++
			continue
		}
		if s, ok := g.seen[m.NodeID]; ok && s.standing == StandingGone {
			gone++
		}
	}
	return sealed, gone
}

// majorityLost reports that a majority has been out of reach for long, and
// that this node itself is not the one that is cut off.
func (g *group) majorityLost() bool {
	silent := 0
	for _, m := range g.members() {
		if g.silent(m) {
			silent++
		}
	}
	mark(&g.lostAt, g.now, silent >= Majority(len(g.members())))
	if g.lostAt.IsZero() || g.now.Sub(g.lostAt) < majorityLostAfter {
		return false
	}
	return len(g.chosen()) >= min(2, len(g.candidates))
}

func (g *group) chosen() []model.Member { return choose(g.survivors(), g.liveCandidates()) }

func (g *group) appendSealed() {
	from := g.now
	sealed, _ := g.sealCount()
	for _, t := range g.seals {
		from = later(from, t)
	}
	if g.current != nil && sealed < Majority(len(g.members())) {
		from = later(from, g.now.Add(goneDelay))
	}
	g.propose(from, true)
}

func (g *group) appendUnsealed() { g.propose(g.now.Add(UnsealedDelay), false) }

func (g *group) propose(from time.Time, sealed bool) {
	if g.current != nil {
		// Epochs start in order, also after an unsealed one that is ahead.
		from = later(from, g.current.From)
	}
	g.due = g.now.Add(proposeTimeout)
	g.core.proposals = append(g.core.proposals, model.GroupRecord{
		ID:      g.core.newID(),
		Region:  g.key.Region,
		Group:   g.key.Group,
		Epoch:   g.epoch() + 1,
		Members: g.chosen(),
		From:    from.Truncate(idResolution).Add(idResolution).UTC(),
		Sealed:  sealed,
	})
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
