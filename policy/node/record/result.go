// Package record ensures that a non-idempotent request is handed to a target
// at most once. Before the handoff, the entry node claims the request's id at
// the quorum group of the id. The claim is granted if a majority of the
// members records it for this call and target. The members keep the record,
// and later the first answer, for re-sends of the request.
package record

import "github.com/oleanderworks/oleanderworks/model"

// Outcome states how a claim ended.
type Outcome uint8

// Values of Outcome.
const (
	// Granted allows the handoff to the target of the claim.
	Granted Outcome = iota
	// InProgress means that another call has claimed the request and there is
	// no answer yet.
	InProgress
	// Replay means that the request has completed. Answer is its first answer.
	Replay
	// TooOld means that the record of the id may have been dropped already.
	TooOld
	// Unavailable means that no majority voted for the claim in time. Nothing
	// was handed over under this claim. If the caller sent the same id before,
	// the request may have been handed over then, so "not run" holds only for an
	// id that the node generated itself.
	Unavailable
	// TooFarAhead means that the time of the id is more than MaxIDAhead (60 s)
	// ahead of the clock of this node or of a member. As with Unavailable, an
	// earlier send of the id may have been handed over, by nodes whose clocks
	// are ahead.
	TooFarAhead
)

// Result is the result of one call of Claimant.Acquire.
type Result struct {
	Outcome Outcome
	Claim   *model.Claim  // set if Granted
	Answer  *model.Answer // set if Replay
}
