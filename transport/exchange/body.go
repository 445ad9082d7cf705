package exchange

import (
	"errors"
	"io"
	"net/http"

	"github.com/oleanderworks/oleanderworks/core/budget"
)

const (
	// maxAnswerBytes is the maximum size of an answer's body.
	maxAnswerBytes = 16 << 20
	// minBufferStep and maxBufferStep limit by how much the buffer for a body grows.
	minBufferStep = 4 << 10
	maxBufferStep = 1 << 20
	// fieldBytes is the memory that a header field takes besides its name and value.
	fieldBytes = 64
)

var errBodyTooLarge = errors.New("the body of the answer is too large")

// readBody reads a complete body and acquires the memory of head and body from the call's
// reservation. The buffer grows with the bytes received, since a length in the head does
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
	var body []byte
	for {
		if len(body) > maxAnswerBytes {
			return nil, errBodyTooLarge
		}
		if len(body) == cap(body) {
			size := nextBufferSize(cap(body), resp.ContentLength)
			if err := reservation.Acquire(size - cap(body)); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// nextBufferSize returns the size of the buffer after the given one, for a body of length
// bytes, or of unknown length if length is negative. The largest buffer has room for one
// byte more than maxAnswerBytes, which shows that a body is too large.
func nextBufferSize(size int, length int64) int {
	size = min(size+min(max(size, minBufferStep), maxBufferStep), maxAnswerBytes+1)
	if length >= 0 {
		return min(size, int(length))
	}
	return size
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
