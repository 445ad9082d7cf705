package record

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
)

const (
	// MaxIDAge is the age above which a request id is refused, since its
	// record may have been dropped. The time of an id is part of the id.
	MaxIDAge = 10 * time.Minute
	// MaxIDAhead is how far ahead of a node's clock the time of an id may be.
	// It must equal maxIDAhead of package quorum.
	MaxIDAhead = 60 * time.Second
	// MaxStoredAnswerBytes bounds the body of an answer that is stored for
	// re-sends.
	MaxStoredAnswerBytes = 64 << 10
	// RetentionTime is how long after the time of its id a request may still be
	// claimed: the maximum age, plus a minute for a node whose clock is behind.
	// Ended epochs are kept for this time, and handoffs and granted claims for
	// MaxIDAhead longer; the records themselves are kept for MaxIDAge +
	// MaxIDAhead.
	RetentionTime = MaxIDAge + time.Minute
)

// RequestKey identifies a request.
type RequestKey struct {
	Customer model.Customer
	ID       model.RequestID
}

// Holder identifies one call that claims a request. Two calls at one entry
// node are two holders.
type Holder struct {
	Node model.NodeID
	Call model.CallID
}

// ClaimRequest asks a member to vote for a claim.
type ClaimRequest struct {
	Ballot   quorum.Ballot
	Key      RequestKey
	Holder   Holder
	Target   model.NodeID // where the request is to be handed over
	Round    int          // increases with each round of voting on the holder's claim
	Sequence uint64       // matches answers to requests
}

// Vote is a member's answer to a claim.
type Vote uint8

// Values of Vote.
const (
	VoteNone         Vote = iota // no vote: the voter is retired or has restarted, or holds too many records
	VoteYes                      // the claim is accepted
	VoteClaimed                  // refused because of another claim, or because the round is old or released
	VoteCompleted                // the request has completed
	VoteTooOld                   // the record may have been dropped
	VoteSealed                   // the epoch is sealed and does not accept this id
	VoteTooFarAhead              // the id is too far ahead of the member's clock
	VoteUnknownEpoch             // the epoch is unknown to the member, or its contact to the log is too old
)

// ClaimAnswer is a member's vote.
type ClaimAnswer struct {
	Ballot   quorum.Ballot
	Key      RequestKey
	Sequence uint64
	Vote     Vote
	Answer   *model.Answer // the first answer; set with VoteCompleted
}

// ClaimRelease releases the claims of a holder up to a round. The request was
// not handed over under any of them.
type ClaimRelease struct {
	Ballot quorum.Ballot
	Key    RequestKey
	Holder Holder
	Round  int
}

// ClaimComplete stores the first answer of a request at a member.
type ClaimComplete struct {
	Ballot quorum.Ballot
	Key    RequestKey
	Holder Holder
	Answer *model.Answer
}

// QuorumMessage implements quorum.Message.
func (*ClaimRequest) QuorumMessage() {}

// QuorumMessage implements quorum.Message.
func (*ClaimAnswer) QuorumMessage() {}

// QuorumMessage implements quorum.Message.
func (*ClaimRelease) QuorumMessage() {}

// QuorumMessage implements quorum.Message.
func (*ClaimComplete) QuorumMessage() {}
