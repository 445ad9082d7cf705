// Package quorum manages quorum groups. A region has a configured number of
// groups. A group consists of a few nodes, its members, which vote on claims of
// requests and on the lease of the group's token buckets. Each epoch of a group
// has its own members, which are recorded in the log as its composition. Before
// a new composition starts, a majority of the previous members is sealed: they
// accept no request ids generated at or after the seal time, and promise no
// more leases. If a majority is lost, an unsealed composition starts after the
// grace period in which the previous members may still vote.
//
// The package proposes compositions, maps customers and requests to groups and
// epochs, and holds this node's own state as a voter.
package quorum

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderworks/oleanderworks/model"
)

// Directory maps customers and requests to groups and epochs, based on one
// snapshot of the configuration. All nodes that have read the same log records
// get the same results.
type Directory struct {
	region   model.Region
	snapshot *model.Snapshot
}

// NewDirectory returns a directory of a snapshot. Customers without a
// configured home region belong to region.
func NewDirectory(region model.Region, s *model.Snapshot) *Directory {
	return &Directory{region: region, snapshot: s}
}

// Customer returns the configuration of a customer, or nil.
func (d *Directory) Customer(c model.Customer) *model.CustomerConfig {
	if d.snapshot == nil {
		return nil
	}
	return d.snapshot.Customers[c]
}

// GroupCount returns the number of groups in each region, at least 1.
func (d *Directory) GroupCount() int {
	if d.snapshot == nil {
		return 1
	}
	return max(d.snapshot.Fleet.Groups, 1)
}

// RateGroup returns the group whose grantor limits the customer's rate.
func (d *Directory) RateGroup(c model.Customer) model.GroupKey {
	return d.groupFor(c, xxhash.Sum64String(string(c)))
}

// RecordGroup returns the group that keeps the record of a request.
func (d *Directory) RecordGroup(c model.Customer, id model.RequestID) model.GroupKey {
	h := xxhash.New()
	_, _ = h.WriteString(string(c))
	_, _ = h.Write(id[:])
	return d.groupFor(c, h.Sum64())
}

func (d *Directory) groupFor(c model.Customer, key uint64) model.GroupKey {
	return model.GroupKey{Region: d.homeRegion(c), Group: rendezvous(key, d.GroupCount())}
}

func (d *Directory) homeRegion(c model.Customer) model.Region {
	if config := d.Customer(c); config != nil && config.Home != "" {
		return config.Home
	}
	return d.region
}

// rendezvous returns the number below n that has the highest hash together
// with key (rendezvous hashing). If n grows, only the keys that map to one of
// the new numbers move.
func rendezvous(key uint64, n int) int {
	var best uint64
	winner := 0
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], key)
	for i := range n {
		binary.LittleEndian.PutUint64(buf[8:], uint64(i))
		if h := xxhash.Sum64(buf[:]); i == 0 || h > best {
			best, winner = h, i
		}
	}
	return winner
}

// Compositions returns the compositions of a group in ascending order of epoch.
func (d *Directory) Compositions(key model.GroupKey) []model.GroupRecord {
	if d.snapshot == nil {
		return nil
	}
	return d.snapshot.Groups[key]
}

// CompositionAt returns the composition to which an id generated at t belongs:
// the one that starts last at or before t. It returns nil if t is before all of
// them.
func (d *Directory) CompositionAt(key model.GroupKey, t time.Time) *model.GroupRecord {
	compositions := d.Compositions(key)
	for i := len(compositions) - 1; i >= 0; i-- {
		if !compositions[i].From.After(t) {
			return &compositions[i]
		}
	}
	return nil
}

// LatestComposition returns the composition with the highest epoch, or nil.
func (d *Directory) LatestComposition(key model.GroupKey) *model.GroupRecord {
	compositions := d.Compositions(key)
	if len(compositions) == 0 {
		return nil
	}
	return &compositions[len(compositions)-1]
}

// LeaseComposition returns the composition whose members promise the group's
// lease at now. It is the latest one, unless an unsealed composition may not
// have leases yet: members of the one before it may still promise theirs.
func (d *Directory) LeaseComposition(key model.GroupKey, now time.Time) *model.GroupRecord {
	var found *model.GroupRecord
	compositions := d.Compositions(key)
	for i := range compositions {
		if i > 0 && leaseStart(&compositions[i]).After(now) {
			break
		}
		found = &compositions[i]
	}
	return found
}

// leaseStart returns the time from which a composition may have leases. For a
// sealed composition it is the zero time: its own members wait (LeaseWait)
// until the earlier promises have expired. Members of the composition before
// an unsealed one may promise leases for LeaseGracePeriod after their last
// contact to the log. The unsealed one starts UnsealedStartDelay, which is
// IDGracePeriod + clockAllowance, after its proposal, so the time returned is
// LeaseGracePeriod + clockAllowance after the proposal.
func leaseStart(r *model.GroupRecord) time.Time {
	if r.Sealed {
		return time.Time{}
	}
	return r.From.Add(LeaseGracePeriod - IDGracePeriod)
}

// Majority returns the number of votes that is a majority of n members.
func Majority(n int) int { return n/2 + 1 }
