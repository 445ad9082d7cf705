package event

import (
	"cmp"
	"slices"

	"github.com/hashicorp/go-hclog"
)

// catalogue holds every event. Numbers are never reused. Ranges: 100 node,
// 200 routing, 300 admission, 400 quorum, tokens and records, 500
// membership, 600 configuration and log, 700 links and transport, 800 keys
// and quarantine, 900 drain, 1000 nodes of a service call graph.
var catalogue []*Def

// All returns every event in order of number.
func All() []*Def {
	all := slices.Clone(catalogue)
	slices.SortFunc(all, func(a, b *Def) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

func define(number int, name string, level hclog.Level, text, action string) *Def {
	d := &Def{Number: number, Name: name, Level: level, Text: text, Action: action}
	catalogue = append(catalogue, d)
	return d
}

func detailed(number int, name string, level hclog.Level, text, action string) *Def {
	d := define(number, name, level, text, action)
	d.Detailed = true
	return d
}

// Events of the node itself.
var (
	NodeStarted = define(100, "node_started", hclog.Info,
		"The node serves on its addresses.", "None.")
	NodeStopped = define(101, "node_stopped", hclog.Info,
		"The node has shut down.", "None.")
	NodePaused = define(102, "node_paused", hclog.Warn,
		"A duty noticed that the process was paused; leases, votes and token balances were dropped.",
		"Look for CPU starvation or a suspended machine.")
	InvariantBroken = define(103, "invariant_broken", hclog.Error,
		"An assertion inside the program failed.", "Report it with the surrounding log lines.")
)
