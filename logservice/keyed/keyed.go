// Package keyed defines the interface of a log with compacted streams, each of which
// keeps at least the newest record of every key. The nodes of package agent/mesh use it,
// and package platform implements it on the platform's store. The nodes of package agent
// use logservice.Log instead.
package keyed

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Names of the streams that nodes read or write.
const (
	// StreamOperator holds the operator's documents. Nodes only read it.
	StreamOperator = "operator"
	// StreamNodes holds the address of each node, appended by the node itself.
	StreamNodes = "nodes"
)

// ErrExpired reports that some records from the requested offset on have expired. The
// reader must start again with Newest.
var ErrExpired = errors.New("the records have expired")

// Record sets the value of a key, or deletes the key if the value is empty.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Log is a client of the log. Its errors name the failed operation and its subject, such
// as a path.
type Log interface {
	// Newest returns the newest record of each key, and the offset from which to read
	// later records.
	Newest(ctx context.Context, stream string) ([]Record, int64, error)
	// Read returns the records from an offset on, and the offset after them. If there
	// are none, it waits for a record for at most wait. It returns ErrExpired if some
	// of the requested records have expired.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) ([]Record, int64, error)
	// Append adds a record. After an error the record may have been added, or may
	// still be added later.
	Append(ctx context.Context, stream, key string, value []byte) error
}
