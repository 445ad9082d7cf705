package dispatch

import (
	"net/http"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/mesh/rollout"
)

// EnableRollouts makes the node carry out the operator's orders to move services to other
// versions. Without it, versions are ignored.
func (c *Core) EnableRollouts(node model.NodeID, bounds rollout.Bounds) {
	c.rollouts = rollout.New(node, bounds, c.rng)
}

// Rollouts returns the orders, or nil if they are not enabled.
func (c *Core) Rollouts() *rollout.Core { return c.rollouts }

// chooseTarget chooses a target of the call's service that has not been tried and that the
// service's orders allow, or returns nil.
func (c *Core) chooseTarget(now time.Time, call *model.Call, tried []*target) *target {
	if c.rollouts == nil {
		return c.targets.choose(now, call, tried, c.zonesOut)
	}
	filters := c.rollouts.Filters(now, call.Service)
	if len(filters) == 0 {
		return c.targets.choose(now, call, tried, c.zonesOut)
	}
	defer func() { c.targets.allowed = nil }()
	for _, filter := range filters {
		c.targets.allowed = filter
		if t := c.targets.choose(now, call, tried, c.zonesOut); t != nil {
			return t
		}
	}
	return nil
}

// sentVersion is the version of the target to which a request's latest attempt was sent.
type sentVersion struct {
	version string
	sentAt  time.Time
}

// noteSent counts an attempt for its target's version.
func (r *request) noteSent() {
	if c := r.core.rollouts; c != nil {
		r.sent = sentVersion{version: c.OnSent(r.now, r.call.Service, r.target.peer), sentAt: r.now}
	}
}

// noteEnded counts the end of an attempt for its target's version.
func (r *request) noteEnded() {
	c := r.core.rollouts
	if c == nil {
		return
	}
	c.OnEnded(r.call.Service, r.sent.version)
	if r.answer == nil {
		return
	}
	failed, cut, counts := versionFailed(r.answer)
	if !counts {
		return
	}
	c.OnResponse(r.now, rollout.Response{
		Service: r.call.Service, Version: r.sent.version, Route: r.route.Name, Failed: failed, Cut: cut, Time: r.runTime(),
	})
}

// runTime returns the time for which the latest attempt ran at the target. The time in the
// queue of its gate is not the version's. A node of an earlier release does not state it.
func (r *request) runTime() time.Duration {
	for _, w := range r.answer.Work {
		if w.Service == r.call.Service {
			return w.SlotTime
		}
	}
	return r.now.Sub(r.sent.sentAt)
}

// versionFailed reports whether an answer shows a failure of the target's version, whether
// the target gave none, and whether the answer counts at all. Refusals, links that break, and
// failures of nested calls are not the version's; a call that has not ended by its deadline
// is.
func versionFailed(a *model.Answer) (failed, cut, counts bool) {
	switch {
	case a.Run == model.NotRun || a.NestedFailed:
		return false, false, false
	case a.FromNode():
		cut = a.Reason == model.ReasonAnswerCut || a.Reason == model.ReasonTargetFailed
		failed = cut || a.Reason == model.ReasonDeadline
		return failed, cut, failed
	}
	return a.Status >= http.StatusInternalServerError, false, true
}
