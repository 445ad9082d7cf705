package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	poison  = uint64(1)
	popular = uint64(2)
)

// service is the nodes of a service in virtual time.
type service struct {
	t     *testing.T
	now   time.Time
	nodes []*Core
	last  model.CallID
	held  []Notice // not yet delivered
}

func newService(t *testing.T, targets int) *service {
	s := &service{t: t, now: time.Unix(1_800_000_000, 0)}
	for i := range targets {
		s.nodes = append(s.nodes, New(model.Instance(fmt.Sprintf("registry-%d", i))))
	}
	return s
}

// arrive sends a request to a node and returns its id and the refusal, if any.
func (s *service) arrive(node int, fingerprint uint64, lostOn ...model.Instance) (model.CallID, *model.Answer) {
	s.last++
	call := &model.Call{ID: s.last, Fingerprint: fingerprint, LostTargets: lostOn}
	return s.last, s.nodes[node].Check(s.now, call)
}

func (s *service) admit(node int, fingerprint uint64, lostOn ...model.Instance) model.CallID {
	s.t.Helper()
	id, refusal := s.arrive(node, fingerprint, lostOn...)
	assert.Assert(s.t, refusal == nil, "%+v", refusal)
	s.nodes[node].Started(id)
	return id
}

// lose ends calls of a node with the loss of its target.
func (s *service) lose(node int, ids ...model.CallID) {
	for _, id := range ids {
		a := model.NewFailure(id, model.ReasonTargetFailed, "connection reset")
		a.TargetLost = true
		s.nodes[node].Ended(s.now, a)
	}
	s.collect(node)
}

func (s *service) complete(node int, id model.CallID) {
	s.nodes[node].Ended(s.now, &model.Answer{ID: id, Run: model.Completed})
	s.collect(node)
}

func (s *service) collect(node int) { s.held = append(s.held, s.nodes[node].Notices()...) }

// spread delivers the notices to all nodes.
func (s *service) spread() {
	for _, notice := range s.held {
		for _, n := range s.nodes {
			if notice.Mark != nil {
				n.OnMark(s.now, *notice.Mark)
			} else {
				n.OnLifted(s.now, notice.Lifted)
			}
		}
	}
	s.held = nil
}

func (s *service) wantEverywhere(fingerprint uint64, reason model.Reason) {
	s.t.Helper()
	for i := range s.nodes {
		id, refusal := s.arrive(i, fingerprint)
		if reason == model.ReasonNone {
			assert.Assert(s.t, refusal == nil, "%+v", refusal)
			s.nodes[i].Ended(s.now, model.NewRefusal(id, model.ReasonShed, ""))
			continue
		}
		assert.Assert(s.t, refusal != nil)
		assert.Equal(s.t, refusal.Reason, reason)
		assert.Equal(s.t, refusal.Run, model.NotRun)
		assert.Assert(s.t, refusal.TargetLost)
	}
}

// Guards against a request that crashes every target which runs it, and
// against the refusal of other requests.
func TestCrashingRequestIsQuarantinedAfterTwoTargets(t *testing.T) {
	s := newService(t, 4)
	s.lose(0, s.admit(0, poison))
	s.spread()
	s.lose(1, s.admit(1, poison))
	s.spread()
	s.wantEverywhere(poison, model.ReasonQuarantined)
	s.wantEverywhere(popular, model.ReasonNone)
}

// Guards against a re-send that outruns the mark: the call itself carries the
// name of the lost target.
func TestResentCallCarriesLostTarget(t *testing.T) {
	s := newService(t, 3)
	s.lose(0, s.admit(0, poison))
	s.lose(1, s.admit(1, poison, "registry-0"))
	s.spread()
	s.wantEverywhere(poison, model.ReasonQuarantined)
}

