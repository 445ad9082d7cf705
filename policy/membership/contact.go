package membership

import (
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// ContactLifetime is how long contact lasts without new round trips. A node
// that is partitioned from the others stops accepting withdrawn keys within
// this time.
const ContactLifetime = 5 * time.Second

// updateContact reports a changed end of contact to the other duties. Contact
// lasts for ContactLifetime after the latest heartbeat round trips with nodes in
// a majority of the region's availability zones, this node's own included. Only
// round trips on this node's own links count, each from the sending of the
// heartbeat that was echoed, so that a delayed answer counts as old.
func (c *Core) updateContact(now time.Time) {
	since := c.latestMajorityTime(c.regionZones(), func(p *peer) time.Time { return p.echoedSentAt }, now)
	var until time.Time
	if !since.IsZero() {
		until = since.Add(ContactLifetime)
	}
	if until.Equal(c.contactUntil) {
		return
	}
	c.contactUntil = until
	c.emit(Action{Kind: UpdateContact, ContactUntil: until})
}

// majorityHeardSince returns the latest time since when nodes in a majority of
// the availability zones of all known nodes have sent this node a heartbeat.
// Unlike contact, it counts the zones of all regions, needs no echo, and leaves
// out configured zones without a known node.
func (c *Core) majorityHeardSince(now time.Time) time.Time {
	zones := map[model.Zone]time.Time{c.self.Zone: {}}
	for _, p := range c.peers {
		zones[p.member.Zone] = time.Time{}
	}
	return c.latestMajorityTime(zones, func(p *peer) time.Time { return p.lastHeartbeatAt }, now)
}

// latestMajorityTime returns the latest time t such that each zone of some
// majority has a node whose time is t or later. timeOf returns a peer's time, and
// own is this node's. It overwrites the times in zones.
func (c *Core) latestMajorityTime(zones map[model.Zone]time.Time, timeOf func(*peer) time.Time, own time.Time) time.Time {
	for _, p := range c.peers {
		if t, ok := zones[p.member.Zone]; ok {
			zones[p.member.Zone] = later(t, timeOf(p))
		}
	}
	zones[c.self.Zone] = later(zones[c.self.Zone], own)
	times := make([]time.Time, 0, len(zones))
	for _, t := range zones {
		times = append(times, t)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(times)/2]
}

// regionZones returns the availability zones of this node's region: those in
// the configuration and those of the known nodes. Their times are zero.
func (c *Core) regionZones() map[model.Zone]time.Time {
	out := map[model.Zone]time.Time{c.self.Zone: {}}
	for _, zone := range c.configuredZones {
		out[zone] = time.Time{}
	}
	for _, p := range c.peers {
		if p.member.Region == c.self.Region {
			out[p.member.Zone] = time.Time{}
		}
	}
	return out
}

// zonesOfRegion returns the zones that the configuration places in a region.
func zonesOfRegion(s *model.Snapshot, r model.Region) []model.Zone {
	var out []model.Zone
	for zone, config := range s.Zones {
		if config.Region == r {
			out = append(out, zone)
		}
	}
	return out
}
