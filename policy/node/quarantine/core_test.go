package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	crashing = uint64(1)
	popular  = uint64(2)
)

// service runs the nodes of a service in virtual time.
type service struct {
	t       *testing.T
	now     time.Time
	nodes   []*Core
	lastID  model.CallID
	pending []Message // not yet delivered
}

func newService(t *testing.T, targets int) *service {
	s := &service{t: t, now: time.Unix(1_800_000_000, 0)}
	for i := range targets {
		s.nodes = append(s.nodes, New(model.Instance(fmt.Sprintf("registry-%d", i))))
	}
	return s
}

// arrive checks a call at a node and returns its id and the refusal, if any.
func (s *service) arrive(node int, fingerprint uint64, lostTargets ...model.Instance) (model.CallID, *model.Answer) {
	s.lastID++
	call := &model.Call{ID: s.lastID, Fingerprint: fingerprint, LostTargets: lostTargets}
	return s.lastID, s.nodes[node].Check(s.now, call)
}

func (s *service) admit(node int, fingerprint uint64, lostTargets ...model.Instance) model.CallID {
	s.t.Helper()
	id, refusal := s.arrive(node, fingerprint, lostTargets...)
	assert.Assert(s.t, refusal == nil, "%+v", refusal)
	s.nodes[node].OnStarted(id)
	return id
}

// loseTarget ends calls at a node with the loss of its target.
func (s *service) loseTarget(node int, ids ...model.CallID) {
	for _, id := range ids {
		a := model.NewFailure(id, model.ReasonTargetFailed, "connection reset")
		a.TargetLost = true
		s.nodes[node].OnEnded(s.now, a)
	}
	s.collect(node)
}

func (s *service) complete(node int, id model.CallID) {
	s.nodes[node].OnEnded(s.now, &model.Answer{ID: id, Run: model.Completed})
	s.collect(node)
}

func (s *service) collect(node int) { s.pending = append(s.pending, s.nodes[node].Messages()...) }

// deliverMessages delivers the pending messages to all nodes.
func (s *service) deliverMessages() {
	for _, message := range s.pending {
		for _, n := range s.nodes {
			if message.Mark != nil {
				n.OnMark(s.now, *message.Mark)
			} else {
				n.OnLifted(s.now, message.Lifted)
			}
		}
	}
	s.pending = nil
}

func (s *service) requireEverywhere(fingerprint uint64, reason model.Reason) {
	s.t.Helper()
	for i := range s.nodes {
		id, refusal := s.arrive(i, fingerprint)
		if reason == model.ReasonNone {
			assert.Assert(s.t, refusal == nil, "%+v", refusal)
			s.nodes[i].OnEnded(s.now, model.NewRefusal(id, model.ReasonShed, ""))
			continue
		}
		assert.Assert(s.t, refusal != nil)
		assert.Equal(s.t, refusal.Reason, reason)
		assert.Equal(s.t, refusal.Run, model.NotRun)
		assert.Assert(s.t, refusal.TargetLost)
	}
}

// Guards against a request that crashes more than two targets, and against refusing
// other requests because of it.
func TestCrashingRequestIsQuarantinedAfterTwoTargets(t *testing.T) {
	s := newService(t, 4)
	s.loseTarget(0, s.admit(0, crashing))
	s.deliverMessages()
	s.loseTarget(1, s.admit(1, crashing))
	s.deliverMessages()
	s.requireEverywhere(crashing, model.ReasonQuarantined)
	s.requireEverywhere(popular, model.ReasonNone)
}

// Guards against missing the first loss when a resent call arrives at another node
// before the mark does. The call names the lost target itself.
func TestResentCallCarriesLostTarget(t *testing.T) {
	s := newService(t, 3)
	s.loseTarget(0, s.admit(0, crashing))
	s.loseTarget(1, s.admit(1, crashing, "registry-0"))
	s.deliverMessages()
	s.requireEverywhere(crashing, model.ReasonQuarantined)
}

