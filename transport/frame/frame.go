// Package frame encodes the messages on a link between two nodes: frames of a
// length, a kind and a payload in the protobuf wire format. Many calls share
// one connection, so that a batch of frames costs one system call.
//
// A field that a node does not know is skipped, so that nodes of different
// releases understand each other.
package frame

import (
	"encoding/binary"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
)

// Kind tells what a frame holds.
type Kind uint8

// Kinds of frames.
const (
	KindHello            Kind = iota + 1 // first frame in either direction
	KindCall                             // a request for the receiver's target
	KindCancel                           // the caller of a request has gone
	KindAnswer                           // the result of a call
	KindReport                           // what the sender says of itself
	KindDocumentsRequest                 // asks for the operator's documents
	KindDocuments                        // the operator's documents
	KindPing                             // keeps a link from looking silent
	KindUsage                            // what a node's callers use of the customers' rates
)

const (
	headerBytes = 5 // length of kind and payload, kind
	// MaxBytes bounds a frame; bodies are bounded by the configuration.
	MaxBytes = 80 << 20
)

// kindNames are the names of the kinds in metrics.
var kindNames = map[Kind]string{
	KindHello: "hello", KindCall: "call", KindCancel: "cancel", KindAnswer: "answer", KindReport: "report",
	KindDocumentsRequest: "want", KindDocuments: "documents", KindPing: "ping", KindUsage: "usage",
}

// String returns the name used in metrics.
func (k Kind) String() string { return kindNames[k] }

// KindOf returns the kind of a message's frame.
func KindOf(m Message) Kind { return m.kind() }

// Message is what a frame holds: Hello, Call, Cancel, Answer, Report,
// DocumentsRequest, Documents, Ping or Usage.
type Message interface {
	kind() Kind
	append(b []byte) []byte
}

// Hello names the sender and the peer that it wants to reach. An address may
// have passed to another node.
type Hello struct {
	Node    model.NodeID
	Zone    model.Zone
	Service model.Service
}

// Call is a request. Remaining replaces the call's deadline, since the clocks
// of two nodes differ.
type Call struct {
	Call         *model.Call
	Remaining    time.Duration // until the deadline
	SLORemaining time.Duration // until the objective
}

// Cancel ends a call.
type Cancel struct{ ID model.CallID }

// Answer is the result of a call.
type Answer struct{ Answer *model.Answer }

// Report is a node's report about itself.
type Report struct {
	Report        *model.NodeReport
	OmitsNodeInfo bool // without the place
}

// DocumentsRequest asks for the operator's documents if the receiver has newer
// ones than those up to EndOffset.
type DocumentsRequest struct{ EndOffset int64 }

// Documents are all of the operator's documents as of an end offset.
type Documents struct {
	EndOffset int64
	Records   []keyed.Record
}

// Ping holds nothing.
type Ping struct{}

// Usage is what the callers of a node use of the customers' rates. A node that
// gets it from another availability zone passes it on to the peers in its own.
type Usage struct {
	Node      model.NodeID // whose callers
	Customers []model.CustomerUsage
}

func (Hello) kind() Kind            { return KindHello }
func (Call) kind() Kind             { return KindCall }
func (Cancel) kind() Kind           { return KindCancel }
func (Answer) kind() Kind           { return KindAnswer }
func (Report) kind() Kind           { return KindReport }
func (DocumentsRequest) kind() Kind { return KindDocumentsRequest }
func (Documents) kind() Kind        { return KindDocuments }
func (Ping) kind() Kind             { return KindPing }
func (Usage) kind() Kind            { return KindUsage }

// Append adds the frame of a message to b.
func Append(b []byte, m Message) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, byte(m.kind()))
	b = m.append(b)
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-4))
	return b
}

// Read reads one message. Strings and bodies do not share memory with later
// frames.
func Read(r io.Reader) (Message, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < 1 || size > MaxBytes {
		return nil, errors.Errorf("frame of %d bytes, want 1 to %d", size, MaxBytes)
	}
	payload := make([]byte, size-1)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	m, err := decode(Kind(head[4]), payload)
	return m, errors.Wrapf(err, "frame of kind %d", head[4])
}

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
	default:
		return Ping{}, nil
	}
}

// field is one decoded field of a payload.
type field struct {
	number protowire.Number
	value  uint64 // of a varint or a fixed field
	bytes  []byte // of a length-delimited field
}

func (f field) text() string            { return string(f.bytes) }
func (f field) duration() time.Duration { return time.Duration(protowire.DecodeZigZag(f.value)) }
func (f field) flag() bool              { return f.value != 0 }

// fields calls each for every field of a payload.
func fields(b []byte, each func(field) error) error {
	for len(b) > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		b = b[n:]
		f := field{number: number}
		switch kind {
		case protowire.VarintType:
			f.value, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			f.value, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			f.bytes, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(number, kind, b)
		}
		if n < 0 {
			return protowire.ParseError(n)
		}
		b = b[n:]
		if err := each(f); err != nil {
			return err
		}
	}
	return nil
}

func appendText(b []byte, number protowire.Number, s string) []byte {
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

func appendUint(b []byte, number protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, number, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

func appendFixed(b []byte, number protowire.Number, v uint64) []byte {
	b = protowire.AppendTag(b, number, protowire.Fixed64Type)
	return protowire.AppendFixed64(b, v)
}

func appendDuration(b []byte, number protowire.Number, d time.Duration) []byte {
	return appendUint(b, number, protowire.EncodeZigZag(int64(d)))
}

func appendFlag(b []byte, number protowire.Number, v bool) []byte {
	if !v {
		return b
	}
	return appendUint(b, number, 1)
}

// appendNested adds a nested payload.
func appendNested(b []byte, number protowire.Number, fill func([]byte) []byte) []byte {
	return appendBytes(b, number, fill(nil))
}

// appendHeader adds each value of an HTTP header as a name and a value.
func appendHeader(b []byte, name, value protowire.Number, h http.Header) []byte {
	for key, values := range h {
		for _, v := range values {
			b = appendBytes(b, name, []byte(key))
			b = appendBytes(b, value, []byte(v))
		}
	}
	return b
}
