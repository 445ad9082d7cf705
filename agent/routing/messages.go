package routing

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/record"
	"github.com/oleanderworks/oleanderworks/policy/routing"
	"github.com/oleanderworks/oleanderworks/policy/tokenlease"
)

// Message is what the routing duty takes: one of the types of this file.
type Message interface{ routingMessage() }

// Begin starts a call. Reply gets the first decision.
type BeginCall struct {
	Request    *model.Request
	ReceivedAt time.Time // when the request was complete at the node
	Reply      ring.Reply[routing.Decision]
	// Cancel ends the attempt in progress. It is called on the duty's thread
	// and must not block.
	CancelAttempt func()
}

// Outcome reports the result of an attempt. Reply gets the next decision; it
// is the zero value when the sender does not wait.
type AttemptDone struct {
	Answer     *model.Answer
	CallerGone bool
	Reply      ring.Reply[routing.Decision]
}

// Cancel ends a call whose caller has gone.
type Cancel struct{ CallID model.CallID }

// RegisterParent announces a call that is handed to this node's target. The
// sender puts it into the ring before the target can make a sub-call.
type RegisterParent struct {
	ContextID string // opaque value of the header Oleander-Context
	Call      *model.Call
}

// EndParent reports that the target has ended a call. Reply gets what its
// sub-calls used.
type EndParent struct {
	ContextID string
	Canceled  bool          // the caller has gone
	NodeTime  time.Duration // time in this node, without the target
	Reply     ring.Reply[routing.SubCallUsage]
}

// TokensGranted carries the quorum duty's answer to a request for tokens.
type TokenResult struct{ Result tokenlease.Result }

// ClaimDecided carries the quorum duty's answer to a request for a claim.
type ClaimResult struct {
	CallID model.CallID
	Result record.Result
}

// SnapshotChanged carries a new configuration.
type SnapshotChanged struct{ Snapshot *model.Snapshot }

// LoadReport carries a target's report about itself from a heartbeat.
type LoadReport struct {
	Instance model.Instance
	Load     model.Load
}

// SuspectChanged excludes a target, or admits it again.
type SuspectChanged struct {
	Instance model.Instance
	Suspect  bool
}

// ContactChanged tells until when the node is in contact with the fleet; zero
// means that it is not. The duty assumes contact until it is told otherwise.
type ContactChanged struct{ Until time.Time }

func (*BeginCall) routingMessage()       {}
func (*AttemptDone) routingMessage()     {}
func (*Cancel) routingMessage()          {}
func (*RegisterParent) routingMessage()  {}
func (*EndParent) routingMessage()       {}
func (*TokenResult) routingMessage()     {}
func (*ClaimResult) routingMessage()     {}
func (*SnapshotChanged) routingMessage() {}
func (*LoadReport) routingMessage()      {}
func (*SuspectChanged) routingMessage()  {}
func (*ContactChanged) routingMessage()  {}
