package membership

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// Message is what the membership duty takes.
type Message interface{ membershipMessage() }

// SnapshotChanged carries a new configuration.
type SnapshotChanged struct{ Snapshot *model.Snapshot }

// HeartbeatReceived reports a heartbeat that a peer sent at SentAt, on this node's
// clock. It answers the own heartbeat that was sent at EchoSentAt; zero for none.
type HeartbeatReceived struct {
	From       model.Member
	SentAt     time.Time
	EchoSentAt time.Time
	Load       model.Load
}

// TargetUp reports that the node's target answers.
type TargetUp struct{}

// AppendDone reports that the log holds a record, or that it was not taken.
type AppendDone struct {
	Record *model.MemberRecord
	Err    error
}

// ProbeRequested carries a peer's request to reach Peer.
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

// SuspicionReceived carries a peer's report on another one, its withdrawal, or the
// answer that the peer hears a node that this one reported.
type SuspicionReceived struct {
	From    model.Member
	Peer    model.NodeID
	Lifted  bool
	Refuted bool
}

// PeerLeaving reports that a peer is leaving.
type PeerLeaving struct{ From model.Instance }

// LoadSampled carries the load of this node's target.
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
