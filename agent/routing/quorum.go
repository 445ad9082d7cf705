package routing

import (
	"time"

	"github.com/oleanderworks/oleanderworks/agent/quorum"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/record"
	"github.com/oleanderworks/oleanderworks/policy/routing"
	"github.com/oleanderworks/oleanderworks/policy/tokenlease"
)

// busyPause is the time after which tokens are asked for again when the
// quorum ring is full.
const busyPause = 50 * time.Millisecond

// order posts a request to the quorum duty. A full ring counts as a refusal,
// so that no call waits for an answer that will not come.
func (h *Handler) order(now time.Time, o routing.QuorumRequest) {
	switch o := o.(type) {
	case routing.TokenRequest:
		h.askTokens(now, o)
	case routing.TokenReport:
		h.post(&quorum.ReportTokens{Customer: o.Customer, Reports: o.Reports})
	case routing.ClaimRequest:
		h.askClaim(now, o)
	case routing.ClaimCompletion:
		h.post(&quorum.CompleteClaim{Claim: o.Claim, Answer: o.Answer})
	case routing.ClaimRelease:
		h.post(&quorum.ReleaseClaim{Claim: o.Claim})
	}
}

func (h *Handler) askTokens(now time.Time, o routing.TokenRequest) {
	m := &quorum.AcquireTokens{
		Customer: o.Customer,
		Want:     o.Want,
		Deliver: func(r tokenlease.Result) {
			r.Customer = o.Customer
			h.inbox.Offer(&TokensGranted{Result: r})
		},
	}
	if !h.quorum.Offer(m) {
		h.core.OnTokens(now, tokenlease.Result{
			Customer: o.Customer, Reason: model.ReasonRateUnavailable, RetryAfter: busyPause,
		})
	}
}

func (h *Handler) askClaim(now time.Time, o routing.ClaimRequest) {
	m := &quorum.AcquireClaim{
		CallID:    o.CallID,
		Customer:  o.Customer,
		RequestID: o.RequestID,
		Target:    o.Target,
		Attempt:   o.Attempt,
		Deliver:   func(r record.Result) { h.inbox.Offer(&ClaimDecided{CallID: o.CallID, Result: r}) },
	}
	if !h.quorum.Offer(m) {
		h.core.OnClaim(now, o.CallID, record.Result{Outcome: record.Unavailable})
	}
}

// post sends a message whose loss is safe: a claim that is not completed or
// released stays in progress until its record lapses, and tokens that are not
// reported count as used until their life ends.
func (h *Handler) post(m quorum.Message) {
	if !h.quorum.Offer(m) {
		h.metrics.dropped.Add(1)
	}
}
