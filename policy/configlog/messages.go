package configlog

import (
	"time"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

// Position is how far a node has read a stream.
type Position struct {
	Stream string
	Next   logservice.Offset // of the next record
	// KnownAsOf is the latest time, on this node's clock, such that every
	// record appended before it is applied here, whether it was read from the
	// log or came from a peer. Zero means unknown. It is not sent to peers.
	KnownAsOf time.Time
}

// Request asks a peer for the records from the given positions on, or for a
// part of a document set.
type Request struct {
	Positions []Position
	// Sequence numbers the sender's requests, and the answer echoes it. It is 0
	// for the next part of a document set; that answer advances no KnownAsOf.
	Sequence uint64
	// WantSet asks for a document set even when the position is current,
	// because the sender misses records before it.
	WantSet bool
	// SetPosition and SetFrom ask for the next part of a document set: the set
	// as of that position, from that document on.
	SetPosition logservice.Offset
	SetFrom     int
	// Withdrawn are the sender's pending withdrawals.
	Withdrawn []model.KeyHash
}

// StreamRecords holds records of one stream, from the receiver's position on.
type StreamRecords struct {
	Stream string
	From   logservice.Offset // equals the receiver's position
	Next   logservice.Offset
	// Compact is set when the records replace everything before Next.
	Compact bool
	Records []logservice.Record
	// KnownAge is the age of the sender's Position.KnownAsOf: that long ago the
	// log held no record from Next on. It is 0 when the sender does not know.
	KnownAge time.Duration
}

// Answer holds what the sender knows and the requesting node lacks.
type Answer struct {
	Sequence  uint64 // of the request
	Streams   []StreamRecords
	Set       *DocumentSet
	Withdrawn []model.KeyHash // the sender's pending withdrawals
}

// empty reports whether there is nothing to send.
func (a *Answer) empty() bool {
	return len(a.Streams) == 0 && a.Set == nil && len(a.Withdrawn) == 0
}

// Withdrawals tells a peer about withdrawn keys, or confirms them.
type Withdrawals struct {
	Hashes []model.KeyHash
	Ack    bool // the sender confirms that it applies these withdrawals
}

// ReadResult is the result of one successful read of a stream.
type ReadResult struct {
	Stream string
	From   logservice.Offset
	SentAt time.Time // before the read was sent
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

// Append requests that a record be appended to the log. Exactly one record is
// set; the appender duty assigns its id.
type Append struct {
	Stream      string
	From        logservice.Offset // where to search for the record when the append gets no answer
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
	NoticeMalformed                   // a record does not decode
	NoticeGap                         // records expired before this node read them
	NoticeAdopted                     // a peer's document set was adopted
	NoticeRelayed                     // records came from a peer
	NoticeWithdrawn                   // a withdrawn key is refused before this node's configuration holds the withdrawal
	NoticeRefreshed                   // this node appends documents again before they expire
)

// Notice reports an event for the node's own log output.
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
