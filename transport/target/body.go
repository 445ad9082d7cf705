package target

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

var (
	errTooLarge = errors.New("the target's answer is too large")
	errNoLength = errors.New("the target's answer has neither a length nor chunks, so that a cut one looks whole")
)

// watchedBody is a response body whose attempt is checked for stalls until the body
// is closed.
type watchedBody struct {
	io.ReadCloser
	stop func()
	ctx  context.Context
}

// Read implements io.Reader. It returns errStalled if the attempt was canceled
// because its connection stalled.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = cancelCause(b.ctx, err)
	}
	return n, err
}

// Close implements io.Closer. It also ends the attempt's stall checks.
func (b *watchedBody) Close() error {
	err := b.ReadCloser.Close()
	b.stop()
	return err
}

// readBody reads a complete body. net/http returns an error for a body that is
// shorter than its Content-Length or that ends before its last chunk.
func readBody(resp *http.Response, reservation *budget.Reservation) ([]byte, error) {
	if closeDelimited(resp) {
		return nil, errNoLength
	}
	body, err := io.ReadAll(io.LimitReader(&reservingReader{resp.Body, reservation}, wire.MaxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > wire.MaxBodyBytes {
		return nil, errTooLarge
	}
	return body, nil
}

// reservingReader adds the bytes that it reads to the call's reservation.
type reservingReader struct {
	io.Reader
	reservation *budget.Reservation
}

// Read implements io.Reader. It returns budget.ErrExceeded if the budget is
// exceeded.
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if exceeded := r.reservation.Acquire(n); exceeded != nil {
		return 0, exceeded
	}
	return n, err
}

// closeDelimited reports whether the body ends only where the connection ends.
func closeDelimited(resp *http.Response) bool {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Request.Method == http.MethodHead {
		return false
	}
	return resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}
