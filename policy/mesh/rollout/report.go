package rollout

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// reportInterval is the time between a node's reports of changed counts during the
	// canary phase, and moveReportInterval during the move. Bad responses under the whole
	// load must be known everywhere within some hundred milliseconds.
	reportInterval     = 500 * time.Millisecond
	moveReportInterval = 100 * time.Millisecond
	// repeatInterval bounds how often a node tells others an order's final state again that
	// they do not know.
	repeatInterval = 500 * time.Millisecond
	// isolationTime is the time without reports after which a peer does not count as heard
	// of. A bad version must be stopped well within the operators' bound of some seconds.
	isolationTime = 2 * time.Second
	// maxOrderAge bounds the age of an order that a peer may state.
	maxOrderAge = time.Hour
	// maxOrderPeers bounds the peers whose phase is known for an order.
	maxOrderPeers = 4096
)

// peerState is what a peer has reported last.
type peerState struct {
	drained bool
	heardAt time.Time
}

func (o *order) newReport(now time.Time, counts []model.RouteCounts) model.RolloutReport {
	return model.RolloutReport{
		Node: o.service.core.self, Order: o.RolloutOrder, Age: min(now.Sub(o.startedAt), maxOrderAge), Phase: o.phase(),
		Drained: o.drained(), Recorded: o.recorded, Counts: counts,
	}
}

// sendReport reports the order to the peers if it is due. While the order is in progress,
// reports also show that the node is alive.
func (o *order) sendReport(now time.Time) {
	interval := reportInterval
	if o.phase() == model.RolloutMoving {
		interval = moveReportInterval
	}
	if !o.reportDue && (o.ended() || now.Sub(o.lastReportAt) < interval) {
		return
	}
	o.reportDue, o.lastReportAt = false, now
	o.service.core.reports = append(o.service.core.reports, o.newReport(now, o.statistics.takeUnsent()))
}

// checkIsolated reports whether the node hears of less than half of the peers that it has
// heard of before, or of none. The others may have found that the version is bad.
func (o *order) checkIsolated(now time.Time) bool {
	if len(o.peers) == 0 {
		return len(o.service.core.peers) > 0 && now.Sub(o.createdAt) > isolationTime
	}
	heard := 0
	for _, p := range o.peers {
		if now.Sub(p.heardAt) <= isolationTime {
			heard++
		}
	}
	return 2*heard < len(o.peers)
}

// OnPeerReport handles a peer's report of an order. The node takes an order from it that the
// log has not told it yet.
func (c *Core) OnPeerReport(now time.Time, r model.RolloutReport) {
	if r.Node == c.self || r.Phase >= model.RolloutSuperseded || r.Order.Service == "" || r.Order.Version == "" {
		return
	}
	o := c.onOrder(now, r.Order, !c.loaded || r.Phase == model.RolloutChecking)
	if o == nil || !o.SameAs(r.Order) {
		return
	}
	if startedAt := now.Add(-min(max(r.Age, 0), maxOrderAge)); startedAt.Before(o.startedAt) {
		o.startedAt = startedAt
	}
	if _, known := o.peers[r.Node.Instance]; known || len(o.peers) < maxOrderPeers {
		o.peers[r.Node.Instance] = peerState{drained: r.Drained, heardAt: now}
	}
	o.statistics.merge(r.Node, r.Counts)
	if r.Recorded && !o.recorded {
		o.recorded = true
		if o.recorder.goal == model.RolloutStateRunning {
			o.stepRecorder(now, eventCanceled)
		}
	}
	o.followPeer(now, r.Phase)
}

// followPeer takes the phase of a peer that has come further. A node that has just started
// waits for the log before it takes a phase that is not final, since the peer may have been
// cut off.
func (o *order) followPeer(now time.Time, phase model.RolloutPhase) {
	if o.phase() == model.RolloutChecking && phase <= model.RolloutMoving && now.Sub(o.createdAt) < checkInterval {
		return
	}
	switch phase {
	case model.RolloutCanary:
		o.step(now, eventUnsettled)
	case model.RolloutMoving:
		o.step(now, eventUnsettled)
		o.service.refresh(now)
		o.step(now, eventMoveDue)
	case model.RolloutStopped:
		if o.verdict == "" {
			o.verdict = "by the report of a peer"
		}
		o.step(now, eventBad)
	case model.RolloutComplete:
		o.step(now, eventFoundComplete)
	case model.RolloutRolledBack:
		o.step(now, eventFoundRolledBack)
	}
	if o.ended() && phase < model.RolloutComplete && now.Sub(o.lastReportAt) >= repeatInterval {
		o.reportDue = true
	}
}
