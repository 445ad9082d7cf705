package dispatch

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
)

// Guards against a panic when two routes of a configuration have the same name and divide
// their requests among different numbers of services.
func TestRoutesOfOneNameHaveTheirOwnSplit(t *testing.T) {
	c := New("10.0.0.1:7000", "north", "tally", rand.New(rand.NewPCG(1, 1)))
	two := &graph.Route{Name: "view", Split: []graph.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	three := &graph.Route{Name: "view", Split: []graph.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}, {Service: "c", Weight: 2}}}
	got := make(map[model.Service]int)
	for range 40 {
		c.pickService(two)
		got[c.pickService(three)]++
	}
	assert.Equal(t, got["c"], 20)
}
