// Package quarantine finds requests that crash the targets that run them. It
// decides at the target's node.
//
// A target that is lost takes all its calls with it, so that a single loss
// says little about any of them. A second loss counts only for a request that
// ran there as the only marked call of its target: of the requests that were
// in flight at the first loss, no other can have caused the second.
package quarantine

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// MarkLifetime is how long a mark counts after the newest loss.
	MarkLifetime = 10 * time.Minute
	// maxMarks bounds the table. One lost target marks as many requests as it
	// ran, some hundreds; the oldest mark gives way.
	maxMarks = 4096
	// busyPause is the time after which a marked request may try again when
	// another one runs.
	busyPause = 100 * time.Millisecond
)

// Mark tells that a target was lost while a request ran there.
type Mark struct {
	Fingerprint    uint64
	Target         model.Instance
	OnlyMarkedCall bool      // it ran as the only marked call of its target
	At             time.Time // of the loss, on the local clock
}

// Notice is news for the other nodes of the service. Exactly one field is
// set.
type Notice struct {
	Mark   *Mark
	Lifted uint64 // fingerprint of a marked request that has completed
}

// Core holds the marks known at one target's node. All methods run on one
// thread.
type Core struct {
	self    model.Instance
	machine *chart.Machine[*suspicion]
	marks   map[uint64]*suspicion
	calls   map[model.CallID]admitted
	running map[uint64]int // calls at the target, by fingerprint
	alone   model.CallID   // the marked call that runs or waits here
	busy    bool           // alone is set
	out     []Notice
}

// admitted is a call that passed the check and has not ended.
type admitted struct {
	fingerprint uint64
	marked      bool // when it passed the check
	running     bool
}

// New returns a core without marks.
func New(self model.Instance) *Core {
	return &Core{
		self:    self,
		machine: markMachine(),
		marks:   make(map[uint64]*suspicion),
		calls:   make(map[model.CallID]admitted),
		running: make(map[uint64]int),
	}
}

// Notices returns the news since the last call.
func (c *Core) Notices() []Notice {
	out := c.out
	c.out = nil
	return out
}

// MarkedCount returns the number of marked requests.
func (c *Core) MarkedCount() int { return len(c.marks) }

// QuarantinedCount returns the number of requests that are refused.
func (c *Core) QuarantinedCount() int {
	n := 0
	for _, s := range c.marks {
		if s.state == stateQuarantined {
			n++
		}
	}
	return n
}

// Check judges a call on its arrival and again before it is handed to the
// target, since marks may come while it waits. It returns a refusal or nil; a
// call that passed once must be reported by Ended, whether or not it runs.
func (c *Core) Check(now time.Time, call *model.Call) *model.Answer {
	for _, target := range call.LostTargets {
		c.OnMark(now, Mark{Fingerprint: call.Fingerprint, Target: target, At: now})
	}
	s := c.find(now, call.Fingerprint)
	if s == nil {
		if _, known := c.calls[call.ID]; !known {
			c.calls[call.ID] = admitted{fingerprint: call.Fingerprint}
		}
		return nil
	}
	if s.state == stateQuarantined {
		return refusal(call.ID, model.ReasonQuarantined, "targets were lost while the request ran: "+s.names())
	}
	if c.busy && c.alone == call.ID {
		return nil
	}
	if c.busy || c.markedRuns() {
		a := refusal(call.ID, model.ReasonShed, "another request that may crash targets runs here")
		a.RetryAfter = busyPause
		return a
	}
	c.alone, c.busy = call.ID, true
	c.calls[call.ID] = admitted{fingerprint: call.Fingerprint, marked: true}
	return nil
}

func refusal(id model.CallID, reason model.Reason, detail string) *model.Answer {
	a := model.NewRefusal(id, reason, detail)
	a.TargetLost = true
	return a
}

// markedRuns reports whether a call runs here whose request was marked after
// its start. If the target were lost, that one might be the cause.
func (c *Core) markedRuns() bool {
	for fingerprint := range c.marks {
		if c.running[fingerprint] > 0 {
			return true
		}
	}
	return false
}

// Started reports that a call that passed the check is handed to the target.
func (c *Core) Started(id model.CallID) {
	call, known := c.calls[id]
	if !known || call.running {
		return
	}
	call.running = true
	c.calls[id] = call
	c.running[call.fingerprint]++
}

func (c *Core) stopped(call admitted) {
	if !call.running {
		return
	}
	c.running[call.fingerprint]--
	if c.running[call.fingerprint] == 0 {
		delete(c.running, call.fingerprint)
	}
}

// Ended takes the answer of a call that passed the check: a refusal by a
// later check, the target's answer, or the loss of the target.
func (c *Core) Ended(now time.Time, a *model.Answer) {
	call, known := c.calls[a.ID]
	if !known {
		return
	}
	delete(c.calls, a.ID)
	c.stopped(call)
	if c.busy && c.alone == a.ID {
		c.busy = false
	}
	switch {
	case a.Run == model.Completed:
		c.completed(now, call.fingerprint)
	case a.TargetLost && a.Run == model.RunUnknown:
		mark := Mark{Fingerprint: call.fingerprint, Target: c.self, OnlyMarkedCall: call.marked, At: now}
		c.OnMark(now, mark)
		c.out = append(c.out, Notice{Mark: &mark})
	}
}

func (c *Core) completed(now time.Time, fingerprint uint64) {
	if len(c.marks) == 0 || c.marks[fingerprint] == nil {
		return
	}
	c.OnLifted(now, fingerprint)
	c.out = append(c.out, Notice{Lifted: fingerprint})
}

// OnMark takes a loss that happened here or at another node.
func (c *Core) OnMark(now time.Time, m Mark) {
	if now.Sub(m.At) >= MarkLifetime {
		return
	}
	s := c.marks[m.Fingerprint]
	if s == nil {
		c.makeRoom()
		s = &suspicion{core: c, state: c.machine.Initial(), fingerprint: m.Fingerprint}
		c.marks[m.Fingerprint] = s
	}
	s.loss = m
	s.step(eventLost)
}

// OnLifted takes the news that a marked request has completed somewhere.
func (c *Core) OnLifted(_ time.Time, fingerprint uint64) {
	if s := c.marks[fingerprint]; s != nil {
		s.step(eventCompleted)
	}
}

// find returns the marks of a request, or nil when there are none or they
// have lapsed.
func (c *Core) find(now time.Time, fingerprint uint64) *suspicion {
	s := c.marks[fingerprint]
	if s != nil && now.Sub(s.newest) >= MarkLifetime {
		s.step(eventLapsed)
		return nil
	}
	return s
}

// makeRoom lets the oldest mark lapse when the table is full.
func (c *Core) makeRoom() {
	if len(c.marks) < maxMarks {
		return
	}
	var oldest *suspicion
	for _, s := range c.marks {
		if oldest == nil || s.newest.Before(oldest.newest) {
			oldest = s
		}
	}
	oldest.step(eventLapsed)
}
