// Package keyed defines the interface of a log with compacted streams, each of which
// keeps at least the newest record of every key. The nodes of package agent/mesh use it,
// and package platform implements it on the platform's store. The nodes of package agent
// use logservice.Log instead.
package keyed

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/model"
)

// Names of the streams that nodes read or write.
const (
	// StreamOperator holds the operator's documents. Nodes only read it.
	StreamOperator = "operator"
	// StreamNodes holds the address of each node, appended by the node itself, and the
	// requests that all nodes refuse because they crash targets.
	StreamNodes = "nodes"
	// StreamStatus holds the state of the operator's orders, written by any node.
	StreamStatus = "status"
)

// Both errors mean that the reader must start again with Newest.
var (
	// ErrExpired reports that some records from the requested position on have expired.
	ErrExpired = errors.New("the records have expired")
	// ErrOtherEra reports that the log is not in the era of the requested position.
	ErrOtherEra = errors.New("the log is in another era")
)

// ErrConflict reports that a conditional append was not made, since the stream does not end
// where it should.
var ErrConflict = errors.New("the stream has newer records")

// Conflict is the error of a conditional append that was not made. It is an ErrConflict.
type Conflict struct {
	End int64 // offset at which the stream ends
}

// Error implements error.
func (c *Conflict) Error() string { return fmt.Sprintf("%v: it ends at %d", ErrConflict, c.End) }

// Is makes errors.Is find ErrConflict.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

// Record sets the value of a key, or deletes the key if the value is empty.
type Record struct {
	Key      string
	Value    []byte
	Position model.LogPosition
}

// Log is a client of the log. Its errors name the failed operation and its subject, such
// as a path.
type Log interface {
	// Newest returns the newest record of each key, and the position from which to read
	// later records. It returns ErrOtherEra if the log was restored meanwhile.
	Newest(ctx context.Context, stream string) ([]Record, model.LogPosition, error)
	// Read returns the records from a position on, and the position after them. If
	// there are none, it waits for a record for at most wait. It returns ErrExpired or
	// ErrOtherEra if the log does not have the position any more.
	Read(ctx context.Context, stream string, from model.LogPosition, wait time.Duration) ([]Record, model.LogPosition, error)
	// Append adds a record and returns the era in which it was added. After an error
	// the record may have been added, or may still be added later.
	Append(ctx context.Context, stream, key string, value []byte) (era uint64, err error)
	// AppendAt is like Append, but adds the record only if the stream ends at a position. If
	// it does not, the error is a Conflict. The log cannot compare eras: the condition holds
	// for the offset in the era that is returned.
	AppendAt(ctx context.Context, stream, key string, value []byte, end model.LogPosition) (era uint64, err error)
}
