package gate

import (
	"time"

	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// sequenceWindow is how far an announcement's sequence may be behind the latest one
	// for the announcement to count as overtaken.
	sequenceWindow = 10_000
	// maxSlots is the largest number of slots of a target. A call needs a connection, and
	// there are fewer ports than this on the node's side.
	maxSlots = 1 << 16
	// maxStartedAtMs is the latest start of a target, 2200-01-01 as Unix time in ms. It
	// does not depend on the node's clock, which may be wrong. A later start would make
	// all true announcements look as if they came from an earlier incarnation.
	maxStartedAtMs = 7_258_118_400_000
)

// Announcement is a message in which a target announces its state.
type Announcement struct {
	ID          model.Instance
	Service     model.Service
	Version     string // of the target's software
	Address     string
	StartedAtMs int64 // start of the target, Unix time in ms; 0 if not given
	Sequence    uint64
	Leaving     bool
	Slots       int
	ColdLeft    time.Duration // how long the target stays cold
	Interval    time.Duration // usual time between two announcements; 0 if not given
}

// OnAnnouncement handles an announcement of the target and reports whether it is
// valid: it must name an instance, this node's service and from 1 to maxSlots slots, must
// not come from an incarnation before the known one, and its start must be at most
// maxStartedAtMs.
func (c *Core) OnAnnouncement(now time.Time, a Announcement) bool {
	t := &c.target
	if a.ID != "" && a.Service != c.service {
		t.onOtherService(now, a.ID)
	}
	if a.ID == "" || a.Service != c.service || a.Slots <= 0 || a.Slots > maxSlots {
		return false
	}
	if t.late(a) || a.StartedAtMs > maxStartedAtMs {
		return false
	}
	newIncarnation := t.id != "" && (a.StartedAtMs > t.startedAtMs && t.startedAtMs != 0 || a.ID != t.id || a.ID == t.departedID)
	if !newIncarnation && a.ID == t.id && a.StartedAtMs == t.startedAtMs && t.overtaken(a.Sequence) {
		return true
	}
	t.lastHeardAt, t.announceInterval = now, a.Interval
	oldLimit := c.limit()
	if a.ID == t.shownID {
		t.replacedID = t.id
	}
	t.announced, t.shownID, t.departedID = true, "", ""
	t.id, t.startedAtMs, t.sequence, t.slots = a.ID, a.StartedAtMs, a.Sequence, a.Slots
	t.version = a.Version
	c.resizeWindows(oldLimit)
	t.setCold(now, a.ColdLeft)
	switch {
	case a.Leaving:
		t.leave(now, eventAnnouncedLeaving)
	case newIncarnation:
		t.left = false
		t.step(now, eventNewIncarnation)
	default:
		t.step(now, eventAnnounced)
	}
	c.admitWaiting(now)
	return true
}

// late reports whether an announcement is from an incarnation before the target that has the
// address now. A health answer that shows the announced id outweighs the start that the
// announcement gives: the clock of a restarted target may have been set back.
func (t *target) late(a Announcement) bool {
	switch {
	case t.shownID != "" && a.ID == t.shownID:
		return false
	case t.shownID != "" && a.ID == t.id && a.StartedAtMs == t.startedAtMs:
		return true
	case a.StartedAtMs == 0 && a.ID == t.replacedID:
		return true // without a start, only the id tells that the announcement is late
	default:
		return a.StartedAtMs < t.startedAtMs
	}
}

// onOtherService handles an announcement of an instance of another service. It does not
// outweigh an announcement of the same instance with this node's service, since one of the
// two is invalid then.
func (t *target) onOtherService(now time.Time, id model.Instance) {
	switch {
	case t.id == "":
		t.shownID = id
	case t.id == id && !t.announced:
		t.id, t.shownID = "", id
		t.step(now, eventOtherTarget)
	}
}

// overtaken reports whether an announcement of the target is a duplicate, or was sent
// before the latest one. A sequence far behind the latest one is not: the latest one was
// invalid then.
func (t *target) overtaken(sequence uint64) bool {
	return sequence <= t.sequence && t.sequence-sequence < sequenceWindow
}

// OnDeregistered handles the deregistration of a target and reports whether it is valid:
// its start must be at most maxStartedAtMs. It is ignored if it is from an instance other
// than the known one, or from an earlier incarnation.
func (c *Core) OnDeregistered(now time.Time, id model.Instance, startedAtMs int64) bool {
	t := &c.target
	if startedAtMs > maxStartedAtMs {
		return false
	}
	if (t.id != "" && id != t.id) || (startedAtMs != 0 && startedAtMs < t.startedAtMs) {
		return true
	}
	t.id = id
	t.startedAtMs = max(t.startedAtMs, startedAtMs)
	t.leave(now, eventDeregistered)
	return true
}

// leave notes that the target leaves. The node's peers must hear of it also while the node
// shuts down, since the node has acknowledged it.
func (t *target) leave(now time.Time, event chart.EventID) {
	if !t.left {
		t.left, t.core.reportDue = true, true
	}
	t.step(now, event)
}

// awaitsPeers reports whether a target that passes its probes is not served yet, since this
// node may have acknowledged before it started that the target leaves.
func (t *target) awaitsPeers(now time.Time) bool {
	return !t.announced && !t.peerAnswered && now.Before(t.askedUntil)
}

// OnDeparted handles a peer's statement that, by a report of this node before it started, the
// target with the id leaves, or that it knows of none if the id is empty. A target that has announced itself to this incarnation of the
// node is known better. A target that leaves may pass its probes all the same.
func (c *Core) OnDeparted(now time.Time, id model.Instance) {
	t := &c.target
	if t.awaitsPeers(now) && !t.probing {
		t.probes.Set(probe{}, now)
	}
	t.peerAnswered = true
	if id == "" || t.announced || t.left {
		return
	}
	t.departedID = id
	if t.id == id {
		t.leave(now, eventDeregistered)
	}
}

// identify reports whether a health answer that names the id is from the known target, and
// adopts the first id. A health answer names no service, and the address of a target that
// has ended may belong to one of another service: an id other than the known one is not
// adopted until it is announced with this node's service. The first id is, since the
// settings that name the service and the address have just been read.
func (t *target) identify(id model.Instance) bool {
	switch {
	case t.id == "" && t.shownID != "":
		return false
	case t.id == "":
		t.id = id
	case id != "" && id != t.id:
		return false
	}
	t.shownID = ""
	return true
}
