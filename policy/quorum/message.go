package quorum

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// Ballot addresses one voter in one epoch of a group. Requests carry it and
// answers repeat it.
type Ballot struct {
	Key   model.GroupKey
	Epoch uint64
	Voter model.NodeID
}

// Message is a message between the quorum duties of two nodes.
type Message interface{ QuorumMessage() }

// Outgoing is a message to the quorum duty of an instance.
type Outgoing struct {
	To      model.Instance
	Message Message
}

// Outbox collects the messages that a core wants to send.
type Outbox struct{ out []Outgoing }

// Send adds a message.
func (o *Outbox) Send(to model.Instance, m Message) {
	o.out = append(o.out, Outgoing{To: to, Message: m})
}

// TakeOutgoing returns the messages since the last call.
func (o *Outbox) TakeOutgoing() []Outgoing {
	out := o.out
	o.out = nil
	return out
}

// VoterStatus is a voter's position in an epoch.
type VoterStatus uint8

// Standings of a voter.
const (
	// VoterUninformed: the voter has not read the composition yet. No vote.
	VoterUninformed VoterStatus = iota
	// VoterActive: the voter votes.
	VoterActive
	// VoterSealed: the voter accepts nothing from its seal time on.
	VoterSealed
	// VoterRetired: the voter is sealed and accepts nothing new at all,
	// since its process was paused.
	VoterRetired
	// VoterGone: the addressed incarnation has ended on its instance, and
	// its votes with it.
	VoterGone
)

// ProbeRequest asks for the standing of a voter. A ballot without a voter
// asks a candidate.
type ProbeRequest struct{ Ballot Ballot }

// ProbeAnswer tells the standing of the addressed voter and the incarnation
// under which the node votes in new compositions.
type ProbeAnswer struct {
	Ballot Ballot
	Status VoterStatus
	Voter  model.NodeID
}

// SealRequest asks a voter to accept no id made at or after Time for the
// epoch, and to promise no lease any more.
type SealRequest struct {
	Ballot Ballot
	Time   time.Time
}

// SealAnswer tells from which time on the voter is sealed.
type SealAnswer struct {
	Ballot Ballot
	Status VoterStatus
	Time   time.Time
	Voter  model.NodeID
	// Remaining is the life of the lease that the voter has promised.
	Remaining time.Duration
}

// QuorumMessage marks the type.
func (*ProbeRequest) QuorumMessage() {}

// QuorumMessage marks the type.
func (*ProbeAnswer) QuorumMessage() {}

// QuorumMessage marks the type.
func (*SealRequest) QuorumMessage() {}

// QuorumMessage marks the type.
func (*SealAnswer) QuorumMessage() {}
