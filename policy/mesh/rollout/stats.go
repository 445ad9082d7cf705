package rollout

import (
	"maps"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// windowInterval and windowLength give the recent counts, in which a version shows that
	// has become bad after many good responses: those of the last two seconds.
	windowInterval = 250 * time.Millisecond
	maxWindows     = 8
	minWindows     = 2
	// slowFactor is the multiple of the old versions' mean run time on a route from which on
	// a response counts as slow. Targets of one service differ in speed by up to three, and
	// some run two and a half times slower for a moment.
	slowFactor = 3
	// minReference is the number of old responses on a route that give a mean run time.
	minReference = 20
	// maxReporters and maxRoutes bound what peers can make a node keep for an order.
	maxReporters = 4096
	maxRoutes    = 512
)

// side is a route and a side of the rollout.
type side struct {
	route string
	isNew bool
}

type counts map[side]model.RolloutCounts

// statistics sums up the responses of all nodes since an order.
type statistics struct {
	own     counts
	unsent  map[side]bool // sides of own that have changed since the last report
	byNode  map[model.NodeID]counts
	total   counts // of all nodes
	windows []counts
	length  int       // number of windows that make up the recent counts
	savedAt time.Time // when the last window began
}

func newStatistics(windows int) statistics {
	return statistics{length: windows, own: make(counts), unsent: make(map[side]bool), byNode: make(map[model.NodeID]counts), total: make(counts)}
}

// Response is the end of a call that counts for its target's version.
type Response struct {
	Service model.Service
	Version string
	Route   string
	Failed  bool
	Cut     bool          // the call ended without a response
	Time    time.Duration // for which the call ran
}

func (s *statistics) add(r Response, isNew bool) {
	key := side{route: r.Route, isNew: isNew}
	if _, known := s.own[key]; !known && len(s.own) >= maxRoutes {
		return
	}
	change := model.RolloutCounts{Responses: 1}
	switch {
	case r.Failed:
		change.Failed = 1
	default:
		change.Time = r.Time
		if s.isSlow(r) {
			change.Slow = 1
		}
	}
	s.own[key] = sum(s.own[key], change)
	s.total[key] = sum(s.total[key], change)
	s.unsent[key] = true
}

// isSlow compares a response with the mean of the old versions on its route.
func (s *statistics) isSlow(r Response) bool {
	reference := s.total[side{route: r.Route}]
	succeeded := reference.Responses - reference.Failed
	if succeeded < minReference {
		return false
	}
	return r.Time > slowFactor*reference.Time/time.Duration(succeeded)
}

// merge takes a peer's counts. Sums that are lower than known ones are older and ignored.
func (s *statistics) merge(node model.NodeID, list []model.RouteCounts) {
	known := s.byNode[node]
	if known == nil {
		if len(s.byNode) >= maxReporters {
			return
		}
		known = make(counts)
		s.byNode[node] = known
	}
	for _, c := range list {
		key := side{route: c.Route, isNew: c.New}
		before, present := known[key]
		_, summed := s.total[key]
		if c.Responses < before.Responses || c.Failed < before.Failed || c.Slow < before.Slow || c.Time < before.Time ||
			!present && (len(known) >= maxRoutes || !summed && len(s.total) >= maxRoutes) {
			continue
		}
		known[key] = c.RolloutCounts
		s.total[key] = sum(s.total[key], difference(c.RolloutCounts, before))
	}
}

// takeUnsent returns and clears the counts that have changed since the last report.
func (s *statistics) takeUnsent() []model.RouteCounts {
	out := make([]model.RouteCounts, 0, len(s.unsent))
	for key := range s.unsent {
		out = append(out, model.RouteCounts{Route: key.route, New: key.isNew, RolloutCounts: s.own[key]})
	}
	clear(s.unsent)
	return out
}

// list returns all of the node's own counts.
func (s *statistics) list() []model.RouteCounts {
	out := make([]model.RouteCounts, 0, len(s.own))
	for key, c := range s.own {
		out = append(out, model.RouteCounts{Route: key.route, New: key.isNew, RolloutCounts: c})
	}
	return out
}

// saveWindow keeps the sums of now, to be subtracted from later ones.
func (s *statistics) saveWindow(now time.Time) {
	if !s.savedAt.IsZero() && now.Sub(s.savedAt) < windowInterval {
		return
	}
	s.savedAt = now
	s.windows = append(s.windows, maps.Clone(s.total))
	if len(s.windows) > s.length+1 {
		s.windows = s.windows[1:]
	}
}

// recent returns the counts since the oldest window.
func (s *statistics) recent() counts {
	if len(s.windows) == 0 {
		return s.total
	}
	out := make(counts, len(s.total))
	for key, c := range s.total {
		out[key] = difference(c, s.windows[0][key])
	}
	return out
}

// requests returns the responses of both sides, and of the new one.
func (c counts) requests() (all, onNew uint64) {
	for key, n := range c {
		all += n.Responses
		if key.isNew {
			onNew += n.Responses
		}
	}
	return all, onNew
}

// rate returns the recent responses per second.
func (s *statistics) rate(now time.Time) float64 {
	elapsed := now.Sub(s.savedAt) + time.Duration(max(len(s.windows)-1, 0))*windowInterval
	if len(s.windows) == 0 || elapsed <= 0 {
		return 0
	}
	all, _ := s.recent().requests()
	return float64(all) / elapsed.Seconds()
}

func sum(a, b model.RolloutCounts) model.RolloutCounts {
	return model.RolloutCounts{Responses: a.Responses + b.Responses, Failed: a.Failed + b.Failed, Slow: a.Slow + b.Slow, Time: a.Time + b.Time}
}

func difference(a, b model.RolloutCounts) model.RolloutCounts {
	return model.RolloutCounts{Responses: a.Responses - b.Responses, Failed: a.Failed - b.Failed, Slow: a.Slow - b.Slow, Time: a.Time - b.Time}
}
