package mesh

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

// newPeers returns the peers duty of a node in the zone "north" with links that
// peers have opened, which keep what is sent on them.
func newPeers(peers map[model.Instance]model.Zone) (*peersDuty, map[model.Instance]*link) {
	h := &peersDuty{
		node:    &Node{settings: &Settings{Zone: "north"}, id: model.NodeID{Instance: "self:1", Incarnation: 1}},
		origins: make(map[*link]*sentReport),
	}
	links := make(map[model.Instance]*link)
	for id, zone := range peers {
		l := &link{
			peer:  frame.Hello{Node: model.NodeID{Instance: id, Incarnation: 1}, Zone: zone},
			queue: ring.New[frame.Message]("test", 8),
		}
		links[id] = l
		h.origins[l] = new(sentReport)
	}
	return h, links
}

// Guards against use of rates that crosses between two availability zones once
// for each node, and against a zone that does not hear of it.
func TestUsageCrossesOnce(t *testing.T) {
	h, links := newPeers(map[model.Instance]model.Zone{
		"n1:1": "north", "s1:1": "south", "s2:1": "south", "s3:1": "south", "e1:1": "east",
	})
	h.sendAbroad([]model.CustomerUsage{{Customer: "herders", Admitted: 1}})
	south := links["s1:1"].queue.Len() + links["s2:1"].queue.Len() + links["s3:1"].queue.Len()
	assert.Equal(t, south, 1)
	assert.Equal(t, links["e1:1"].queue.Len(), 1)
	assert.Equal(t, links["n1:1"].queue.Len(), 0)
}

// Guards against use from another zone that is kept by the one node that got
// it, or that is sent back abroad.
func TestForeignUsageIsPassedOnInTheZone(t *testing.T) {
	h, links := newPeers(map[model.Instance]model.Zone{"n1:1": "north", "n2:1": "north", "s1:1": "south"})
	h.passOn(frame.Usage{Node: model.NodeID{Instance: "s1:1", Incarnation: 1}, List: []model.CustomerUsage{{Customer: "herders"}}})
	assert.Equal(t, links["n1:1"].queue.Len(), 1)
	assert.Equal(t, links["n2:1"].queue.Len(), 1)
	assert.Equal(t, links["s1:1"].queue.Len(), 0)
}
