package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// remoteZonePenalty is the advantage that a target in another availability zone
	// must have to be chosen, as a fraction of the time until the call's SLO deadline.
	// Traffic between zones is expensive: in two deployments the traffic of a call of
	// some kilobytes costs a third of the value of its request.
	remoteZonePenalty = 0.35
	// remoteZonePenaltyNested is the same for nested calls. It is lower because a
	// request waits for several of them in sequence.
	remoteZonePenaltyNested = 0.2
	// choiceJitter bounds the random part that is added to a target's cost, as a
	// fraction of the cost without the penalty for failures. It makes nodes that see the
	// same loads choose different targets.
	choiceJitter = 0.1
	// defaultRunTime is the assumed run time until a target of the service reports
	// one.
	defaultRunTime = 50 * time.Millisecond
	// staleReportAge is the age from which a target's report counts as stale. Its node
	// reports at least about once per second, and sends its load with each answer.
	staleReportAge = 2 * time.Second
	// staleReportPenalty is added to the cost of a target whose node no longer
	// reports although the link to it is open.
	staleReportPenalty = 500 * time.Millisecond
	// failurePenalty is the cost of a target at which all calls fail, as a multiple of
	// the time until the call's SLO deadline: a failure uses up all of this time and
	// causes a retry. The median failure rate of the service's targets is subtracted,
	// since the cause of failures that most targets have in common is not in the
	// targets. Differences up to failureTolerance are ignored: they fluctuate under
	// overload, and all nodes would switch to the target that fails least.
	failurePenalty   = 2.0
	failureTolerance = 0.15
)

// target is the state of a target as known at this node.
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
	failureRate    float64 // fraction of calls that fail
	reportedAt     time.Time
	otherNodesLoad int // running and queued calls of other nodes
	outstanding    int // calls of this node in progress at the target
	running        int // calls, as last reported
	nested         int // running calls that are nested in others, as last reported
	shedFraction   float64
	queueDelay     time.Duration
}

// targetSet holds the known targets of all services.
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
	t.running, t.nested, t.shedFraction, t.queueDelay = r.Running, r.Nested, r.ShedFraction, r.QueueDelay
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

// choose returns the target of the call's service with the lowest cost, or nil if there
// is none. The cost is the expected time until the end of the call plus penalties for
// failures, stale reports and traffic to another availability zone.
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

// expectedTime returns the expected time until a call ends at a target, without regard to
// penalties.
func (s *targetSet) expectedTime(t *target) time.Duration {
	assumedRunTime, _ := serviceBaseline(s.byService[t.service])
	return time.Duration(s.runCost(t, assumedRunTime) * float64(time.Second))
}

// serviceBaseline returns the shortest run time of a service's targets, or
// defaultRunTime if none has reported one, and the lower median of the failure rates of
// the serving targets. The run time is assumed for targets that have not run calls
// recently, so that targets that are new, or were slow, are tried.
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

// cost returns the cost of a target without its failures: the expected time in seconds
// until a call ends there, plus zonePenalty if it is in another availability zone, plus
// staleReportPenalty if its report is stale.
func (s *targetSet) cost(now time.Time, t *target, assumedRunTime time.Duration, zonePenalty float64) float64 {
	cost := s.runCost(t, assumedRunTime)
	if t.zone != s.zone {
		cost += zonePenalty
	}
	if t.peer != s.self && now.Sub(t.reportedAt) > staleReportAge {
		cost += staleReportPenalty.Seconds()
	}
	return cost
}

// runCost returns the expected time in seconds until a call ends at a target.
func (s *targetSet) runCost(t *target, assumedRunTime time.Duration) float64 {
	runTime := t.runTime
	if runTime <= 0 {
		runTime = assumedRunTime
	}
	utilization := float64(t.otherNodesLoad+t.outstanding+1) / float64(max(t.limit, 1))
	// A run takes a fifth longer at full utilization; beyond that, a call also waits for
	// the calls ahead of it.
	cost := runTime.Seconds() * (1 + 0.2*utilization)
	if utilization > 1 {
		cost += runTime.Seconds() * (utilization - 1)
	}
	if t.cold && t.coldRate > 0 {
		cost += float64(t.otherNodesLoad+t.outstanding+1) / t.coldRate
	}
	return cost
}
