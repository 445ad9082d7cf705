// Package fault provides errors that carry the step at which they arose and
// the peer involved.
package fault

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error is a failed step towards a peer.
type Error struct {
	Step string // what was being done, such as "send call head"
	Peer string // instance, address or stream; empty when there is none
	Err  error
}

// At wraps err with its step and peer. It returns nil when err is nil.
func Wrap(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return errors.WithStack(&Error{Step: step, Peer: peer, Err: err})
}

// New returns an error with a message, a step and a peer.
func New(step, peer, format string, args ...any) error {
	return Wrap(step, peer, fmt.Errorf(format, args...))
}

// Error returns "step (peer): cause".
func (e *Error) Error() string {
	if e.Peer == "" {
		return e.Step + ": " + e.Err.Error()
	}
	return e.Step + " (" + e.Peer + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
