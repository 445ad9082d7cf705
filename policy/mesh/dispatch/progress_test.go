package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
)

// runParent runs a call that makes calls nested calls, one after the other, and returns their
// progress. The last one fails if failed is set.
func runParent(t *testing.T, c *Core, calls int, failed bool) []float64 {
	t.Helper()
	nextID++
	parent := &Parent{Call: &model.Call{ID: nextID, AttemptID: "p", Host: "registry.example", Path: "/tags/1"}}
	c.OnParentStarted(parent)
	var progress []float64
	for i := range calls {
		nested := newRequest("/marks/1")
		nested.Parent = "p"
		c.OnRequest(start, nested)
		d := onlyDecision(t, c)
		progress = append(progress, d.Call.Progress)
		answer := completedAnswer(d.ID)
		if failed && i == calls-1 {
			answer.Status = 500
		}
		c.OnAnswer(start, d.Peer, answer)
		onlyDecision(t, c)
	}
	c.OnParentEnded(parent.Call)
	return progress
}

// Guards against a wrong order of nested calls because the profile of their parent's route
// is not learned, or is learned from runs that end early.
func TestProgressIsLearned(t *testing.T) {
	c := newCore(t)
	assert.DeepEqual(t, runParent(t, c, 4, false), []float64{0, 0, 0, 0})
	runParent(t, c, 1, true)
	assert.DeepEqual(t, runParent(t, c, 4, false), []float64{0, 0.25, 0.5, 0.75})
	for range 100 {
		runParent(t, c, 2, false)
	}
	progress := runParent(t, c, 3, false)
	assert.Assert(t, progress[1] > 0.45 && progress[1] < 0.55 && progress[2] <= 1, "%v", progress)
}

// Guards against profiles that grow without bound as routes are renamed.
func TestProfilesAreBoundedByRoutes(t *testing.T) {
	c := newCore(t)
	runParent(t, c, 4, false)
	assert.Equal(t, len(c.profiles), 1)
	renamed := config(t, 2, func(r *graph.Route) { r.Name = "search" })
	c.OnConfig(start.Add(time.Second), renamed, nil)
	assert.Equal(t, len(c.profiles), 0)
}
