package mesh

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

// newPeersHandlerWithLinks returns the handler of the peers duty of a node in the
// zone "north", and the links that its peers have opened. Sent frames stay in the
// links' queues.
func newPeersHandlerWithLinks(peers map[model.Instance]model.Zone) (*peersHandler, map[model.Instance]*link) {
	h := &peersHandler{
		node:     &Node{settings: &Settings{Zone: "north"}, id: model.NodeID{Instance: "self:1", Incarnation: 1}},
		incoming: make(map[*link]*sentReport),
	}
	links := make(map[model.Instance]*link)
	for id, zone := range peers {
		l := &link{
			peer:  frame.Hello{Node: model.NodeID{Instance: id, Incarnation: 1}, Zone: zone},
			queue: ring.New[frame.Message]("test", 8),
		}
		links[id] = l
		h.incoming[l] = new(sentReport)
	}
	return h, links
}

// Guards against usage that is sent to more than one node of another availability
// zone, and against usage that is not sent to a zone at all.
func TestUsageIsSentToOnePeerPerOtherZone(t *testing.T) {
	h, links := newPeersHandlerWithLinks(map[model.Instance]model.Zone{
		"n1:1": "north", "s1:1": "south", "s2:1": "south", "s3:1": "south", "e1:1": "east",
	})
	h.sendToOtherZones([]model.CustomerUsage{{Customer: "herders", Admitted: 1}})
	south := links["s1:1"].queue.Len() + links["s2:1"].queue.Len() + links["s3:1"].queue.Len()
	assert.Equal(t, south, 1)
	assert.Equal(t, links["e1:1"].queue.Len(), 1)
	assert.Equal(t, links["n1:1"].queue.Len(), 0)
}

// Guards against usage from another zone that the receiving node does not forward
// to the peers in its own zone, or that it forwards to other zones.
func TestUsageOfOtherZoneIsForwardedWithinZoneOnly(t *testing.T) {
	h, links := newPeersHandlerWithLinks(map[model.Instance]model.Zone{"n1:1": "north", "n2:1": "north", "s1:1": "south"})
	h.forwardInZone(frame.Usage{Node: model.NodeID{Instance: "s1:1", Incarnation: 1}, Customers: []model.CustomerUsage{{Customer: "herders"}}})
	assert.Equal(t, links["n1:1"].queue.Len(), 1)
	assert.Equal(t, links["n2:1"].queue.Len(), 1)
	assert.Equal(t, links["s1:1"].queue.Len(), 0)
}
