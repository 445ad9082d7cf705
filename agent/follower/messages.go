package follower

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/configlog"
)

// Message is a message to the follower duty: *ReadDone, *PeerRequest,
// *PeerAnswer, *PeerWithdrawals, *WithdrawKey or *IncarnationChanged.
type Message interface{ followerMessage() }

// ReadDone carries the result of a read of the log.
type ReadDone struct {
	Read configlog.ReadResult
	Err  error // set if the read failed; Read has no page then
}

// PeerRequest carries a peer's request for records.
type PeerRequest struct {
	From    model.Member
	Request *configlog.Request
}

// PeerAnswer carries a peer's answer with records or documents.
type PeerAnswer struct {
	From   model.Member
	Answer *configlog.Answer
}

// PeerWithdrawals carries withdrawals of keys from a peer, or its acknowledgment
// of withdrawals.
type PeerWithdrawals struct {
	From        model.Member
	Withdrawals *configlog.Withdrawals
}

// WithdrawKey withdraws a key on behalf of an operator.
type WithdrawKey struct {
	Hash  model.KeyHash
	Reply ring.Reply[configlog.Confirmation]
}

// IncarnationChanged reports that the node has a new incarnation.
type IncarnationChanged struct{ Self model.Member }

func (*IncarnationChanged) followerMessage() {}
func (*ReadDone) followerMessage()           {}
func (*PeerRequest) followerMessage()        {}
func (*PeerAnswer) followerMessage()         {}
func (*PeerWithdrawals) followerMessage()    {}
func (*WithdrawKey) followerMessage()        {}

// LogStatus describes how far the node has read the log. It is part of View and is
// offered to the status subscribers. It is immutable; a new one is published with
// each new snapshot and each change of Positions or Ready. Positions change every few
// seconds, also without new records, since each read advances KnownAsOf.
type LogStatus struct {
	// LastLogContact is the start of the latest read that reached the end of the
	// configuration stream, or zero if there was none.
	LastLogContact time.Time
	// Positions holds the node's position in each stream that it follows.
	Positions []configlog.Position
	// Ready reports whether the node has a complete configuration.
	Ready bool
}

// ConfigOffset returns the offset of the next record of the configuration stream.
func (s *LogStatus) ConfigOffset() uint64 {
	for _, position := range s.Positions {
		if position.Stream == model.ConfigStream {
			return uint64(position.Next)
		}
	}
	return 0
}

// KnownAsOf returns the latest time such that this node has applied every record
// that was appended to the stream earlier, whether it was read from the log or
// received from a peer. It returns zero if there is no such time.
func (s *LogStatus) KnownAsOf(stream string) time.Time {
	for _, position := range s.Positions {
		if position.Stream == stream {
			return position.KnownAsOf
		}
	}
	return time.Time{}
}

// View is the follower's state as other threads see it: those that serve operators'
// requests, and the quorum duty's. It is immutable.
type View struct {
	LogStatus
	Snapshot *model.Snapshot // nil until the node is ready
}

// SnapshotSubscriber accepts a snapshot without blocking and reports whether it
// had room.
type SnapshotSubscriber func(*model.Snapshot) bool

// StatusSubscriber accepts a status without blocking and reports whether it had
// room.
type StatusSubscriber func(*LogStatus) bool
