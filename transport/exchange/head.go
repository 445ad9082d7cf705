package exchange

import (
	"errors"
	"io"
	"net/http"
)

const (
	readBufferBytes = 8 << 10
	// maxHeadBytes limits the head of an answer, including the informational responses
	// before it and not counting bytes that were buffered before. Many short fields take 16
	// times their bytes in memory.
	maxHeadBytes = 16 << 10
)

// maxStatus is the largest status of an HTTP response. net/http parses any three digits.
const maxStatus = 599

var (
	errHeadTooLarge     = errors.New("the head of the answer is too large")
	errImpossibleStatus = errors.New("no response has the status of the answer")
)

// limitedReader reads from a connection and fails when a limit is reached.
type limitedReader struct {
	reader  io.Reader
	limited bool
	left    int // bytes that may still be read, if limited
}

// Read implements io.Reader. It returns errHeadTooLarge when the limit is reached.
func (r *limitedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.reader.Read(p)
	}
	if r.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.reader.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// readHead reads the head of a response and skips informational responses. It returns
// errImpossibleStatus for a status that the response to a call cannot have.
func readHead(cn *conn, method string) (*http.Response, error) {
	cn.received.limited, cn.received.left = true, maxHeadBytes
	defer func() { cn.received.limited = false }()
	for {
		resp, err := http.ReadResponse(cn.r, &http.Request{Method: method})
		if err != nil && cn.received.left == 0 {
			return nil, errHeadTooLarge // err may report that the truncated line is malformed
		}
		if err != nil {
			return nil, err
		}
		switch status := resp.StatusCode; {
		case status >= http.StatusOK && status <= maxStatus:
			return resp, nil
		case status < http.StatusContinue || status > maxStatus, status == http.StatusSwitchingProtocols:
			return nil, errImpossibleStatus // calls do not ask for another protocol
		}
	}
}
