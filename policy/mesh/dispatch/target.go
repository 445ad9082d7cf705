// This file holds the known targets and what reports and answers say about them.

package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/mesh/rollout"
	"github.com/oleanderworks/oleanderworks/policy/mesh/zoneshare"
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
	otherNodesLoad int     // running and queued calls of other nodes
	outstanding    int     // calls of this node in progress at the target
	running        int     // calls, as last reported
	nested         int     // running calls that are nested in others, as last reported
	shedFraction   float64 // fraction of calls that are turned away for lack of room
	queueDelay     time.Duration
}

// targetSet holds the known targets of all services.
type targetSet struct {
	self      model.Instance
	zone      model.Zone
	rng       *rand.Rand
	byPeer    map[model.Instance]*target
	byService map[model.Service][]*target
	allowed   rollout.Filter          // which targets the choice in progress allows; nil for all
	groups    [groupCount][]candidate // of the latest choice; kept for their memory
	zoneGroup []candidate             // the same, of one other zone

	shares       map[shareKey]*zoneshare.Share // of the calls that leave the zone
	shareChanges []ZoneShare
}

func newTargetSet(self model.Instance, zone model.Zone, rng *rand.Rand) *targetSet {
	return &targetSet{
		self:      self,
		zone:      zone,
		rng:       rng,
		byPeer:    make(map[model.Instance]*target),
		byService: make(map[model.Service][]*target),
		shares:    make(map[shareKey]*zoneshare.Share),
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
