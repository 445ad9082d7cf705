package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderworks/oleanderworks/model"
)

// suspicionReport is a report of another node that suspects a peer.
type suspicionReport struct {
	zone       model.Zone
	region     model.Region
	receivedAt time.Time
}

// probeRound is one round of indirect probes for a peer.
type probeRound struct {
	peerID         model.NodeID
	deadline       time.Time
	pendingAnswers int
}

// requestProbes asks two peers that are alive to probe the peer. It prefers peers
// in other availability zones than this node's.
func (p *peer) requestProbes() {
	c := p.core
	p.lastProbeAt = p.now
	helpers := c.chooseProbeHelpers(p)
	id := c.rng.Uint64()
	c.probeRounds[id] = &probeRound{peerID: p.member.NodeID, deadline: p.now.Add(probeTimeout), pendingAnswers: len(helpers)}
	for _, helper := range helpers {
		p.emit(Action{Kind: RequestProbe, To: helper, ProbeID: id})
	}
}

func (c *Core) chooseProbeHelpers(target *peer) []model.Instance {
	var candidates []*peer
	for _, p := range c.peers {
		if p != target && p.alive() {
			candidates = append(candidates, p)
		}
	}
	slices.SortFunc(candidates, func(a, b *peer) int { return cmp.Compare(a.member.Instance, b.member.Instance) })
	c.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b *peer) int {
		return cmp.Compare(c.zoneSortKey(a), c.zoneSortKey(b))
	})
	var out []model.Instance
	for _, p := range candidates[:min(probeHelpers, len(candidates))] {
		out = append(out, p.member.Instance)
	}
	return out
}

// zoneSortKey returns 0 for a peer in another availability zone than this node's,
// and 1 otherwise, so that the former sort first.
func (c *Core) zoneSortKey(p *peer) int {
	if p.member.Zone == c.self.Zone {
		return 1
	}
	return 0
}

// OnProbeRequest handles another node's request to probe a peer. A peer whose
// latest heartbeat is less than silenceLimit old is alive; any other is dialed.
func (c *Core) OnProbeRequest(now time.Time, from model.Instance, id uint64, member model.Member) {
	p := c.peers[member.Instance]
	if p != nil && p.member.NodeID == member.NodeID && now.Sub(p.lastHeartbeatAt) < silenceLimit {
		c.emit(Action{Kind: AnswerProbe, Peer: member, To: from, ProbeID: id, Reached: true})
		return
	}
	c.emit(Action{Kind: ProbePeer, Peer: member, To: from, ProbeID: id})
}

// OnProbeAnswer handles an answer to an indirect probe.
func (c *Core) OnProbeAnswer(now time.Time, id uint64, reached bool) {
	round := c.probeRounds[id]
	if round == nil {
		return
	}
	round.pendingAnswers--
	if reached {
		c.endProbeRound(now, id, true)
		return
	}
	if round.pendingAnswers <= 0 {
		c.endProbeRound(now, id, false)
	}
}

func (c *Core) expireProbeRounds(now time.Time) {
	for id, round := range c.probeRounds {
		if !now.Before(round.deadline) {
			c.endProbeRound(now, id, false)
		}
	}
}

func (c *Core) endProbeRound(now time.Time, id uint64, reached bool) {
	round := c.probeRounds[id]
	delete(c.probeRounds, id)
	p := c.peers[round.peerID.Instance]
	if p == nil || p.member.NodeID != round.peerID {
		return
	}
	if reached {
		p.lastRefutedAt = now
		p.step(now, eventProbeSucceeded)
		return
	}
	p.step(now, eventProbeFailed)
}

// OnSuspicion handles another node's suspicion report on a peer, or its retraction.
// A node that receives heartbeats from the peer refutes the report.
func (c *Core) OnSuspicion(now time.Time, from model.Member, id model.NodeID, retracted bool) {
	p := c.peers[id.Instance]
	if p == nil || p.member.NodeID != id || from.Instance == id.Instance {
		return
	}
	if retracted {
		delete(p.reportsByNode, from.Instance)
		return
	}
	p.reportsByNode[from.Instance] = suspicionReport{zone: from.Zone, region: from.Region, receivedAt: now}
	if now.Sub(p.lastHeartbeatAt) < silenceLimit {
		p.emit(Action{Kind: RefuteReport, To: from.Instance})
	}
}

// OnRefutation handles another node's message that it receives heartbeats from a
// peer that this node has reported.
func (c *Core) OnRefutation(now time.Time, id model.NodeID) {
	if p := c.peers[id.Instance]; p != nil && p.member.NodeID == id {
		p.lastRefutedAt = now
	}
}

// removalAgreed reports whether nodes in enough availability zones of the peer's
// own region suspect it (two, or all if there are fewer) and no node has reported
// recently, by a refutation or a probe, that it can reach the peer. Nodes in other regions do not count: regions are
// partitioned from each other for minutes several times a year, and each side would
// remove the other.
func (p *peer) removalAgreed() bool {
	region := p.member.Region
	if p.core.self.Region != region || p.now.Sub(p.lastRefutedAt) < reportLifetime {
		return false
	}
	zones := map[model.Zone]bool{p.core.self.Zone: true}
	for from, r := range p.reportsByNode {
		if p.now.Sub(r.receivedAt) >= reportLifetime {
			delete(p.reportsByNode, from)
			continue
		}
		if r.region == region {
			zones[r.zone] = true
		}
	}
	return len(zones) >= min(minRemovalZones, p.core.zoneCount(region))
}

// zoneCount returns the number of availability zones of the known nodes of a
// region, including this node's zone.
func (c *Core) zoneCount(region model.Region) int {
	zones := map[model.Zone]bool{c.self.Zone: true}
	for _, p := range c.peers {
		if p.member.Region == region {
			zones[p.member.Zone] = true
		}
	}
	return len(zones)
}

// removalDelayByRank returns this node's delay before it removes the peer. It grows
// with the node's rank, so that usually the first remover appends a leave record
// and the others see it before their delay has passed.
func (p *peer) removalDelayByRank() time.Duration {
	return removalDelay + time.Duration(p.removerRank())*removerRankDelay
}

// otherServiceRanks is the number of ranks over which the removers from other
// services are spread. These nodes do not know each other, so that many would
// append at the same time. They are needed if no other node of the lost node's
// service is alive.
const otherServiceRanks = 16

// removerRank returns the number of removers of the peer that come before this
// node: the live nodes of the peer's service with a higher rendezvous weight. Nodes
// of other services come after all of these. At the design size of 19,000 nodes,
// about 100 of them follow a service, and each would otherwise rank first in its
// own view.
func (p *peer) removerRank() int {
	own := rendezvousWeight(p.core.self.Instance, p.member.Instance)
	otherService := p.core.self.Service != p.member.Service
	rank := 0
	for _, other := range p.core.peers {
		if other == p || !other.alive() || other.member.Service != p.member.Service {
			continue
		}
		if otherService || rendezvousWeight(other.member.Instance, p.member.Instance) > own {
			rank++
		}
	}
	if otherService {
		rank += int(own % otherServiceRanks)
	}
	return rank
}

func rendezvousWeight(node, subject model.Instance) uint64 {
	return xxhash.Sum64String(string(node) + "\x00" + string(subject))
}