// Guards against quarantining a frequent request that ran at two targets when another
// request crashed them.
func TestPopularRequestInFlightAtTwoCrashesIsNotQuarantined(t *testing.T) {
	s := newService(t, 4)
	var first, second []model.CallID
	for range 50 {
		first = append(first, s.admit(0, popular))
		second = append(second, s.admit(1, popular))
	}
	first = append(first, s.admit(0, crashing))
	s.loseTarget(0, first...)
	second = append(second, s.admit(1, crashing, "registry-0"))
	s.loseTarget(1, second...)
	s.deliverMessages()
	s.requireEverywhere(crashing, model.ReasonQuarantined)
	s.requireEverywhere(popular, model.ReasonNone)
}

// Guards against quarantining a marked request that runs together with a call whose
// request was marked after its start. Either may cause the next loss.
func TestMarkedRequestIsShedWhileAnotherMarkedRequestRuns(t *testing.T) {
	s := newService(t, 3)
	second := s.admit(1, crashing)
	s.loseTarget(0, s.admit(0, popular), s.admit(0, crashing))
	s.deliverMessages()
	_, refusal := s.arrive(1, popular)
	assert.Equal(t, refusal.Reason, model.ReasonShed)
	s.loseTarget(1, second)
	s.deliverMessages()
	s.requireEverywhere(popular, model.ReasonNone)
}

// Guards against quarantining requests because two targets were lost at the same
// time, for example with their rack.
func TestSimultaneousLossesQuarantineNothing(t *testing.T) {
	s := newService(t, 4)
	a, b := s.admit(0, popular), s.admit(1, popular)
	s.loseTarget(0, a)
	s.loseTarget(1, b)
	s.deliverMessages()
	s.requireEverywhere(popular, model.ReasonNone)
}

// Guards against marked requests that run at one target at the same time, so that the
// cause of its loss would be unknown.
func TestMarkedRequestsRunOneAtATime(t *testing.T) {
	s := newService(t, 2)
	s.loseTarget(0, s.admit(0, crashing), s.admit(0, popular))
	s.deliverMessages()
	running := s.admit(1, crashing)
	s.admit(1, 3)
	_, refusal := s.arrive(1, popular)
	assert.Equal(t, refusal.Reason, model.ReasonShed)
	assert.Assert(t, refusal.TargetLost && refusal.RetryAfter > 0)
	s.complete(1, running)
	s.admit(1, popular)
}

// Guards against marks that remain after a run of the request has completed.
func TestCompletedRunClearsMarksEverywhere(t *testing.T) {
	s := newService(t, 3)
	before := s.admit(2, popular)
	s.loseTarget(0, s.admit(0, popular))
	s.deliverMessages()
	s.complete(2, before)
	s.deliverMessages()
	for _, n := range s.nodes {
		assert.Equal(t, n.MarkedCount(), 0)
	}
	s.loseTarget(1, s.admit(1, popular))
	s.deliverMessages()
	s.requireEverywhere(popular, model.ReasonNone)
}

// Guards against a quarantine that never ends.
func TestMarksExpire(t *testing.T) {
	s := newService(t, 2)
	s.loseTarget(0, s.admit(0, crashing))
	s.deliverMessages()
	s.loseTarget(1, s.admit(1, crashing))
	s.deliverMessages()
	s.requireEverywhere(crashing, model.ReasonQuarantined)
	s.now = s.now.Add(MarkLifetime)
	s.requireEverywhere(crashing, model.ReasonNone)
}

// Guards against marks for calls that were not handed to the target or whose deadline
// passed, and against an unlimited table of marked requests.
func TestOnlyTargetLossesCreateMarks(t *testing.T) {
	s := newService(t, 1)
	refused := model.NewRefusal(s.admit(0, crashing), model.ReasonTargetFailed, "connection refused")
	refused.TargetLost = true
	s.nodes[0].OnEnded(s.now, refused)
	s.nodes[0].OnEnded(s.now, model.NewFailure(s.admit(0, crashing), model.ReasonDeadline, ""))
	assert.Equal(t, s.nodes[0].MarkedCount(), 0)
	for i := range uint64(maxMarkedRequests + 10) {
		s.nodes[0].OnMark(s.now, Mark{Fingerprint: i, Target: "x", At: s.now})
	}
	assert.Equal(t, s.nodes[0].MarkedCount(), maxMarkedRequests)
}
