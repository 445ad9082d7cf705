package routing

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
	"github.com/oleanderworks/oleanderworks/policy/node/routing"
	"github.com/oleanderworks/oleanderworks/policy/node/tokenlease"
)

// Message is a message to the routing duty: one of the types of this file.
type Message interface{ routingMessage() }

// BeginCall starts a call. Reply gets the first decision.
type BeginCall struct {
	Request    *model.Request
	ReceivedAt time.Time // when the node had read the whole request
	Reply      ring.Reply[routing.Decision]
	// CancelAttempt cancels the attempt in progress. It is called on the duty's
	// thread and must not block.
	CancelAttempt func()
}

// AttemptDone reports the outcome of an attempt. Reply gets the next decision; it is
// the zero value if the sender does not wait for it.
type AttemptDone struct {
	Answer             *model.Answer
	CallerDisconnected bool
	Reply              ring.Reply[routing.Decision]
}

// Cancel reports that the caller of a request has disconnected.
type Cancel struct{ CallID model.CallID }

// RegisterParent registers a call that is about to be sent to this node's target. It
// must be in the ring before the target can make a sub-call.
type RegisterParent struct {
	ContextID string // opaque value of the header Oleander-Context
	Call      *model.Call
}

// EndParent reports that a call has ended at the target. Reply gets the retries and
// the time used by its sub-calls.
type EndParent struct {
	ContextID    string
	Canceled     bool          // the caller has disconnected or the deadline has passed
	HandoffDelay time.Duration // from arrival at this node to the handoff to the target, including the time in the queue
	Reply        ring.Reply[routing.SubCallUsage]
}

// TokenResult carries the quorum duty's result of a request for tokens.
type TokenResult struct{ Result tokenlease.Result }

// ClaimResult carries the quorum duty's result of a request for a claim.
type ClaimResult struct {
	CallID model.CallID
	Result record.Result
}

// SnapshotChanged carries a new configuration.
type SnapshotChanged struct{ Snapshot *model.Snapshot }

// LoadReport carries a target's load, as reported in a heartbeat of its node.
type LoadReport struct {
	Instance model.Instance
	Load     model.Load
}

// ExclusionChanged excludes a target from new calls because its node is silent or
// leaving, or includes it again. The target may be this node's own.
type ExclusionChanged struct {
	Instance model.Instance
	Excluded bool
}

// ContactChanged gives the time until which the node counts as in contact with
// nodes in a majority of the region's availability zones (policy/node/membership). The
// zero time means that it has no contact. Without contact, requests with a key are
// refused. The duty assumes contact until the first ContactChanged.
type ContactChanged struct{ Until time.Time }

func (*BeginCall) routingMessage()        {}
func (*AttemptDone) routingMessage()      {}
func (*Cancel) routingMessage()           {}
func (*RegisterParent) routingMessage()   {}
func (*EndParent) routingMessage()        {}
func (*TokenResult) routingMessage()      {}
func (*ClaimResult) routingMessage()      {}
func (*SnapshotChanged) routingMessage()  {}
func (*LoadReport) routingMessage()       {}
func (*ExclusionChanged) routingMessage() {}
func (*ContactChanged) routingMessage()   {}
