package membership

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// Message is what the membership duty takes.
type Message interface{ membershipMessage() }

// SnapshotChanged carries a new configuration.
type SnapshotChanged struct{ Snapshot *model.Snapshot }

// Heard reports a heartbeat that a peer sent at the time At, on this node's
// clock. It answers the own heartbeat that was sent at Echoed; zero for none.
type Heard struct {
	From   model.Member
	At     time.Time
	Echoed time.Time
	Load   model.Load
}

// TargetUp reports that the node's target answers.
type TargetUp struct{}

// Appended reports that the log holds a record, or that it was not taken.
type Appended struct {
	Record *model.MemberRecord
	Err    error
}

// ProbeAsked carries a peer's request to reach Peer.
type ProbeAsked struct {
	From model.Instance
	ID   uint64
	Peer model.Member
}

// ProbeAnswered carries the answer to an indirect probe.
type ProbeAnswered struct {
	ID      uint64
	Reached bool
}

// Suspected carries a peer's report on another one, its withdrawal, or the
// answer that the peer hears a node that this one reported.
type Suspected struct {
	From    model.Member
	Peer    model.NodeID
	Lifted  bool
	Refuted bool
}

// SaidGoodbye reports that a peer is leaving.
type SaidGoodbye struct{ From model.Instance }

// LoadSampled carries the load of this node's target.
type LoadSampled struct{ Load model.Load }

// Stop begins the graceful shutdown of this node.
type Stop struct{}

func (*SnapshotChanged) membershipMessage() {}
func (*Heard) membershipMessage()           {}
func (*TargetUp) membershipMessage()        {}
func (*Appended) membershipMessage()        {}
func (*ProbeAsked) membershipMessage()      {}
func (*ProbeAnswered) membershipMessage()   {}
func (*Suspected) membershipMessage()       {}
func (*SaidGoodbye) membershipMessage()     {}
func (*LoadSampled) membershipMessage()     {}
func (*Stop) membershipMessage()            {}
