package agent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/oleanderworks/oleanderworks/agent/appender"
	"github.com/oleanderworks/oleanderworks/agent/links"
	"github.com/oleanderworks/oleanderworks/agent/quorum"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/model"
)

// unsealedAppendTimeout bounds the append of an unsealed composition. Such a
// composition starts at a time that was computed when it was created, so it must
// not be appended late.
const unsealedAppendTimeout = 5 * time.Second

// buildQuorum builds the quorum duty, which handles votes, token leases and
// request records, and connects it to its peers.
func (n *Node) buildQuorum(sessions *links.Handler, dispatcher *links.Dispatcher) {
	n.quorum, n.quorumVars = quorum.New(quorum.Config{
		Self:   n.member(),
		Send:   quorum.PeerSender(sessions, n.log),
		Append: n.appendGroup,
		// Group records count also when they were received from a peer.
		LastContact: n.groupsKnownAsOf,
		NewID:       uuid.NewString,
		Rand:        newRand(),
		Log:         n.log,
		Checker:     n.checker,
	})
	quorum.Register(dispatcher, n.quorum.Ring(), n.log)
}

// appendGroup starts to append a composition and reports whether it did; if so,
// AppendDone follows. A sealed composition, before which a majority of the group's
// previous members promised to accept nothing more for the old one, is safe to
// append late: it goes to the appender, which keeps it through an outage of the
// log. An unsealed one is appended directly, with a timeout.
func (n *Node) appendGroup(record model.GroupRecord) bool {
	body, err := json.Marshal(record)
	if err != nil {
		n.log.Emit(event.RecordMalformed, "error", err)
		return false
	}
	done := func(error) {
		n.quorum.Ring().Offer(&quorum.AppendDone{Key: model.GroupKey{Region: record.Region, Group: record.Group}})
	}
	stream := model.GroupStream(record.Region)
	if record.Sealed {
		return n.logDuties.appender.Ring().Offer(&appender.Append{Stream: stream, ID: record.ID, Body: body, Done: done})
	}
	go func() {
		ctx, cancel := context.WithTimeout(n.tomb.Context(context.Background()), unsealedAppendTimeout)
		defer cancel()
		_, err := n.service.Append(ctx, stream, record.ID, body)
		if err != nil {
			n.log.Emit(event.LogUnavailable, "step", "append", "stream", stream, "error", err)
		}
		done(err)
	}()
	return true
}
