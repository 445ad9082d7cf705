package model

import "time"

// TargetState is the state of a target as observed by its node.
type TargetState uint8

// States of a target.
const (
	TargetUnknown  TargetState = iota // not known to be ready, or out of service
	TargetServing                     // accepts requests
	TargetLeaving                     // finishes its running requests and accepts no new ones
	TargetLost                        // does not answer
	TargetStopping                    // its node is shutting down
)

// String returns the name used in logs.
func (s TargetState) String() string {
	switch s {
	case TargetServing:
		return "serving"
	case TargetLeaving:
		return "leaving"
	case TargetLost:
		return "lost"
	case TargetStopping:
		return "stopping"
	default:
		return "unknown"
	}
}

// CustomerUsage is one node's use of a customer's rate.
type CustomerUsage struct {
	Customer Customer
	Admitted uint64  // requests since the node started, less those refunded
	Demand   float64 // requests per second, admitted or not
}

// NodeInfo is the part of a node's report that rarely changes.
type NodeInfo struct {
	Node     NodeID
	Target   Instance // id that the running target announced; empty when unknown
	Service  Service
	Zone     Zone
	State    TargetState
	Limit    int     // concurrency limit
	ColdRate float64 // requests per second that the target can serve while cold
	Version  string  // of the target's software, as it announced; empty when unknown
}

// CrashReport says that a target crashed while it ran a request, or that a
// request suspected of causing crashes has completed. Its fingerprint is a hash of
// host, method, path and body and differs from Call.Fingerprint.
type CrashReport struct {
	Fingerprint uint64
	Count       int           // consecutive crashes: Call.CrashCount and this one; 0 when the request has completed
	Age         time.Duration // time since the latest crash or the completion; 0 in the reports of the target's node
}

// NodeReport is a node's status, sent to its peers.
type NodeReport struct {
	NodeInfo
	Cold         bool
	Running      int
	Queued       int
	FailureRate  float64       // fraction of calls that fail at the target, 0 to 1
	ShedFraction float64       // fraction of recent nested calls that the target or its node turned away for lack of room, 0 to 1
	QueueDelay   time.Duration // mean time that recent nested calls waited for a slot
	Nested       int           // running calls that are nested in others
	MeanRunTime  time.Duration // recent mean run time of a request; 0 if none ran recently
	Documents    DocumentsState
	DocumentsAge time.Duration   // time since the log confirmed to this node that there are no newer documents; negative if that is long ago
	Usage        []CustomerUsage // customers whose usage has changed
	Crashes      []CrashReport   // since the last report
}

// RunOutcome says how a call ended at the target.
type RunOutcome uint8

// Outcomes of a call at the target.
const (
	OutcomeAnswered          RunOutcome = iota // the target answered
	OutcomeConnectionRefused                   // the target refused the connection
	OutcomeConnectionBroken                    // no connection could be opened, or it broke before the answer was complete
	OutcomeOtherTarget                         // another target now has the address
	OutcomeTargetFull                          // the target answered that it is at capacity
	OutcomeCanceled                            // the call was canceled or its context ended
	OutcomeFailed                              // any other failure, including an answer that says that the request did not run
)

// Health is the result of a health probe of the target.
type Health struct {
	OK       bool
	Target   Instance      // id of the target that answered
	ColdLeft time.Duration // remaining time of its cold start
}
