package admission

import (
	"time"

	"github.com/oleanderworks/oleanderworks/agent/quarantine"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/admission"
)

// Quarantine judges requests that may crash the target. The admission duty
// owns it and calls it on its thread.
type Quarantine interface {
	admission.Quarantine
	// Started reports that a call that passed is handed to the target.
	Started(id model.CallID)
	// Ended takes the answer or refusal of a call that passed.
	Ended(now time.Time, a *model.Answer)
	OnMarkUpdate(now time.Time, n quarantine.MarkUpdate)
	OnSnapshot(s *model.Snapshot)
	// Flush sends what is new to the other nodes of the service.
	Flush(now time.Time)
}

// QuarantineNews carries what another node of the service has found out.
type QuarantineUpdate struct{ Update quarantine.MarkUpdate }

func (*QuarantineUpdate) admissionMessage() {}
