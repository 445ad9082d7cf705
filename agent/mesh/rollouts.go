package mesh

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

// This file has what the entry duty does with orders to move services to other versions.

// loadOrders decodes the orders in the documents. One that is invalid is logged once.
func (c *configLoader) loadOrders(records []keyed.Record, end model.LogPosition) {
	orders, invalid := c.node.decoder.RolloutOrders(records)
	c.orders, c.end = orders, end
	rejected := make(map[string]string, len(invalid))
	for key, err := range invalid {
		rejected[key] = err.Error()
		if c.rejected[key] != err.Error() {
			c.node.log.Emit(event.MeshRecordRejected, "stream", keyed.StreamOperator, "key", key, "detail", err)
		}
	}
	c.rejected = rejected
}

func (h *entryHandler) onRolloutOrders(now time.Time, m entryConfigChanged) {
	if c := h.core.Rollouts(); c != nil {
		c.OnOrders(now, m.orders, m.end)
	}
}

func (h *entryHandler) handleRollout(now time.Time, m entryMessage) {
	c := h.core.Rollouts()
	if c == nil {
		return
	}
	switch m := m.(type) {
	case rolloutReceived:
		c.OnPeerReport(now, m.report)
	case rolloutStatusRead:
		c.OnStatusRead(now, m.task, m.statuses, m.end, m.err)
	case rolloutStatusAppended:
		c.OnStatusAppended(now, m.task, m.conflict, m.err)
	}
}

// applyRollouts passes on what the orders' state requires. A report that finds no room in the
// ring of the peers duty is made up for by the next one, since counts are sums.
func (h *entryHandler) applyRollouts(now time.Time) {
	c := h.core.Rollouts()
	if c == nil {
		return
	}
	for _, change := range c.TakeChanges() {
		h.node.log.Emit(event.MeshRolloutChanged, "service", change.Order.Service, "version", change.Order.Version,
			"era", change.Order.Position.Era, "offset", change.Order.Position.Offset, "from", change.From, "to", change.To,
			"age", change.Age, "period", change.Order.Period, "responses", change.All, "new", change.New,
			"documents_age", h.node.documentsAge(), "detail", change.Detail)
		h.node.metrics.setRolloutPhase(change.Order.Service, change.To)
	}
	for _, report := range c.TakeReports() {
		h.node.metrics.rolloutReports.Add(1)
		h.node.peers.Ring().Offer(ownRollout{report: report})
	}
	for _, task := range c.TakeTasks() {
		if h.node.rolloutLog.tasks.Offer(task) {
			continue
		}
		if task.Read {
			c.OnStatusRead(now, task, nil, model.LogPosition{}, errRolloutLogBusy)
		} else {
			c.OnStatusAppended(now, task, false, errRolloutLogBusy)
		}
	}
}

// sendRollouts tells a peer whose link has opened the state of all orders.
func (h *entryHandler) sendRollouts(now time.Time, l *link) {
	c := h.core.Rollouts()
	if c == nil {
		return
	}
	for _, report := range c.AllReports(now) {
		l.send(frame.Rollout{Report: report})
	}
}
