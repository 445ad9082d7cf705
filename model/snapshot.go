package model

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

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
	s := &Snapshot{
		Sequence:  sequence,
		Services:  make(map[Service]*ServiceConfig),
		Customers: make(map[Customer]*CustomerConfig),
		Keys:      make(map[KeyHash]*KeyConfig),
		Zones:     make(map[Zone]SwitchConfig),
		Targets:   make(map[Instance]SwitchConfig),
		Members:   make(map[Service][]Member),
		Groups:    make(map[GroupKey][]GroupRecord),
		ranks:     make(map[Class]int),
	}
	for name, doc := range documents {
		if len(doc.Body) == 0 || string(doc.Body) == "null" {
			continue
		}
		if err := s.decode(name, doc.Body); err != nil {
			return nil, errors.Wrapf(err, "document %s version %d", name, doc.Version)
		}
	}
	for rank, class := range s.Fleet.Classes {
		s.ranks[class] = rank
	}
	return s, nil
}

func (s *Snapshot) decode(name string, body json.RawMessage) error {
	kind, object, err := SplitDocumentName(name)
	if err != nil {
		return err
	}
	switch kind {
	case KindFleet:
		return json.Unmarshal(body, &s.Fleet)
	case KindService:
		s.Services[Service(object)] = new(ServiceConfig)
		return json.Unmarshal(body, s.Services[Service(object)])
	case KindCustomer:
		s.Customers[Customer(object)] = new(CustomerConfig)
		return json.Unmarshal(body, s.Customers[Customer(object)])
	case KindKey:
		return s.decodeKey(object, body)
	case KindZone:
		return decodeSwitch(s.Zones, Zone(object), body)
	case KindTarget:
		return decodeSwitch(s.Targets, Instance(object), body)
	default:
		return errors.Errorf("unknown kind %q", kind)
	}
}

func (s *Snapshot) decodeKey(object string, body json.RawMessage) error {
	hash, err := ParseKeyHash(object)
	if err != nil {
		return err
	}
	s.Keys[hash] = new(KeyConfig)
	return json.Unmarshal(body, s.Keys[hash])
}

func decodeSwitch[K comparable](m map[K]SwitchConfig, key K, body json.RawMessage) error {
	var c SwitchConfig
	err := json.Unmarshal(body, &c)
	m[key] = c
	return err
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