// Guards against a false quarantine of many equal requests that were in
// flight at two crashes which another request caused.
func TestPopularRequestInFlightAtTwoCrashesIsNotQuarantined(t *testing.T) {
	s := newService(t, 4)
	var first, second []model.CallID
	for range 50 {
		first = append(first, s.admit(0, popular))
		second = append(second, s.admit(1, popular))
	}
	first = append(first, s.admit(0, poison))
	s.lose(0, first...)
	second = append(second, s.admit(1, poison, "registry-0"))
	s.lose(1, second...)
	s.spread()
	s.wantEverywhere(poison, model.ReasonQuarantined)
	s.wantEverywhere(popular, model.ReasonNone)
}

// Guards against a false quarantine of a marked request that runs beside one
// whose mark came after its start: either may be the cause of the next loss.
func TestMarkedRequestIsShedWhileAnotherMarkedRequestRuns(t *testing.T) {
	s := newService(t, 3)
	second := s.admit(1, poison)
	s.lose(0, s.admit(0, popular), s.admit(0, poison))
	s.spread()
	_, refusal := s.arrive(1, popular)
	assert.Equal(t, refusal.Reason, model.ReasonShed)
	s.lose(1, second)
	s.spread()
	s.wantEverywhere(popular, model.ReasonNone)
}

// Guards against a false quarantine when two targets are lost at the same
// time, as with a rack.
func TestSimultaneousLossesQuarantineNothing(t *testing.T) {
	s := newService(t, 4)
	a, b := s.admit(0, popular), s.admit(1, popular)
	s.lose(0, a)
	s.lose(1, b)
	s.spread()
	s.wantEverywhere(popular, model.ReasonNone)
}

// Guards against marked requests that run beside each other, so that the
// cause of a second loss would be open.
func TestMarkedRequestsRunOneAtATime(t *testing.T) {
	s := newService(t, 2)
	s.lose(0, s.admit(0, poison), s.admit(0, popular))
	s.spread()
	running := s.admit(1, poison)
	s.admit(1, 3)
	_, refusal := s.arrive(1, popular)
	assert.Equal(t, refusal.Reason, model.ReasonShed)
	assert.Assert(t, refusal.TargetLost && refusal.RetryAfter > 0)
	s.complete(1, running)
	s.admit(1, popular)
}

// Guards against marks that outlive a completed run of the request.
func TestCompletedRunClearsMarksEverywhere(t *testing.T) {
	s := newService(t, 3)
	before := s.admit(2, popular)
	s.lose(0, s.admit(0, popular))
	s.spread()
	s.complete(2, before)
	s.spread()
	for _, n := range s.nodes {
		assert.Equal(t, n.MarkedCount(), 0)
	}
	s.lose(1, s.admit(1, popular))
	s.spread()
	s.wantEverywhere(popular, model.ReasonNone)
}

// Guards against a quarantine without end.
func TestMarksExpire(t *testing.T) {
	s := newService(t, 2)
	s.lose(0, s.admit(0, poison))
	s.spread()
	s.lose(1, s.admit(1, poison))
	s.spread()
	s.wantEverywhere(poison, model.ReasonQuarantined)
	s.now = s.now.Add(MarkLifetime)
	s.wantEverywhere(poison, model.ReasonNone)
}

// Guards against marks for calls that the target was never handed or whose
// caller has gone, and against a table without bound.
func TestOnlyTargetLossesCreateMarks(t *testing.T) {
	s := newService(t, 1)
	refused := model.NewRefusal(s.admit(0, poison), model.ReasonTargetFailed, "connection refused")
	refused.TargetLost = true
	s.nodes[0].Ended(s.now, refused)
	s.nodes[0].Ended(s.now, model.NewFailure(s.admit(0, poison), model.ReasonDeadline, ""))
	assert.Equal(t, s.nodes[0].MarkedCount(), 0)
	for i := range uint64(maxMarks + 10) {
		s.nodes[0].OnMark(s.now, Mark{Fingerprint: i, Target: "x", At: s.now})
	}
	assert.Equal(t, s.nodes[0].MarkedCount(), maxMarks)
}
