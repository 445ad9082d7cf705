package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// freshTime is how long a version that appears beside another one without an order gets
	// only the canary share: its order may still be on its way.
	freshTime = 2 * time.Second
	// discoveryTime is the time after which a service of which no old target is known has
	// none, and after which a version that is first seen is a new one. A node that starts
	// opens its links meanwhile.
	discoveryTime = time.Second
	// unknownVersionGrace is how long a target that has not announced its version may not
	// get calls during an order. Targets announce themselves about every 1.5 s.
	unknownVersionGrace = 3 * time.Second
	// completeGuardTime is how long the old versions of a completed order get no calls.
	// Their targets stop at once.
	completeGuardTime = 10 * time.Second
)

// maxOverUsual is by how much of a usual target's load a canary target may get more: one that
// gets too much looks bad.
const maxOverUsual = 0.15

// targetInfo is what the node knows of a target.
type targetInfo struct {
	peer    model.Instance
	version string
	serving bool
	limit   int
	seenAt  time.Time // when it was first seen with its version
}

// class tells which calls a target may get.
type class uint8

const (
	classBase   class = iota // serves as usual
	classNew                 // has the ordered version
	classFresh               // appeared a moment ago, without an order
	classFormer              // the version of an order that was superseded without being complete
	classBanned              // must not get calls
)

// census holds the targets and versions of one service.
type census struct {
	targets  map[model.Instance]*targetInfo
	versions map[string]time.Time // when each version was first seen
	began    time.Time            // when the first target was seen
	running  map[string]int       // calls of this node in progress, by version
}

func newCensus() census {
	return census{
		targets:  make(map[model.Instance]*targetInfo),
		versions: make(map[string]time.Time),
		running:  make(map[string]int),
	}
}

// update takes a target's report and reports whether anything has changed that the choice
// depends on.
func (c *census) update(now time.Time, r *model.NodeReport) bool {
	if c.began.IsZero() {
		c.began = now
	}
	t := c.targets[r.Node.Instance]
	serving := r.State == model.TargetServing
	if t != nil && t.version == r.Version && t.serving == serving && t.limit == r.Limit {
		return false
	}
	if t == nil || t.version != r.Version {
		t = &targetInfo{peer: r.Node.Instance, version: r.Version, seenAt: now}
		c.targets[t.peer] = t
	}
	t.serving, t.limit = serving, r.Limit
	if _, known := c.versions[r.Version]; !known && r.Version != "" && serving {
		c.versions[r.Version] = now
	}
	return true
}

// prune forgets the versions that no target has. A version that returns is a new one.
func (c *census) prune() {
	present := make(map[string]bool)
	for _, t := range c.targets {
		present[t.version] = true
	}
	for version := range c.versions {
		if !present[version] {
			delete(c.versions, version)
		}
	}
}

// fresh reports whether a version has appeared a moment ago beside another one.
func (c *census) fresh(now time.Time, version string) bool {
	seenAt, known := c.versions[version]
	if !known || now.Sub(seenAt) >= freshTime || seenAt.Sub(c.began) < discoveryTime {
		return false
	}
	for other, otherSeenAt := range c.versions {
		if other != version && otherSeenAt.Before(seenAt) && c.serves(other) {
			return true
		}
	}
	return false
}

func (c *census) serves(version string) bool {
	for _, t := range c.targets {
		if t.serving && t.version == version {
			return true
		}
	}
	return false
}

// capacity returns the number and the total limit of the serving targets that match.
func (c *census) capacity(match func(*targetInfo) bool) (count, limit int) {
	for _, t := range c.targets {
		if t.serving && match(t) {
			count++
			limit += max(t.limit, 1)
		}
	}
	return count, limit
}

// concentrate returns the targets that get the canary share: of the serving targets that
// match, in an order given by a hash of seed, as few as it takes to give each about the
// load of one of the others, so that a version that is bad under load shows it. Each turn
// has the next targets, so that a slow one or a failing one does not stand for the version.
func (c *census) concentrate(seed string, turn int, share float64, match, base func(*targetInfo) bool) map[model.Instance]bool {
	var candidates []*targetInfo
	for _, t := range c.targets {
		if t.serving && match(t) {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b *targetInfo) int {
		return cmp.Or(cmp.Compare(hash(seed, a.peer), hash(seed, b.peer)), cmp.Compare(a.peer, b.peer))
	})
	count, limit := c.capacity(match)
	_, baseLimit := c.capacity(base)
	usual := int(math.Ceil(share*float64(baseLimit)*float64(count)/float64(limit) - maxOverUsual))
	chosen := make(map[model.Instance]bool)
	for i := range min(max(usual, 1), len(candidates)) {
		chosen[candidates[(turn*max(usual, 1)+i)%len(candidates)].peer] = true
	}
	return chosen
}

func hash(seed string, peer model.Instance) uint64 {
	return xxhash.Sum64String(seed + " " + string(peer))
}
