package routing

import (
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
)

// requestClaim requests the exclusive right to hand a non-idempotent request to
// the chosen target. After an attempt that was not run, the attempt number is
// higher, so that the new claim replaces the earlier one.
func (r *callState) requestClaim() {
	c := r.core
	c.awaitingClaim[r.id] = r
	r.claimWaitStart = r.now
	c.quorumRequests = append(c.quorumRequests, ClaimRequest{
		CallID:    r.id,
		Customer:  r.call.Customer,
		RequestID: r.call.RequestID,
		Target:    r.target.member.NodeID,
		Attempt:   r.call.Attempt,
	})
}

// claimEvent returns the event of the request chart for the result of a claim
// request.
func (r *callState) claimEvent(result record.Result) chart.EventID {
	r.claimWait += r.now.Sub(r.claimWaitStart)
	switch result.Outcome {
	case record.Granted:
		r.call.Claim = result.Claim
		r.claimGranted = true
		return requestEventClaimGranted
	case record.Replay:
		r.answer = replayAnswer(r.id, result.Answer)
		return requestEventClaimReplayed
	default:
		r.answer = r.claimDeniedAnswer(result.Outcome)
		return requestEventClaimDenied
	}
}

// replayAnswer returns a copy of a stored answer as the answer to the call id.
func replayAnswer(id model.CallID, stored *model.Answer) *model.Answer {
	a := *stored
	a.ID = id
	a.Replayed = true
	a.RetriesUsed = 0
	return &a
}

// claimDeniedAnswer returns the refusal or failure for a claim that was not granted.
func (r *callState) claimDeniedAnswer(o record.Outcome) *model.Answer {
	switch o {
	case record.InProgress:
		return model.NewFailure(r.id, model.ReasonInProgress, "a request with this id is in progress or its answer was lost")
	case record.TooOld:
		return model.NewFailure(r.id, model.ReasonIDTooOld, "the record of this id may have been dropped")
	case record.TooFarAhead:
		return r.refusalUnlessSentBefore(model.ReasonBadRequest, "header Idempotency-Key: want an id whose time is at most 60 s ahead")
	default:
		return r.refusalUnlessSentBefore(model.ReasonClaimUnavailable, "no majority of the quorum group answered")
	}
}

// refusalUnlessSentBefore returns a refusal if the node generated the request id,
// and otherwise a failure: the caller may have sent its own id before, and that
// request may have run.
func (r *callState) refusalUnlessSentBefore(reason model.Reason, detail string) *model.Answer {
	if r.idGenerated {
		return model.NewRefusal(r.id, reason, detail)
	}
	return model.NewFailure(r.id, reason, detail)
}

func (r *callState) completeClaim() {
	if r.call.Claim != nil {
		r.core.quorumRequests = append(r.core.quorumRequests, ClaimCompletion{Claim: r.call.Claim, Answer: r.answer})
	}
}

// releaseClaim releases the claim of a request that was not handed to a target,
// for example because the target's node refused the attempt.
func (r *callState) releaseClaim() {
	if r.call.Claim == nil || r.possiblyRun != nil {
		return
	}
	r.core.quorumRequests = append(r.core.quorumRequests, ClaimRelease{Claim: r.call.Claim})
	r.call.Claim = nil
}
