package tokenlease

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
)

// PromiseRequest asks a voter to promise a group's lease to Holder.
type PromiseRequest struct {
	Ballot   quorum.Ballot
	Holder   model.NodeID
	Term     uint64 // increases with each new grantor
	Sequence uint64 // matches answers to requests
	// Continued states that Holder held the lease of the previous epoch when
	// it read the composition of this one.
	Continued bool
}

// PromiseAnswer is a voter's answer to a PromiseRequest. If the voter refuses,
// Holder and Term are those of the promise that it has made already, if any, and
// Remaining is the remaining lifetime of that promise.
type PromiseAnswer struct {
	Ballot    quorum.Ballot
	Sequence  uint64
	Promised  bool
	Holder    model.NodeID
	Term      uint64
	Remaining time.Duration
}

// PromiseRelease shortens a promise to Remaining, the time until the last
// granted token expires, so that another node can become grantor earlier.
type PromiseRelease struct {
	Ballot    quorum.Ballot
	Holder    model.NodeID
	Term      uint64
	Remaining time.Duration
}

// Report states how many tokens of a grant have been used and returned in
// total. None of these tokens is used after the report was sent.
type Report struct {
	GrantID  uint64 // sequence number of the token request that got the grant
	Used     int
	Returned int
}

// TokenRequest requests tokens from the grantor of a customer's group. If Want
// is 0, it only carries reports and gets no answer.
type TokenRequest struct {
	Group    model.GroupKey
	Customer model.Customer
	Want     int
	Sequence uint64 // also the id of the grant
	Reports  []Report
}

// TokenAnswer is the answer to a TokenRequest. At the grantor, Lifetime starts
// when it grants the tokens; at the entry node, it starts when the request is
// sent, which is earlier.
type TokenAnswer struct {
	Customer   model.Customer
	Sequence   uint64
	Granted    int
	Term       uint64
	Lifetime   time.Duration
	RetryAfter time.Duration  // set if fewer were granted than wanted
	NotGrantor bool           // the asked node does not hold the lease, or does not know the customer
	Grantor    model.Instance // the grantor that the asked node knows; empty if none
}

// QuorumMessage implements quorum.Message.
func (*PromiseRequest) QuorumMessage() {}

// QuorumMessage implements quorum.Message.
func (*PromiseAnswer) QuorumMessage() {}

// QuorumMessage implements quorum.Message.
func (*PromiseRelease) QuorumMessage() {}

// QuorumMessage implements quorum.Message.
func (*TokenRequest) QuorumMessage() {}

// QuorumMessage implements quorum.Message.
func (*TokenAnswer) QuorumMessage() {}
