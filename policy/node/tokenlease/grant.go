// Package tokenlease enforces a customer's rate limit across all entry nodes.
// Each customer belongs to a quorum group. One member of the group, the
// grantor, holds a lease that a majority of the members promised to it, and
// keeps the token buckets of the group's customers. Entry nodes request
// batches of tokens from the grantor; each call takes one token, and unused
// tokens expire.
package tokenlease

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// Grant is a number of tokens of one customer. The entry node that received it
// must use them before Expiry; those not used by then are lost.
type Grant struct {
	Customer model.Customer
	Group    int
	Term     uint64    // term of the grantor
	ID       uint64    // chosen by the quorum duty of the entry node
	Count    int       // tokens
	Expiry   time.Time // on the entry node's monotonic clock
}

// Result is the outcome of a request for tokens. Reason is empty if at least
// one token was granted.
type Result struct {
	Customer   model.Customer
	Grant      Grant
	Reason     model.Reason  // rate_limited or rate_unavailable
	RetryAfter time.Duration // time until tokens may be available again; also set if fewer were granted than wanted
}
