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

// Report is what a node tells its peers about itself.
type Report struct {
	Node       NodeID
	Target     Instance // id of the target's incarnation; empty when unknown
	Service    Service
	Zone       Zone
	State      TargetState
	Cold       bool
	ColdRate   float64 // requests a second that the target bears while cold
	Limit      int     // requests that may run at once
	Running    int
	Queued     int
	RunTime    time.Duration // recent mean time that a request takes at the target
	Documents  int64         // end offset of the operator's documents that the node has
	UsageKnown bool          // Usage holds all customers with traffic
	Usage      []Usage
}

// Peer is a node as others find it.
type Peer struct {
	Address string // IP:port for other nodes
	Zone    Zone
	Service Service
}
