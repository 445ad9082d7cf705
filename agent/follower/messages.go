package follower

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/configlog"
)

// Message is what the follower duty takes: *ReadDone, *PeerRequest,
// *PeerAnswer, *PeerWithdrawals, *Withdraw or *Renamed.
type Message interface{ followerMessage() }

// ReadDone carries the outcome of a read of the log.
type ReadDone struct {
	Read configlog.ReadResult
	Err  error // the read failed; only Read.Stream is set then
}

// PeerRequest carries a peer's request for records.
type PeerRequest struct {
	From    model.Member
	Request *configlog.Request
}

// PeerAnswer carries records or documents from a peer.
type PeerAnswer struct {
	From   model.Member
	Answer *configlog.Answer
}

// PeerWithdrawals carries withdrawn keys, or their confirmation, from a peer.
type PeerWithdrawals struct {
	From        model.Member
	Withdrawals *configlog.Withdrawals
}

// Withdraw asks, on behalf of an operator, that a key stop working.
type WithdrawKey struct {
	Hash  model.KeyHash
	Reply ring.Reply[configlog.Acceptance]
}

// Renamed tells that the node goes on under another incarnation.
type IncarnationChanged struct{ Self model.Member }

func (*IncarnationChanged) followerMessage() {}
func (*ReadDone) followerMessage()           {}
func (*PeerRequest) followerMessage()        {}
func (*PeerAnswer) followerMessage()         {}
func (*PeerWithdrawals) followerMessage()    {}
func (*WithdrawKey) followerMessage()        {}

// Published tells other duties where the node stands with the log. It is
// immutable and published after each change of the contact, about once a
// second.
type LogStatus struct {
	// LogContact is when the latest read that reached the end of the
	// configuration's stream began. It is zero when there was none.
	LastLogContact time.Time
	// Positions are the next offsets of the streams that the node follows.
	Positions []configlog.Position
	// Ready reports whether the node has a whole configuration.
	Ready bool
}

// ConfigOffset returns the offset of the next record of the configuration.
func (p *LogStatus) ConfigOffset() uint64 {
	for _, position := range p.Positions {
		if position.Stream == model.ConfigStream {
			return uint64(position.Next)
		}
	}
	return 0
}

// Known returns the latest time before which every record that was appended
// to a stream is applied at this node, read from the log or through peers. It
// is zero when there is none.
func (p *LogStatus) KnownAsOf(stream string) time.Time {
	for _, position := range p.Positions {
		if position.Stream == stream {
			return position.KnownAsOf
		}
	}
	return time.Time{}
}

// View is what operators see of the follower. It is immutable.
type View struct {
	LogStatus
	Snapshot *model.Snapshot // nil until the node is ready
}

// Subscriber takes a snapshot without waiting and reports whether it had
// room.
type SnapshotSubscriber func(*model.Snapshot) bool

// ContactSubscriber takes the state of the log contact without waiting and
// reports whether it had room.
type StatusSubscriber func(*LogStatus) bool
