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

// unsealedAppendTimeout bounds the append of an unsealed composition, which must
// not be appended late: the time at which it takes effect was computed when it was
// created.
const unsealedAppendTimeout = 5 * time.Second

// buildQuorum builds the quorum duty, which handles votes, token leases and
// request records, and connects it to its peers.
func (n *Node) buildQuorum(linksHandler *links.Handler, dispatcher *links.Dispatcher) {
	n.quorum, n.quorumVars = quorum.New(quorum.Config{
		Self:   n.member(),
		Send:   quorum.PeerSender(linksHandler, n.log),
		Append: n.appendGroup,
		// Group records that were received from a peer count as contact with the log.
		LastContact: n.groupsKnownAsOf,
		NewID:       uuid.NewString,
		Rand:        newRand(),
		Log:         n.log,
		Checker:     n.checker,
	})
	quorum.Register(dispatcher, n.quorum.Ring(), n.log)
}

// appendGroup starts the append of a composition and reports whether it was
// started; if so, the quorum duty gets an AppendDone when it ends. A sealed
// composition can safely be appended late, since a majority of the group's previous
// members have promised to accept nothing more for the previous composition. It
// goes to the appender, which retries during an outage of the log service. An
// unsealed composition is appended directly, with a timeout.
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
		_, err := n.logService.Append(ctx, stream, record.ID, body)
		if err != nil {
			n.log.Emit(event.LogUnavailable, "step", "append", "stream", stream, "error", err)
		}
		done(err)
	}()
	return true
}
