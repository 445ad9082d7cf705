// Package quarantine runs the quarantine policy for requests that crash targets and
// exchanges crash marks with the other nodes of the service. It serves the nodes of
// package agent.
package quarantine

import (
	"expvar"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quarantine"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

// Sender queues a payload for a peer and reports whether it was queued.
type Sender interface {
	Send(to model.Instance, kind uint32, m proto.Message) bool
}

// Table holds the crash marks that a target's node knows and decides whether a call
// may run at the target. The admission duty owns it: all methods run on that duty's
// thread.
type Table struct {
	self  model.Member
	core  *quarantine.Core
	send  Sender
	log   *event.Log
	peers []model.Instance // other nodes of the service

	vars        *expvar.Map
	marked      *expvar.Int // requests with a crash mark
	quarantined *expvar.Int // requests that are refused because of their marks
}

// New returns an empty table.
func New(self model.Member, send Sender, log *event.Log) *Table {
	t := &Table{
		self:        self,
		core:        quarantine.New(self.Instance),
		send:        send,
		log:         log,
		vars:        new(expvar.Map).Init(),
		marked:      new(expvar.Int),
		quarantined: new(expvar.Int),
	}
	t.vars.Set("marked", t.marked)
	t.vars.Set("quarantined", t.quarantined)
	return t
}

// Vars returns the metrics of the table.
func (t *Table) Vars() expvar.Var { return t.vars }

// Check returns a refusal, or nil if the call passes the check. OnEnded must be called
// for each call that passed, whether or not it runs.
func (t *Table) Check(now time.Time, call *model.Call) *model.Answer {
	refusal := t.core.Check(now, call)
	if refusal != nil && refusal.Reason == model.ReasonQuarantined {
		t.log.Emit(event.RequestQuarantined, "call", call.ID, "customer", call.Customer,
			"fingerprint", formatFingerprint(call.Fingerprint), "detail", refusal.Detail)
	}
	return refusal
}

// OnStarted records that a call that passed the check was admitted, right before it is
// sent to the target.
func (t *Table) OnStarted(id model.CallID) { t.core.OnStarted(id) }

// OnEnded records the answer or refusal of a call that passed the check.
func (t *Table) OnEnded(now time.Time, a *model.Answer) { t.core.OnEnded(now, a) }

// OnMarkUpdate applies an update from another node of the service.
func (t *Table) OnMarkUpdate(now time.Time, u MarkUpdate) {
	for _, m := range u.Marks {
		t.core.OnMark(now, m)
	}
	for _, fingerprint := range u.Lifted {
		t.core.OnLifted(now, fingerprint)
	}
}

// OnSnapshot updates the list of the service's other nodes.
func (t *Table) OnSnapshot(s *model.Snapshot) {
	t.peers = t.peers[:0]
	for _, m := range s.Members[t.self.Service] {
		if m.Instance != t.self.Instance {
			t.peers = append(t.peers, m.Instance)
		}
	}
}

// Flush sends new and lifted marks to the other nodes of the service. It sends at
// most one message of each kind, since a crash of the target marks all its running
// calls at once.
func (t *Table) Flush(now time.Time) {
	marks, lifted := new(wire.CrashMarks), new(wire.CrashMarksLifted)
	for _, m := range t.core.Messages() {
		if m.Mark != nil {
			t.log.Emit(event.CrashMarked, "fingerprint", formatFingerprint(m.Mark.Fingerprint), "target", m.Mark.Target, "alone", m.Mark.OnlyMarkedCall)
			marks.Marks = append(marks.Marks, fromMark(*m.Mark, now))
			continue
		}
		t.log.Emit(event.CrashMarkLifted, "fingerprint", formatFingerprint(m.Lifted))
		lifted.Fingerprints = append(lifted.Fingerprints, m.Lifted)
	}
	t.marked.Set(int64(t.core.MarkedCount()))
	t.quarantined.Set(int64(t.core.QuarantinedCount()))
	if len(marks.GetMarks()) > 0 {
		t.sendToPeers(wire.KindCrashMark, marks)
	}
	if len(lifted.GetFingerprints()) > 0 {
		t.sendToPeers(wire.KindCrashMarkLifted, lifted)
	}
}

// sendToPeers sends a message to each linked peer. Other peers need not get it,
// since a call itself names the targets that were lost on its attempts, and a mark
// whose lift was not received expires.
func (t *Table) sendToPeers(kind uint32, m proto.Message) {
	for _, peer := range t.peers {
		t.send.Send(peer, kind, m)
	}
}

func formatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }
