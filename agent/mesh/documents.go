package mesh

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

// This file has what the peers duty does with the operator's documents.

// onLogAnswer handles an answer of the log: to a read that waited for records, or to a
// check.
func (h *peersHandler) onLogAnswer(now time.Time, a logAnswer, waited bool) {
	if a.complete {
		h.onDocuments(h.core.OnDocuments(now, a.records, a.end), waited)
	} else {
		h.onDocuments(h.core.OnRecords(a.records, a.end), waited)
	}
	if !a.end.Before(h.core.End()) {
		h.freshness.OnAnswer(now, a.answeredAt)
		h.storeConfirmation()
	}
}

// onLogChecked handles the result of a check. The peers learn at once that the log has
// answered, so that they need not check it.
func (h *peersHandler) onLogChecked(now time.Time, m logChecked) {
	if m.err != nil {
		h.freshness.OnCheckFailed(now)
		if positionLost(m.err) {
			h.node.restartReads()
		}
		return
	}
	h.freshness.OnCheckAnswered(now, m.answer.answeredAt)
	h.onLogAnswer(now, m.answer, false)
	if m.answer.end.Before(h.core.End()) {
		h.freshness.OnCheckOvertaken(now)
	}
	h.reportDue = true
}

// storeConfirmation tells the other threads when the documents were confirmed.
func (h *peersHandler) storeConfirmation() {
	confirmedAt := h.freshness.ConfirmedAt()
	h.core.OnLogAnswered(confirmedAt)
	h.node.confirmedAt.Store(&confirmedAt)
}

// onDocuments passes changed documents on. byRead is false if they did not come from the
// read that waits for them, which may be lost then.
func (h *peersHandler) onDocuments(changed, byRead bool) {
	end, known := h.core.End(), h.node.knownDocuments().End
	h.storeState()
	if !changed {
		return
	}
	if end.Era > known.Era && known.Offset > 0 {
		h.node.log.Emit(event.MeshLogRestored, "era", end.Era, "offset", end.Offset,
			"known_era", known.Era, "known_offset", known.Offset, "retained", h.core.Retained())
		h.node.nodesReader.restart()
	}
	h.reportDue = true
	if !byRead && end != known {
		h.node.documentsReader.restart()
	}
}

// storeState tells the other threads which documents are known.
func (h *peersHandler) storeState() {
	if state := h.core.Needed(); state != h.node.knownDocuments() {
		h.node.documents.Store(&state)
	}
}

func (h *peersHandler) applyDocuments() {
	for _, r := range h.core.TakeOutdated() {
		h.loader.logRejected(r)
	}
	documents, end := h.core.Documents()
	h.loader.apply(documents, end)
	h.storeState()
	h.reportDue = true
}

// sendDocuments sends a peer the documents that it does not have.
func (h *peersHandler) sendDocuments(now time.Time, m documentsRequested) {
	if h.core.Joining() || !m.known.Lacks(h.core.State()) {
		return
	}
	documents, end := h.core.Documents()
	m.link.send(frame.Documents{End: end, Records: documents, RetainedFor: h.core.RetainedFor(now)})
}

// reportDocuments sets what the next reports say about the documents.
func (h *peersHandler) reportDocuments(now time.Time) {
	h.report.Documents, h.report.DocumentsAge = h.core.State(), h.freshness.AgeForPeers(now)
}
