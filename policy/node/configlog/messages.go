package configlog

import (
	"time"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

// Position is a node's progress in a stream.
type Position struct {
	Stream string
	Next   logservice.Offset // of the next record to apply
	// KnownAsOf is the latest time, on this node's clock, such that this node
	// has applied every record appended before it, whether from the log or from
	// a peer. Zero means unknown. It is not sent to peers.
	KnownAsOf time.Time
}

// Request asks a peer for the records from the given positions on, or for the
// next part of a document set.
type Request struct {
	Positions []Position
	// Sequence numbers the sender's requests, and the answer echoes it. It is 0 in
	// a request for the next part of a document set, whose answer does not
	// advance KnownAsOf.
	Sequence uint64
	// WantSet asks for a document set even if the position is current, because
	// the sender's configuration has a gap.
	WantSet bool
	// SetPosition and SetFrom identify the next part of a document set: the
	// position of the set, and the index of the part's first document.
	SetPosition logservice.Offset
	SetFrom     int
	// Withdrawn holds the keys of the sender's pending withdrawals.
	Withdrawn []model.KeyHash
}

// StreamRecords holds records of a stream from the receiver's position on.
type StreamRecords struct {
	Stream string
	From   logservice.Offset // the receiver's position
	Next   logservice.Offset // the sender's position
	// Compact means that the records are those in force as of Next and replace
	// all earlier ones.
	Compact bool
	Records []logservice.Record
	// KnownAge is the age of the sender's Position.KnownAsOf, the time at which
	// the log held no record from Next on. It is 0 if the sender does not know.
	KnownAge time.Duration
}

// Answer holds the records, documents and withdrawals that the requesting node
// lacks.
type Answer struct {
	Sequence  uint64 // of the request
	Streams   []StreamRecords
	Set       *DocumentSet
	Withdrawn []model.KeyHash // keys of the sender's pending withdrawals
}

// empty reports whether the answer holds nothing that the peer lacks.
func (a *Answer) empty() bool {
	return len(a.Streams) == 0 && a.Set == nil && len(a.Withdrawn) == 0
}

// Withdrawals tells a peer about withdrawn keys, or confirms their withdrawal.
type Withdrawals struct {
	Hashes []model.KeyHash
	Ack    bool // the sender confirms that it refuses these keys
}

// ReadResult is the result of one successful read of a stream.
type ReadResult struct {
	Stream string
	From   logservice.Offset
	SentAt time.Time // taken before the read was sent
	Page   logservice.Page
}

// Action is work that the core requests from its duty: *ReadLog, *Send,
// *Append or *Notice.
type Action interface{ configlogAction() }

// ReadLog requests a read of a stream from an offset on.
type ReadLog struct {
	Stream string
	From   logservice.Offset
	Wait   time.Duration // how long the log service may hold the read open
}

// Send requests a message to a peer. Exactly one message is set.
type Send struct {
	To          model.Instance
	Request     *Request
	Answer      *Answer
	Withdrawals *Withdrawals
}

// Append requests the append of a record to the log. Exactly one record is set.
// The appender duty assigns its id.
type Append struct {
	Stream      string
	From        logservice.Offset // where a search for the record starts if the append gets no answer
	Publication *model.Publication
	Member      *model.MemberRecord
	Group       *model.GroupRecord
}

// NoticeKind is the kind of a notice.
type NoticeKind uint8

// Kinds of notices.
const (
	NoticeAccepted  NoticeKind = iota // a publication was accepted
	NoticeRejected                    // a publication was rejected because of a conflict
	NoticeMalformed                   // a record or document cannot be decoded
	NoticeGap                         // records expired before this node read them
	NoticeAdopted                     // a peer's document set was adopted
	NoticeRelayed                     // records from a peer were applied
	NoticeWithdrawn                   // a key is refused because of a withdrawal that this node's configuration does not hold yet
	NoticeRefreshed                   // this node appends documents again before their records expire
)

// Notice reports an event that the duty writes to the node's log output.
type Notice struct {
	Kind   NoticeKind
	Stream string
	Offset logservice.Offset
	ID     string
	Peer   model.Instance
	Count  int // number of records or documents
	Err    error
}

func (*ReadLog) configlogAction() {}
func (*Send) configlogAction()    {}
func (*Append) configlogAction()  {}
func (*Notice) configlogAction()  {}
