package quorum

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// Ballot addresses a message to one voter in one epoch of a group. Requests
// carry it and answers repeat it. Voter has the incarnation under which the
// node votes, which differs from that of its process after a pause.
type Ballot struct {
	Group model.GroupKey
	Epoch uint64
	Voter model.NodeID
}

// Message is a message between the quorum duties of two nodes.
type Message interface{ QuorumMessage() }

// Outgoing is a message to be sent to the quorum duty of an instance.
type Outgoing struct {
	To      model.Instance
	Message Message
}

// Outbox collects outgoing messages. Types that send messages embed it.
type Outbox struct{ out []Outgoing }

// Send queues a message to an instance.
func (o *Outbox) Send(to model.Instance, m Message) {
	o.out = append(o.out, Outgoing{To: to, Message: m})
}

// TakeOutgoing returns the messages queued since the last call.
func (o *Outbox) TakeOutgoing() []Outgoing {
	out := o.out
	o.out = nil
	return out
}

// VoterStatus is the status of a voter in an epoch.
type VoterStatus uint8

// Values of VoterStatus.
const (
	// VoterUninformed means that the voter does not know the epoch, or is not a
	// member in it. As a result of AcceptID it also means that the voter has had
	// no contact to the log for too long.
	VoterUninformed VoterStatus = iota
	// VoterActive means that the voter votes.
	VoterActive
	// VoterSealed means that the voter accepts only request ids whose time is
	// before its seal time.
	VoterSealed
	// VoterRetired means that the voter is sealed and accepts no new ids, since
	// its process was paused.
	VoterRetired
	// VoterRestarted means that the instance has restarted, and the addressed
	// incarnation and its votes are lost.
	VoterRestarted
)

// ProbeRequest asks for the status of a voter. A ballot without a voter asks a
// candidate whether it is alive.
type ProbeRequest struct{ Ballot Ballot }

// ProbeAnswer states the status of the addressed voter, and the incarnation
// under which the node votes in new compositions.
type ProbeAnswer struct {
	Ballot Ballot
	Status VoterStatus
	Voter  model.NodeID
}

// SealRequest asks a voter to accept no ids generated at or after Time for the
// epoch, and to promise no more leases.
type SealRequest struct {
	Ballot Ballot
	Time   time.Time
}

// SealAnswer states the voter's status after a SealRequest and its seal time.
type SealAnswer struct {
	Ballot Ballot
	Status VoterStatus
	Time   time.Time
	Voter  model.NodeID
	// Remaining is the remaining lifetime of the lease promise that the voter
	// has made.
	Remaining time.Duration
}

// QuorumMessage implements Message.
func (*ProbeRequest) QuorumMessage() {}

// QuorumMessage implements Message.
func (*ProbeAnswer) QuorumMessage() {}

// QuorumMessage implements Message.
func (*SealRequest) QuorumMessage() {}

// QuorumMessage implements Message.
func (*SealAnswer) QuorumMessage() {}
