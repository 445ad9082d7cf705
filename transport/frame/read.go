package frame

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/model"
)

// Header is the begin of a frame.
type Header struct {
	Kind         Kind
	PayloadBytes int
}

// ReadHeader reads the begin of a frame.
func ReadHeader(r io.Reader) (Header, error) { return readHeader(r, MaxBytes) }

// ReadPayload reads the rest of a frame and decodes its message, which does not share
// memory with messages read later.
func (h Header) ReadPayload(r io.Reader) (Message, error) {
	payload := make([]byte, h.PayloadBytes)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	m, err := decode(h.Kind, payload)
	return m, errors.Wrapf(err, "frame of kind %d", h.Kind)
}

// SkipPayload reads the rest of a frame with a call or an answer without keeping it, and
// returns the id in its first field; 0 if the frame has none there.
func (h Header) SkipPayload(r io.Reader) (model.CallID, error) {
	start := make([]byte, min(h.PayloadBytes, idFieldBytes))
	if _, err := io.ReadFull(r, start); err != nil {
		return 0, errors.Wrap(err, "read frame")
	}
	if _, err := io.CopyN(io.Discard, r, int64(h.PayloadBytes-len(start))); err != nil {
		return 0, errors.Wrap(err, "skip frame")
	}
	var id model.CallID
	_ = forEachField(start, func(f field) error { // an error leaves the id 0
		if f.number == 1 {
			id = model.CallID(f.value)
		}
		return nil
	})
	return id, nil
}

// Read reads one frame and decodes its message, which does not share memory with
// messages read later.
func Read(r io.Reader) (Message, error) {
	h, err := ReadHeader(r)
	if err != nil {
		return nil, err
	}
	return h.ReadPayload(r)
}

// ReadHello reads the first frame of a connection, which must be a hello.
func ReadHello(r io.Reader) (Hello, error) {
	h, err := readHeader(r, MaxHelloBytes)
	if err != nil {
		return Hello{}, err
	}
	m, err := h.ReadPayload(r)
	if err != nil {
		return Hello{}, err
	}
	hello, ok := m.(Hello)
	if !ok {
		return Hello{}, errors.Errorf("the first frame is %T, want a hello", m)
	}
	return hello, nil
}

func readHeader(r io.Reader, maxBytes uint32) (Header, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Header{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size < 1 || size > maxBytes {
		return Header{}, errors.Errorf("frame of %d bytes, want 1 to %d", size, maxBytes)
	}
	return Header{Kind: Kind(header[4]), PayloadBytes: int(size - 1)}, nil
}
