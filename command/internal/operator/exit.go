package operator

import "fmt"

// ExitError ends a subcommand with an exit code of its own.
type ExitError struct {
	Code int
	Err  error // printed unless nil
}

// Error implements error.
func (e ExitError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("exit code %d", e.Code)
	}
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e ExitError) Unwrap() error { return e.Err }
