package record

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/quorum"
)

const (
	// MaxIDAge is the age above which an id is refused: its record may have
	// been dropped.
	MaxIDAge = 10 * time.Minute
	// MaxIDAhead is how far ahead of a node's clock an id may be.
	MaxIDAhead = 60 * time.Second
	// MaxStoredAnswerBytes bounds the body of an answer that is kept for re-sends.
	MaxStoredAnswerBytes = 64 << 10
	// RetentionTime is how long a record may be needed after its id's time: the age
	// limit by a clock that runs a minute behind.
	RetentionTime = MaxIDAge + time.Minute
)

// Key identifies a request.
type Key struct {
	Customer model.Customer
	ID       model.RequestID
}

// Holder identifies one call that claims a request. Two calls at one entry
// node are two holders.
type Holder struct {
	Node model.NodeID
	Call model.CallID
}

// ClaimRequest asks a member for its vote for a claim.
type ClaimRequest struct {
	Ballot   quorum.Ballot
	Key      Key
	Holder   Holder
	Target   model.NodeID // where the request is to be handed over
	Round    int          // grows with each new claim of the holder
	Sequence uint64
}

// Vote is a member's answer to a claim.
type Vote uint8

// Votes on a claim.
const (
	VoteNone         Vote = iota // no vote: not a member, or no room
	VoteYes                      // the claim is recorded
	VoteClaimed                  // another claim stands
	VoteCompleted                // the request completed
	VoteTooOld                   // the record may have been dropped
	VoteSealed                   // the epoch accepts this id no more
	VoteTooFarAhead              // the id is too far ahead of the member's clock
	VoteUnknownEpoch             // the member has not read the composition yet
)

// ClaimAnswer is a member's vote.
type ClaimAnswer struct {
	Ballot   quorum.Ballot
	Key      Key
	Sequence uint64
	Vote     Vote
	Answer   *model.Answer // the first answer, with VoteCompleted
}

// ClaimRelease gives up the claims of a holder up to a round. None of them
// was handed over.
type ClaimRelease struct {
	Ballot quorum.Ballot
	Key    Key
	Holder Holder
	Round  int
}

// ClaimComplete stores the first answer of a request.
type ClaimComplete struct {
	Ballot quorum.Ballot
	Key    Key
	Holder Holder
	Answer *model.Answer
}

// QuorumMessage marks the type.
func (*ClaimRequest) QuorumMessage() {}

// QuorumMessage marks the type.
func (*ClaimAnswer) QuorumMessage() {}

// QuorumMessage marks the type.
func (*ClaimRelease) QuorumMessage() {}

// QuorumMessage marks the type.
func (*ClaimComplete) QuorumMessage() {}
