// Package fault provides errors that name the failed step and what it dealt with.
package fault

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error describes a failed step, mostly of the communication with a peer.
type Error struct {
	Op      string // operation that failed, such as "send call head"
	Subject string // instance, address, stream or path; empty when there is none
	Err     error
}

// Wrap adds a step, a subject and a stack trace to err. It returns nil if err is nil.
func Wrap(step, subject string, err error) error {
	if err == nil {
		return nil
	}
	return errors.WithStack(&Error{Op: step, Subject: subject, Err: err})
}

// New returns an error with a step, a subject and a formatted message.
func New(step, subject, format string, args ...any) error {
	return Wrap(step, subject, fmt.Errorf(format, args...))
}

// Error returns "step (subject): cause".
func (e *Error) Error() string {
	if e.Subject == "" {
		return e.Op + ": " + e.Err.Error()
	}
	return e.Op + " (" + e.Subject + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
