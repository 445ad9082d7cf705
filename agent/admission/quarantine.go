package admission

import (
	"time"

	"github.com/oleanderworks/oleanderworks/agent/quarantine"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/admission"
)

// Quarantine refuses requests that may crash the target. Its methods are called
// on the admission duty's thread only.
type Quarantine interface {
	admission.Quarantine
	// Started reports that a call that passed the check is handed to the target.
	Started(id model.CallID)
	// Ended reports the answer or refusal of a call that passed the check.
	Ended(now time.Time, a *model.Answer)
	OnMarkUpdate(now time.Time, n quarantine.MarkUpdate)
	OnSnapshot(s *model.Snapshot)
	// Flush sends changes to the other nodes of the service.
	Flush(now time.Time)
}

// QuarantineUpdate carries crash marks from another node of the service.
type QuarantineUpdate struct{ Update quarantine.MarkUpdate }

func (*QuarantineUpdate) admissionMessage() {}
