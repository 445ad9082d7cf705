package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// remoteZonePenalty is the fraction of the time until a call's SLO deadline by
	// which a target in another availability zone must be faster to be chosen.
	// Traffic between zones is expensive: in two deployments the traffic of a call
	// of some kilobytes costs a third of what its request is worth.
	remoteZonePenalty = 0.35
	// remoteZonePenaltyNested is the same for nested calls. It is lower because a
	// request waits for several of them, one after the other.
	remoteZonePenaltyNested = 0.2
	// choiceJitter is the largest part of a target's cost that is added at random,
	// as a fraction. It makes nodes that see the same loads choose different
	// targets.
	choiceJitter = 0.1
	// defaultRunTime is the assumed run time until a target of the service reports
	// one.
	defaultRunTime = 50 * time.Millisecond
	// staleReportAge is the age from which a target's report counts as stale. Its
	// node reports four times a second, and its load also with each answer.
	staleReportAge = 2 * time.Second
	// staleReportPenalty is added to the cost of a target whose node no longer
	// reports although the link to it is open.
	staleReportPenalty = 500 * time.Millisecond
	// failurePenalty is the multiple of the time until a call's SLO deadline by
	// which a target at which all calls fail must be faster to be chosen: a failure
	// costs the call all of this time, and a retry. The failure rate that most
	// targets of the service have in common does not count, since its cause is not
	// in these targets. Differences up to failureTolerance do not count either:
	// they come and go under overload, and all callers would turn to the target
	// that fails least.
	failurePenalty   = 2.0
	failureTolerance = 0.15
)

// target is what this node knows of a target.
type target struct {
	peer           model.Instance
	zone           model.Zone
	service        model.Service
	state          model.TargetState
	linkUp         bool
	cold           bool
	coldRate       float64
	limit          int
	runTime        time.Duration
	failureRate    float64 // fraction of the calls that fail there
	reportedAt     time.Time
	otherNodesLoad int // other nodes' calls, running and queued
	outstanding    int // this node's calls in progress there
}

type targetSet struct {
	self      model.Instance
	zone      model.Zone
	rng       *rand.Rand
	byPeer    map[model.Instance]*target
	byService map[model.Service][]*target
}

func newTargetSet(self model.Instance, zone model.Zone, rng *rand.Rand) *targetSet {
	return &targetSet{
		self:      self,
		zone:      zone,
		rng:       rng,
		byPeer:    make(map[model.Instance]*target),
		byService: make(map[model.Service][]*target),
	}
}

func (s *targetSet) onReport(now time.Time, r *model.NodeReport) {
	t := s.byPeer[r.Node.Instance]
	if t != nil && t.service != r.Service {
		s.remove(t)
		t = nil
	}
	if t == nil {
		t = &target{peer: r.Node.Instance, service: r.Service}
		s.byPeer[t.peer] = t
		s.byService[t.service] = append(s.byService[t.service], t)
	}
	t.zone, t.state, t.linkUp = r.Zone, r.State, true
	t.cold, t.coldRate = r.Cold, r.ColdRate
	t.limit, t.runTime, t.failureRate, t.reportedAt = r.Limit, r.MeanRunTime, r.FailureRate, now
	t.otherNodesLoad = max(r.Running+r.Queued-t.outstanding, 0)
}

func (s *targetSet) remove(t *target) {
	delete(s.byPeer, t.peer)
	list := s.byService[t.service]
	s.byService[t.service] = slices.DeleteFunc(list, func(o *target) bool { return o == t })
}

func (s *targetSet) onLinkLost(peer model.Instance) {
	if t := s.byPeer[peer]; t != nil {
		t.linkUp = false
	}
}

// onAnswer updates the load from an answer, and the state from the reason of a
// refusal.
func (t *target) onAnswer(now time.Time, a *model.Answer) {
	if a.Load.InFlight > 0 || a.Load.Queued > 0 {
		t.otherNodesLoad = max(a.Load.InFlight+a.Load.Queued-t.outstanding, 0)
	}
	if a.Run != model.NotRun {
		return
	}
	switch a.Reason {
	case model.ReasonTargetLeaving:
		t.state = model.TargetLeaving
	case model.ReasonTargetFailed:
		t.state = model.TargetLost
	case model.ReasonZoneOut, model.ReasonNoTarget:
		t.state = model.TargetUnknown
	}
}

func (t *target) reportAge(now time.Time) time.Duration { return now.Sub(t.reportedAt) }

// choose returns the target of the call's service with the lowest cost, mainly the
// time until the expected end of the call, or nil if there is none. A target in
// another availability zone is chosen only if the time saved is worth the cost of
// the traffic.
func (s *targetSet) choose(now time.Time, call *model.Call, tried []*target, zonesOut map[model.Zone]bool) *target {
	var best *target
	var bestCost float64
	assumedRunTime, medianFailureRate := serviceBaseline(s.byService[call.Service])
	zonePenalty := remoteZonePenalty
	if call.Nested {
		zonePenalty = remoteZonePenaltyNested
	}
	timeLeft := max(call.SLODeadline.Sub(now), 0).Seconds()
	zonePenalty *= timeLeft
	for _, t := range s.byService[call.Service] {
		if !t.linkUp || t.state != model.TargetServing || zonesOut[t.zone] || slices.Contains(tried, t) {
			continue
		}
		cost := s.cost(now, t, assumedRunTime, zonePenalty) * (1 + choiceJitter*s.rng.Float64())
		cost += max(t.failureRate-medianFailureRate-failureTolerance, 0) * failurePenalty * timeLeft
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// serviceBaseline returns the shortest run time of a service's targets, or
// defaultRunTime if none has reported one, and the lower median of the failure rates
// of those that serve. The run time is assumed for targets that have run nothing
// lately, so that a target that is new, or was slow, is tried.
func serviceBaseline(candidates []*target) (assumedRunTime time.Duration, medianFailureRate float64) {
	rates := make([]float64, 0, len(candidates))
	for _, t := range candidates {
		if t.runTime > 0 && (assumedRunTime == 0 || t.runTime < assumedRunTime) {
			assumedRunTime = t.runTime
		}
		if t.linkUp && t.state == model.TargetServing {
			rates = append(rates, t.failureRate)
		}
	}
	if len(rates) > 0 {
		slices.Sort(rates)
		medianFailureRate = rates[(len(rates)-1)/2]
	}
	if assumedRunTime == 0 {
		assumedRunTime = defaultRunTime
	}
	return assumedRunTime, medianFailureRate
}

// cost estimates the time until the end of a request at a target, in seconds.
// zonePenalty is added for a target in another availability zone.
func (s *targetSet) cost(now time.Time, t *target, assumedRunTime time.Duration, zonePenalty float64) float64 {
	runTime := t.runTime
	if runTime <= 0 {
		runTime = assumedRunTime
	}
	utilization := float64(t.otherNodesLoad+t.outstanding+1) / float64(max(t.limit, 1))
	// A run takes a fifth longer at full use; beyond that a call also waits for those
	// ahead of it.
	cost := runTime.Seconds() * (1 + 0.2*utilization)
	if utilization > 1 {
		cost += runTime.Seconds() * (utilization - 1)
	}
	if t.cold && t.coldRate > 0 {
		cost += float64(t.otherNodesLoad+t.outstanding+1) / t.coldRate
	}
	if t.zone != s.zone {
		cost += zonePenalty
	}
	if t.peer != s.self && now.Sub(t.reportedAt) > staleReportAge {
		cost += staleReportPenalty.Seconds()
	}
	return cost
}
