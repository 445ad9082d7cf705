package routing

import (
	"time"

	"github.com/oleanderworks/oleanderworks/agent/quorum"
	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/record"
	"github.com/oleanderworks/oleanderworks/policy/tokenlease"
)

// standInLife is the life of the stand-in's tokens.
const standInLife = time.Second

// NewStandIn returns a duty that grants every request for tokens and claims,
// for nodes and tests without a quorum group.
func NewStandIn() *duty.Duty[quorum.Message] {
	return duty.New[quorum.Message]("quorum", ringCapacity, standIn{})
}

type standIn struct{}

// Handle implements duty.Handler.
func (standIn) Handle(now time.Time, batch []quorum.Message) {
	for _, m := range batch {
		switch m := m.(type) {
		case *quorum.AcquireTokens:
			grant := tokenlease.Grant{Customer: m.Customer, Count: m.Want, Expiry: now.Add(standInLife)}
			m.Deliver(tokenlease.Result{Customer: m.Customer, Grant: grant})
		case *quorum.AcquireClaim:
			claim := &model.Claim{Customer: m.Customer, RequestID: m.RequestID, Attempt: m.Attempt}
			m.Deliver(record.Result{Outcome: record.Granted, Claim: claim})
		}
	}
}

// Tick implements duty.Handler.
func (standIn) Tick(time.Time) time.Time { return time.Time{} }
