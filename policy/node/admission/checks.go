package admission

import (
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
)

// maxHandoffDelay bounds the time between the decision to run a call and its
// handoff. Without it, a process that was paused in between would hand over a
// call that it checked against an outdated configuration.
const maxHandoffDelay = 2 * time.Second

// checkArrival checks a call that has just arrived. It returns a refusal or nil.
func (c *Core) checkArrival(now time.Time, call *model.Call) *model.Answer {
	if c.config == nil {
		return model.NewRefusal(call.ID, model.ReasonNoContact, "the target's node has no configuration yet")
	}
	if call.Service != c.self.Service {
		return model.NewRefusal(call.ID, model.ReasonNoTarget, "the target serves another service")
	}
	if reason, detail := c.target.refusalReason(); reason != model.ReasonNone {
		refusal := model.NewRefusal(call.ID, reason, detail)
		refusal.TargetLost = reason == model.ReasonTargetFailed
		return refusal
	}
	return c.checkPolicy(now, call)
}

// checkClaim checks the claim of a non-idempotent request and returns a refusal,
// a failure or nil. It must be the last check, since it records a claim that
// passes as handed over. A claim for an incarnation that belonged to another
// process of this node is refused: the request may have run there, and the
// handoff history of that process is lost.
func (c *Core) checkClaim(now time.Time, call *model.Call) *model.Answer {
	if call.Claim == nil {
		return nil
	}
	if !slices.Contains(c.incarnations, call.Claim.Target) {
		return model.NewRefusal(call.ID, model.ReasonClaimUnavailable, "the claim names another life of the target's node")
	}
	switch c.handoffs.Check(now, call.Claim) {
	case record.FirstHandoff:
		return nil
	case record.AlreadyHandedOver:
		return model.NewFailure(call.ID, model.ReasonInProgress, "the target's node was handed this request before")
	case record.OutdatedAttempt:
		return model.NewRefusal(call.ID, model.ReasonClaimUnavailable, "the claim's attempt was refused before")
	default:
		return model.NewRefusal(call.ID, model.ReasonNodeBusy, "the target's node remembers too many requests")
	}
}

// recordIncarnations records the incarnations that this process has announced.
// A node that was wrongly removed joins again under a new incarnation and keeps
// its handoff history, so claims for the earlier incarnation stay valid.
// Incarnations that appear in snapshots before the first one of this process
// belong to processes that have ended.
func (c *Core) recordIncarnations(snapshot *model.Snapshot) {
	for _, m := range snapshot.Members[c.self.Service] {
		if m.Instance != c.self.Instance {
			continue
		}
		if m.NodeID == c.self.NodeID {
			c.announced = true
		}
		if c.announced && !slices.Contains(c.incarnations, m.NodeID) {
			c.incarnations = append(c.incarnations, m.NodeID)
		}
	}
}

// checkPolicy repeats the checks of the entry node, whose configuration may be
// older, and checks the quarantine. It runs when a call arrives, on each change of
// the configuration, and when a queued call is about to start. It returns a refusal
// or nil.
func (c *Core) checkPolicy(now time.Time, call *model.Call) *model.Answer {
	if c.zoneOut() {
		return model.NewRefusal(call.ID, model.ReasonZoneOut, "the availability zone is out of service")
	}
	if c.snapshot.Targets[c.self.Instance].OutOfService {
		return model.NewRefusal(call.ID, model.ReasonTargetOut, "the target is out of service")
	}
	if !call.Open && c.contact.lost(now) {
		return model.NewRefusal(call.ID, model.ReasonNoContact, "the target's node has no contact with its peers")
	}
	if !call.Open && !c.keyValid(call) {
		return model.NewRefusal(call.ID, model.ReasonKeyUnknown, "the key is unknown or withdrawn")
	}
	if call.Token != nil && !now.Before(call.Token.Expiry) {
		return model.NewRefusal(call.ID, model.ReasonStaleToken, "the rate token has expired")
	}
	if !now.Before(call.Deadline) {
		return model.NewRefusal(call.ID, model.ReasonDeadline, "the deadline has passed")
	}
	if c.quarantine != nil {
		return c.quarantine.Check(now, call)
	}
	return nil
}

// keyValid reports whether the key still belongs to the call's customer.
func (c *Core) keyValid(call *model.Call) bool {
	customer, ok := c.snapshot.CustomerOf(call.KeyHash)
	return ok && customer.Name == call.Customer
}

func (c *Core) zoneOut() bool { return c.snapshot.Zones[c.self.Zone].OutOfService }

func (c *Core) outOfService() bool {
	return c.zoneOut() || c.snapshot.Targets[c.self.Instance].OutOfService
}

// handoffDeadline returns the time after which the call must no longer be
// handed to the target.
func (e *execution) handoffDeadline() time.Time {
	until := e.now.Add(maxHandoffDelay)
	if t := e.call.Token; t != nil && t.Expiry.Before(until) {
		until = t.Expiry
	}
	if e.call.Deadline.Before(until) {
		until = e.call.Deadline
	}
	return until
}
