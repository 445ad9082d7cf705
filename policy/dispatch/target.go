package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// farPenalty is the part of the time until a call's objective by which a
	// target in another availability zone must be faster to be chosen. Bytes
	// between zones are dear: two of the deployments price those of a call of
	// some kilobytes like a third of a request's worth.
	farPenalty = 0.35
	// farPenaltyInner is the same for calls that targets make. A request waits
	// for several of them, one after the other.
	farPenaltyInner = 0.2
	// choiceJitter spreads the choices of nodes that see the same loads.
	choiceJitter = 0.1
	// defaultRunTime stands for a run time that is not known yet.
	defaultRunTime = 50 * time.Millisecond
	// staleReport is the age at which a target's report is not trusted any
	// more. Its node reports four times a second and with each answer.
	staleReport = 2 * time.Second
	// lostPenalty is added to the cost of a target whose node has fallen
	// silent but whose link is open.
	lostPenalty = 500 * time.Millisecond
	// failingPenalty is the part of the time until a call's objective that a
	// target at which all calls fail must be faster to be chosen: a failure
	// costs the whole of it, and a repeat. What also fails at most targets of the
	// service does not count, since its cause lies behind the service, nor do
	// differences of failingBand: they come and go under overload, and all callers
	// would run to the target that fails least.
	failingPenalty = 2.0
	failingBand    = 0.15
)

// target is a target as this node sees it.
type target struct {
	peer        model.Instance
	zone        model.Zone
	service     model.Service
	state       model.TargetState
	linked      bool
	cold        bool
	coldRate    float64
	limit       int
	runTime     time.Duration
	failing     float64 // share of the calls that fail there
	reported    time.Time
	load        int // running and queued at its node, of other nodes
	outstanding int // of this node
}

type targets struct {
	self      model.Instance
	zone      model.Zone
	rng       *rand.Rand
	byPeer    map[model.Instance]*target
	byService map[model.Service][]*target
}

func newTargets(self model.Instance, zone model.Zone, rng *rand.Rand) *targets {
	return &targets{
		self:      self,
		zone:      zone,
		rng:       rng,
		byPeer:    make(map[model.Instance]*target),
		byService: make(map[model.Service][]*target),
	}
}

func (s *targets) onReport(now time.Time, r *model.NodeReport) {
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
	t.zone, t.state, t.linked = r.Zone, r.State, true
	t.cold, t.coldRate = r.Cold, r.ColdRate
	t.limit, t.runTime, t.failing, t.reported = r.Limit, r.MeanRunTime, r.FailureRate, now
	t.load = max(r.Running+r.Queued-t.outstanding, 0)
}

func (s *targets) remove(t *target) {
	delete(s.byPeer, t.peer)
	list := s.byService[t.service]
	s.byService[t.service] = slices.DeleteFunc(list, func(o *target) bool { return o == t })
}

func (s *targets) onLost(peer model.Instance) {
	if t := s.byPeer[peer]; t != nil {
		t.linked = false
	}
}

// onAnswer learns the load that came with an answer, and the state that a
// refusal shows.
func (t *target) onAnswer(now time.Time, a *model.Answer) {
	if a.Load.InFlight > 0 || a.Load.Queued > 0 {
		t.load = max(a.Load.InFlight+a.Load.Queued-t.outstanding, 0)
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

func (t *target) age(now time.Time) time.Duration { return now.Sub(t.reported) }

// choose returns the target of the call's service at which it can expect the
// earliest end, or nil. A target in another availability zone is taken only if
// the wait in the own zone is worth the price of the way.
func (s *targets) choose(now time.Time, call *model.Call, tried []*target, out map[model.Zone]bool) *target {
	var best *target
	var least float64
	usual, usualFailing := usualTarget(s.byService[call.Service])
	far := farPenalty
	if call.Nested {
		far = farPenaltyInner
	}
	left := max(call.SLODeadline.Sub(now), 0).Seconds()
	far *= left
	for _, t := range s.byService[call.Service] {
		if !t.linked || t.state != model.TargetServing || out[t.zone] || slices.Contains(tried, t) {
			continue
		}
		cost := s.cost(now, t, usual, far) * (1 + choiceJitter*s.rng.Float64())
		cost += max(t.failing-usualFailing-failingBand, 0) * failingPenalty * left
		if best == nil || cost < least {
			best, least = t, cost
		}
	}
	return best
}

// usualTarget returns the least run time of a service's targets, and the share
// of failures that half of those that serve do not exceed. The run time stands
// for that of a target that has run nothing lately, so that one that is new, or
// was slow, is tried.
func usualTarget(list []*target) (usual time.Duration, failing float64) {
	shares := make([]float64, 0, len(list))
	for _, t := range list {
		if t.runTime > 0 && (usual == 0 || t.runTime < usual) {
			usual = t.runTime
		}
		if t.linked && t.state == model.TargetServing {
			shares = append(shares, t.failing)
		}
	}
	if len(shares) > 0 {
		slices.Sort(shares)
		failing = shares[(len(shares)-1)/2]
	}
	if usual == 0 {
		usual = defaultRunTime
	}
	return usual, failing
}

// cost estimates the time until the end of a request at a target, in seconds.
// far is added for one in another availability zone.
func (s *targets) cost(now time.Time, t *target, usual time.Duration, far float64) float64 {
	runTime := t.runTime
	if runTime <= 0 {
		runTime = usual
	}
	use := float64(t.load+t.outstanding+1) / float64(max(t.limit, 1))
	cost := runTime.Seconds() * (1 + 0.2*use)
	if use > 1 {
		cost += runTime.Seconds() * (use - 1)
	}
	if t.cold && t.coldRate > 0 {
		cost += float64(t.load+t.outstanding+1) / t.coldRate
	}
	if t.zone != s.zone {
		cost += far
	}
	if t.peer != s.self && now.Sub(t.reported) > staleReport {
		cost += lostPenalty.Seconds()
	}
	return cost
}
