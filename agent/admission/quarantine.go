package admission

import (
	"time"

	"github.com/oleanderworks/oleanderworks/agent/quarantine"
	"github.com/oleanderworks/oleanderworks/model"
)

// Quarantine judges requests that may crash the target. The admission duty
// owns it and calls it on its thread.
type Quarantine interface {
	// Check returns a refusal, or nil. A call that passes is reported by Ended.
	Check(now time.Time, call *model.Call) *model.Answer
	// Ended takes the answer or refusal of a call that passed.
	Ended(now time.Time, a *model.Answer)
	OnNews(now time.Time, n quarantine.News)
	OnSnapshot(s *model.Snapshot)
	// Flush sends what is new to the other nodes of the service.
	Flush(now time.Time)
}

// QuarantineNews carries what another node of the service has found out.
type QuarantineNews struct{ News quarantine.News }

func (*QuarantineNews) admissionMessage() {}

// noQuarantine refuses nothing.
type noQuarantine struct{}

func (noQuarantine) Check(time.Time, *model.Call) *model.Answer { return nil }
func (noQuarantine) Ended(time.Time, *model.Answer)             {}
func (noQuarantine) OnNews(time.Time, quarantine.News)          {}
func (noQuarantine) OnSnapshot(*model.Snapshot)                 {}
func (noQuarantine) Flush(time.Time)                            {}

// SetQuarantine sets the quarantine table before the duty starts.
func (h *Handler) SetQuarantine(q Quarantine) { h.quarantine = q }
