// Package frame encodes the messages between two nodes of package agent/mesh.
// Nodes of package agent use transport/wire; the two protocols are incompatible.
// A frame consists of a length, a kind and a payload in the protobuf wire format.
// Many calls share one connection, so that one system call can write a batch of
// frames.
//
// Unknown fields and kinds are skipped, so that nodes of different releases can
// communicate.
package frame

import (
	"encoding/binary"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
)

// Version is the version of the frames. It grows with each change that nodes of the
// version before cannot ignore. Frames do not carry it.
const Version = 1

// Kind is the type of the message in a frame.
type Kind uint8

// Kinds of frames.
const (
	KindHello            Kind = iota + 1 // first frame in either direction
	KindCall                             // a call for the receiver's target
	KindCancel                           // cancels a call whose answer the sender no longer needs
	KindAnswer                           // the result of a call
	KindReport                           // the status of the sender
	KindDocumentsRequest                 // asks for the operator's documents
	KindDocuments                        // the operator's documents
	KindPing                             // shows that the sender is alive if it has nothing else to send
	KindUsage                            // how much of the customers' rates a node's callers use
	KindCrashes                          // the requests that the sender knows to have crashed targets
	KindRollout                          // a node's state of an order to move a service to another version
	KindDeparted                         // the receiver's target that leaves, as known to the sender
)

const (
	headerBytes = 5 // 4 for the length of kind and payload, 1 for the kind
	// idFieldBytes is the size of the first field of a call or an answer, a fixed64.
	idFieldBytes = 9
	// MaxBytes is the maximum length of kind and payload. It exceeds the largest
	// body of a request, 64 MiB, by enough for the headers.
	MaxBytes = 80 << 20
	// MaxHelloBytes is the same for a hello, which is read before the sender is known to
	// be a node.
	MaxHelloBytes = 64 << 10
)

// kindNames are the names of the kinds in metrics.
var kindNames = map[Kind]string{
	KindHello: "hello", KindCall: "call", KindCancel: "cancel", KindAnswer: "answer", KindReport: "report",
	KindDocumentsRequest: "want", KindDocuments: "documents", KindPing: "ping", KindUsage: "usage",
	KindCrashes: "crashes", KindRollout: "rollout", KindDeparted: "departed",
}

// String returns the name used in metrics.
func (k Kind) String() string { return kindNames[k] }

// KindOf returns the kind of frame that carries a message.
func KindOf(m Message) Kind { return m.kind() }

// Message is the content of a frame: Hello, Call, Cancel, Answer, Report,
// DocumentsRequest, Documents, Ping, Usage, Crashes, Rollout or Departed.
type Message interface {
	kind() Kind
	append(b []byte) []byte
}

// Hello identifies the sender. A node that dials a peer checks the peer's
// hello, since an address can be reassigned to another node.
type Hello struct {
	Node    model.NodeID
	Zone    model.Zone
	Service model.Service
}

// Call carries a call to a target's node. Deadlines are sent as the time that
// remains, since the clocks of two nodes differ.
type Call struct {
	Call         *model.Call
	Remaining    time.Duration // until the deadline
	SLORemaining time.Duration // until the SLO deadline, which follows from the route's latency objective
}

// Cancel cancels a call.
type Cancel struct{ ID model.CallID }

// Answer is the result of a call.
type Answer struct{ Answer *model.Answer }

// Report carries a node's status.
type Report struct {
	Report        *model.NodeReport
	OmitsNodeInfo bool // Report.NodeInfo is not encoded: it equals the one last sent on this link
}

// DocumentsRequest asks for the operator's documents if the receiver has newer
// ones than the known ones.
type DocumentsRequest struct{ Known model.DocumentsState }

// Documents holds all of the operator's documents as of a position in the log. Records
// of older eras are retained: the log lacks them since it was restored.
type Documents struct {
	End         model.LogPosition
	Records     []keyed.Record
	RetainedFor time.Duration // for how long retained documents without a version stay in force
}

// Ping only shows that the sender is alive. It has no fields.
type Ping struct{}

// Usage reports how much of the customers' rates a node's callers use. A node
// that receives it from another availability zone forwards it to the peers in
// its own zone.
type Usage struct {
	Node      model.NodeID // the node that the callers use
	Customers []model.CustomerUsage
}

// Crashes holds all that the sender knows of requests that crash targets. It is sent when
// a link opens; later crashes and completions are in the reports of the targets' nodes.
type Crashes struct{ Reports []model.CrashReport }

// Rollout carries a node's state of an order to move a service to another version. A node
// that receives it from another availability zone forwards it to the peers in its own zone.
type Rollout struct{ Report model.RolloutReport }

// Departed names the receiver's target that leaves, by a report that the receiver made
// before it started again; it is empty if the sender knows of none. It is sent when a link
// opens.
type Departed struct{ Target model.Instance }

