package quorum

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
	"github.com/oleanderworks/oleanderworks/policy/node/tokenlease"
)

// handleQuorumMessage passes a message from a peer or from this node itself to
// the policy that handles it, and sends the answer.
func (h *Handler) handleQuorumMessage(now time.Time, from model.Instance, m quorum.Message) {
	switch m := m.(type) {
	case *quorum.ProbeRequest:
		h.send(from, h.voter.OnProbe(now, m))
	case *quorum.ProbeAnswer:
		h.composer.OnProbeAnswer(now, m)
	case *quorum.SealRequest:
		a := h.voter.OnSeal(now, m)
		a.Remaining = h.promises.Remaining(now, m.Ballot.Group)
		h.send(from, a)
	case *quorum.SealAnswer:
		h.composer.OnSealAnswer(now, m)
	case *tokenlease.PromiseRequest:
		h.send(from, h.promises.OnRequest(now, m))
	case *tokenlease.PromiseAnswer:
		h.leases.OnAnswer(now, m)
	case *tokenlease.PromiseRelease:
		h.promises.OnRelease(now, m)
		h.leases.OnPromiseReleased(now, m.Ballot.Group)
	case *tokenlease.TokenRequest:
		h.answerTokenRequest(now, from, m)
	case *tokenlease.TokenAnswer:
		h.acquirer.OnAnswer(now, from, m)
	case *record.ClaimRequest:
		h.send(from, h.store.OnClaim(now, m))
	case *record.ClaimAnswer:
		h.claimant.OnVote(now, m)
	case *record.ClaimRelease:
		h.store.OnRelease(now, m)
	case *record.ClaimComplete:
		h.store.OnComplete(now, m)
	}
}

// answerTokenRequest answers a request for tokens, unless it carries reports
// only. A node that is not the grantor names the node to which it has promised
// the lease.
func (h *Handler) answerTokenRequest(now time.Time, from model.Instance, r *tokenlease.TokenRequest) {
	a := h.tokenAnswer(now, from, r)
	if r.Want > 0 {
		h.send(from, a)
	}
}

func (h *Handler) tokenAnswer(now time.Time, from model.Instance, r *tokenlease.TokenRequest) *tokenlease.TokenAnswer {
	buckets := h.leases.Buckets(now, r.Group)
	customer := h.directory.Customer(r.Customer)
	if buckets == nil || customer == nil {
		a := &tokenlease.TokenAnswer{Customer: r.Customer, Sequence: r.Sequence, NotGrantor: true}
		if holder, ok := h.promises.Holder(now, r.Group); ok {
			a.Grantor = holder.Instance
		}
		return a
	}
	a := buckets.Grant(now, customer, from, r)
	h.metrics.tokensGranted.Add(int64(a.Granted))
	return &a
}

// maySend reports whether an instance may send m. It may send votes, claims and
// lease requests only on its own behalf.
func maySend(from model.Instance, m quorum.Message) bool {
	switch m := m.(type) {
	case *quorum.ProbeAnswer:
		return m.Voter.Instance == from
	case *quorum.SealAnswer:
		return m.Ballot.Voter.Instance == from && m.Voter.Instance == from
	case *tokenlease.PromiseRequest:
		return m.Holder.Instance == from
	case *tokenlease.PromiseAnswer:
		return m.Ballot.Voter.Instance == from
	case *tokenlease.PromiseRelease:
		return m.Holder.Instance == from
	case *record.ClaimRequest:
		return m.Holder.Node.Instance == from
	case *record.ClaimAnswer:
		return m.Ballot.Voter.Instance == from
	case *record.ClaimRelease:
		return m.Holder.Node.Instance == from
	case *record.ClaimComplete:
		return m.Holder.Node.Instance == from
	default:
		return true
	}
}

// flush processes the output of the policies: it sends messages, appends
// compositions and delivers results. Messages to this node itself are handled
// directly, without the network.
func (h *Handler) flush(now time.Time) {
	for {
		h.sendOutgoing()
		if len(h.selfMessages) == 0 {
			break
		}
		batch := h.selfMessages
		h.selfMessages = nil
		for _, m := range batch {
			h.handleQuorumMessage(now, h.config.Self.Instance, m)
		}
	}
	for _, r := range h.composer.TakeProposals() {
		h.propose(r)
	}
	for _, c := range h.leases.TakeChanges() {
		d := event.LeaseClosed
		if c.Open {
			d = event.LeaseOpened
		}
		h.config.Log.Emit(d, "group", c.Group.Group, "term", c.Term)
	}
	h.deliverResults()
}

// propose appends a composition to the log. A proposal is dropped while an earlier
// one of the group is being appended, which takes long if the log is unavailable.
func (h *Handler) propose(r model.GroupRecord) {
	key := model.GroupKey{Region: r.Region, Group: r.Group}
	if h.appending[key] {
		return
	}
	h.logProposed(&r)
	h.appending[key] = h.config.Append(r)
}

func (h *Handler) sendOutgoing() {
	outboxes := []*quorum.Outbox{&h.composer.Outbox, &h.leases.Outbox, &h.acquirer.Outbox, &h.claimant.Outbox}
	for _, o := range outboxes {
		for _, m := range o.TakeOutgoing() {
			h.send(m.To, m.Message)
		}
	}
}

func (h *Handler) send(to model.Instance, m quorum.Message) {
	if to == h.config.Self.Instance {
		h.selfMessages = append(h.selfMessages, m)
		return
	}
	if !h.config.Send(to, m) {
		h.metrics.messagesUnsent.Add(1)
		h.config.Log.Emit(event.QuorumUnsent, "peer", to)
	}
}

func (h *Handler) deliverResults() {
	for _, d := range h.acquirer.TakeDeliveries() {
		if d.Result.Reason != model.ReasonNone {
			h.metrics.tokenRequestsRefused.Add(1)
		}
		d.Deliver(d.Result)
	}
	for _, d := range h.claimant.TakeDeliveries() {
		h.metrics.claims.Add(1)
		if d.Result.Outcome != record.Granted {
			h.config.Log.Emit(event.ClaimRefused, "outcome", d.Result.Outcome)
		}
		d.Deliver(d.Result)
	}
}

// logComposed logs a composition that the node has read for the first time.
// Request ids generated at or after r.From belong to it.
func (h *Handler) logComposed(r *model.GroupRecord) {
	instances := make([]model.Instance, len(r.Members))
	for i, m := range r.Members {
		instances[i] = m.Instance
	}
	h.config.Log.Emit(event.GroupComposed, "group", r.Group, "epoch", r.Epoch, "members", instances, "from", r.From)
}

func (h *Handler) logProposed(r *model.GroupRecord) {
	d := event.GroupProposed
	if !r.Sealed {
		d = event.GroupUnsealed
	}
	h.config.Log.Emit(d, "group", r.Group, "epoch", r.Epoch, "from", r.From)
}
