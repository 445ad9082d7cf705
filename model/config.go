package model

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kinds of documents. A document's name is "<kind>/<object>".
const (
	KindService  = "service"
	KindCustomer = "customer"
	KindKey      = "key"
	KindZone     = "zone"
	KindTarget   = "target"
	KindFleet    = "fleet"
)

// FleetDocument is the name of the one document with fleet-wide settings.
const FleetDocument = KindFleet + "/settings"

// DocumentName returns the name of the document of an object.
func DocumentName(kind, object string) string { return kind + "/" + object }

// FleetConfig holds settings of the whole fleet.
type FleetConfig struct {
	// Classes in shedding order: the first is shed first.
	Classes []Class `json:"classes"`
	// Groups is the number of quorum groups in each region.
	Groups int `json:"groups"`
	// RetryBudget is the number of extra executions that nodes may cause for
	// one original request, over the whole chain.
	RetryBudget int `json:"retry_budget"`
}

// Route describes the calls that match a method and a path prefix.
type Route struct {
	Method     string   `json:"method"` // empty matches every method
	Prefix     string   `json:"prefix"`
	Class      Class    `json:"class"`
	Open       bool     `json:"open"`       // needs no key
	Idempotent bool     `json:"idempotent"` // may run more than once
	Timeout    Duration `json:"timeout"`    // default limit for a call
}

// ServiceConfig describes a service and what each of its targets bears.
type ServiceConfig struct {
	Name        Service   `json:"name"`
	Slots       int       `json:"slots"`       // calls that one target runs at once
	Connections int       `json:"connections"` // connections that one target accepts
	ColdFloor   int       `json:"cold_floor"`  // slots that a target in cold start bears
	RampTime    Duration  `json:"ramp_time"`   // from the floor to all slots
	Routes      []Route   `json:"routes"`
	Calls       []Service `json:"calls"` // services that its targets call
}

// CustomerConfig is a customer's part of the fleet.
type CustomerConfig struct {
	Name   Customer `json:"name"`
	Rate   float64  `json:"rate"`   // requests a second, over the whole fleet
	Burst  float64  `json:"burst"`  // requests
	Weight float64  `json:"weight"` // part under overload; 1 by default
	Home   Region   `json:"home"`   // region of its quorum group
	Owner  string   `json:"owner"`  // contact; empty for an ownerless customer
}

// KeyConfig binds a key to its customer. Withdrawal is final.
type KeyConfig struct {
	Customer  Customer `json:"customer"`
	Withdrawn bool     `json:"withdrawn"`
}

// SwitchConfig takes an availability zone or a target out of service.
type SwitchConfig struct {
	Out    bool   `json:"out"`
	Region Region `json:"region,omitempty"` // availability zones only
}

// Duration is a time.Duration that is written as text, such as "1.5s".
type Duration time.Duration

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads the duration from text.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Wrap(err, "duration")
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	*d = Duration(value)
	return nil
}

// Document is one versioned unit of configuration.
type Document struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"` // 1 for the first
	Body    json.RawMessage `json:"body"`    // null when deleted
}

// Amendment changes one document from the version it was made from.
type Amendment struct {
	Document string          `json:"document"`
	Base     uint64          `json:"base"` // 0 when the document must not exist
	Body     json.RawMessage `json:"body"` // null deletes
}

// Publication is one record of the stream of configurations. It is accepted
// only if every amendment's base is the current version at its place in the
// log.
type Publication struct {
	ID         string      `json:"id"` // UUID; a second copy is skipped
	Author     string      `json:"author,omitempty"`
	Time       time.Time   `json:"time"`
	Amendments []Amendment `json:"amendments,omitempty"`
	// Refresh repeats accepted documents, so that they outlive the retention
	// of the log. It changes nothing for a node that has them.
	Refresh []Document `json:"refresh,omitempty"`
	// Withdraw lists hashes of keys, in hexadecimal. A withdrawal has no base
	// version: it only adds to a set, so that it cannot conflict.
	Withdraw []string `json:"withdraw,omitempty"`
}

// Member is a target that has announced itself through its node.
type Member struct {
	NodeID
	Service     Service `json:"service"`
	Zone        Zone    `json:"zone"`
	Region      Region  `json:"region"`
	PeerAddress string  `json:"peer_address"` // IP:port for other nodes
}

// MemberRecord is one record of a stream of members.
type MemberRecord struct {
	ID     string    `json:"id"`
	Time   time.Time `json:"time"`
	Leave  bool      `json:"leave,omitempty"`
	Member Member    `json:"member"`
	// Reporter is the instance that appended a leave on another's behalf.
	Reporter Instance `json:"reporter,omitempty"`
}

// GroupRecord is one composition of a quorum group. The first record with a
// given epoch wins.
type GroupRecord struct {
	ID      string    `json:"id"`
	Region  Region    `json:"region"`
	Group   int       `json:"group"`
	Epoch   uint64    `json:"epoch"`
	Members []Member  `json:"members"`
	From    time.Time `json:"from"`   // ids from this time on belong to the epoch
	Sealed  bool      `json:"sealed"` // a majority of the epoch before sealed it
	// LeaseWait is how long, after reading the record, a member waits before
	// it promises a lease: leases of the epoch before have lapsed by then.
	LeaseWait Duration `json:"lease_wait,omitempty"`
	// Refresh repeats a record that was accepted before, so that it outlives
	// the retention of the log.
	Refresh bool `json:"refresh,omitempty"`
}

// Names of the streams of the log service.
const ConfigStream = "config"

// MemberStream returns the stream with the members of a service.
func MemberStream(s Service) string { return "members." + string(s) }

// GroupStream returns the stream with the quorum groups of a region.
func GroupStream(r Region) string { return "groups." + string(r) }

// SplitDocumentName returns the kind and the object of a document.
func SplitDocumentName(name string) (kind, object string, err error) {
	kind, object, ok := strings.Cut(name, "/")
	if !ok || kind == "" || object == "" {
		return "", "", fmt.Errorf("document name %q: want kind/object", name)
	}
	return kind, object, nil
}
