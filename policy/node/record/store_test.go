package record

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
)

// testVoter is a store whose node is the only member of a group.
type testVoter struct {
	*Store
	voterState *quorum.VoterState
	now        time.Time
	self       model.NodeID
	id         model.RequestID
}

func newTestVoter() *testVoter {
	v := &testVoter{now: time.Unix(1_770_000_000, 0), self: model.NodeID{Instance: "tally-1", Incarnation: 1}}
	v.voterState = quorum.NewVoterState(v.self, rand.New(rand.NewPCG(1, 1)))
	v.voterState.SetLogContact(v.now)
	v.voterState.OnComposition(v.now, &model.GroupRecord{Region: "viti", Epoch: 1, Members: []model.Member{{NodeID: v.self}}})
	v.Store = NewStore(v.voterState)
	v.id = idAt(v.now, 1)
	return v
}

func (v *testVoter) ballot() quorum.Ballot {
	return quorum.Ballot{Group: model.GroupKey{Region: "viti"}, Epoch: 1, Voter: v.self}
}

func (v *testVoter) claim(call model.CallID, round int) *ClaimAnswer {
	v.voterState.SetLogContact(v.now)
	return v.OnClaim(v.now, &ClaimRequest{
		Ballot: v.ballot(), Key: RequestKey{"herders", v.id}, Holder: Holder{v.self, call}, Target: v.self, Round: round,
	})
}

func (v *testVoter) release(call model.CallID, round int) {
	v.OnRelease(v.now, &ClaimRelease{Ballot: v.ballot(), Key: RequestKey{"herders", v.id}, Holder: Holder{v.self, call}, Round: round})
}

// Guards against a late release, or a late copy of a claim from an old round,
// that changes a newer claim.
func TestLateMessagesOfOldRoundsAreIgnored(t *testing.T) {
	v := newTestVoter()
	assert.Equal(t, v.claim(1, 1).Vote, VoteYes)
	assert.Equal(t, v.claim(2, 1).Vote, VoteClaimed)
	assert.Equal(t, v.claim(1, 2).Vote, VoteYes)
	v.release(1, 1)
	assert.Equal(t, v.claim(2, 1).Vote, VoteClaimed)
	assert.Equal(t, v.claim(1, 1).Vote, VoteClaimed)
	v.release(2, 9)
	assert.Equal(t, v.claim(2, 1).Vote, VoteClaimed)
	v.release(1, 2)
	assert.Equal(t, v.claim(1, 2).Vote, VoteClaimed)
	assert.Equal(t, v.claim(2, 1).Vote, VoteYes)
}

// Guards against a second answer that replaces the first, and against large
// answers that exhaust the memory of the node.
func TestFirstAnswerIsKept(t *testing.T) {
	v := newTestVoter()
	v.claim(1, 1)
	complete := func(body []byte) {
		a := &model.Answer{Run: model.Completed, Status: 201, Body: body}
		v.OnComplete(v.now, &ClaimComplete{Ballot: v.ballot(), Key: RequestKey{"herders", v.id}, Holder: Holder{v.self, 1}, Answer: a})
	}
	complete([]byte("first"))
	complete([]byte("second"))
	a := v.claim(2, 1)
	assert.Equal(t, a.Vote, VoteCompleted)
	assert.Equal(t, string(a.Answer.Body), "first")

	v.id = idAt(v.now, 2)
	v.claim(1, 1)
	complete(make([]byte, MaxStoredAnswerBytes+1))
	a = v.claim(2, 1)
	assert.Equal(t, a.Vote, VoteCompleted)
	assert.Equal(t, len(a.Answer.Body), 0)
	assert.Equal(t, a.Answer.Run, model.Completed)
}

// Guards against an id that is accepted again after its record was dropped,
// also when the wall clock has been set back in between.
func TestDroppedIDIsNotAcceptedAgain(t *testing.T) {
	v := newTestVoter()
	start := v.now
	v.claim(1, 1)
	v.now = start.Add(MaxIDAge + MaxIDAhead + time.Second)
	v.Tick(v.now)
	assert.Equal(t, v.Len(), 0)
	assert.Equal(t, v.claim(2, 1).Vote, VoteTooOld)
	v.now = start.Add(time.Minute)
	assert.Equal(t, v.claim(2, 1).Vote, VoteTooOld)
	v.id = idAt(v.now.Add(MaxIDAhead+time.Second), 3)
	assert.Equal(t, v.claim(2, 1).Vote, VoteTooFarAhead)
}

// Guards against a history that drops handoffs too early, grows without bound,
// or allows the handoff of an attempt that was refused before.
func TestHandoffHistoryIsBounded(t *testing.T) {
	now := time.Unix(1_770_000_000, 0)
	h := NewHandoffHistory(2)
	claim := func(n uint64, attempt int) *model.Claim {
		return &model.Claim{Customer: "herders", RequestID: idAt(now, n), Attempt: attempt}
	}
	assert.Equal(t, h.Check(now, claim(1, 0)), FirstHandoff)
	assert.Equal(t, h.Check(now, claim(1, 0)), AlreadyHandedOver)
	h.MarkRefused(claim(1, 0))
	assert.Equal(t, h.Check(now, claim(1, 0)), OutdatedAttempt)
	assert.Equal(t, h.Check(now, claim(1, 1)), FirstHandoff)
	assert.Equal(t, h.Check(now, claim(2, 0)), FirstHandoff)
	assert.Equal(t, h.Check(now, claim(3, 0)), HistoryFull)
	assert.Equal(t, h.Check(now.Add(RetentionTime), claim(1, 2)), AlreadyHandedOver)
	assert.Equal(t, h.Check(now.Add(RetentionTime+MaxIDAhead+time.Second), claim(3, 0)), FirstHandoff)
	assert.Equal(t, h.Len(), 1)
}
