// Package record keeps the records of non-idempotent requests, so that each
// is handed to a target at most once.
package record

import "github.com/oleanderworks/oleanderworks/model"

// Outcome is the answer to a claim.
type Outcome uint8

// Outcomes of a claim.
const (
	// Granted allows the handoff to the named target.
	Granted Outcome = iota
	// InProgress means that another claim stands and has no answer yet.
	InProgress
	// Replay means that the request completed; Answer holds its first answer.
	Replay
	// TooOld means that a record may have been dropped already.
	TooOld
	// Unavailable means that no majority answered. Nothing was handed over
	// under this claim. An earlier send of the same id by the caller may have
	// been, so "not run" is true only for an id that the node made itself.
	Unavailable
	// TooFarAhead means that the id's time is more than 60 s ahead of this
	// node's clock. As for Unavailable, an earlier send of the id may have
	// been handed over by a node whose clock is ahead of this one.
	TooFarAhead
)

// Result is the answer to a request for a claim.
type Result struct {
	Outcome Outcome
	Claim   *model.Claim  // set when Granted
	Answer  *model.Answer // set when Replay
}
