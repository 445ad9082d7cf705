package configlog

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// minRefreshChecksPerRetention is the minimum number of checks per retention period
// for documents and groups that are due for a refresh. A check of 40,000 documents
// takes about 3 ms.
const minRefreshChecksPerRetention = 20

// scheduleRefreshCheck makes the next tick check for due documents and groups. It
// is called after a gap and when records or a document set arrive that may be old.
func (c *Core) scheduleRefreshCheck() { c.nextRefreshCheckAt = time.Time{} }

// tickRefresh appends records again before they expire from the log, closes a gap
// after one retention period, and drops members whose join record has expired. It
// does nothing unless the node follows the log, since a node that does not see
// the refreshes of others would repeat all of them.
func (c *Core) tickRefresh(now time.Time) {
	f := c.followerByStream[model.ConfigStream]
	if f.state != stateFollowing {
		return
	}
	if !now.Before(c.nextRefreshCheckAt) {
		c.refreshDocuments(now, f.retention)
		c.refreshGroups(now)
	}
	if c.config.Gap() && now.Sub(c.gapDetectedAt) > f.retention {
		// Every document in force has been appended again in this time.
		c.config.CloseGap()
	}
	if !now.Before(c.nextExpiryCheckAt) {
		c.nextExpiryCheckAt = now.Add(expiryCheckInterval)
		c.refreshJoin(now)
		c.expireMembers(now)
	}
}

func (c *Core) refreshDocuments(now time.Time, retention time.Duration) {
	documents, next := c.config.TakeRefreshDue(now, retention)
	c.nextRefreshCheckAt = now.Add(max(retention/minRefreshChecksPerRetention, time.Second))
	if !next.IsZero() {
		c.nextRefreshCheckAt = earlier(c.nextRefreshCheckAt, next)
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
		f := c.followerByStream[stream]
		if f.state != stateFollowing {
			continue
		}
		records, _ := g.TakeRefreshDue(now, f.retention)
		for i := range records {
			c.emit(&Append{Stream: stream, From: g.NextOffset(), Group: &records[i]})
		}
	}
}

// OnNewIncarnation handles a new incarnation of this node. From now on its join
// record is the one that is refreshed.
func (c *Core) OnNewIncarnation(self model.Member) { c.self = self }

// refreshJoin appends this node's join record again when it is due. No other node
// does so, so that the join record of a lost node expires.
func (c *Core) refreshJoin(now time.Time) {
	stream := model.MemberStream(c.self.Service)
	members, f := c.members[stream], c.followerByStream[stream]
	if members == nil || f.state != stateFollowing {
		return
	}
	appendedAt, ok := members.JoinAppendedAt(c.self.NodeID)
	if !ok || now.Sub(appendedAt) < time.Duration(refreshAgeFraction*float64(f.retention)) {
		return
	}
	members.markRefreshed(now, c.self.Instance)
	c.emit(&Append{Stream: stream, From: members.NextOffset(), Member: &model.MemberRecord{Member: c.self}})
}

func (c *Core) expireMembers(now time.Time) {
	for stream, members := range c.members {
		f := c.followerByStream[stream]
		if f.state == stateFollowing && members.Expire(now.Add(-f.retention)) {
			c.updateSnapshotMembers(stream)
		}
	}
}
