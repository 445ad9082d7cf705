package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// cutWeight is the share of the calls that end without a response that count as failed. When
// a process ends, all its calls do, which says little about the version.
const cutWeight = 0.25

const (
	// canaryShare is the share of a node's calls to a service that go to the ordered version
	// until it is moved to. shareOfBound is the part of the bound on the exposure that the
	// canary share may use at most; the move uses the rest.
	canaryShare  = 0.03
	shareOfBound = 0.3
	// slackForShare is the part of the slack that the canary share uses.
	slackForShare = 0.5
	// canaryTurn is the time after which the canary share goes to other targets.
	canaryTurn = 1500 * time.Millisecond
)

// shareCounter limits by counting the share of the calls that go to a version. It starts at
// a random place, so that nodes with few calls together send the share and not one call
// each.
type shareCounter struct {
	start       float64 // 0 to 1
	calls, sent int
}

func newShareCounter(rng *rand.Rand) *shareCounter { return &shareCounter{start: rng.Float64()} }

// due reports whether the next call belongs to the share.
func (s *shareCounter) due(share float64) bool {
	return int(s.start+share*float64(s.calls+1)) > s.sent
}

// onSent counts a call. One that was due and went elsewhere is not made up for, since it
// would be followed by many at once when the version's targets appear.
func (s *shareCounter) onSent(share float64, counted bool) {
	if counted || s.due(share) {
		s.sent++
	}
	s.calls++
}

// service holds the versions and the order of one service.
type service struct {
	core   *Core
	name   model.Service
	census census
	order  *order // nil if there is none
	// former holds the versions of orders that were superseded or withdrawn without being
	// complete. They get no calls while others serve.
	former  map[string]bool
	history []model.RolloutOrder // earlier orders, the latest last
	share   *shareCounter

	outdated bool // classes and canaries must be computed again
	classes  map[string]class
	canaries map[model.Instance]bool
	baseUp   bool // a target of class base serves
	hasBase  bool // a target of class base is known
}

// servesAlone reports whether only targets of a version serve, and not just since a moment
// ago: an order for it moves nothing.
func (s *service) servesAlone(now time.Time, version string) bool {
	for other := range s.census.versions {
		if other != version && s.census.serves(other) {
			return false
		}
	}
	seenAt, known := s.census.versions[version]
	return known && !s.former[version] && s.census.serves(version) && now.Sub(seenAt) >= freshTime
}

// canaryShare returns the share of the calls that go to the ordered version, or to a fresh
// one. Few requests would show too little, so that an order uses part of the slack for them.
func (s *service) canaryShare() float64 {
	b := s.core.bounds
	share := min(canaryShare, shareOfBound*b.ExposeShare)
	if s.order == nil || s.order.expected <= 0 {
		return share
	}
	return min(share+slackForShare*float64(b.ExposeSlack)/s.order.expected, b.ExposeShare)
}

// begin makes an order the service's current one.
func (s *service) begin(o *order) {
	delete(s.former, o.Version)
	s.order, s.share, s.outdated = o, newShareCounter(s.core.rng), true
}

// end ends the current order, because the operator has written another one or withdrawn it.
func (s *service) end() {
	o := s.order
	if o.phase() != model.RolloutComplete { // also after rolled_back: its targets drain for some seconds
		s.former[o.Version] = true
	}
	o.step(o.now, eventReplaced)
	s.history = append(s.history, o.RolloutOrder)
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
	s.order, s.outdated = nil, true
}

// isEarlier reports whether an order is one that was replaced before, which a restore of the
// log has brought back.
func (s *service) isEarlier(o model.RolloutOrder) bool {
	for _, h := range s.history {
		if h.SameAs(o) && h.Position.Offset == o.Position.Offset {
			return true
		}
	}
	return false
}

// isLateStatus reports whether a status is that of an earlier order, written by a node that
// learned late of the current one. One that is complete may also be that of a newer order
// back to the earlier version, whose targets must not be stopped by a status written over it.
func (s *service) isLateStatus(status model.RolloutStatus) bool {
	return status.State != model.RolloutStateComplete &&
		slices.ContainsFunc(s.history, func(h model.RolloutOrder) bool { return h.Version == status.Version })
}

// restricted reports whether targets of the service may not be chosen freely.
func (s *service) restricted(now time.Time) bool {
	if len(s.former) > 0 || s.order != nil && !s.order.released(now) {
		return true
	}
	for version := range s.census.versions {
		if s.census.fresh(now, version) {
			return true
		}
	}
	return false
}

