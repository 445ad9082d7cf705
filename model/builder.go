package model

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/pkg/errors"
)

// SnapshotBuilder holds decoded documents and builds snapshots from them. A change of a
// document decodes only that document and copies at most one map. In a large fleet,
// decoding all 40,000 documents for each of 13,000 changes a day would take too much
// of a node's CPU time. A SnapshotBuilder must not be used by several threads
// concurrently.
type SnapshotBuilder struct {
	current   Snapshot
	unshared  map[string]bool // names of the maps that no snapshot shares, so that they may be modified
	withdrawn map[KeyHash]bool
}

// Keys of SnapshotBuilder.unshared for the maps of members and groups. The other maps
// are named by their kind of document.
const (
	membersMap = "members"
	groupsMap  = "groups"
)

// NewSnapshotBuilder returns an empty SnapshotBuilder.
func NewSnapshotBuilder() *SnapshotBuilder {
	b := &SnapshotBuilder{unshared: make(map[string]bool), withdrawn: make(map[KeyHash]bool)}
	b.current = Snapshot{
		Services:      make(map[Service]*ServiceConfig),
		Customers:     make(map[Customer]*CustomerConfig),
		Keys:          make(map[KeyHash]*KeyConfig),
		Zones:         make(map[Zone]AvailabilityConfig),
		Targets:       make(map[Instance]AvailabilityConfig),
		Members:       make(map[Service][]Member),
		Groups:        make(map[GroupKey][]GroupRecord),
		sheddingRanks: make(map[Class]int),
	}
	return b
}

// Build returns a snapshot of the current state. Later changes do not affect
// it.
func (b *SnapshotBuilder) Build(sequence uint64) *Snapshot {
	s := b.current
	s.Sequence = sequence
	clear(b.unshared)
	return &s
}

// SetDocument decodes and stores a document; an empty or null body deletes it. If
// decoding fails, the previous version remains in effect.
func (b *SnapshotBuilder) SetDocument(doc Document) error {
	return errors.Wrapf(b.decodeDocument(doc.Name, doc.Body), "document %s version %d", doc.Name, doc.Version)
}

// IsDeleted reports whether body is that of a deleted document, which is empty or
// null.
func IsDeleted(body json.RawMessage) bool {
	body = bytes.TrimSpace(body)
	return len(body) == 0 || bytes.Equal(body, []byte("null"))
}

func (b *SnapshotBuilder) decodeDocument(name string, body json.RawMessage) error {
	kind, object, err := SplitDocumentName(name)
	if err != nil {
		return err
	}
	s := &b.current
	switch kind {
	case KindFleet:
		return b.setFleet(body)
	case KindService:
		return setOrDelete(b, kind, &s.Services, Service(object), body, decodePointer[ServiceConfig])
	case KindCustomer:
		return setOrDelete(b, kind, &s.Customers, Customer(object), body, decodePointer[CustomerConfig])
	case KindKey:
		return b.setKey(object, body)
	case KindZone:
		return setOrDelete(b, kind, &s.Zones, Zone(object), body, decodeValue[AvailabilityConfig])
	case KindTarget:
		return setOrDelete(b, kind, &s.Targets, Instance(object), body, decodeValue[AvailabilityConfig])
	default:
		return errors.Errorf("unknown document kind %q", kind)
	}
}

func (b *SnapshotBuilder) setFleet(body json.RawMessage) error {
	var fleet FleetConfig
	if !IsDeleted(body) {
		if err := json.Unmarshal(body, &fleet); err != nil {
			return err
		}
	}
	ranks := make(map[Class]int, len(fleet.Classes))
	for rank, class := range fleet.Classes {
		ranks[class] = rank
	}
	b.current.Fleet, b.current.sheddingRanks = fleet, ranks
	return nil
}

func (b *SnapshotBuilder) setKey(object string, body json.RawMessage) error {
	hash, err := ParseKeyHash(object)
	if err != nil {
		return err
	}
	decode := func(body json.RawMessage) (*KeyConfig, error) {
		c, err := decodePointer[KeyConfig](body)
		if err == nil && b.withdrawn[hash] {
			c.Withdrawn = true
		}
		return c, err
	}
	return setOrDelete(b, KindKey, &b.current.Keys, hash, body, decode)
}

// Withdraw marks a key as withdrawn. This overrides the current and all later
// versions of the key's document.
func (b *SnapshotBuilder) Withdraw(hash KeyHash) {
	b.withdrawn[hash] = true
	key := b.current.Keys[hash]
	if key == nil || key.Withdrawn {
		return
	}
	cloneIfShared(b, KindKey, &b.current.Keys)
	b.current.Keys[hash] = &KeyConfig{Customer: key.Customer, Withdrawn: true}
}

// SetMembers replaces the members of a service.
func (b *SnapshotBuilder) SetMembers(s Service, members []Member) {
	cloneIfShared(b, membersMap, &b.current.Members)
	b.current.Members[s] = members
}

// SetGroup replaces the known epochs of a quorum group. They must be in
// ascending order.
func (b *SnapshotBuilder) SetGroup(k GroupKey, epochs []GroupRecord) {
	cloneIfShared(b, groupsMap, &b.current.Groups)
	b.current.Groups[k] = epochs
}

// cloneIfShared replaces a map that a snapshot shares with a copy, which may be modified.
func cloneIfShared[K comparable, V any](b *SnapshotBuilder, mapName string, m *map[K]V) {
	if !b.unshared[mapName] {
		*m = maps.Clone(*m)
		b.unshared[mapName] = true
	}
}

func setOrDelete[K comparable, V any](b *SnapshotBuilder, mapName string, documents *map[K]V, key K, body json.RawMessage, decode func(json.RawMessage) (V, error)) error {
	if IsDeleted(body) {
		cloneIfShared(b, mapName, documents)
		delete(*documents, key)
		return nil
	}
	v, err := decode(body)
	if err != nil {
		return err
	}
	cloneIfShared(b, mapName, documents)
	(*documents)[key] = v
	return nil
}

func decodePointer[T any](body json.RawMessage) (*T, error) {
	v := new(T)
	return v, json.Unmarshal(body, v)
}

func decodeValue[T any](body json.RawMessage) (T, error) {
	var v T
	err := json.Unmarshal(body, &v)
	return v, err
}

// Service returns the current configuration of a service, or nil.
func (b *SnapshotBuilder) Service(s Service) *ServiceConfig { return b.current.Services[s] }

// Zones returns the availability zones and their regions. They come from the
// documents of zones or, if there are none, from the members.
func (b *SnapshotBuilder) Zones() map[Zone]Region {
	out := make(map[Zone]Region)
	for zone, config := range b.current.Zones {
		out[zone] = config.Region
	}
	if len(out) > 0 {
		return out
	}
	for _, members := range b.current.Members {
		for _, m := range members {
			out[m.Zone] = m.Region
		}
	}
	return out
}
