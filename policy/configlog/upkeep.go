package configlog

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// minRefreshChecks is how many times per retention a node checks for documents
// and groups that are due for a refresh, even when it expects none. A check of
// 40,000 documents takes about 3 ms.
const minRefreshChecks = 20

// scheduleRefreshCheck makes the next tick check for due documents, after old
// ones arrived.
func (c *Core) scheduleRefreshCheck() { c.refreshCheckAt = time.Time{} }

// tickRefresh appends records again that are about to expire from the log,
// closes a gap after one retention, and drops members whose join has expired. It
// runs only while the node follows the log: a node that does not see the
// refreshes of others would repeat all of them.
func (c *Core) tickRefresh(now time.Time) {
	t := c.trackerByStream[model.ConfigStream]
	if t.state != stateFollowing {
		return
	}
	if !now.Before(c.refreshCheckAt) {
		c.refreshDocuments(now, t.retention)
		c.refreshGroups(now)
	}
	if c.config.Gap() && now.Sub(c.gapFoundAt) > t.retention {
		// Within one retention every document in force was appended again.
		c.config.CloseGap()
	}
	if !now.Before(c.expiryCheckAt) {
		c.expiryCheckAt = now.Add(expiryCheckInterval)
		c.refreshJoin(now)
		c.expireMembers(now)
	}
}

func (c *Core) refreshDocuments(now time.Time, retention time.Duration) {
	documents, next := c.config.TakeRefreshDue(now, retention)
	c.refreshCheckAt = now.Add(max(retention/minRefreshChecks, time.Second))
	if !next.IsZero() {
		c.refreshCheckAt = earlier(c.refreshCheckAt, next)
	}
	if len(documents) == 0 {
		return
	}
	c.emit(&Notice{Kind: NoticeRefreshed, Count: len(documents)})
	c.emit(&Append{
		Stream:      model.ConfigStream,
		From:        c.config.NextOffset(),
		Publication: &model.Publication{Author: string(c.self.Instance), Refresh: documents},
	})
}

func (c *Core) refreshGroups(now time.Time) {
	for stream, g := range c.groups {
		t := c.trackerByStream[stream]
		if t.state != stateFollowing {
			continue
		}
		records, _ := g.TakeRefreshDue(now, t.retention)
		for i := range records {
			c.emit(&Append{Stream: stream, From: g.NextOffset(), Group: &records[i]})
		}
	}
}

// OnNewIncarnation sets this node's new incarnation, whose join is refreshed
// from now on.
func (c *Core) OnNewIncarnation(self model.Member) { c.self = self }

// refreshJoin appends this node's join again. Only the node itself does so;
// the join of a lost node expires.
func (c *Core) refreshJoin(now time.Time) {
	stream := model.MemberStream(c.self.Service)
	members, t := c.members[stream], c.trackerByStream[stream]
	if members == nil || t.state != stateFollowing {
		return
	}
	appendedAt, ok := members.JoinAppendedAt(c.self.NodeID)
	if !ok || now.Sub(appendedAt) < time.Duration(refreshAgeFraction*float64(t.retention)) {
		return
	}
	members.touch(now, c.self.Instance)
	c.emit(&Append{Stream: stream, From: members.NextOffset(), Member: &model.MemberRecord{Member: c.self}})
}

func (c *Core) expireMembers(now time.Time) {
	for stream, members := range c.members {
		t := c.trackerByStream[stream]
		if t.state == stateFollowing && members.Expire(now.Add(-t.retention)) {
			c.membersChanged(stream)
		}
	}
}
