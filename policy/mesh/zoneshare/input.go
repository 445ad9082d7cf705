package zoneshare

import (
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// Load is what a service's targets in one availability zone can bear and what is asked of
// them, from reports that are not stale.
type Load struct {
	Zone     model.Zone
	Capacity float64       // calls per second that the targets can run
	Asked    float64       // calls per second that run, wait or are turned away for lack of room
	Age      time.Duration // of the oldest report
}

// Utilization returns the fraction of the capacity that is asked for.
func (l Load) Utilization() float64 {
	if l.Capacity <= 0 {
		return 0
	}
	return l.Asked / l.Capacity
}

// Input is what a share depends on.
type Input struct {
	Own    Load
	Others []Load // zones with targets in service and reports that are not stale
	Nested bool   // the share is that of nested calls
	// Gain is the time that a call gains elsewhere less the cost of its bytes, as a
	// fraction of that cost. It is negative if the call gains less than the bytes cost.
	Gain float64
}

// Reason says why a share is what it is.
type Reason string

// Reasons of a share.
const (
	Enough       Reason = "own_zone_enough"     // the own zone bears its calls
	Full         Reason = "own_zone_full"       // the own zone's targets cannot bear what is asked of them
	Slow         Reason = "own_zone_slow"       // calls gain more time elsewhere than their bytes cost
	NoRoom       Reason = "no_room_elsewhere"   // the other zones have no spare capacity
	OwnUnknown   Reason = "own_zone_unknown"    // there are no fresh reports of the own zone
	OtherUnknown Reason = "other_zones_unknown" // there are no fresh reports of other zones
)
