package fault

import (
	"fmt"
	"runtime/debug"

	"github.com/pkg/errors"
)

// ErrPanic is in the chain of the errors that Catch returns.
var ErrPanic = errors.New("panic")

// Catch runs f and returns nil, or an error with the value and the stack trace if f
// panics. It keeps an unexpected error in one message from ending the process.
func Catch(f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("%w: %v\n%s", ErrPanic, v, debug.Stack())
		}
	}()
	f()
	return nil
}
