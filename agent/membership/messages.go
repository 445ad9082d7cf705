package membership

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// Message is a message to the membership duty.
type Message interface{ membershipMessage() }

// SnapshotChanged carries a new configuration.
type SnapshotChanged struct{ Snapshot *model.Snapshot }

// HeartbeatReceived reports a heartbeat of a peer. SentAt is the earliest time, on
// this node's clock, at which the peer can have sent it; until the offset between
// the clocks is known, it is the time of handling. EchoSentAt is when this node
// sent the heartbeat that the peer echoes, zero if it echoes none.
type HeartbeatReceived struct {
	From       model.Member
	SentAt     time.Time
	EchoSentAt time.Time
	Load       model.Load
}

// TargetUp reports that the node's target accepts connections.
type TargetUp struct{}

// AppendDone reports that a record was appended to the log, or the error if it was
// not.
type AppendDone struct {
	Record *model.MemberRecord
	Err    error
}

// ProbeRequested carries a request of the node From to probe Peer.
type ProbeRequested struct {
	From model.Instance
	ID   uint64
	Peer model.Member
}

// ProbeAnswered carries the answer to an indirect probe.
type ProbeAnswered struct {
	ID      uint64
	Reached bool
}

// SuspicionReceived carries a message of From about Peer: that it suspects Peer,
// that it no longer does (Retracted), or, in reply to a suspicion that this node
// reported, that it receives Peer's heartbeats (Refuted).
type SuspicionReceived struct {
	From      model.Member
	Peer      model.NodeID
	Retracted bool
	Refuted   bool
}

// PeerLeaving reports that a peer is shutting down.
type PeerLeaving struct{ From model.Instance }

// LoadSampled carries a sample of the load of this node's target.
type LoadSampled struct{ Load model.Load }

// BeginShutdown begins the graceful shutdown of this node.
type BeginShutdown struct{}

func (*SnapshotChanged) membershipMessage()   {}
func (*HeartbeatReceived) membershipMessage() {}
func (*TargetUp) membershipMessage()          {}
func (*AppendDone) membershipMessage()        {}
func (*ProbeRequested) membershipMessage()    {}
func (*ProbeAnswered) membershipMessage()     {}
func (*SuspicionReceived) membershipMessage() {}
func (*PeerLeaving) membershipMessage()       {}
func (*LoadSampled) membershipMessage()       {}
func (*BeginShutdown) membershipMessage()     {}
