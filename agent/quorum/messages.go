// Package quorum implements the quorum duty of a node. It runs the policies of
// quorum groups on their own thread: votes, token leases and request records.
package quorum

import (
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
	"github.com/oleanderworks/oleanderworks/policy/node/tokenlease"
)

// Message is a message to the quorum duty.
type Message interface{ quorumMessage() }

// AcquireTokens requests tokens of a customer for this node's routing duty.
// Deliver runs on the quorum thread and must not block.
type AcquireTokens struct {
	Customer model.Customer
	Want     int // tokens
	Deliver  func(tokenlease.Result)
}

// ReportTokens reports used and returned tokens to the grantor of a customer.
// Without a report, the grantor counts a token as used when it expires, so that
// the customer gets its next tokens later.
type ReportTokens struct {
	Customer model.Customer
	Reports  []tokenlease.Report
}

// AcquireClaim requests the right to hand a non-idempotent request to a target.
// Attempt counts from 0 and increases only when the target certainly did not run
// the previous attempt. Deliver runs on the quorum thread and must not block.
type AcquireClaim struct {
	CallID    model.CallID
	Customer  model.Customer
	RequestID model.RequestID
	Target    model.NodeID
	Attempt   int
	Deliver   func(record.Result)
}

// CompleteClaim stores the first answer of a request, which is replayed when the
// caller sends the request again.
type CompleteClaim struct {
	Claim  *model.Claim
	Answer *model.Answer
}

// ReleaseClaim releases a claim whose request was certainly not handed to a
// target.
type ReleaseClaim struct{ Claim *model.Claim }

// PeerMessage is a message from the quorum duty of another node.
type PeerMessage struct {
	From    model.Instance
	Message quorum.Message
}

// ReleaseLeases releases the node's leases before it shuts down, so that another
// member can become grantor as soon as the last token has expired. The node
// continues to vote.
type ReleaseLeases struct{}

// AppendDone reports that the append of a group's composition has ended,
// successfully or not.
type AppendDone struct{ Key model.GroupKey }

// SnapshotChanged carries a new configuration.
type SnapshotChanged struct{ Snapshot *model.Snapshot }

func (*AcquireTokens) quorumMessage()   {}
func (*ReportTokens) quorumMessage()    {}
func (*AcquireClaim) quorumMessage()    {}
func (*CompleteClaim) quorumMessage()   {}
func (*ReleaseClaim) quorumMessage()    {}
func (*PeerMessage) quorumMessage()     {}
func (*ReleaseLeases) quorumMessage()   {}
func (*AppendDone) quorumMessage()      {}
func (*SnapshotChanged) quorumMessage() {}
