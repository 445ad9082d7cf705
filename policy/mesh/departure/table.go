// Package departure holds which targets have announced that they leave, by the reports of
// their nodes. A node that starts beside such a target has forgotten what it acknowledged;
// its peers tell it.
package departure

import (
	"slices"

	"github.com/oleanderworks/oleanderworks/model"
)

// departure is a target that leaves, and the node that reported it.
type departure struct {
	node   model.NodeID
	target model.Instance
}

// Table holds the latest target of each node that leaves. It is not safe for concurrent use:
// the duty that owns it calls all methods from its thread.
type Table struct {
	byNode map[model.Instance]departure
}

// New returns an empty table.
func New() *Table { return &Table{byNode: make(map[model.Instance]departure)} }

// OnReport handles a node's report. A serving target ends the departure if it is another
// one, or if the incarnation of the node that reported the departure has seen the target
// start again with the same id. A later incarnation may have forgotten the departure.
func (t *Table) OnReport(info model.NodeInfo) {
	if info.Target == "" {
		return
	}
	known, found := t.byNode[info.Node.Instance]
	switch {
	case info.State == model.TargetLeaving:
		t.byNode[info.Node.Instance] = departure{node: info.Node, target: info.Target}
	case found && info.State == model.TargetServing && (info.Target != known.target || info.Node == known.node):
		delete(t.byNode, info.Node.Instance)
	}
}

// Target returns the target of a node that leaves, or "" if none is known to.
func (t *Table) Target(node model.Instance) model.Instance { return t.byNode[node].target }

// Retain deletes the departures of nodes that are not among the peers.
func (t *Table) Retain(peers []model.Instance) {
	for node := range t.byNode {
		if !slices.Contains(peers, node) {
			delete(t.byNode, node)
		}
	}
}
