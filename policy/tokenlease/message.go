package tokenlease

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/quorum"
)

// PromiseRequest asks a voter to promise a group's lease to Holder.
type PromiseRequest struct {
	Ballot   quorum.Ballot
	Holder   model.NodeID
	Term     uint64 // grows with each new grantor
	Sequence uint64 // matches answers to requests
	// Continued tells that Holder held the lease of the epoch before when it
	// read the composition of this one.
	Continued bool
}

// PromiseAnswer is a voter's answer. When it is refused, Holder and Term are
// those of the standing promise and Remaining is its life.
type PromiseAnswer struct {
	Ballot    quorum.Ballot
	Sequence  uint64
	Promised  bool
	Holder    model.NodeID
	Term      uint64
	Remaining time.Duration
}

// PromiseRelease gives a promise back, so that another node may become
// grantor before it lapses: after Remaining, when the last token has ended.
type PromiseRelease struct {
	Ballot    quorum.Ballot
	Holder    model.NodeID
	Term      uint64
	Remaining time.Duration
}

// Report tells the grantor what became of the tokens of one grant, as totals.
// Neither used nor returned tokens are used any more after it was sent.
type Report struct {
	Grant    uint64
	Used     int
	Returned int
}

// TokenRequest asks the grantor of a customer's group for tokens. With Want 0
// it only reports and gets no answer.
type TokenRequest struct {
	Key      model.GroupKey
	Customer model.Customer
	Want     int
	Sequence uint64 // id of the grant
	Reports  []Report
}

// TokenAnswer is the answer to a TokenRequest. Lifetime counts from the grantor's
// decision; the holder counts it from before it asked.
type TokenAnswer struct {
	Customer   model.Customer
	Sequence   uint64
	Granted    int
	Term       uint64
	Lifetime   time.Duration
	RetryAfter time.Duration  // when less was granted than wanted
	NotGrantor bool           // the asked node holds no lease
	Grantor    model.Instance // the grantor it knows; empty when it knows none
}

// QuorumMessage marks the type.
func (*PromiseRequest) QuorumMessage() {}

// QuorumMessage marks the type.
func (*PromiseAnswer) QuorumMessage() {}

// QuorumMessage marks the type.
func (*PromiseRelease) QuorumMessage() {}

// QuorumMessage marks the type.
func (*TokenRequest) QuorumMessage() {}

// QuorumMessage marks the type.
func (*TokenAnswer) QuorumMessage() {}
