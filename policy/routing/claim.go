package routing

import (
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/record"
)

// requestClaim asks for the right to hand a non-idempotent request to the
// chosen target. The attempt number grows when an earlier attempt was
// certainly not run, so that the claim replaces the earlier one.
func (r *call) requestClaim() {
	c := r.core
	c.claiming[r.id] = r
	r.claimedAt = r.now
	c.orders = append(c.orders, ClaimRequest{
		CallID:    r.id,
		Customer:  r.call.Customer,
		RequestID: r.call.RequestID,
		Target:    r.target.member.NodeID,
		Attempt:   r.call.Attempt,
	})
}

// claimEvent translates the result of a claim into an event of the chart.
func (r *call) claimEvent(result record.Result) chart.EventID {
	r.claimed += r.now.Sub(r.claimedAt)
	switch result.Outcome {
	case record.Granted:
		r.call.Claim = result.Claim
		r.claimOK = true
		return eventClaimGranted
	case record.Replay:
		r.answer = replayed(r.id, result.Answer)
		return eventClaimReplayed
	default:
		r.answer = r.claimRefusal(result.Outcome)
		return eventClaimDenied
	}
}

// replayed returns a kept answer under the id of the call that asks for it.
func replayed(id model.CallID, kept *model.Answer) *model.Answer {
	a := *kept
	a.ID = id
	a.Replayed = true
	a.RetriesUsed = 0
	return &a
}

func (r *call) claimRefusal(o record.Outcome) *model.Answer {
	switch o {
	case record.InProgress:
		return model.NewFailure(r.id, model.ReasonInProgress, "a request with this id is in progress or its answer was lost")
	case record.TooOld:
		return model.NewFailure(r.id, model.ReasonIDTooOld, "the record of this id may have been dropped")
	case record.TooFarAhead:
		return r.unlessSentBefore(model.ReasonBadRequest, "header Idempotency-Key: want an id whose time is at most 60 s ahead")
	default:
		return r.unlessSentBefore(model.ReasonClaimUnavailable, "no majority of the quorum group answered")
	}
}

// unlessSentBefore returns a refusal that says "not run" only if the node made
// the id. A caller may have sent its own id before, and that send may have
// run.
func (r *call) unlessSentBefore(reason model.Reason, detail string) *model.Answer {
	if r.ownID {
		return model.NewRefusal(r.id, reason, detail)
	}
	return model.NewFailure(r.id, reason, detail)
}

func (r *call) completeClaim() {
	if r.call.Claim != nil {
		r.core.orders = append(r.core.orders, ClaimCompletion{Claim: r.call.Claim, Answer: r.answer})
	}
}

// releaseClaim gives up the claim of a request that no target was handed.
func (r *call) releaseClaim() {
	if r.call.Claim == nil || r.unknown != nil {
		return
	}
	r.core.orders = append(r.core.orders, ClaimRelease{Claim: r.call.Claim})
	r.call.Claim = nil
}
