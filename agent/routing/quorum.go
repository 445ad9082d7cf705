package routing

import (
	"time"

	"github.com/oleanderworks/oleanderworks/agent/quorum"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
	"github.com/oleanderworks/oleanderworks/policy/node/routing"
	"github.com/oleanderworks/oleanderworks/policy/node/tokenlease"
)

// quorumRetryDelay is the delay before tokens are requested again after the quorum
// duty's ring was full.
const quorumRetryDelay = 50 * time.Millisecond

// sendQuorumRequest passes a request to the quorum duty. If that duty's ring is
// full, a claim request counts as refused, so that the call does not wait for it; a
// token request is repeated after quorumRetryDelay, for which the calls in the token
// queue wait; other requests are dropped (see offerQuorum). If this duty's ring is
// full when the result of a request arrives, the result is dropped. The core
// then requests tokens again after a timeout; a call that waits for its claim waits
// until its deadline.
func (h *Handler) sendQuorumRequest(now time.Time, request routing.QuorumRequest) {
	switch request := request.(type) {
	case routing.TokenRequest:
		h.requestTokens(now, request)
	case routing.TokenReport:
		h.offerQuorum(&quorum.ReportTokens{Customer: request.Customer, Reports: request.Reports})
	case routing.ClaimRequest:
		h.requestClaim(now, request)
	case routing.ClaimCompletion:
		h.offerQuorum(&quorum.CompleteClaim{Claim: request.Claim, Answer: request.Answer})
	case routing.ClaimRelease:
		h.offerQuorum(&quorum.ReleaseClaim{Claim: request.Claim})
	}
}

func (h *Handler) requestTokens(now time.Time, request routing.TokenRequest) {
	m := &quorum.AcquireTokens{
		Customer: request.Customer,
		Want:     request.Want,
		Deliver: func(r tokenlease.Result) {
			r.Customer = request.Customer
			h.inbox.Offer(&TokenResult{Result: r})
		},
	}
	if !h.quorum.Offer(m) {
		h.core.OnTokens(now, tokenlease.Result{
			Customer: request.Customer, Reason: model.ReasonRateUnavailable, RetryAfter: quorumRetryDelay,
		})
	}
}

func (h *Handler) requestClaim(now time.Time, request routing.ClaimRequest) {
	m := &quorum.AcquireClaim{
		CallID:    request.CallID,
		Customer:  request.Customer,
		RequestID: request.RequestID,
		Target:    request.Target,
		Attempt:   request.Attempt,
		Deliver:   func(r record.Result) { h.inbox.Offer(&ClaimResult{CallID: request.CallID, Result: r}) },
	}
	if !h.quorum.Offer(m) {
		h.core.OnClaim(now, request.CallID, record.Result{Outcome: record.Unavailable})
	}
}

// offerQuorum passes a message to the quorum duty, or drops it if the ring is full.
// A claim whose completion or release is dropped stays in progress until its record
// expires. Tokens whose report is dropped count as used until they expire.
func (h *Handler) offerQuorum(m quorum.Message) {
	if !h.quorum.Offer(m) {
		h.metrics.dropped.Add(1)
	}
}
