package model

import "strings"

// Snapshot is an immutable view of the configuration and the members known
// to a node. Duties pass it by pointer and never change it.
type Snapshot struct {
	Sequence  uint64 // grows with each snapshot of one node
	Fleet     FleetConfig
	Services  map[Service]*ServiceConfig
	Customers map[Customer]*CustomerConfig
	Keys      map[KeyHash]*KeyConfig
	Zones     map[Zone]SwitchConfig
	Targets   map[Instance]SwitchConfig
	Members   map[Service][]Member
	Groups    map[GroupKey][]GroupRecord // epochs in ascending order

	ranks map[Class]int
}

// GroupKey identifies a quorum group.
type GroupKey struct {
	Region Region
	Group  int
}

// NewSnapshot decodes documents into a snapshot. The error names the
// document that does not decode.
func NewSnapshot(sequence uint64, documents map[string]Document) (*Snapshot, error) {
	b := NewBuilder()
	for _, doc := range documents {
		if err := b.Set(doc); err != nil {
			return nil, err
		}
	}
	return b.Build(sequence), nil
}

// Rank returns the place of a class in the shedding order: 0 is shed first.
// An unknown class is shed first.
func (s *Snapshot) Rank(c Class) int { return s.ranks[c] }

// Route returns the route of a service with the longest prefix that matches,
// or nil.
func (c *ServiceConfig) Route(method, path string) *Route {
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

// CustomerOf returns the customer whose key has the hash. It reports false
// for an unknown or withdrawn key.
func (s *Snapshot) CustomerOf(hash KeyHash) (*CustomerConfig, bool) {
	key := s.Keys[hash]
	if key == nil || key.Withdrawn {
		return nil, false
	}
	customer := s.Customers[key.Customer]
	return customer, customer != nil
}
