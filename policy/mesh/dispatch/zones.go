// This file decides whether a call leaves the node's availability zone.

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
	"github.com/oleanderworks/oleanderworks/policy/mesh/zoneshare"
)

const (
	// fullLoad is the part of what a target can run at once from which the calls that it
	// turns away count as asked of it. With less load it has another reason.
	fullLoad = 0.95
	// maxCountedShed bounds the fraction of calls turned away that counts, since rejected
	// calls are often sent again.
	maxCountedShed = 0.5
)

// shareKey names a share of the calls that leave the zone.
type shareKey struct {
	service model.Service
	nested  bool
}

// ZoneShare is the share of a service's calls that leaves the node's availability zone.
type ZoneShare struct {
	Service model.Service
	Nested  bool // of the nested calls; the others are external
	Leaving float64
	Reason  zoneshare.Reason
	Input   zoneshare.Input // of the latest update
}

// TakeShareChanges returns and clears the shares that have changed notably.
func (c *Core) TakeShareChanges() []ZoneShare {
	changes := c.targets.shareChanges
	c.targets.shareChanges = nil
	return changes
}

// ZoneShares returns all shares, in the order of their services, those of external calls first.
func (c *Core) ZoneShares() []ZoneShare {
	var all []ZoneShare
	for key, share := range c.targets.shares {
		all = append(all, newZoneShare(key, share))
	}
	slices.SortFunc(all, func(a, b ZoneShare) int {
		switch {
		case a.Service != b.Service:
			return cmp.Compare(a.Service, b.Service)
		case a.Nested:
			return 1
		default:
			return -1
		}
	})
	return all
}

// retainShares removes the shares of services that the configuration does not have.
func (s *targetSet) retainShares(config *graph.Config) {
	for key := range s.shares {
		if config.Services[key.service] == nil {
			delete(s.shares, key)
		}
	}
}

func newZoneShare(key shareKey, share *zoneshare.Share) ZoneShare {
	return ZoneShare{Service: key.service, Nested: key.nested, Leaving: share.Leaving(), Reason: share.Reason(), Input: share.Input()}
}

// drawByZone draws a target for the first attempt of a call: in another zone for the share
// of the calls that leaves the own one, otherwise in the own zone. The groups nearGroup
// and farGroup must not be empty.
func (s *targetSet) drawByZone(now time.Time, call *model.Call, zonePenalty float64) *candidate {
	near, far := s.groups[nearGroup], s.groups[farGroup]
	share := s.updatedShare(now, call, zonePenalty)
	if s.rng.Float64() < share.Leaving() {
		if zone, ok := share.Zone(s.rng.Float64()); ok {
			s.zoneGroup = s.zoneGroup[:0]
			for _, c := range far {
				if c.target.zone == zone {
					s.zoneGroup = append(s.zoneGroup, c)
				}
			}
			if c := s.draw(s.zoneGroup); c != nil {
				return c
			}
		}
	}
	return s.draw(near)
}

// updatedShare returns the share of calls like this one that leaves the zone.
func (s *targetSet) updatedShare(now time.Time, call *model.Call, zonePenalty float64) *zoneshare.Share {
	key := shareKey{call.Service, call.Nested}
	share := s.shares[key]
	if share == nil {
		share = zoneshare.New()
		s.shares[key] = share
	}
	if !share.Due(now) {
		return share
	}
	near, far := s.groups[nearGroup], s.groups[farGroup]
	in := zoneshare.Input{Nested: call.Nested, Others: zoneLoads(now, far)}
	if own := zoneLoads(now, near); len(own) > 0 {
		in.Own = own[0]
	}
	if zonePenalty > 0 && len(far) > 0 {
		in.Gain = (lowestCost(near) - meanCost(far)) / zonePenalty
	}
	share.Update(now, in)
	if share.TakeChange() {
		s.shareChanges = append(s.shareChanges, newZoneShare(key, share))
	}
	return share
}

// lowerShare updates the share of calls like this one, if there is one, while no target of
// another zone may get them. A share that stayed as it was would apply when the other zones
// are back, whatever the load is then. An order to move the service hides targets from some
// calls only, and changes no share.
func (s *targetSet) lowerShare(now time.Time, call *model.Call) {
	share := s.shares[shareKey{call.Service, call.Nested}]
	if share != nil && s.allowed == nil {
		s.updatedShare(now, call, 0)
	}
}

// zoneLoads returns what the candidates can bear and what is asked of them, by zone.
func zoneLoads(now time.Time, candidates []candidate) []zoneshare.Load {
	var loads []zoneshare.Load
	for i := range candidates {
		c := &candidates[i]
		at := slices.IndexFunc(loads, func(l zoneshare.Load) bool { return l.Zone == c.target.zone })
		if at < 0 {
			at = len(loads)
			loads = append(loads, zoneshare.Load{Zone: c.target.zone})
		}
		l := &loads[at]
		l.Capacity += c.rate
		l.Asked += c.asked()
		l.Age = max(l.Age, c.target.reportAge(now))
	}
	return loads
}

// asked returns the calls per second that are asked of a target.
func (c *candidate) asked() float64 {
	load := c.target.load()
	asked := load / c.runTime
	if load >= fullLoad*c.capacity {
		asked /= 1 - min(c.target.shedFraction, maxCountedShed)
	}
	return asked
}

// meanCost returns the mean cost of candidates, weighted by what they can bear.
func meanCost(candidates []candidate) float64 {
	var sum, rate float64
	for i := range candidates {
		c := &candidates[i]
		sum += c.rate * c.cost()
		rate += c.rate
	}
	return sum / rate
}
