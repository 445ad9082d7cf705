// Package keyed defines the interface of a log with compacted streams: each stream
// keeps at least the newest record of each key. The nodes of package agent/mesh use it;
// package platform implements it over the platform's store. The nodes of package agent
// use logservice.Log instead.
package keyed

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Names of the streams that nodes read or write.
const (
	// StreamOperator has the operator's documents. Nodes read it and never write it.
	StreamOperator = "operator"
	// StreamNodes has the address of each node, which the node itself appends.
	StreamNodes = "nodes"
)

// ErrExpired reports that some records from the requested offset on are no longer
// kept. The reader starts again with Newest.
var ErrExpired = errors.New("the records have expired")

// Record is the value of a key at an offset. An empty value deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Log is a client of the log. Its errors name the failed step and the peer.
type Log interface {
	// Newest returns the newest record of each key, and the offset at which a read of
	// later records starts.
	Newest(ctx context.Context, stream string) ([]Record, int64, error)
	// Read returns the records from an offset on, and the offset after them. If there
	// are none, it waits for at most wait. It returns ErrExpired if some of these
	// records have expired.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) ([]Record, int64, error)
	// Append adds a record. After an error the record may have been added, or may
	// still be added later.
	Append(ctx context.Context, stream, key string, value []byte) error
}
