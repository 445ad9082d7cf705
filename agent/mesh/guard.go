package mesh

import (
	"fmt"
	"time"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/fault"
)

// retryTickDelay is the time until a duty runs its timers again after an unexpected error
// in them.
const retryTickDelay = 100 * time.Millisecond

// timersDue stands for the message in the log line of an unexpected error in a duty's timers.
type timersDue struct{}

// guard runs f, in which a duty handles a message or its timers, and reports whether it
// ended without an unexpected error, which is logged.
func (n *Node) guard(duty string, message any, f func()) bool {
	err := fault.Catch(f)
	if err != nil {
		n.log.Emit(event.MeshPanicked, "duty", duty, "message", fmt.Sprintf("%T", message), "error", err)
	}
	return err == nil
}