func (Hello) kind() Kind            { return KindHello }
func (Call) kind() Kind             { return KindCall }
func (Cancel) kind() Kind           { return KindCancel }
func (Answer) kind() Kind           { return KindAnswer }
func (Report) kind() Kind           { return KindReport }
func (DocumentsRequest) kind() Kind { return KindDocumentsRequest }
func (Documents) kind() Kind        { return KindDocuments }
func (Ping) kind() Kind             { return KindPing }
func (Usage) kind() Kind            { return KindUsage }
func (Crashes) kind() Kind          { return KindCrashes }
func (Rollout) kind() Kind          { return KindRollout }
func (Departed) kind() Kind         { return KindDeparted }

// Append appends the frame of m to b.
func Append(b []byte, m Message) []byte {
	b, body := AppendSplit(b, m)
	return append(b, body...)
}

// AppendSplit appends the frame of m to b without the body of a call or an answer, which
// is the end of the frame. The sender writes it after b, so that it needs no copy.
func AppendSplit(b []byte, m Message) (frame, body []byte) {
	start := len(b)
	b = append(b, 0, 0, 0, 0, byte(m.kind()))
	if carrier, ok := m.(bodyCarrier); ok {
		b, body = carrier.appendSplit(b)
	} else {
		b = m.append(b)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)+len(body)-start-4))
	return b, body
}

// bodyCarrier is a message with a body.
type bodyCarrier interface {
	// appendSplit appends all fields but the content of the body, which is the last one.
	appendSplit(b []byte) (fields, body []byte)
}

// decode decodes a payload. Frames of unknown kinds, which a node of a later
// release may send, decode to a Ping: they only show that the peer is alive.
func decode(k Kind, b []byte) (Message, error) {
	switch k {
	case KindHello:
		return decodeHello(b)
	case KindCall:
		return decodeCall(b)
	case KindCancel:
		return decodeCancel(b)
	case KindAnswer:
		return decodeAnswer(b)
	case KindReport:
		return decodeReport(b)
	case KindDocumentsRequest:
		return decodeDocumentsRequest(b)
	case KindDocuments:
		return decodeDocuments(b)
	case KindUsage:
		return decodeUsage(b)
	case KindCrashes:
		return decodeCrashes(b)
	case KindDeparted:
		return decodeDeparted(b)
	case KindRollout:
		return decodeRollout(b)
	default:
		return Ping{}, nil
	}
}

// field is one decoded field of a payload.
type field struct {
	number protowire.Number
	value  uint64 // content of a varint or a fixed64 field
	bytes  []byte // content of a length-delimited field
}

func (f field) asString() string          { return string(f.bytes) }
func (f field) asDuration() time.Duration { return time.Duration(protowire.DecodeZigZag(f.value)) }
func (f field) asBool() bool              { return f.value != 0 }

// forEachField calls visit for every field of a payload.
func forEachField(b []byte, visit func(field) error) error {
	for len(b) > 0 {
		number, wireType, n := protowire.ConsumeTag(b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		b = b[n:]
		f := field{number: number}
		switch wireType {
		case protowire.VarintType:
			f.value, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			f.value, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			f.bytes, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(number, wireType, b)
		}
		if n < 0 {
			return protowire.ParseError(n)
		}
		b = b[n:]
		if err := visit(f); err != nil {
			return err
		}
	}
	return nil
}

func appendString(b []byte, number protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	b = protowire.AppendTag(b, number, protowire.BytesType)
	return protowire.AppendString(b, s)
}

func appendBytes(b []byte, number protowire.Number, v []byte) []byte {
	b = protowire.AppendTag(b, number, protowire.BytesType)
	return protowire.AppendBytes(b, v)
}

// appendLength appends the begin of a field of bytes, whose content follows.
func appendLength(b []byte, number protowire.Number, v []byte) []byte {
	b = protowire.AppendTag(b, number, protowire.BytesType)
	return protowire.AppendVarint(b, uint64(len(v)))
}

func appendUint(b []byte, number protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, number, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

func appendFixed64(b []byte, number protowire.Number, v uint64) []byte {
	b = protowire.AppendTag(b, number, protowire.Fixed64Type)
	return protowire.AppendFixed64(b, v)
}

func appendDuration(b []byte, number protowire.Number, d time.Duration) []byte {
	return appendUint(b, number, protowire.EncodeZigZag(int64(d)))
}

func appendBool(b []byte, number protowire.Number, v bool) []byte {
	if !v {
		return b
	}
	return appendUint(b, number, 1)
}

// appendNested appends a nested message, whose fields appendFields appends.
func appendNested(b []byte, number protowire.Number, appendFields func([]byte) []byte) []byte {
	return appendBytes(b, number, appendFields(nil))
}

// appendHeader appends each value of an HTTP header as a field with the name
// and a field with the value.
func appendHeader(b []byte, nameNumber, valueNumber protowire.Number, h http.Header) []byte {
	for key, values := range h {
		for _, v := range values {
			b = appendBytes(b, nameNumber, []byte(key))
			b = appendBytes(b, valueNumber, []byte(v))
		}
	}
	return b
}
