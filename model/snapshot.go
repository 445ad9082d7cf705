package model

import "strings"

// Snapshot is an immutable view of the configuration and of the members known
// to a node. Duties share it by pointer and never modify it.
type Snapshot struct {
	Sequence  uint64 // increases with each snapshot of one node
	Fleet     FleetConfig
	Services  map[Service]*ServiceConfig
	Customers map[Customer]*CustomerConfig
	Keys      map[KeyHash]*KeyConfig
	Zones     map[Zone]AvailabilityConfig
	Targets   map[Instance]AvailabilityConfig
	Members   map[Service][]Member
	Groups    map[GroupKey][]GroupRecord // epochs in ascending order

	sheddingRanks map[Class]int // positions in the shedding order
}

// GroupKey identifies a quorum group.
type GroupKey struct {
	Region Region
	Group  int
}

// NewSnapshot decodes documents into a snapshot. The error names the
// document that cannot be decoded.
func NewSnapshot(sequence uint64, documents map[string]Document) (*Snapshot, error) {
	b := NewSnapshotBuilder()
	for _, doc := range documents {
		if err := b.SetDocument(doc); err != nil {
			return nil, err
		}
	}
	return b.Build(sequence), nil
}

// SheddingRank returns the position of a class in the shedding order. Rank 0 is
// shed first; an unknown class has rank 0.
func (s *Snapshot) SheddingRank(c Class) int { return s.sheddingRanks[c] }

// MatchRoute returns the route that matches the method and has the longest
// matching path prefix, or nil.
func (c *ServiceConfig) MatchRoute(method, path string) *Route {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Method != "" && r.Method != method {
			continue
		}
		if !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}

// CustomerOf returns the customer that holds the key with the given hash. It
// reports false if the key is unknown or withdrawn, or its customer is unknown.
func (s *Snapshot) CustomerOf(hash KeyHash) (*CustomerConfig, bool) {
	key := s.Keys[hash]
	if key == nil || key.Withdrawn {
		return nil, false
	}
	customer := s.Customers[key.Customer]
	return customer, customer != nil
}
