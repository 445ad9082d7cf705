// Package quarantine finds requests that crash the targets that run them. It
// decides at the target's node.
//
// All calls that a target runs are lost with it, so that a single loss says
// little about any of them: it only marks their requests. A request is
// quarantined once two different targets were lost while it ran, at one of them
// as the only marked call: of the requests that were in flight at the other loss,
// no other can have caused this one.
package quarantine

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// MarkLifetime is how long a mark counts after the newest loss.
	MarkLifetime = 10 * time.Minute
	// maxMarkedRequests bounds the table, which evicts the oldest entry when
	// full. One lost target marks as many requests as it ran, some hundreds.
	maxMarkedRequests = 4096
	// markedRetryAfter is the retry delay of a marked request that is refused
	// because another one runs.
	markedRetryAfter = 100 * time.Millisecond
)

// Mark records that a target was lost while a request ran there.
type Mark struct {
	Fingerprint    uint64
	Target         model.Instance
	OnlyMarkedCall bool      // the request ran as the only marked call of the target
	At             time.Time // of the loss, or of the arrival of the call that reported it; on the local clock
}

// Message is a message for the other nodes of the service. Exactly one field is
// set.
type Message struct {
	Mark   *Mark
	Lifted uint64 // fingerprint of a marked request that has completed
}

// Core holds the marks known at one target's node. All methods run on one
// thread.
type Core struct {
	self                 model.Instance
	machine              *chart.Machine[*markedRequest]
	markedRequests       map[uint64]*markedRequest
	admittedCalls        map[model.CallID]admittedCall
	runningByFingerprint map[uint64]int // number of calls at the target
	markedCall           model.CallID   // the marked call that runs or waits here
	markedCallSet        bool           // markedCall is set
	out                  []Message
}

// admittedCall is a call that passed the check and has not ended.
type admittedCall struct {
	fingerprint uint64
	marked      bool // its request was marked when it passed the check
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

// Messages returns the messages to send since the last call.
func (c *Core) Messages() []Message {
	out := c.out
	c.out = nil
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

// Check decides whether a call may run. It is called on the call's arrival and
// again before the handoff to the target, since marks may arrive while the call
// waits. It returns a refusal or nil. The end of a call that passed once must be
// reported with OnEnded, whether or not it runs.
func (c *Core) Check(now time.Time, call *model.Call) *model.Answer {
	for _, target := range call.LostTargets {
		c.OnMark(now, Mark{Fingerprint: call.Fingerprint, Target: target, At: now})
	}
	r := c.findMarked(now, call.Fingerprint)
	if r == nil {
		if _, known := c.admittedCalls[call.ID]; !known {
			c.admittedCalls[call.ID] = admittedCall{fingerprint: call.Fingerprint}
		}
		return nil
	}
	if r.state == stateQuarantined {
		return lostTargetRefusal(call.ID, model.ReasonQuarantined, "targets were lost while the request ran: "+r.targetNames())
	}
	if c.markedCallSet && c.markedCall == call.ID {
		return nil
	}
	if c.markedCallSet || c.markedRequestRuns() {
		a := lostTargetRefusal(call.ID, model.ReasonShed, "another request that may crash targets runs here")
		a.RetryAfter = markedRetryAfter
		return a
	}
	c.markedCall, c.markedCallSet = call.ID, true
	c.admittedCalls[call.ID] = admittedCall{fingerprint: call.Fingerprint, marked: true}
	return nil
}

// lostTargetRefusal returns a refusal that tells the caller that targets were lost
// while the request ran, although no connection broke during this call.
func lostTargetRefusal(id model.CallID, reason model.Reason, detail string) *model.Answer {
	a := model.NewRefusal(id, reason, detail)
	a.TargetLost = true
	return a
}

// markedRequestRuns reports whether a call runs here whose request was marked
// after its start. If the target were lost, that call might be the cause.
func (c *Core) markedRequestRuns() bool {
	for fingerprint := range c.markedRequests {
		if c.runningByFingerprint[fingerprint] > 0 {
			return true
		}
	}
	return false
}

// OnStarted reports that a call that passed the check was handed to the target.
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

// OnEnded handles the answer of a call that passed the check: a refusal by a
// later check, the target's answer, or the loss of the target.
func (c *Core) OnEnded(now time.Time, a *model.Answer) {
	call, known := c.admittedCalls[a.ID]
	if !known {
		return
	}
	delete(c.admittedCalls, a.ID)
	c.stopRunning(call)
	if c.markedCallSet && c.markedCall == a.ID {
		c.markedCallSet = false
	}
	switch {
	case a.Run == model.Completed:
		c.completed(now, call.fingerprint)
	case a.TargetLost && a.Run == model.RunUnknown:
		mark := Mark{Fingerprint: call.fingerprint, Target: c.self, OnlyMarkedCall: call.marked, At: now}
		c.OnMark(now, mark)
		c.out = append(c.out, Message{Mark: &mark})
	}
}

func (c *Core) completed(now time.Time, fingerprint uint64) {
	if len(c.markedRequests) == 0 || c.markedRequests[fingerprint] == nil {
		return
	}
	c.OnLifted(now, fingerprint)
	c.out = append(c.out, Message{Lifted: fingerprint})
}

// OnMark marks a request after the loss of a target here or at another node.
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

// OnLifted lifts the marks of a request after it has completed at some node.
func (c *Core) OnLifted(_ time.Time, fingerprint uint64) {
	if r := c.markedRequests[fingerprint]; r != nil {
		r.step(eventCompleted)
	}
}

// findMarked returns a marked request, or nil when the request has no marks or
// they have expired.
func (c *Core) findMarked(now time.Time, fingerprint uint64) *markedRequest {
	r := c.markedRequests[fingerprint]
	if r != nil && now.Sub(r.newestLoss) >= MarkLifetime {
		r.step(eventExpired)
		return nil
	}
	return r
}

// evictIfFull expires the request whose newest loss is the oldest when the table
// is full.
func (c *Core) evictIfFull() {
	if len(c.markedRequests) < maxMarkedRequests {
		return
	}
	var oldest *markedRequest
	for _, r := range c.markedRequests {
		if oldest == nil || r.newestLoss.Before(oldest.newestLoss) {
			oldest = r
		}
	}
	oldest.step(eventExpired)
}
