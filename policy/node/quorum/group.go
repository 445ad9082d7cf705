package quorum

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

// notWatching is the rank of a node that does not watch the group.
const notWatching = -1

// group is the state of one quorum group as observed by this node.
type group struct {
	composer      *Composer
	key           model.GroupKey
	state         chart.StateID
	now           time.Time
	dueAt         time.Time
	observedSince time.Time // when answers began to be collected: at the first snapshot, latest composition or latest pause

	current     *model.GroupRecord // nil if there is no composition yet
	candidates  []model.Member     // in descending order of their hash with the group
	watcherRank int                // this node's rank among the nodes that watch the group

	lastAnswers         map[model.NodeID]memberAnswer   // latest answers of the members, by voter
	liveVoters          map[model.Instance]model.NodeID // voter incarnations of the nodes that have answered
	seals               map[model.NodeID]seal
	memberLostSince     time.Time // since when a member is lost; zero if none is
	improvableSince     time.Time // since when a better composition is possible; zero if none is
	majoritySilentSince time.Time // since when a majority is silent; zero if none is
}

// seal is a member's answer to a seal request.
type seal struct {
	time      time.Time
	remaining time.Duration // remaining lifetime of the lease promise that the member has made
}

// memberAnswer is the latest answer of a member.
type memberAnswer struct {
	at     time.Time
	status VoterStatus
}

func (g *group) step(now time.Time, e chart.EventID) {
	g.now = now
	g.state = g.composer.machine.Step(g, g.state, e)
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

// computeWatcherRank returns this node's rank among the nodes that watch the
// group. The members rank first, followed by the outsideWatchers best
// candidates. Before the first composition, every candidate watches.
func (g *group) computeWatcherRank(latest *model.GroupRecord) int {
	self := g.composer.self.Instance
	rank := 0
	if latest != nil {
		for i, m := range latest.Members {
			if m.Instance == self {
				return i
			}
		}
		rank = len(latest.Members)
	}
	for _, m := range g.candidates {
		if latest != nil && containsInstance(latest.Members, m.Instance) {
			continue
		}
		if m.Instance == self {
			return rank
		}
		rank++
		if latest != nil && rank >= len(latest.Members)+outsideWatchers {
			return notWatching
		}
	}
	return notWatching
}

func (g *group) reset() {
	g.observedSince = g.now
	g.lastAnswers = make(map[model.NodeID]memberAnswer)
	g.liveVoters = make(map[model.Instance]model.NodeID)
	g.seals = make(map[model.NodeID]seal)
	g.memberLostSince, g.improvableSince, g.majoritySilentSince = time.Time{}, time.Time{}, time.Time{}
	g.dueAt = g.now
}

func (g *group) observe(now time.Time, b Ballot, s VoterStatus, voter model.NodeID) {
	g.liveVoters[voter.Instance] = voter
	if b.Epoch == g.epoch() && s != VoterUninformed {
		g.lastAnswers[b.Voter] = memberAnswer{at: now, status: s}
	}
}

// compositionDue reports whether this node should start a new composition now.
func (g *group) compositionDue() bool {
	if g.watcherRank == notWatching || g.now.Sub(g.composer.voter.LogContact()) > maxContactAge {
		return false
	}
	delay := time.Duration(min(g.watcherRank, maxRank)) * rankDelay
	if g.current == nil {
		return g.now.Sub(g.observedSince) >= firstCompositionDelay+delay
	}
	trackSince(&g.memberLostSince, g.now, g.anyMemberLost())
	trackSince(&g.improvableSince, g.now, g.improvable())
	if !g.memberLostSince.IsZero() && g.now.Sub(g.memberLostSince) >= delay {
		return true
	}
	return !g.improvableSince.IsZero() && g.now.Sub(g.improvableSince) >= improvementDelay+delay
}

// trackSince maintains the time since which a condition holds.
func trackSince(at *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*at = time.Time{}
	case at.IsZero():
		*at = now
	}
}

func (g *group) anyMemberLost() bool {
	for _, m := range g.members() {
		if g.isLost(m) {
			return true
		}
	}
	return false
}

// isLost reports whether a member does not vote any more: it is silent, or its
// status is not VoterActive. A sealed member counts as lost, since the node
// that sealed it may have ended before it appended the next composition.
func (g *group) isLost(m model.Member) bool {
	s, ok := g.lastAnswers[m.NodeID]
	if !ok {
		return g.now.Sub(g.observedSince) > maxMemberSilence
	}
	return s.status != VoterActive || g.now.Sub(s.at) > maxMemberSilence
}

// improvable reports whether the nodes that answer could form a larger group or
// one in more availability zones.
func (g *group) improvable() bool {
	size, zones := countMembersAndZones(g.members())
	newSize, newZones := countMembersAndZones(chooseMembers(g.members(), g.liveCandidates()))
	return newSize > size || newZones > zones
}

func (g *group) liveCandidates() []model.Member {
	var out []model.Member
	for _, m := range g.candidates {
		if voter, ok := g.liveVoters[m.Instance]; ok {
			m.NodeID = voter
			out = append(out, m)
		}
	}
	return out
}

// answering returns the members that answer under the incarnation in
// the current composition.
func (g *group) answering() []model.Member {
	var out []model.Member
	for _, m := range g.members() {
		if g.liveVoters[m.Instance] == m.NodeID && !g.isSilent(m) {
			out = append(out, m)
		}
	}
	return out
}

func (g *group) isSilent(m model.Member) bool {
	s, ok := g.lastAnswers[m.NodeID]
	return !ok || g.now.Sub(s.at) > maxMemberSilence
}
