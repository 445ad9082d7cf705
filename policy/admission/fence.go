package admission

import (
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/record"
)

// handOverTime bounds the time between the decision to run a call and its
// handoff. A process that was paused in between would otherwise hand over
// a call by a configuration that has changed since.
const handOverTime = 2 * time.Second

// fenceArrival judges a call that has just arrived.
func (c *Core) fenceArrival(now time.Time, call *model.Call) *model.Answer {
	if c.config == nil {
		return model.NewRefusal(call.ID, model.ReasonNoContact, "the target's node has no configuration yet")
	}
	if call.Service != c.self.Service {
		return model.NewRefusal(call.ID, model.ReasonNoTarget, "the target serves another service")
	}
	if reason, detail := c.target.closed(); reason != model.ReasonNone {
		refusal := model.NewRefusal(call.ID, reason, detail)
		refusal.TargetLost = reason == model.ReasonTargetFailed
		return refusal
	}
	return c.fence(now, call)
}

// fenceClaim judges the claim of a non-idempotent request. It runs last, since
// a claim that passes counts as handed over until it is refused. A claim that
// names another life of this node may have run there before.
func (c *Core) fenceClaim(now time.Time, call *model.Call) *model.Answer {
	if call.Claim == nil {
		return nil
	}
	if !slices.Contains(c.lives, call.Claim.Target) {
		return model.NewRefusal(call.ID, model.ReasonClaimUnavailable, "the claim names another life of the target's node")
	}
	switch c.seen.Check(now, call.Claim) {
	case record.FirstHandoff:
		return nil
	case record.HandedOver:
		return model.NewFailure(call.ID, model.ReasonInProgress, "the target's node was handed this request before")
	case record.Outdated:
		return model.NewRefusal(call.ID, model.ReasonClaimUnavailable, "the claim's attempt was refused before")
	default:
		return model.NewRefusal(call.ID, model.ReasonNodeBusy, "the target's node remembers too many requests")
	}
}

// noteLife follows the node's own announcements. A node that was wrongly
// removed joins again under another incarnation with its memory of handoffs
// intact. Incarnations before its first own announcement are of processes that
// have ended.
func (c *Core) noteLife(s *model.Snapshot) {
	for _, m := range s.Members[c.self.Service] {
		if m.Instance != c.self.Instance {
			continue
		}
		if m.NodeID == c.self.NodeID {
			c.announced = true
		}
		if c.announced && !slices.Contains(c.lives, m.NodeID) {
			c.lives = append(c.lives, m.NodeID)
		}
	}
}

// fence judges again, at the target's node, what the entry node judged from
// a configuration that may be older. It runs on arrival, on each change of
// the configuration, and just before the handoff. It returns a refusal or
// nil.
func (c *Core) fence(now time.Time, call *model.Call) *model.Answer {
	if c.zoneOut() {
		return model.NewRefusal(call.ID, model.ReasonZoneOut, "the availability zone is out of service")
	}
	if c.snapshot.Targets[c.self.Instance].Out {
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

func (c *Core) zoneOut() bool { return c.snapshot.Zones[c.self.Zone].Out }

func (c *Core) isOut() bool {
	return c.zoneOut() || c.snapshot.Targets[c.self.Instance].Out
}

// handOverUntil returns the time after which the call must not be handed to
// the target any more.
func (e *execution) handOverUntil() time.Time {
	until := e.now.Add(handOverTime)
	if t := e.call.Token; t != nil && t.Expiry.Before(until) {
		until = t.Expiry
	}
	if e.call.Deadline.Before(until) {
		until = e.call.Deadline
	}
	return until
}
