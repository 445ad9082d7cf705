package model

import "time"

// RolloutOrder is the operator's order that the traffic of a service move to the targets
// of a version within a period.
type RolloutOrder struct {
	Service  Service
	Version  string // of the targets that get the traffic
	Period   time.Duration
	Position LogPosition // of the order's record
}

// SameAs reports whether two orders are the same. An order that was written again with the
// same content after a restore of the log is the same order.
func (o RolloutOrder) SameAs(p RolloutOrder) bool {
	return o.Service == p.Service && o.Version == p.Version && o.Period == p.Period &&
		(o.Position == p.Position || o.Position.Era != p.Position.Era)
}

// RolloutPhase is how far a node has come with an order.
type RolloutPhase uint8

// Phases of an order at a node, in the order of the states of the chart rollout.
const (
	RolloutChecking   RolloutPhase = iota // the node has started and does not know the order's state
	RolloutCanary                         // the version gets the canary share
	RolloutMoving                         // the version gets all calls
	RolloutStopped                        // the version is bad and gets no calls
	RolloutComplete                       // final: the version has taken over
	RolloutRolledBack                     // final: the version was given up
	RolloutSuperseded                     // a newer order of the service took its place
)

var rolloutPhaseNames = [...]string{"checking", "canary", "moving", "stopped", "complete", "rolled_back", "superseded"}

// String returns the name used in logs and metrics.
func (p RolloutPhase) String() string {
	if int(p) < len(rolloutPhaseNames) {
		return rolloutPhaseNames[p]
	}
	return "unknown"
}

// RolloutCounts sums up the responses of one side of a rollout on one route. Sums only
// grow while their node lives.
type RolloutCounts struct {
	Responses uint64
	Failed    uint64
	Slow      uint64        // not failed, and several times slower than the mean of the old versions
	Time      time.Duration // sum of the run times of the responses that have not failed
}

// RouteCounts holds the responses of a rollout on one route.
type RouteCounts struct {
	Route string
	New   bool // of the ordered version; false for the others
	RolloutCounts
}

// RolloutReport is a node's state of an order, sent to its peers.
type RolloutReport struct {
	Node     NodeID
	Order    RolloutOrder
	Age      time.Duration // since the order was first seen, by any node that this one knows of
	Phase    RolloutPhase
	Drained  bool          // no call of this node runs at the old targets
	Recorded bool          // the log has the status of the order
	Counts   []RouteCounts // the routes whose counts have changed, or all
}

// RolloutState is the state of an order in its status record.
type RolloutState string

// States in the status record of an order. The last two are final.
const (
	RolloutStateRunning    RolloutState = "running"
	RolloutStateComplete   RolloutState = "complete"
	RolloutStateRolledBack RolloutState = "rolled_back"
)

// Final reports whether the state ends the order.
func (s RolloutState) Final() bool { return s == RolloutStateComplete || s == RolloutStateRolledBack }

// RolloutStatus is the status record of an order.
type RolloutStatus struct {
	Service Service
	Version string
	State   RolloutState
}
