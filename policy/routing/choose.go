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
	// zoneMargin is how much fuller the target in the node's own availability
	// zone may be before the other one is taken. Without a margin a single call
	// in flight would send the next one to another zone.
	zoneMargin = 0.1
	// sampleTries bounds the random draws for one candidate. After that all
	// targets are looked at.
	sampleTries = 6
)

// table holds the targets of all services that the node knows.
type table struct {
	zone    model.Zone
	rng     *rand.Rand
	machine *chart.Machine[*target]
	targets map[model.Instance]*target
	pools   map[model.Service]*pool
	suspect map[model.Instance]bool
}

// pool holds the targets of a service that are in service.
type pool struct {
	near []*target // in the node's availability zone
	far  []*target
}

func newTable(zone model.Zone, rng *rand.Rand) *table {
	return &table{
		zone:    zone,
		rng:     rng,
		machine: outlierMachine(),
		targets: make(map[model.Instance]*target),
		pools:   make(map[model.Service]*pool),
		suspect: make(map[model.Instance]bool),
	}
}

// onSnapshot rebuilds the pools. What is known of a target is kept as long as
// its incarnation is the same.
func (t *table) onSnapshot(s *model.Snapshot) {
	old := t.targets
	t.targets = make(map[model.Instance]*target, len(old))
	t.pools = make(map[model.Service]*pool, len(s.Members))
	for service, members := range s.Members {
		p := new(pool)
		t.pools[service] = p
		for _, m := range members {
			tg := t.adopt(old[m.Instance], m, s.Services[service])
			if !s.Zones[m.Zone].Out && !s.Targets[m.Instance].Out {
				p.add(tg, m.Zone == t.zone)
			}
		}
	}
	maps.DeleteFunc(t.suspect, func(i model.Instance, _ bool) bool { return t.targets[i] == nil })
}

func (t *table) adopt(known *target, m model.Member, service *model.ServiceConfig) *target {
	tg := known
	if tg == nil || tg.member.NodeID != m.NodeID {
		tg = &target{table: t, state: t.machine.Initial()}
	}
	tg.member = m
	tg.suspect = t.suspect[m.Instance]
	if service != nil {
		tg.slots, tg.floor = service.Slots, service.ColdFloor
	}
	t.targets[m.Instance] = tg
	return tg
}

func (p *pool) add(tg *target, near bool) {
	if near {
		p.near = append(p.near, tg)
		return
	}
	p.far = append(p.far, tg)
}

func (t *table) onSuspect(i model.Instance, suspect bool) {
	delete(t.suspect, i)
	if suspect {
		t.suspect[i] = true
	}
	if tg := t.targets[i]; tg != nil {
		tg.suspect = suspect
	}
}

func (t *table) onLoad(now time.Time, i model.Instance, load model.Load) {
	if tg := t.targets[i]; tg != nil {
		tg.report, tg.reported = load, now
	}
}

// observe takes the outcome of an attempt at tg.
func (t *table) observe(now time.Time, tg *target, a *model.Answer) { tg.observe(now, a) }

// choose picks a target by power of two choices in the node's availability
// zone and in the others, and prefers its own zone unless that is fuller. It
// returns nil when no target can take the call.
func (t *table) choose(now time.Time, service model.Service, tried []*target) *target {
	p := t.pools[service]
	if p == nil {
		return nil
	}
	near := t.lighterOfTwo(now, p.near, tried)
	far := t.lighterOfTwo(now, p.far, tried)
	switch {
	case near == nil && far == nil:
		return t.scan(now, p, tried)
	case near == nil:
		return far
	case far == nil || near.ratio(now) <= far.ratio(now)+zoneMargin:
		return near
	}
	return far
}

func (t *table) lighterOfTwo(now time.Time, list []*target, tried []*target) *target {
	a := t.sample(now, list, tried)
	if a == nil || len(list) == 1 {
		return a
	}
	b := t.sample(now, list, tried)
	if b != nil && b.ratio(now) < a.ratio(now) {
		return b
	}
	return a
}

// sample draws a target at random, in proportion to its limit, so that one
// that is ramping up gets its part only.
func (t *table) sample(now time.Time, list []*target, tried []*target) *target {
	if len(list) == 0 {
		return nil
	}
	for range sampleTries {
		tg := list[t.rng.IntN(len(list))]
		if !usable(now, tg, tried) || tg.avoided(now) {
			continue
		}
		if t.rng.Float64()*float64(tg.slots) < float64(tg.limit(now)) {
			return tg
		}
	}
	return nil
}

// scan looks at all targets. Avoided ones are taken only when there is no
// other, so that a fault that hits all targets does not stop the service.
func (t *table) scan(now time.Time, p *pool, tried []*target) *target {
	var best, avoided *target
	for _, list := range [][]*target{p.near, p.far} {
		start := t.rng.IntN(len(list) + 1)
		for i := range list {
			tg := list[(start+i)%len(list)]
			switch {
			case !usable(now, tg, tried):
			case tg.avoided(now):
				avoided = lighter(now, avoided, tg)
			default:
				best = lighter(now, best, tg)
			}
		}
	}
	if best == nil {
		return avoided
	}
	return best
}

func lighter(now time.Time, a, b *target) *target {
	if a == nil || b.ratio(now) < a.ratio(now) {
		return b
	}
	return a
}

func usable(now time.Time, tg *target, tried []*target) bool {
	return !tg.excluded(now) && !slices.Contains(tried, tg)
}

// hasOther reports whether a target is left that was not tried.
func (t *table) hasOther(now time.Time, service model.Service, tried []*target) bool {
	p := t.pools[service]
	if p == nil {
		return false
	}
	other := func(tg *target) bool { return usable(now, tg, tried) }
	return slices.ContainsFunc(p.near, other) || slices.ContainsFunc(p.far, other)
}
