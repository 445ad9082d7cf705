package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

// criterion is how clearly the new version must be worse than the old ones.
type criterion struct {
	minBad       float64 // failed responses; of slow ones it takes twice as many
	minDeviation float64 // deviation from the expectation, in standard deviations
	// minFailures and minSlow are the fractions by which a version's failed or slow
	// responses must exceed those of the old versions.
	minFailures, minSlow float64
}

var (
	// clearlyWorse is for the counts since the order. A target's malfunction makes many bad
	// responses at once, so that the deviation must be larger than chance alone needs.
	clearlyWorse = criterion{minBad: 5, minDeviation: 5, minFailures: 0.05, minSlow: 0.18}
	// recentlyWorse is for the counts of the last two seconds, in which a target that is
	// slower than others may have run 2.5 times slower still for 600 ms.
	recentlyWorse = criterion{minBad: 5, minDeviation: 5, minFailures: 0.05, minSlow: 0.35}
	// probablyWorse is for the counts before the move: a version of which little is known
	// is not given all calls on a suspicion.
	probablyWorse = criterion{minBad: 3, minDeviation: 3, minFailures: 0.05, minSlow: 0.18}
	// probablyWorseLately is the same for the counts of the last two seconds.
	probablyWorseLately = criterion{minBad: 3, minDeviation: 3, minFailures: 0.1, minSlow: 0.3}
)

const (
	// fewTargetsMinSlow is minSlow for responses of one or two targets, which may be slower
	// than the others and have a slow moment. It falls by minSlowDecay for each second since
	// the order, since the canary share goes to other targets, down to that of clearlyWorse.
	fewTargetsMinSlow = 0.4
	minSlowDecay      = 0.05
)

// since returns the criterion for the counts of some time since the order.
func (c criterion) since(age time.Duration) criterion {
	c.minSlow = max(c.minSlow, fewTargetsMinSlow-minSlowDecay*age.Seconds())
	return c
}

// leastExpected is the least fraction of bad responses that is expected of any version.
const leastExpected = 0.01

// judge compares the new version with the old ones, route by route and on all routes
// together, and returns how it is worse, or "" if it is not.
func judge(c counts, by criterion) string {
	if detail := judgeBy(c, by, "fails", by.minFailures, func(n model.RolloutCounts) uint64 { return n.Failed }); detail != "" {
		return detail
	}
	by.minBad *= 2
	return judgeBy(c, by, "is slow", by.minSlow, func(n model.RolloutCounts) uint64 { return n.Slow })
}

func judgeBy(c counts, by criterion, what string, minExcess float64, bad func(model.RolloutCounts) uint64) string {
	var all comparison
	for key, n := range c {
		if !key.isNew || n.Responses == 0 {
			continue
		}
		old := c[side{route: key.route}]
		one := compare(n, old, bad)
		if one.worse(by, minExcess) {
			return fmt.Sprintf("%s on route %s: %d of %d responses, %d of %d on the old versions", what, key.route,
				bad(n), n.Responses, bad(old), old.Responses)
		}
		all.add(one)
	}
	if all.worse(by, minExcess) {
		return fmt.Sprintf("%s: %.0f of %.0f responses, %.1f expected", what, all.bad, all.responses, all.expected)
	}
	return ""
}

// comparison is the number of bad responses beside the one expected by the old versions.
type comparison struct{ responses, bad, expected, variance float64 }

func compare(n, old model.RolloutCounts, bad func(model.RolloutCounts) uint64) comparison {
	const priorResponses = 20 // good responses that the old versions are given in advance
	oldResponses := float64(old.Responses) + priorResponses
	p := min(max(float64(bad(old))/oldResponses, leastExpected), 1)
	responses := float64(n.Responses)
	return comparison{
		responses: responses,
		bad:       float64(bad(n)),
		expected:  p * responses,
		variance:  responses * p * (1 - p) * (1 + responses/oldResponses),
	}
}

func (c *comparison) add(d comparison) {
	c.responses += d.responses
	c.bad += d.bad
	c.expected += d.expected
	c.variance += d.variance
}

func (c comparison) worse(by criterion, minExcess float64) bool {
	excess := c.bad - c.expected
	return c.bad >= by.minBad && excess > minExcess*c.responses && excess > by.minDeviation*math.Sqrt(c.variance)
}
