package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// Guards against handing a request over twice when its claim arrives twice,
// and against answering "not run" for a request that was handed over. A later
// attempt may pass only if the earlier one was refused without running.
func TestRequestIsHandedOverOnce(t *testing.T) {
	f := newFixture(t, 1)
	f.setWarm()
	claim := model.Claim{Customer: "c0", RequestID: uuid.Must(uuid.NewV7()), Target: f.core.self.NodeID}
	arrive := func(attempt int, change func(*model.Claim)) model.CallID {
		return f.arrive("c0", "filing", func(c *model.Call) {
			own := claim
			own.Attempt = attempt
			if change != nil {
				change(&own)
			}
			c.Claim = &own
		})
	}
	wantAnswer := func(id model.CallID, reason model.Reason, run model.RunState) {
		t.Helper()
		assert.Assert(t, f.refusals[id] != nil, "call %d has no refusal", id)
		assert.Equal(t, f.refusals[id].Reason, reason)
		assert.Equal(t, f.refusals[id].Run, run)
	}

	otherIncarnation := arrive(0, func(c *model.Claim) { c.Target.Incarnation++ })
	wantAnswer(otherIncarnation, model.ReasonClaimUnavailable, model.NotRun)

	busy := f.arrive("c0", "filing")
	waiting := arrive(0, nil)
	f.core.OnCanceled(f.now, waiting)
	f.collect()
	wantAnswer(waiting, model.ReasonCanceled, model.NotRun)
	wantAnswer(arrive(0, nil), model.ReasonClaimUnavailable, model.NotRun)

	f.finish(busy, ResultOK)
	first := arrive(1, nil)
	assert.Assert(t, f.running[first])
	f.finish(first, ResultConnectionRefused)
	f.setWarm()
	second := arrive(2, nil)
	assert.Assert(t, f.running[second])
	f.finish(second, ResultOK)
	wantAnswer(arrive(3, nil), model.ReasonInProgress, model.RunUnknown)
}

// Guards against refusing valid claims at a node that joined again after it
// was wrongly removed, and against accepting claims for an earlier process of
// the node, whose handoff history is lost.
func TestClaimsOfAnnouncedIncarnationsAreAccepted(t *testing.T) {
	self := model.Member{NodeID: model.NodeID{Instance: testInstance, Incarnation: 2}, Service: testService}
	c := New(self, Options{Rand: rand.New(rand.NewPCG(1, 1))})
	now := time.Unix(1_770_000_000, 0)
	announce := func(i model.Incarnation) {
		m := self
		m.Incarnation = i
		c.recordIncarnations(&model.Snapshot{Members: map[model.Service][]model.Member{testService: {m}}})
	}
	passes := func(i model.Incarnation) bool {
		claim := &model.Claim{Customer: "c0", RequestID: uuid.Must(uuid.NewV7())}
		claim.Target = model.NodeID{Instance: testInstance, Incarnation: i}
		return c.checkClaim(now, &model.Call{Claim: claim}) == nil
	}
	announce(1)
	assert.Assert(t, passes(2) && !passes(1))
	announce(2)
	announce(3)
	assert.Assert(t, passes(2) && passes(3) && !passes(1))
}