// tick runs what is due and reports whether it must be called again soon.
func (s *service) tick(now time.Time) bool {
	s.outdated = true // classes depend on the time
	for version := range s.former {
		if _, present := s.census.versions[version]; !present {
			delete(s.former, version)
		}
	}
	return s.order != nil && s.order.tick(now)
}

// refresh computes classes and canaries again if they are outdated.
func (s *service) refresh(now time.Time) {
	if !s.outdated {
		return
	}
	s.outdated = false
	s.classes = make(map[string]class)
	for _, t := range s.census.targets {
		if _, known := s.classes[t.version]; !known {
			s.classes[t.version] = s.classify(now, t.version)
		}
	}
	isBase := func(t *targetInfo) bool { return s.classOf(now, t) == classBase }
	s.baseUp, s.hasBase = false, false
	for _, t := range s.census.targets {
		if isBase(t) {
			s.hasBase, s.baseUp = true, s.baseUp || t.serving
		}
	}
	seed, turn := string(s.name), 0
	if s.order != nil {
		seed += " " + s.order.Version
		turn = int(now.Sub(s.order.startedAt) / canaryTurn)
	}
	s.canaries = s.census.concentrate(seed, turn, s.canaryShare(), func(t *targetInfo) bool {
		k := s.classOf(now, t)
		return k == classNew || k == classFresh
	}, isBase)
}

func (s *service) classify(now time.Time, version string) class {
	if o := s.order; o != nil {
		if k, decided := o.classify(now, version); decided {
			return k
		}
	}
	switch {
	case s.former[version]:
		return classFormer
	case s.census.fresh(now, version):
		return classFresh
	}
	return classBase
}

// classOf returns the class of a target. One that has not announced its version may have
// any.
func (s *service) classOf(now time.Time, t *targetInfo) class {
	if t.version == "" && s.order != nil && !s.order.released(now) && now.Sub(t.seenAt) < unknownVersionGrace {
		return classBanned
	}
	return s.classes[t.version]
}

// Filter tells whether a call may go to a target.
type Filter func(peer model.Instance) bool

// Filters returns which targets of a service the next call may go to: those that the first
// filter allows or, if none of them can be chosen, those of the next one. It returns nil if
// the call may go to any target.
func (c *Core) Filters(now time.Time, name model.Service) []Filter {
	s := c.services[name]
	if s == nil || !s.restricted(now) {
		return nil
	}
	s.refresh(now)
	canary := func(peer model.Instance) bool { return s.canaries[peer] }
	if s.order != nil && s.order.moved(now) {
		return []Filter{s.filter(now, classNew), s.filter(now, classBase)}
	}
	var out []Filter
	if s.share.due(s.canaryShare()) && !(s.order != nil && s.order.isolated) {
		out = append(out, canary)
	}
	out = append(out, s.filter(now, classBase))
	if !s.baseUp {
		out = append(out, s.filter(now, classFresh), s.filter(now, classFormer))
	}
	return out
}

// Carries reports whether a target gets its part of the service's calls, and not just the
// canary share or none.
func (c *Core) Carries(now time.Time, name model.Service, peer model.Instance) bool {
	s := c.services[name]
	if s == nil || !s.restricted(now) || s.census.targets[peer] == nil {
		return true
	}
	s.refresh(now)
	k := s.classOf(now, s.census.targets[peer])
	if s.order != nil && s.order.moved(now) {
		return k == classNew
	}
	return k == classBase || !s.baseUp
}

func (s *service) filter(now time.Time, k class) Filter {
	return func(peer model.Instance) bool {
		t := s.census.targets[peer]
		return t != nil && s.classOf(now, t) == k
	}
}

// OnSent handles a call that is sent to a target, and returns the target's version.
func (c *Core) OnSent(now time.Time, name model.Service, peer model.Instance) string {
	s := c.service(name)
	t := s.census.targets[peer]
	if t == nil {
		return ""
	}
	s.census.running[t.version]++
	if s.restricted(now) {
		s.refresh(now)
		k := s.classOf(now, t)
		s.share.onSent(s.canaryShare(), k == classNew || k == classFresh)
	}
	return t.version
}

// OnEnded handles the end of a call that was sent to a target of a version.
func (c *Core) OnEnded(name model.Service, version string) {
	s := c.service(name)
	if s.census.running[version]--; s.census.running[version] <= 0 {
		delete(s.census.running, version)
	}
}

// OnResponse counts a response for its target's version.
func (c *Core) OnResponse(now time.Time, r Response) {
	s := c.services[r.Service]
	if s == nil || s.order == nil || s.order.ended() || r.Cut && c.rng.Float64() >= cutWeight {
		return
	}
	if isNew := r.Version == s.order.Version; isNew || s.classify(now, r.Version) == classBase {
		s.order.statistics.add(r, isNew)
	}
}
