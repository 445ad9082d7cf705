// Package quarantine detects requests that crash the targets that run them, and
// refuses them. Each target's node decides by itself, from the losses of its own
// target and from the marks that the other nodes of the service send.
//
// The loss of a target ends all calls that it runs, and any of them may be the
// cause. A loss therefore only marks their requests. A request is quarantined when
// at least two targets were lost while it ran, and at one of them it was the only
// marked call. No other request that ran at the first loss can then have caused
// the second one.
package quarantine

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// MarkLifetime is how long the marks of a request are kept after the newest
	// loss.
	MarkLifetime = 10 * time.Minute
	// maxMarkedRequests limits the table of marked requests, which evicts its oldest
	// entry when full. A lost target marks all requests that it ran, up to some
	// hundreds.
	maxMarkedRequests = 4096
	// markedRetryAfter is the retry delay given with the refusal of a marked request
	// because another marked request runs at the target.
	markedRetryAfter = 100 * time.Millisecond
)

// Mark records the loss of a target while it ran a request.
type Mark struct {
	Fingerprint    uint64
	Target         model.Instance
	OnlyMarkedCall bool      // no other marked call ran at the target
	At             time.Time // time of the loss, or of the arrival of a call that names the lost target; on the local clock
}

// Message is a message to the other nodes of the service. Exactly one field is set.
type Message struct {
	Mark   *Mark
	Lifted uint64 // fingerprint of a marked request that has completed
}

// Core holds the marks that one target's node knows. It is not safe for concurrent
// use: the duty that owns it calls all methods on its thread.
type Core struct {
	self                 model.Instance
	machine              *chart.Machine[*markedRequest]
	markedRequests       map[uint64]*markedRequest
	admittedCalls        map[model.CallID]admittedCall
	runningByFingerprint map[uint64]int // number of calls that the target runs
	markedCall           model.CallID   // the marked call that passed the check and has not ended
	hasMarkedCall        bool           // whether there is a markedCall
	pendingMessages      []Message
}

// admittedCall is a call that passed the check and has not ended.
type admittedCall struct {
	fingerprint uint64
	marked      bool // the request was marked when the call passed the check
	running     bool
}

// New returns a core without marks.
func New(self model.Instance) *Core {
	return &Core{
		self:                 self,
		machine:              crashMarkMachine(),
		markedRequests:       make(map[uint64]*markedRequest),
		admittedCalls:        make(map[model.CallID]admittedCall),
		runningByFingerprint: make(map[uint64]int),
	}
}

// Messages returns the messages to send that are new since the last call.
func (c *Core) Messages() []Message {
	out := c.pendingMessages
	c.pendingMessages = nil
	return out
}

// MarkedCount returns the number of marked requests, quarantined ones included.
func (c *Core) MarkedCount() int { return len(c.markedRequests) }

// QuarantinedCount returns the number of quarantined requests.
func (c *Core) QuarantinedCount() int {
	n := 0
	for _, r := range c.markedRequests {
		if r.state == stateQuarantined {
			n++
		}
	}
	return n
}

// Check decides whether a call may run, and returns a refusal if it may not. It is
// called when the call arrives and again before its handoff to the target, since
// marks may arrive while the call waits. OnEnded must be called for every call that
// has passed a check, whether or not it ran.
func (c *Core) Check(now time.Time, call *model.Call) *model.Answer {
	for _, target := range call.LostTargets {
		c.OnMark(now, Mark{Fingerprint: call.Fingerprint, Target: target, At: now})
	}
	r := c.findMarkedRequest(now, call.Fingerprint)
	if r == nil {
		if _, known := c.admittedCalls[call.ID]; !known {
			c.admittedCalls[call.ID] = admittedCall{fingerprint: call.Fingerprint}
		}
		return nil
	}
	if r.state == stateQuarantined {
		return lostTargetRefusal(call.ID, model.ReasonQuarantined, "targets were lost while the request ran: "+r.targetNames())
	}
	if c.hasMarkedCall && c.markedCall == call.ID {
		return nil
	}
	if c.hasMarkedCall || c.markedRequestRuns() {
		a := lostTargetRefusal(call.ID, model.ReasonShed, "another request that may crash targets runs here")
		a.RetryAfter = markedRetryAfter
		return a
	}
	c.markedCall, c.hasMarkedCall = call.ID, true
	c.admittedCalls[call.ID] = admittedCall{fingerprint: call.Fingerprint, marked: true}
	return nil
}

