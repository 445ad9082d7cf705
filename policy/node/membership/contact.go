package membership

import (
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// ContactLifetime is how long contact lasts without new round trips. Within this
// time, a node that is partitioned from the others stops accepting keys, which
// may have been withdrawn.
const ContactLifetime = 5 * time.Second

// updateContact computes when contact ends and reports a change to the other
// duties. Contact lasts for ContactLifetime after the latest heartbeat round trips
// with nodes in a majority of the region's availability zones, which include this
// node's zone. Only round trips on this node's own links count. A round trip counts
// from the time at which the echoed heartbeat was sent, so that a delayed answer
// does not extend contact.
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

// latestMajorityHeartbeat returns the latest time t such that nodes in a majority
// of the availability zones of all known nodes have sent this node a heartbeat at
// t or later. Unlike contact, it covers the zones of all regions, needs no echo,
// and leaves out configured zones without a known node.
func (c *Core) latestMajorityHeartbeat(now time.Time) time.Time {
	zones := map[model.Zone]time.Time{c.self.Zone: {}}
	for _, p := range c.peers {
		zones[p.member.Zone] = time.Time{}
	}
	return c.latestMajorityTime(zones, func(p *peer) time.Time { return p.lastHeartbeatAt }, now)
}

// latestMajorityTime returns the latest time t such that each zone of some majority
// of zones has a node whose time is t or later. timeOf returns a peer's time, and
// own is this node's time. The values of zones must be zero and are overwritten.
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

// regionZones returns the availability zones of this node's region, from the
// configuration and from the known nodes, with zero times.
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

// zonesOfRegion returns the availability zones of a region in the configuration.
func zonesOfRegion(s *model.Snapshot, r model.Region) []model.Zone {
	var out []model.Zone
	for zone, config := range s.Zones {
		if config.Region == r {
			out = append(out, zone)
		}
	}
	return out
}
