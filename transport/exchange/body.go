package exchange

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/oleanderworks/oleanderworks/core/budget"
)

const (
	// maxAnswerBytes is the maximum size of an answer's body.
	maxAnswerBytes = 16 << 20
	// minBufferBytes and maxBufferBytes are the first and the largest size of the growing
	// buffer in which a body begins.
	minBufferBytes = 4 << 10
	maxBufferBytes = 64 << 10
	// chunkBytes is the size of the buffers for the rest of a body. They are used again,
	// since a target that sends without end would fill the memory with discarded buffers
	// faster than these are collected.
	chunkBytes = 256 << 10
	// exactFromBytes is how much of a body must have come before a buffer for the announced
	// length is taken.
	exactFromBytes = 1 << 20
	// fieldBytes is the memory that a header field takes besides its name and value.
	fieldBytes = 64
)

var errBodyTooLarge = errors.New("the body of the answer is too large")

// chunkPool holds buffers of chunkBytes that are not in use. They are counted in the
// reservation of the call that uses them.
var chunkPool = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// readBody reads a complete body and acquires the memory of head and body from the call's
// reservation. The memory grows with the bytes received, since a length in the head does
// not show that as many bytes will come. The caller closes the connection after an error;
// resp.Body.Close would read an endless body until the deadline.
func readBody(resp *http.Response, reservation *budget.Reservation) ([]byte, error) {
	if err := reservation.Acquire(headerSize(resp.Header)); err != nil {
		return nil, err
	}
	if resp.Body == http.NoBody {
		return nil, nil // ContentLength is positive in the answer to a HEAD request
	}
	if resp.ContentLength > maxAnswerBytes {
		return nil, errBodyTooLarge
	}
	body, err := readIntoBuffer(resp.Body, resp.ContentLength, reservation)
	if err == io.EOF {
		return body, nil
	}
	if err != nil {
		return nil, err
	}
	return readIntoChunks(resp.Body, body, resp.ContentLength, reservation)
}

// readIntoBuffer reads a body, whose length is negative if it is not known, into a buffer
// that grows to maxBufferBytes or to the length. It returns io.EOF with a body that fits.
func readIntoBuffer(r io.Reader, length int64, reservation *budget.Reservation) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			if cap(body) >= maxBufferBytes {
				return body, nil
			}
			size := min(max(2*cap(body), minBufferBytes), maxBufferBytes)
			if length >= 0 && int64(size) > length {
				size = int(length)
			}
			if size == cap(body) { // all is read but for the end
				return body, nil
			}
			if err := reservation.Acquire(size - cap(body)); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			return body, err
		}
	}
}

// readIntoChunks reads the rest of a body that begins with start, and returns the whole.
func readIntoChunks(r io.Reader, start []byte, length int64, reservation *budget.Reservation) ([]byte, error) {
	var used []*[chunkBytes]byte
	defer func() {
		for _, chunk := range used {
			chunkPool.Put(chunk)
		}
	}()
	size := len(start)
	for free := 0; ; {
		if size > maxAnswerBytes {
			return nil, errBodyTooLarge
		}
		if free == 0 && size >= exactFromBytes && length > int64(size) {
			if err := reservation.Acquire(int(length) - size); err != nil { // the rest; the chunks are counted
				return nil, err
			}
			return readExact(r, joinChunks(start, used, size, int(length)), int(length))
		}
		if free == 0 {
			if err := reservation.Acquire(chunkBytes); err != nil {
				return nil, err
			}
			used = append(used, chunkPool.Get().(*[chunkBytes]byte))
			free = chunkBytes
		}
		n, err := r.Read(used[len(used)-1][chunkBytes-free:])
		size, free = size+n, free-n
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if size == len(start) {
		return start, nil
	}
	return joinChunks(start, used, size, size), nil
}

// joinChunks returns the first size bytes of a body in a buffer of a capacity.
func joinChunks(start []byte, used []*[chunkBytes]byte, size, capacity int) []byte {
	body := append(make([]byte, 0, capacity), start...)
	for _, chunk := range used {
		body = append(body, chunk[:min(chunkBytes, size-len(body))]...)
	}
	return body
}

// readExact reads the rest of a body of a length.
func readExact(r io.Reader, body []byte, length int) ([]byte, error) {
	n, err := io.ReadFull(r, body[len(body):length])
	if err != nil {
		return nil, err
	}
	return body[:len(body)+n], nil
}

// skipBody reads a body without keeping it. The caller closes the connection after an error.
func skipBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes+1))
	if n > maxAnswerBytes {
		return errBodyTooLarge
	}
	return err
}

// headerSize returns the approximate memory of a header in bytes.
func headerSize(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value) + fieldBytes
		}
	}
	return size
}
