// Package keyed is the interface of a log whose streams keep the newest
// record of each key.
package keyed

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Streams that nodes use.
const (
	// StreamOperator holds the operator's documents. Nodes only read it.
	StreamOperator = "operator"
	// StreamNodes holds the address of each node, written by the node itself.
	StreamNodes = "nodes"
)

// ErrExpired reports that records after an offset are not kept any more; the
// newest ones have to be read again.
var ErrExpired = errors.New("the records have expired")

// Record is the value of a key at an offset. An empty value drops the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Log is a client of the log. Errors carry the step and the peer.
type Log interface {
	// Newest returns the newest record of each key, and the offset from which
	// later records are to be read.
	Newest(ctx context.Context, stream string) ([]Record, int64, error)
	// Read returns the records from an offset on, and the offset after them. It
	// waits for the first one for at most the given time. It returns ErrExpired
	// if records from the offset on have expired.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) ([]Record, int64, error)
	// Append adds a record. After an error it may have been added, or may be
	// added later.
	Append(ctx context.Context, stream, key string, value []byte) error
}
