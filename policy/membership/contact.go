package membership

import (
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// ContactLifetime is how long contact lasts. A withdrawn key stops working within
// this time on a node that is cut off.
const ContactLifetime = 5 * time.Second

// judgeContact tells the other duties when contact has changed: it lasts for
// ContactLifetime after the latest round trips of heartbeats with a majority of
// the region's availability zones, this node's own included. The time of a
// round trip is that of the heartbeat that was echoed, so that an answer that
// was long on the way counts as old, and nothing that peers only repeat counts
// at all.
func (c *Core) judgeContact(now time.Time) {
	at := c.majority(c.regionZones(), func(p *peer) time.Time { return p.echoedAt }, now)
	var until time.Time
	if !at.IsZero() {
		until = at.Add(ContactLifetime)
	}
	if until.Equal(c.until) {
		return
	}
	c.until = until
	c.emit(Action{Kind: UpdateContact, ContactUntil: until})
}

// heard returns since when a majority of the known zones was heard.
func (c *Core) heard(now time.Time) time.Time {
	zones := map[model.Zone]time.Time{c.self.Zone: {}}
	for _, p := range c.peers {
		zones[p.member.Zone] = time.Time{}
	}
	return c.majority(zones, func(p *peer) time.Time { return p.directAt }, now)
}

// majority returns the latest time that nodes in a majority of zones reach;
// own stands for this node.
func (c *Core) majority(zones map[model.Zone]time.Time, timeOf func(*peer) time.Time, own time.Time) time.Time {
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

// regionZones returns the availability zones of this node's region: those
// that the configuration names and those of the known nodes.
func (c *Core) regionZones() map[model.Zone]time.Time {
	out := map[model.Zone]time.Time{c.self.Zone: {}}
	for _, zone := range c.configured {
		out[zone] = time.Time{}
	}
	for _, p := range c.peers {
		if p.member.Region == c.self.Region {
			out[p.member.Zone] = time.Time{}
		}
	}
	return out
}

// zonesOf lists the zones that the configuration places in a region.
func zonesOf(s *model.Snapshot, r model.Region) []model.Zone {
	var out []model.Zone
	for zone, config := range s.Zones {
		if config.Region == r {
			out = append(out, zone)
		}
	}
	return out
}
