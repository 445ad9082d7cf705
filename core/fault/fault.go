// Package fault provides errors that name the failed operation and its subject, such as
// a peer.
package fault

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error describes a failed operation, usually a step of the communication with a peer.
type Error struct {
	Op      string // failed operation, such as "send call head"
	Subject string // instance, address, stream or path; empty when there is none
	Err     error
}

// Wrap adds an operation, a subject and a stack trace to err. It returns nil if err is
// nil.
func Wrap(op, subject string, err error) error {
	if err == nil {
		return nil
	}
	return errors.WithStack(&Error{Op: op, Subject: subject, Err: err})
}

// New returns an error with an operation, a subject and a formatted message.
func New(op, subject, format string, args ...any) error {
	return Wrap(op, subject, fmt.Errorf(format, args...))
}

// Error returns "op (subject): cause".
func (e *Error) Error() string {
	if e.Subject == "" {
		return e.Op + ": " + e.Err.Error()
	}
	return e.Op + " (" + e.Subject + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
