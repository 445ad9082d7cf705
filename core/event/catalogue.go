package event

import (
	"cmp"
	"slices"

	"github.com/hashicorp/go-hclog"
)

// catalogue lists all events. Numbers are never reused. Ranges: 100 node,
// 200 routing, 300 admission, 400 quorum, tokens and request records, 500
// membership, 600 configuration and log, 700 links and transport, 800 keys
// and quarantine, 900 drain, 1000 nodes of a service call graph.
var catalogue []*Def

// All returns all events in order of their numbers.
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

func defineWithHigherLimit(number int, name string, level hclog.Level, text, action string) *Def {
	d := define(number, name, level, text, action)
	d.HigherLimit = true
	return d
}

// Events of the node process.
var (
	NodeStarted = define(100, "node_started", hclog.Info,
		"The node accepts connections on its addresses.", "None.")
	NodeStopped = define(101, "node_stopped", hclog.Info,
		"The node has shut down.", "None.")
	NodePaused = define(102, "node_paused", hclog.Warn,
		"A duty detected that the process was paused; the node discarded its leases, votes and token balances.",
		"Check the machine for CPU starvation or suspension.")
	InvariantBroken = define(103, "invariant_broken", hclog.Error,
		"An assertion inside the program failed.", "Report a bug and attach the surrounding log lines.")
)
