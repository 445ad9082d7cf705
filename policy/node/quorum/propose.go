package quorum

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// probe asks the members for their status. Candidates are probed as well while
// the group has fewer than GroupSize members, or members in fewer than GroupSize
// availability zones.
func (g *group) probe() {
	g.dueAt = g.now.Add(probeInterval)
	if g.watcherRank == notWatching || g.current == nil {
		g.dueAt = g.now.Add(rankDelay)
		return
	}
	g.probeMembers()
	if size, zones := countMembersAndZones(g.members()); size < GroupSize || zones < GroupSize {
		g.probeCandidates()
	}
}

func (g *group) probeMembers() {
	for _, m := range g.members() {
		g.composer.Send(m.Instance, &ProbeRequest{Ballot: g.ballot(m)})
	}
}

// requestSeals starts a composition: it asks the members to seal the epoch,
// and candidates whether they are alive.
func (g *group) requestSeals() {
	g.dueAt = g.now.Add(sealTimeout)
	g.seals = make(map[model.NodeID]seal)
	g.liveVoters = make(map[model.Instance]model.NodeID)
	for _, m := range g.members() {
		g.composer.Send(m.Instance, &SealRequest{Ballot: g.ballot(m), Time: g.now})
	}
	g.probeCandidates()
}

func (g *group) probeCandidates() {
	for i, m := range g.candidates {
		if i == maxProbedCandidates {
			return
		}
		g.composer.Send(m.Instance, &ProbeRequest{Ballot: Ballot{Group: g.key, Epoch: g.epoch()}})
	}
}

func (g *group) ballot(m model.Member) Ballot {
	return Ballot{Group: g.key, Epoch: g.epoch(), Voter: m.NodeID}
}

// answersComplete reports whether no further answer could change the
// composition. Restarted voters do not count: a majority must be sealed without
// them, since the composition then starts earlier.
func (g *group) answersComplete() bool {
	sealed, _ := g.countSealedAndRestarted()
	if !g.majorityStopped() || g.current != nil && sealed < Majority(len(g.members())) {
		return false
	}
	for _, m := range g.members() {
		if _, ok := g.liveVoters[m.Instance]; !ok {
			return false
		}
	}
	for i, m := range g.candidates {
		if i == maxProbedCandidates {
			break
		}
		if _, ok := g.liveVoters[m.Instance]; !ok {
			return false
		}
	}
	return true
}

// majorityStopped reports whether a sealed composition can be proposed: a
// majority of the members is sealed or restarted, or there is no composition
// yet. A restarted voter accepts nothing more for the epoch. It returns false
// if no possible member answers.
func (g *group) majorityStopped() bool {
	if len(g.nextMembers()) == 0 {
		return false
	}
	sealed, restarted := g.countSealedAndRestarted()
	return g.current == nil || sealed+restarted >= Majority(len(g.members()))
}

func (g *group) countSealedAndRestarted() (sealed, restarted int) {
	for _, m := range g.members() {
		if _, ok := g.seals[m.NodeID]; ok {
			sealed++
			continue
		}
		if s, ok := g.lastAnswers[m.NodeID]; ok && s.status == VoterRestarted {
			restarted++
		}
	}
	return sealed, restarted
}

// majoritySilent reports whether a majority has been silent for
// unsealedProposalDelay. Other nodes must answer, which shows that this node is
// not isolated itself.
func (g *group) majoritySilent() bool {
	silent := 0
	for _, m := range g.members() {
		if g.isSilent(m) {
			silent++
		}
	}
	trackSince(&g.majoritySilentSince, g.now, silent >= Majority(len(g.members())))
	if g.majoritySilentSince.IsZero() || g.now.Sub(g.majoritySilentSince) < unsealedProposalDelay {
		return false
	}
	return len(g.nextMembers()) >= min(2, len(g.candidates))
}

func (g *group) nextMembers() []model.Member { return chooseMembers(g.answering(), g.liveCandidates()) }

func (g *group) proposeSealed() {
	from, wait := g.now, time.Duration(0)
	sealed, _ := g.countSealedAndRestarted()
	for _, s := range g.seals {
		from = later(from, s.time)
		wait = max(wait, s.remaining)
	}
	if g.current != nil && sealed < Majority(len(g.members())) {
		from = later(from, g.now.Add(restartedStartDelay))
		wait = PromiseLifetime
	}
	g.propose(model.GroupRecord{From: from, Sealed: true, LeaseWait: model.Duration(wait)})
}

func (g *group) proposeUnsealed() {
	g.propose(model.GroupRecord{From: g.now.Add(UnsealedStartDelay), LeaseWait: model.Duration(PromiseLifetime)})
}

func (g *group) propose(r model.GroupRecord) {
	if g.current != nil {
		// Epochs start in order, even after an unsealed one that starts in the
		// future.
		r.From = later(r.From, g.current.From)
	}
	g.dueAt = g.now.Add(proposeTimeout)
	r.ID = g.composer.newID()
	r.Region, r.Group, r.Epoch = g.key.Region, g.key.Group, g.epoch()+1
	r.Members = g.nextMembers()
	r.From = r.From.Truncate(idResolution).Add(idResolution).UTC()
	g.composer.proposals = append(g.composer.proposals, r)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
