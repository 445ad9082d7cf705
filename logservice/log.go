// Package logservice defines the interface of the append-only log service from which
// the nodes of package agent read their configuration. The service keeps streams of
// records, numbered by offset, for a limited time, and it can be unavailable. The nodes
// of package agent/mesh use the interface in package keyed instead.
package logservice

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Errors that a Log returns.
var (
	// ErrUnavailable reports that the service gave no usable answer: none at all, an
	// error status, or a malformed body. An append may have taken effect.
	ErrUnavailable = errors.New("log service is unavailable")
	// ErrTooLarge reports a record larger than MaxRecordBytes, which was not appended.
	ErrTooLarge = errors.New("record is too large")
)

const (
	// MaxRecordBytes is the maximum size of a record's body.
	MaxRecordBytes = 512 << 10
	// MaxPageRecords is the maximum number of records in a page.
	MaxPageRecords = 1000
	// MaxPageBytes is the maximum total size of the record bodies in a page. A page
	// has its first record whatever its size.
	MaxPageBytes = 8 << 20
)

// Offset is the position of a record in its stream. The first record has offset 0.
type Offset uint64

// Record is a record of a stream.
type Record struct {
	ID     string          `json:"id"`     // set by the writer, which searches for it if the answer to its append is lost
	Offset Offset          `json:"offset"` // set by the service
	Time   time.Time       `json:"time"`   // set by the service
	Body   json.RawMessage `json:"body"`
}

// Page is the result of a read.
type Page struct {
	Records   []Record      `json:"records"`
	Next      Offset        `json:"next"`      // offset at which the next read starts
	End       Offset        `json:"end"`       // offset after the newest record; greater than Next if the page is not the last
	Oldest    Offset        `json:"oldest"`    // offset of the oldest record that has not expired
	Retention time.Duration `json:"retention"` // how long records are kept
}

// ReadOptions limits the size and duration of a read.
type ReadOptions struct {
	Max  int           // maximum number of records; MaxPageRecords if it is 0 or larger than that
	Wait time.Duration // maximum time to wait for a record if there is none
}

// Log is a client of a log service. Its methods are safe for concurrent use.
type Log interface {
	// Append adds a record to a stream and returns its offset. After an error that
	// wraps ErrUnavailable the record may or may not have been appended.
	Append(ctx context.Context, stream, id string, body json.RawMessage) (Offset, error)
	// Read returns a page of a stream's records from an offset on, or from the oldest
	// record on if that is later.
	Read(ctx context.Context, stream string, from Offset, opts ReadOptions) (Page, error)
}
