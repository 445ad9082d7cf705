package wire

import (
	"bufio"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/oleanderworks/oleanderworks/core/fault"
)

const (
	// maxFrameBytes bounds one frame, so that a faulty peer cannot make a node
	// allocate memory without bound.
	maxFrameBytes = 1 << 20
	// chunkBytes is the maximum size of a body chunk. It is well below yamux's
	// stream window of 256 KiB, so that chunks of several calls interleave.
	chunkBytes = 32 << 10
	// MaxBodyBytes bounds the body of a request or an answer.
	MaxBodyBytes = 64 << 20
)

// ErrIncomplete reports a body that is truncated or does not match its length
// or checksum.
var ErrIncomplete = errors.New("body is incomplete")

// WriteFrame writes m as one frame, prefixed with its length.
func WriteFrame(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return fault.Wrap("write frame", "", err)
}

// ReadFrame reads one frame into m.
func ReadFrame(r *bufio.Reader, m proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}.UnmarshalFrom(r, m)
	return fault.Wrap("read frame", "", err)
}

// writeBody writes data as chunks, calls beforeEnd and writes the end frame. If
// beforeEnd returns an error, no end frame is written.
func writeBody(w io.Writer, data []byte, beforeEnd func() error) error {
	sum := xxhash.Sum64(data)
	total := uint64(len(data))
	for seq := uint32(0); len(data) > 0; seq++ {
		n := min(len(data), chunkBytes)
		chunk := &BodyChunk{Sequence: seq, Data: data[:n]}
		if err := WriteFrame(w, &CallFrame{Kind: &CallFrame_Chunk{Chunk: chunk}}); err != nil {
			return err
		}
		data = data[n:]
	}
	if err := beforeEnd(); err != nil {
		return err
	}
	end := &BodyEnd{Length: total, Checksum: sum}
	return WriteFrame(w, &CallFrame{Kind: &CallFrame_End{End: end}})
}

// readBody reads chunks up to the end frame. It returns ErrIncomplete if a
// chunk is missing, or if the length or checksum does not match. reserve is
// called with the size of each chunk before the chunk is kept.
func readBody(r *bufio.Reader, reserve func(n int) error) ([]byte, error) {
	var body []byte
	for seq := uint32(0); ; seq++ {
		var f CallFrame
		if err := ReadFrame(r, &f); err != nil {
			return nil, errors.Wrap(ErrIncomplete, err.Error())
		}
		if end := f.GetEnd(); end != nil {
			return body, checkBody(body, end)
		}
		chunk := f.GetChunk()
		if chunk == nil || chunk.GetSequence() != seq {
			return nil, errors.Wrap(ErrIncomplete, "chunk out of sequence")
		}
		if len(body)+len(chunk.GetData()) > MaxBodyBytes {
			return nil, errors.Errorf("body exceeds %d bytes", MaxBodyBytes)
		}
		if err := reserve(len(chunk.GetData())); err != nil {
			return nil, err
		}
		body = append(body, chunk.GetData()...)
	}
}

func checkBody(body []byte, end *BodyEnd) error {
	if uint64(len(body)) != end.GetLength() {
		return errors.Wrapf(ErrIncomplete, "%d of %d bytes", len(body), end.GetLength())
	}
	if xxhash.Sum64(body) != end.GetChecksum() {
		return errors.Wrap(ErrIncomplete, "checksum differs")
	}
	return nil
}
