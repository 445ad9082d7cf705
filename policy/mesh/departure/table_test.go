package departure

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

func report(incarnation model.Incarnation, target model.Instance, state model.TargetState) model.NodeInfo {
	return model.NodeInfo{Node: model.NodeID{Instance: "n1", Incarnation: incarnation}, Target: target, State: state}
}

// Guards against forgetting a departure because the node restarts and reports the target
// that leaves as serving, and against keeping it when the target has started again.
func TestDepartureOutlivesRestartOfNode(t *testing.T) {
	table := New()
	table.OnReport(report(1, "t1", model.TargetLeaving))
	table.OnReport(report(1, "t1", model.TargetStopping))
	table.OnReport(report(2, "", model.TargetUnknown))
	table.OnReport(report(2, "t1", model.TargetServing))
	assert.Equal(t, table.Target("n1"), model.Instance("t1"))
	table.OnReport(report(2, "t2", model.TargetServing))
	assert.Equal(t, table.Target("n1"), model.Instance(""))

	table.OnReport(report(2, "t2", model.TargetLeaving))
	table.OnReport(report(2, "t2", model.TargetServing))
	assert.Equal(t, table.Target("n1"), model.Instance(""), "started again with the same id")

	table.OnReport(report(2, "t2", model.TargetLeaving))
	table.Retain([]model.Instance{"n2"})
	assert.Equal(t, table.Target("n1"), model.Instance(""), "the node is gone")
}
