package model

import "time"

// TargetState tells whether a target takes new requests.
type TargetState uint8

// States of a target, as its node reports them.
const (
	TargetUnknown  TargetState = iota // its node has not heard of it yet
	TargetServing                     // takes requests
	TargetLeaving                     // ends its running requests and takes no new ones
	TargetLost                        // does not answer
	TargetStopping                    // its node shuts down
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

// Usage is what one node has admitted of a customer's rate since its start.
type Usage struct {
	Customer Customer
	Admitted uint64  // requests
	Demand   float64 // requests a second, admitted or not
}

// Place is what a node says of itself and its target that seldom changes.
type Place struct {
	Node     NodeID
	Target   Instance // id of the target's incarnation; empty when unknown
	Service  Service
	Zone     Zone
	State    TargetState
	Limit    int     // requests that may run at once
	ColdRate float64 // requests a second that the target bears while cold
}

// Crash tells that a target has crashed while a request ran there, or that a
// suspected request has completed.
type Crash struct {
	Fingerprint uint64
	Count       int // crashes in a row; 0 when it has completed
}

// Report is what a node tells its peers about itself.
type Report struct {
	Place
	Cold      bool
	Running   int
	Queued    int
	Failing   float64       // share of the calls that fail at the target, 0 to 1
	RunTime   time.Duration // recent mean time of a request at the target; 0 if none ran
	Documents int64         // end offset of the operator's documents that the node has
	Usage     []Usage       // customers whose use has changed
	Crashes   []Crash       // news since the last report
}

// RunEnd tells how a call ended at the target.
type RunEnd uint8

// Ends of a call.
const (
	EndAnswered    RunEnd = iota // the target answered
	EndRefused                   // the target took no connection
	EndBroken                    // the connection broke
	EndOtherTarget               // another incarnation has the address
	EndFull                      // the target said that it has no room
	EndCanceled                  // the caller had gone first
	EndFailed                    // any other end without an answer
)

// Health is the target's answer to a probe.
type Health struct {
	OK       bool
	Target   Instance      // incarnation that answered
	ColdLeft time.Duration // how long it stays cold
}
