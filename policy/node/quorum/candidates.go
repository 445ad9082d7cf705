package quorum

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderworks/oleanderworks/model"
)

// GroupSize is the number of members of a group, if there are enough nodes.
const GroupSize = 3

// rankCandidates returns the region's nodes that may become members of the
// group, in order of their rendezvous hash with the group. Nodes whose zone or
// target is out of service are left out; those that are members already remain
// members while they answer.
func rankCandidates(s *model.Snapshot, key model.GroupKey) []model.Member {
	var out []model.Member
	for _, members := range s.Members {
		for _, m := range members {
			if m.Region == key.Region && !s.Zones[m.Zone].OutOfService && !s.Targets[m.Instance].OutOfService {
				out = append(out, m)
			}
		}
	}
	prefix := strconv.Itoa(key.Group) + "/"
	hashes := make(map[model.Instance]uint64, len(out))
	for _, m := range out {
		hashes[m.Instance] = xxhash.Sum64String(prefix + string(m.Instance))
	}
	slices.SortFunc(out, func(a, b model.Member) int {
		return cmp.Or(cmp.Compare(hashes[b.Instance], hashes[a.Instance]), cmp.Compare(a.Instance, b.Instance))
	})
	return out
}

// chooseMembers picks up to GroupSize members. It takes the preferred nodes
// before other candidates, and a second member of an availability zone only
// when no other zone is left.
func chooseMembers(preferred, candidates []model.Member) []model.Member {
	var chosen []model.Member
	zones := make(map[model.Zone]bool)
	pick := func(from []model.Member, newZoneOnly bool) {
		for _, m := range from {
			if len(chosen) == GroupSize || containsInstance(chosen, m.Instance) || newZoneOnly && zones[m.Zone] {
				continue
			}
			zones[m.Zone] = true
			chosen = append(chosen, m)
		}
	}
	pick(preferred, true)
	pick(candidates, true)
	pick(preferred, false)
	pick(candidates, false)
	return chosen
}

func containsInstance(members []model.Member, i model.Instance) bool {
	return slices.ContainsFunc(members, func(m model.Member) bool { return m.Instance == i })
}

// countMembersAndZones returns the number of members and of their distinct
// availability zones.
func countMembersAndZones(members []model.Member) (size, zones int) {
	distinct := make(map[model.Zone]bool)
	for _, m := range members {
		distinct[m.Zone] = true
	}
	return len(members), len(distinct)
}
