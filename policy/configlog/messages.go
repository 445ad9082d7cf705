package configlog

import (
	"time"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

// Position is the offset of the next record of a stream.
type Position struct {
	Stream string
	Next   logservice.Offset
	// KnownAsOf is the latest time, on this node's clock, before which every
	// record that was appended is applied here, read from the log or through
	// peers. It is zero when there is none. It is not sent to peers.
	KnownAsOf time.Time
}

// Request asks a peer for the records after the positions.
type Request struct {
	Positions []Position
	Sequence  uint64 // of the sender's requests; the answer repeats it
	// WantSet asks for a document set even when the position is current,
	// because records before it are missing.
	WantSet bool
	// SetPosition and SetFrom ask for the next part of a set.
	SetPosition logservice.Offset
	SetFrom     int
	// Withdrawn are withdrawals that the sender has not seen in the log.
	Withdrawn []model.KeyHash
}

// StreamRecords are records of one stream, from the receiver's position on.
type StreamRecords struct {
	Stream string
	From   logservice.Offset // equals the receiver's position
	Next   logservice.Offset
	// Compact says that the records replace everything before Next.
	Compact bool
	Records []logservice.Record
	// KnownAge is how long ago every record before Next was all there was, as
	// the peer knows it. It is 0 when the peer does not know.
	KnownAge time.Duration
}

// Answer passes on what a peer knows and the asker does not.
type Answer struct {
	Sequence  uint64 // of the request
	Streams   []StreamRecords
	Set       *DocumentSet
	Withdrawn []model.KeyHash
}

// empty reports whether the answer says nothing.
func (a *Answer) empty() bool {
	return len(a.Streams) == 0 && a.Set == nil && len(a.Withdrawn) == 0
}

// Withdrawals passes withdrawn keys from node to node, or confirms them.
type Withdrawals struct {
	Hashes []model.KeyHash
	Ack    bool
}

// ReadResult is the outcome of a read of the log.
type ReadResult struct {
	Stream  string
	From    logservice.Offset
	Started time.Time // before the read was sent
	Page    logservice.Page
}

// Action is what the node does for the core: *ReadLog, *Send, *Append or
// *Notice.
type Action interface{ configlogAction() }

// ReadLog asks for the records of a stream from an offset on.
type ReadLog struct {
	Stream string
	From   logservice.Offset
	Wait   time.Duration // how long the log service may hold the read open
}

// Send passes a message to a peer. Exactly one message is set.
type Send struct {
	To          model.Instance
	Request     *Request
	Answer      *Answer
	Withdrawals *Withdrawals
}

// Append asks for a record to be appended. Exactly one record is set; the
// writer gives it an id.
type Append struct {
	Stream      string
	From        logservice.Offset // where a search for the record starts
	Publication *model.Publication
	Member      *model.MemberRecord
	Group       *model.GroupRecord
}

// NoticeKind says what happened.
type NoticeKind uint8

// Kinds of notices.
const (
	NoticeAccepted NoticeKind = iota
	NoticeRejected
	NoticeMalformed
	NoticeGap
	NoticeAdopted
	NoticeRelayed
	NoticeWithdrawn
	NoticeRefreshed
)

// Notice is something that operators may want to see in the log.
type Notice struct {
	Kind   NoticeKind
	Stream string
	Offset logservice.Offset
	ID     string
	Peer   model.Instance
	Count  int // records or documents
	Err    error
}

func (*ReadLog) configlogAction() {}
func (*Send) configlogAction()    {}
func (*Append) configlogAction()  {}
func (*Notice) configlogAction()  {}
