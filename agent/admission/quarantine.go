package admission

import (
	"time"

	"github.com/oleanderworks/oleanderworks/agent/quarantine"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/admission"
)

// Quarantine refuses requests that may crash the target. Its methods are only called
// on the admission duty's thread.
type Quarantine interface {
	admission.Quarantine
	// OnStarted reports that a call that passed the check was admitted.
	OnStarted(id model.CallID)
	// OnEnded reports the answer or refusal of a call. It ignores calls that did not
	// pass the check.
	OnEnded(now time.Time, a *model.Answer)
	OnMarkUpdate(now time.Time, update quarantine.MarkUpdate)
	OnSnapshot(s *model.Snapshot)
	// Flush sends changes to the other nodes of the service.
	Flush(now time.Time)
}

// QuarantineUpdate carries an update of crash marks from another node of the service.
type QuarantineUpdate struct{ Update quarantine.MarkUpdate }

func (*QuarantineUpdate) admissionMessage() {}
