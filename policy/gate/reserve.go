package gate

import "math"

const (
	// shareWeight is the weight of a new sample in the usual number of running
	// calls of a priority, taken at each of its arrivals.
	shareWeight = 0.02
	// reserveFactor is the reserve for a priority, relative to its usual number
	// of running calls.
	reserveFactor = 1.3
)

// share is the use of the slots by one priority.
type share struct {
	priority int
	running  int
	usual    float64
}

// shares keeps the slots that better priorities usually need free of worse
// ones. A queue by priority alone is not enough: slots that calls of a worse
// priority hold while they wait for a saturated service come free too late.
type shares struct{ list []*share }

func (s *shares) of(priority int) *share {
	for _, h := range s.list {
		if h.priority == priority {
			return h
		}
	}
	h := &share{priority: priority}
	s.list = append(s.list, h)
	return h
}

func (s *shares) onArrival(priority int) {
	h := s.of(priority)
	h.usual += shareWeight * (float64(h.running) - h.usual)
}

// reserved returns how many slots calls of a priority must leave free.
func (s *shares) reserved(priority, limit int) int {
	usual, running := 0.0, 0
	for _, h := range s.list {
		if h.priority < priority {
			usual += h.usual
			running += h.running
		}
	}
	free := int(math.Ceil(reserveFactor*usual)) - running
	return min(max(free, 0), limit/2)
}
