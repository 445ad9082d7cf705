package model

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/pkg/errors"
)

// Builder keeps documents in decoded form and builds snapshots from them. A
// change decodes one document and copies one map: decoding 40,000 documents
// for each of 13,000 changes a day would exceed a node's share of processor
// time. It is owned by one thread.
type Builder struct {
	current   Snapshot
	owned     map[string]bool // maps that no snapshot shares
	withdrawn map[KeyHash]bool
}

// Names of the maps that snapshots share, besides the kinds of documents.
const (
	ownedMembers = "members"
	ownedGroups  = "groups"
)

// NewBuilder returns a builder without documents.
func NewBuilder() *Builder {
	b := &Builder{owned: make(map[string]bool), withdrawn: make(map[KeyHash]bool)}
	b.current = Snapshot{
		Services:  make(map[Service]*ServiceConfig),
		Customers: make(map[Customer]*CustomerConfig),
		Keys:      make(map[KeyHash]*KeyConfig),
		Zones:     make(map[Zone]SwitchConfig),
		Targets:   make(map[Instance]SwitchConfig),
		Members:   make(map[Service][]Member),
		Groups:    make(map[GroupKey][]GroupRecord),
		ranks:     make(map[Class]int),
	}
	return b
}

// Build returns a snapshot of the current state. Later changes leave it as it
// is.
func (b *Builder) Build(sequence uint64) *Snapshot {
	s := b.current
	s.Sequence = sequence
	clear(b.owned)
	return &s
}

// Set decodes a document; an empty body or null deletes it. On an error the
// decoded form of the version before stays.
func (b *Builder) Set(doc Document) error {
	return errors.Wrapf(b.set(doc.Name, doc.Body), "document %s version %d", doc.Name, doc.Version)
}

// IsDeleted reports whether the body of a document says that it is deleted.
func IsDeleted(body json.RawMessage) bool {
	body = bytes.TrimSpace(body)
	return len(body) == 0 || bytes.Equal(body, []byte("null"))
}

func (b *Builder) set(name string, body json.RawMessage) error {
	kind, object, err := SplitDocumentName(name)
	if err != nil {
		return err
	}
	s := &b.current
	switch kind {
	case KindFleet:
		return b.setFleet(body)
	case KindService:
		return put(b, kind, &s.Services, Service(object), body, pointer[ServiceConfig])
	case KindCustomer:
		return put(b, kind, &s.Customers, Customer(object), body, pointer[CustomerConfig])
	case KindKey:
		return b.setKey(object, body)
	case KindZone:
		return put(b, kind, &s.Zones, Zone(object), body, value[SwitchConfig])
	case KindTarget:
		return put(b, kind, &s.Targets, Instance(object), body, value[SwitchConfig])
	default:
		return errors.Errorf("unknown kind %q", kind)
	}
}

func (b *Builder) setFleet(body json.RawMessage) error {
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
	b.current.Fleet, b.current.ranks = fleet, ranks
	return nil
}

func (b *Builder) setKey(object string, body json.RawMessage) error {
	hash, err := ParseKeyHash(object)
	if err != nil {
		return err
	}
	decode := func(body json.RawMessage) (*KeyConfig, error) {
		c, err := pointer[KeyConfig](body)
		if err == nil && b.withdrawn[hash] {
			c.Withdrawn = true
		}
		return c, err
	}
	return put(b, KindKey, &b.current.Keys, hash, body, decode)
}

// Withdraw marks a key as withdrawn, whatever its document says now or later.
func (b *Builder) Withdraw(hash KeyHash) {
	b.withdrawn[hash] = true
	key := b.current.Keys[hash]
	if key == nil || key.Withdrawn {
		return
	}
	own(b, KindKey, &b.current.Keys)
	b.current.Keys[hash] = &KeyConfig{Customer: key.Customer, Withdrawn: true}
}

// SetMembers replaces the members of a service.
func (b *Builder) SetMembers(s Service, members []Member) {
	own(b, ownedMembers, &b.current.Members)
	b.current.Members[s] = members
}

// SetGroup replaces the known epochs of a quorum group, in ascending order.
func (b *Builder) SetGroup(k GroupKey, epochs []GroupRecord) {
	own(b, ownedGroups, &b.current.Groups)
	b.current.Groups[k] = epochs
}

// own copies a map that a snapshot shares, before the first change to it.
func own[K comparable, V any](b *Builder, name string, m *map[K]V) {
	if !b.owned[name] {
		*m = maps.Clone(*m)
		b.owned[name] = true
	}
}

func put[K comparable, V any](b *Builder, kind string, m *map[K]V, key K, body json.RawMessage, decode func(json.RawMessage) (V, error)) error {
	if IsDeleted(body) {
		own(b, kind, m)
		delete(*m, key)
		return nil
	}
	v, err := decode(body)
	if err != nil {
		return err
	}
	own(b, kind, m)
	(*m)[key] = v
	return nil
}

func pointer[T any](body json.RawMessage) (*T, error) {
	v := new(T)
	return v, json.Unmarshal(body, v)
}

func value[T any](body json.RawMessage) (T, error) {
	var v T
	err := json.Unmarshal(body, &v)
	return v, err
}

// Service returns the current configuration of a service, or nil.
func (b *Builder) Service(s Service) *ServiceConfig { return b.current.Services[s] }

// Zones returns the availability zones that the documents or, without such
// documents, the members name, with their regions.
func (b *Builder) Zones() map[Zone]Region {
	out := make(map[Zone]Region)
	for zone, s := range b.current.Zones {
		out[zone] = s.Region
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