// lostTargetRefusal returns a refusal that tells the caller that targets were lost
// while the request ran, even if none was lost during this call.
func lostTargetRefusal(id model.CallID, reason model.Reason, detail string) *model.Answer {
	a := model.NewRefusal(id, reason, detail)
	a.TargetLost = true
	return a
}

// markedRequestRuns reports whether the target runs a call whose request is marked.
// Such a call may have started before its request was marked, and may cause the next
// loss.
func (c *Core) markedRequestRuns() bool {
	for fingerprint := range c.markedRequests {
		if c.runningByFingerprint[fingerprint] > 0 {
			return true
		}
	}
	return false
}

// OnStarted handles the handoff of a call that passed the check to the target.
func (c *Core) OnStarted(id model.CallID) {
	call, known := c.admittedCalls[id]
	if !known || call.running {
		return
	}
	call.running = true
	c.admittedCalls[id] = call
	c.runningByFingerprint[call.fingerprint]++
}

func (c *Core) stopRunning(call admittedCall) {
	if !call.running {
		return
	}
	c.runningByFingerprint[call.fingerprint]--
	if c.runningByFingerprint[call.fingerprint] == 0 {
		delete(c.runningByFingerprint, call.fingerprint)
	}
}

// OnEnded handles the end of a call that passed the check: a later refusal, the
// target's answer, or the loss of the target.
func (c *Core) OnEnded(now time.Time, a *model.Answer) {
	call, known := c.admittedCalls[a.ID]
	if !known {
		return
	}
	delete(c.admittedCalls, a.ID)
	c.stopRunning(call)
	if c.hasMarkedCall && c.markedCall == a.ID {
		c.hasMarkedCall = false
	}
	switch {
	case a.Run == model.Completed:
		c.liftMarks(now, call.fingerprint)
	case a.TargetLost && a.Run == model.RunUnknown:
		mark := Mark{Fingerprint: call.fingerprint, Target: c.self, OnlyMarkedCall: call.marked, At: now}
		c.OnMark(now, mark)
		c.pendingMessages = append(c.pendingMessages, Message{Mark: &mark})
	}
}

func (c *Core) liftMarks(now time.Time, fingerprint uint64) {
	if len(c.markedRequests) == 0 || c.markedRequests[fingerprint] == nil {
		return
	}
	c.OnLifted(now, fingerprint)
	c.pendingMessages = append(c.pendingMessages, Message{Lifted: fingerprint})
}

// OnMark marks a request after the loss of this node's or another node's target.
func (c *Core) OnMark(now time.Time, m Mark) {
	if now.Sub(m.At) >= MarkLifetime {
		return
	}
	r := c.markedRequests[m.Fingerprint]
	if r == nil {
		c.evictIfFull()
		r = &markedRequest{core: c, state: c.machine.Initial(), fingerprint: m.Fingerprint}
		c.markedRequests[m.Fingerprint] = r
	}
	r.currentMark = m
	r.step(eventTargetLost)
}

// OnLifted removes the marks of a request that has completed at any node.
func (c *Core) OnLifted(_ time.Time, fingerprint uint64) {
	if r := c.markedRequests[fingerprint]; r != nil {
		r.step(eventCompleted)
	}
}

// findMarkedRequest returns a marked request, or nil if the request has no marks or
// they have expired.
func (c *Core) findMarkedRequest(now time.Time, fingerprint uint64) *markedRequest {
	r := c.markedRequests[fingerprint]
	if r != nil && now.Sub(r.newestLossAt) >= MarkLifetime {
		r.step(eventExpired)
		return nil
	}
	return r
}

// evictIfFull removes the request whose newest loss is longest ago if the table is
// full.
func (c *Core) evictIfFull() {
	if len(c.markedRequests) < maxMarkedRequests {
		return
	}
	var oldest *markedRequest
	for _, r := range c.markedRequests {
		if oldest == nil || r.newestLossAt.Before(oldest.newestLossAt) {
			oldest = r
		}
	}
	oldest.step(eventExpired)
}
