// Package tokenlease shares a customer's rate among entry nodes with expiring
// leases of tokens from one grantor.
package tokenlease

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// Grant is a number of tokens of one customer. A holder uses them before
// Expiry; what is left then is lost.
type Grant struct {
	Customer model.Customer
	Group    int
	Term     uint64    // term of the grantor
	ID       uint64    // chosen by the holder's quorum duty
	Count    int       // tokens
	Expiry   time.Time // on the holder's monotonic clock
}

// Result is the answer to a request for tokens. Reason is empty when a grant
// of at least one token was made.
type Result struct {
	Customer   model.Customer
	Grant      Grant
	Reason     model.Reason  // rate_limited or rate_unavailable
	RetryAfter time.Duration // when a token may be there again; also with a grant of less than was wanted
}
