package event

import (
	"cmp"
	"slices"

	"github.com/hashicorp/go-hclog"
)

// catalogue lists all events. Numbers are never reused. Ranges: 100 node,
// 200 routing, 300 admission, 400 quorum, tokens and request records, 500
// membership, 600 configuration and log, 700 links and transport, 800
// crash marks and quarantine, 900 drain. The subcommand node writes events below
// 1000, the subcommand mesh those from 1000 on.
var catalogue []*Definition

// All returns all events in order of their numbers.
func All() []*Definition {
	all := slices.Clone(catalogue)
	slices.SortFunc(all, func(a, b *Definition) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

func define(number int, name string, level hclog.Level, text, action string) *Definition {
	d := &Definition{Number: number, Name: name, Level: level, Description: text, Action: action}
	catalogue = append(catalogue, d)
	return d
}

func defineWithHigherRateLimit(number int, name string, level hclog.Level, text, action string) *Definition {
	d := define(number, name, level, text, action)
	d.HigherRateLimit = true
	return d
}

// Events of the process that the subcommand node runs.
var (
	NodeStarted = define(100, "node_started", hclog.Info,
		"The node accepts connections on its addresses.", "None.")
	NodeStopped = define(101, "node_stopped", hclog.Info,
		"The node has shut down.", "None.")
	NodePaused = define(102, "node_paused", hclog.Warn,
		"A duty detected that the process was paused and discarded state that may be out of date: the routing duty discards its token balances, the membership duty the reports about peers.",
		"Check the machine for CPU starvation or suspension.")
	InvariantBroken = define(103, "invariant_broken", hclog.Error,
		"An assertion inside the program failed.", "Report a bug and attach the surrounding log lines.")
)
