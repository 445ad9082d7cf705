// Package logservice defines the platform's append-only log service as the
// project uses it: streams of records with offsets, limited retention and
// outages.
package logservice

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Errors of a log service.
var (
	// ErrUnavailable reports that the service did not answer. An append may
	// have taken effect.
	ErrUnavailable = errors.New("log service is unavailable")
	// ErrTooLarge reports a record above MaxRecordBytes. Nothing was appended.
	ErrTooLarge = errors.New("record is too large")
)

const (
	// MaxRecordBytes bounds the body of one record.
	MaxRecordBytes = 512 << 10
	// MaxPage bounds the records of one page.
	MaxPage = 1000
	// MaxPageBytes bounds the bodies of one page, besides its first record.
	MaxPageBytes = 8 << 20
)

// Offset is the place of a record in its stream. The first is 0.
type Offset uint64

// Record is one appended record.
type Record struct {
	ID     string          `json:"id"`     // chosen by the writer, to find a record whose answer was lost
	Offset Offset          `json:"offset"` // set by the service
	Time   time.Time       `json:"time"`   // set by the service
	Body   json.RawMessage `json:"body"`
}

// Page is the result of a read.
type Page struct {
	Records   []Record      `json:"records"`
	Next      Offset        `json:"next"`      // where the next read starts
	End       Offset        `json:"end"`       // after the newest record; above Next when more follow
	Oldest    Offset        `json:"oldest"`    // oldest offset still kept
	Retention time.Duration `json:"retention"` // how long records are kept
}

// ReadOptions bound a read.
type ReadOptions struct {
	Max  int           // records; at most MaxPage
	Wait time.Duration // how long to wait for a first record
}

// Log is a log service. Methods are safe for use by several threads.
type Log interface {
	// Append adds a record to a stream and returns its offset. An error that
	// wraps ErrUnavailable leaves open whether the record was appended.
	Append(ctx context.Context, stream, id string, body json.RawMessage) (Offset, error)
	// Read returns records of a stream from an offset on. A from below the
	// oldest kept offset starts at the oldest.
	Read(ctx context.Context, stream string, from Offset, opts ReadOptions) (Page, error)
}
