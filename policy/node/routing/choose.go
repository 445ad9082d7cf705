package routing

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// zoneMargin is how much higher the utilization of the target in the node's
	// own availability zone may be before a target in another zone is chosen.
	// Without a margin, a single call in flight would send the next one to
	// another zone.
	zoneMargin = 0.1
	// maxSampleDraws bounds the random draws for one candidate. If no draw gives
	// a candidate in any zone, all targets are compared.
	maxSampleDraws = 6
)

// targetTable holds all targets that the node knows, by instance and by service.
type targetTable struct {
	zone              model.Zone
	rng               *rand.Rand
	machine           *chart.Machine[*target]
	targets           map[model.Instance]*target
	pools             map[model.Service]*pool
	excludedInstances map[model.Instance]bool
}

// pool holds the targets of one service, except those out of service.
type pool struct {
	sameZone   []*target // in the node's availability zone
	otherZones []*target
}

func newTargetTable(zone model.Zone, rng *rand.Rand) *targetTable {
	return &targetTable{
		zone:              zone,
		rng:               rng,
		machine:           outlierMachine(),
		targets:           make(map[model.Instance]*target),
		pools:             make(map[model.Service]*pool),
		excludedInstances: make(map[model.Instance]bool),
	}
}

// onSnapshot rebuilds the pools. The state of a target is kept while its
// incarnation is the same.
func (t *targetTable) onSnapshot(s *model.Snapshot) {
	old := t.targets
	t.targets = make(map[model.Instance]*target, len(old))
	t.pools = make(map[model.Service]*pool, len(s.Members))
	for service, members := range s.Members {
		p := new(pool)
		t.pools[service] = p
		for _, m := range members {
			tg := t.updateTarget(old[m.Instance], m, s.Services[service])
			if !s.Zones[m.Zone].OutOfService && !s.Targets[m.Instance].OutOfService {
				p.add(tg, m.Zone == t.zone)
			}
		}
	}
	maps.DeleteFunc(t.excludedInstances, func(i model.Instance, _ bool) bool { return t.targets[i] == nil })
}

func (t *targetTable) updateTarget(known *target, m model.Member, service *model.ServiceConfig) *target {
	tg := known
	if tg == nil || tg.member.NodeID != m.NodeID {
		tg = &target{table: t, state: t.machine.Initial()}
	}
	tg.member = m
	tg.excludedByMembership = t.excludedInstances[m.Instance]
	if service != nil {
		tg.slots, tg.coldFloor = service.Slots, service.ColdFloor
	}
	t.targets[m.Instance] = tg
	return tg
}

func (p *pool) add(tg *target, sameZone bool) {
	if sameZone {
		p.sameZone = append(p.sameZone, tg)
		return
	}
	p.otherZones = append(p.otherZones, tg)
}

func (t *targetTable) onExclusion(i model.Instance, excluded bool) {
	delete(t.excludedInstances, i)
	if excluded {
		t.excludedInstances[i] = true
	}
	if tg := t.targets[i]; tg != nil {
		tg.excludedByMembership = excluded
	}
}

func (t *targetTable) onLoad(now time.Time, i model.Instance, load model.Load) {
	if tg := t.targets[i]; tg != nil {
		tg.report, tg.reportedAt = load, now
	}
}

func (t *targetTable) observe(now time.Time, tg *target, a *model.Answer) { tg.observe(now, a) }

// choose selects one target in the node's availability zone and one in the
// other zones, each by power of two choices. It returns the one in the node's
// zone, unless its utilization is higher by more than zoneMargin. It returns nil
// when no target can take the call.
func (t *targetTable) choose(now time.Time, service model.Service, tried []*target) *target {
	p := t.pools[service]
	if p == nil {
		return nil
	}
	sameZone := t.lessUtilizedOfTwo(now, p.sameZone, tried)
	otherZone := t.lessUtilizedOfTwo(now, p.otherZones, tried)
	switch {
	case sameZone == nil && otherZone == nil:
		return t.leastUtilized(now, p, tried)
	case sameZone == nil:
		return otherZone
	case otherZone == nil || sameZone.utilization(now) <= otherZone.utilization(now)+zoneMargin:
		return sameZone
	}
	return otherZone
}

func (t *targetTable) lessUtilizedOfTwo(now time.Time, list []*target, tried []*target) *target {
	a := t.sample(now, list, tried)
	if a == nil || len(list) == 1 {
		return a
	}
	b := t.sample(now, list, tried)
	if b != nil && b.utilization(now) < a.utilization(now) {
		return b
	}
	return a
}

// sample draws a random target, weighted by limit, so that a target that is
// ramping up gets fewer calls. It returns nil if no draw gives an eligible target
// that is not avoided.
func (t *targetTable) sample(now time.Time, list []*target, tried []*target) *target {
	if len(list) == 0 {
		return nil
	}
	for range maxSampleDraws {
		tg := list[t.rng.IntN(len(list))]
		if !eligible(now, tg, tried) || tg.avoided(now) {
			continue
		}
		if t.rng.Float64()*float64(tg.slots) < float64(tg.limit(now)) {
			return tg
		}
	}
	return nil
}

// leastUtilized returns the least utilized of all eligible targets. It returns an
// avoided target only when there is no other, so that a fault that affects all
// targets does not stop the service.
func (t *targetTable) leastUtilized(now time.Time, p *pool, tried []*target) *target {
	var best, avoided *target
	for _, list := range [][]*target{p.sameZone, p.otherZones} {
		start := t.rng.IntN(len(list) + 1)
		for i := range list {
			tg := list[(start+i)%len(list)]
			switch {
			case !eligible(now, tg, tried):
			case tg.avoided(now):
				avoided = lessUtilized(now, avoided, tg)
			default:
				best = lessUtilized(now, best, tg)
			}
		}
	}
	if best == nil {
		return avoided
	}
	return best
}

func lessUtilized(now time.Time, a, b *target) *target {
	if a == nil || b.utilization(now) < a.utilization(now) {
		return b
	}
	return a
}

func eligible(now time.Time, tg *target, tried []*target) bool {
	return !tg.excluded(now) && !slices.Contains(tried, tg)
}

// hasUntriedTarget reports whether there is an eligible target that the call has
// not tried.
func (t *targetTable) hasUntriedTarget(now time.Time, service model.Service, tried []*target) bool {
	p := t.pools[service]
	if p == nil {
		return false
	}
	untried := func(tg *target) bool { return eligible(now, tg, tried) }
	return slices.ContainsFunc(p.sameZone, untried) || slices.ContainsFunc(p.otherZones, untried)
}
