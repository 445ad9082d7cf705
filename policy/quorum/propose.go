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
	g.seals = make(map[model.NodeID]seal)
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

// complete reports that waiting longer would not change the composition. A
// majority without restarted voters is waited for, since it allows an earlier
// start.
func (g *group) complete() bool {
	sealed, _ := g.sealCount()
	if !g.sealedByMajority() || g.current != nil && sealed < Majority(len(g.members())) {
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
		if s, ok := g.seen[m.NodeID]; ok && s.standing == VoterGone {
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
	from, wait := g.now, time.Duration(0)
	sealed, _ := g.sealCount()
	for _, s := range g.seals {
		from = later(from, s.time)
		wait = max(wait, s.remaining)
	}
	if g.current != nil && sealed < Majority(len(g.members())) {
		from = later(from, g.now.Add(goneDelay))
		wait = PromiseLifetime
	}
	g.propose(model.GroupRecord{From: from, Sealed: true, LeaseWait: model.Duration(wait)})
}

func (g *group) appendUnsealed() {
	g.propose(model.GroupRecord{From: g.now.Add(UnsealedStartDelay), LeaseWait: model.Duration(PromiseLifetime)})
}

func (g *group) propose(r model.GroupRecord) {
	if g.current != nil {
		// Epochs start in order, also after an unsealed one that is ahead.
		r.From = later(r.From, g.current.From)
	}
	g.due = g.now.Add(proposeTimeout)
	r.ID = g.core.newID()
	r.Region, r.Group, r.Epoch = g.key.Region, g.key.Group, g.epoch()+1
	r.Members = g.chosen()
	r.From = r.From.Truncate(idResolution).Add(idResolution).UTC()
	g.core.proposals = append(g.core.proposals, r)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
