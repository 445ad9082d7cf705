package follower

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/oleanderworks/oleanderworks/agent/appender"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/policy/node/configlog"
)

// append passes a record to the appender. If the appender's ring is full, the record
// is kept and sent at a later tick.
func (h *Handler) append(now time.Time, a *configlog.Append) {
	id := uuid.NewString()
	body, err := json.Marshal(setIDAndTime(now, id, a))
	if err != nil {
		h.log.Emit(event.RecordMalformed, "stream", a.Stream, "error", err)
		return
	}
	m := &appender.Append{Stream: a.Stream, ID: id, Body: body, From: a.From}
	if h.config.Append(m) {
		return
	}
	if len(h.unsent) == maxUnsent {
		h.log.Emit(event.RecordDropped, "stream", a.Stream, "id", id)
		return
	}
	h.unsent = append(h.unsent, m)
}

func (h *Handler) sendUnsent() {
	for len(h.unsent) > 0 && h.config.Append(h.unsent[0]) {
		h.unsent = h.unsent[1:]
	}
}

// setIDAndTime sets the id of a record, and the time that is shown to operators if
// the record has one. It returns the record.
func setIDAndTime(now time.Time, id string, a *configlog.Append) any {
	switch {
	case a.Publication != nil:
		a.Publication.ID, a.Publication.Time = id, now
		return a.Publication
	case a.Member != nil:
		a.Member.ID, a.Member.Time = id, now
		return a.Member
	default:
		a.Group.ID = id
		return a.Group
	}
}

func (h *Handler) logNotice(n *configlog.Notice) {
	switch n.Kind {
	case configlog.NoticeAccepted:
		h.log.Emit(event.ConfigAccepted, "offset", n.Offset, "id", n.ID)
	case configlog.NoticeRejected:
		h.log.Emit(event.ConfigRejected, "offset", n.Offset, "id", n.ID)
	case configlog.NoticeMalformed:
		h.log.Emit(event.RecordMalformed, "stream", n.Stream, "offset", n.Offset, "error", n.Err)
	case configlog.NoticeGap:
		h.log.Emit(event.LogGap, "stream", n.Stream, "oldest", n.Offset)
	case configlog.NoticeAdopted:
		h.log.Emit(event.DocumentSetAdopted, "offset", n.Offset, "peer", n.Peer, "documents", n.Count)
	case configlog.NoticeRelayed:
		h.log.Emit(event.RecordsRelayed, "stream", n.Stream, "offset", n.Offset, "peer", n.Peer, "records", n.Count)
	case configlog.NoticeWithdrawn:
		h.log.Emit(event.KeyWithdrawn, "key", n.ID)
	case configlog.NoticeRefreshed:
		h.log.Emit(event.DocumentsRefreshed, "documents", n.Count)
	}
}
