package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderworks/oleanderworks/model"
)

// report is another node's suspicion of a peer.
type report struct {
	zone   model.Zone
	region model.Region
	at     time.Time
}

// probe is one round of indirect probes for a peer.
type probe struct {
	peer    model.NodeID
	until   time.Time
	waiting int // answers that are missing
}

// askProbes asks two live peers, from other availability zones where there
// are any, to reach the peer.
func (p *peer) askProbes() {
	c := p.core
	p.probedAt = p.now
	helpers := c.helpers(p)
	id := c.rng.Uint64()
	c.probes[id] = &probe{peer: p.member.NodeID, until: p.now.Add(probeTimeout), waiting: len(helpers)}
	for _, h := range helpers {
		p.emit(Action{Kind: RequestProbe, To: h, ProbeID: id})
	}
}

func (c *Core) helpers(suspect *peer) []model.Instance {
	var candidates []*peer
	for _, p := range c.peers {
		if p != suspect && p.alive() {
			candidates = append(candidates, p)
		}
	}
	slices.SortFunc(candidates, func(a, b *peer) int { return cmp.Compare(a.member.Instance, b.member.Instance) })
	c.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b *peer) int {
		return cmp.Compare(c.sameZone(a), c.sameZone(b))
	})
	var out []model.Instance
	for _, p := range candidates[:min(probers, len(candidates))] {
		out = append(out, p.member.Instance)
	}
	return out
}

func (c *Core) sameZone(p *peer) int {
	if p.member.Zone == c.self.Zone {
		return 1
	}
	return 0
}

// OnProbeRequest takes another node's request to reach a peer. A peer heard lately
// is known to be alive; another one is dialled.
func (c *Core) OnProbeRequest(now time.Time, from model.Instance, id uint64, m model.Member) {
	p := c.peers[m.Instance]
	if p != nil && p.member.NodeID == m.NodeID && now.Sub(p.directAt) < silenceLimit {
		c.emit(Action{Kind: AnswerProbe, Peer: m, To: from, ProbeID: id, Reached: true})
		return
	}
	c.emit(Action{Kind: ProbePeer, Peer: m, To: from, ProbeID: id})
}

// OnProbeAnswer takes an answer to an indirect probe.
func (c *Core) OnProbeAnswer(now time.Time, id uint64, reached bool) {
	pr := c.probes[id]
	if pr == nil {
		return
	}
	pr.waiting--
	if reached {
		c.endProbe(now, id, true)
		return
	}
	if pr.waiting <= 0 {
		c.endProbe(now, id, false)
	}
}

func (c *Core) expireProbes(now time.Time) {
	for id, pr := range c.probes {
		if !now.Before(pr.until) {
			c.endProbe(now, id, false)
		}
	}
}

func (c *Core) endProbe(now time.Time, id uint64, reached bool) {
	pr := c.probes[id]
	delete(c.probes, id)
	p := c.peers[pr.peer.Instance]
	if p == nil || p.member.NodeID != pr.peer {
		return
	}
	if reached {
		p.refutedAt = now
		p.step(now, eventReached)
		return
	}
	p.step(now, eventUnreached)
}

// OnSuspicion takes another node's report on a peer, or its withdrawal. A node
// that hears the peer says so.
func (c *Core) OnSuspicion(now time.Time, from model.Member, id model.NodeID, lifted bool) {
	p := c.peers[id.Instance]
	if p == nil || p.member.NodeID != id || from.Instance == id.Instance {
		return
	}
	if lifted {
		delete(p.reports, from.Instance)
		return
	}
	p.reports[from.Instance] = report{zone: from.Zone, region: from.Region, at: now}
	if now.Sub(p.directAt) < silenceLimit {
		p.emit(Action{Kind: RefuteReport, To: from.Instance})
	}
}

// OnRefutation takes the word of another node that it hears a peer.
func (c *Core) OnRefutation(now time.Time, id model.NodeID) {
	if p := c.peers[id.Instance]; p != nil && p.member.NodeID == id {
		p.refutedAt = now
	}
}

// agreed reports whether nodes in enough availability zones of the peer's own
// region suspect it: two, or all there are, and none of those that got the
// reports hears it. Regions lose each other for minutes several times a year;
// counting the other region's observers, each side would remove the other.
func (p *peer) agreed() bool {
	region := p.member.Region
	if p.core.self.Region != region || p.now.Sub(p.refutedAt) < reportLife {
		return false
	}
	zones := map[model.Zone]bool{p.core.self.Zone: true}
	for from, r := range p.reports {
		if p.now.Sub(r.at) >= reportLife {
			delete(p.reports, from)
			continue
		}
		if r.region == region {
			zones[r.zone] = true
		}
	}
	return len(zones) >= min(removalZones, p.core.zoneCount(region))
}

// zoneCount returns the number of availability zones of the known nodes of a
// region, this node's own included.
func (c *Core) zoneCount(region model.Region) int {
	zones := map[model.Zone]bool{c.self.Zone: true}
	for _, p := range c.peers {
		if p.member.Region == region {
			zones[p.member.Zone] = true
		}
	}
	return len(zones)
}

// removalDelay spaces the removers by rendezvous rank: usually the first one
// appends and the others see its record.
func (p *peer) removalDelay() time.Duration {
	return removalDelay + time.Duration(p.rank())*rankDelay
}

// otherServiceSpread spaces the nodes of other services, which do not know of
// each other, when a service has no live node left to remove one.
const otherServiceSpread = 16

// rank is the number of live nodes of the peer's service that come before
// this node for this peer. Nodes of other services come after all of them:
// some 100 of them follow a service at the target size, and each would
// otherwise be the first in its own view.
func (p *peer) rank() int {
	own := weight(p.core.self.Instance, p.member.Instance)
	foreign := p.core.self.Service != p.member.Service
	n := 0
	for _, other := range p.core.peers {
		if other == p || !other.alive() || other.member.Service != p.member.Service {
			continue
		}
		if foreign || weight(other.member.Instance, p.member.Instance) > own {
			n++
		}
	}
	if foreign {
		n += int(own % otherServiceSpread)
	}
	return n
}

func weight(node, subject model.Instance) uint64 {
	return xxhash.Sum64String(string(node) + "\x00" + string(subject))
}
