package model

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kinds of documents. The name of a document is "<kind>/<object>".
const (
	KindService  = "service"
	KindCustomer = "customer"
	KindKey      = "key"
	KindZone     = "zone"
	KindTarget   = "target"
	KindFleet    = "fleet"
)

// FleetDocument is the name of the only document of kind fleet. It holds the
// fleet-wide settings.
const FleetDocument = KindFleet + "/settings"

// DocumentName returns the name of the document of an object.
func DocumentName(kind, object string) string { return kind + "/" + object }

// FleetConfig holds settings of the whole fleet.
type FleetConfig struct {
	// Classes lists the request classes in shedding order; the first is shed first.
	Classes []Class `json:"classes"`
	// Groups is the number of quorum groups in each region.
	Groups int `json:"groups"`
	// RetryBudget is the number of additional executions that nodes may cause
	// for one original request, summed over its whole call chain.
	RetryBudget int `json:"retry_budget"`
}

// Route describes the calls that match a method and a path prefix.
type Route struct {
	Method     string   `json:"method"` // empty matches every method
	Prefix     string   `json:"prefix"`
	Class      Class    `json:"class"`
	Open       bool     `json:"open"`       // needs no key
	Idempotent bool     `json:"idempotent"` // may run more than once
	Timeout    Duration `json:"timeout"`    // default time limit of a call
}

// ServiceConfig describes a service and the capacity of each of its targets.
type ServiceConfig struct {
	Name        Service   `json:"name"`
	Slots       int       `json:"slots"`       // concurrent calls per target
	Connections int       `json:"connections"` // connections that a target accepts
	ColdFloor   int       `json:"cold_floor"`  // slots of a target at the start of its cold start phase
	RampTime    Duration  `json:"ramp_time"`   // time in which the slots rise from ColdFloor to Slots
	Routes      []Route   `json:"routes"`
	Calls       []Service `json:"calls"` // services that its targets call
}

// CustomerConfig holds the rate limit of a customer, its weight under overload, its
// home region and its owner.
type CustomerConfig struct {
	Name   Customer `json:"name"`
	Rate   float64  `json:"rate"`   // requests per second, over the whole fleet
	Burst  float64  `json:"burst"`  // requests
	Weight float64  `json:"weight"` // relative share of capacity under overload; 1 by default
	Home   Region   `json:"home"`   // region of its quorum group
	Owner  string   `json:"owner"`  // contact; empty if the customer has no owner
}

// KeyConfig assigns a key to its customer. A withdrawn key cannot be reinstated.
type KeyConfig struct {
	Customer  Customer `json:"customer"`
	Withdrawn bool     `json:"withdrawn"`
}

// AvailabilityConfig says whether an availability zone or a target is taken out
// of service. For a zone it also names the region, since the list of the fleet's
// zones is built from these documents.
type AvailabilityConfig struct {
	OutOfService bool   `json:"out"`
	Region       Region `json:"region,omitempty"` // availability zones only
}

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON encodes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes the duration from text.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Wrap(err, "decode duration")
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrap(err, "parse duration")
	}
	*d = Duration(value)
	return nil
}

// Document is one versioned part of the configuration.
type Document struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"` // starts at 1
	Body    json.RawMessage `json:"body"`    // null if the document is deleted
}

// Amendment creates, replaces or deletes a document. It applies only to the version on
// which it is based.
type Amendment struct {
	Document string          `json:"document"`
	Base     uint64          `json:"base"` // version that the change is based on; 0 if the document must not exist
	Body     json.RawMessage `json:"body"` // null deletes the document
}

// Publication is one record of the configuration stream. It is accepted only
// if the base of every amendment is the current version of its document at the
// record's position in the log.
type Publication struct {
	ID         string      `json:"id"` // UUID; further records with the same id are skipped
	Author     string      `json:"author,omitempty"`
	Time       time.Time   `json:"time"`
	Amendments []Amendment `json:"amendments,omitempty"`
	// Refresh repeats accepted documents so that they are not lost when their
	// records expire from the log. Nodes that have these versions keep them.
	Refresh []Document `json:"refresh,omitempty"`
	// Withdraw lists hashes of withdrawn keys, in hexadecimal. A withdrawal has
	// no base version: it only adds to a set and therefore cannot conflict.
	Withdraw []string `json:"withdraw,omitempty"`
}

// Member is a node that has announced itself and its target in the log.
type Member struct {
	NodeID
	Service     Service `json:"service"`
	Zone        Zone    `json:"zone"`
	Region      Region  `json:"region"`
	PeerAddress string  `json:"peer_address"` // IP:port for other nodes
}

// MemberRecord is one record of a service's member stream: a join or a leave.
type MemberRecord struct {
	ID     string    `json:"id"`
	Time   time.Time `json:"time"`
	Leave  bool      `json:"leave,omitempty"`
	Member Member    `json:"member"`
	// Reporter is the instance that appended a leave record on behalf of another
	// instance.
	Reporter Instance `json:"reporter,omitempty"`
}

// GroupRecord holds the composition of a quorum group in one epoch. If several
// records have the same epoch, the first one counts.
type GroupRecord struct {
	ID      string    `json:"id"`
	Region  Region    `json:"region"`
	Group   int       `json:"group"`
	Epoch   uint64    `json:"epoch"`
	Members []Member  `json:"members"`
	From    time.Time `json:"from"` // request ids created from this time on belong to the epoch
	// Sealed is true if a majority of the previous epoch's members have sealed that
	// epoch or have restarted: they accept no later request ids and promise no more
	// leases in it. It is also true for the first epoch.
	Sealed bool `json:"sealed"`
	// LeaseWait is how long a member waits after it has read the record before
	// it promises a lease. By then all leases of a sealed previous epoch have expired. If
	// Sealed is false, the members also request no lease until the voters of the
	// previous epoch have stopped promising theirs (quorum.Directory.LeaseComposition).
	// A lease that its holder continues from a sealed epoch is promised without this
	// wait.
	LeaseWait Duration `json:"lease_wait,omitempty"`
	// Refresh is true for the repetition of an accepted record. Records are repeated
	// so that they are not lost when they expire from the log.
	Refresh bool `json:"refresh,omitempty"`
}

// ConfigStream is the stream of the log service with the configuration.
const ConfigStream = "config"

// MemberStream returns the name of the stream with the members of a service.
func MemberStream(s Service) string { return "members." + string(s) }

// GroupStream returns the name of the stream with the quorum groups of a region.
func GroupStream(r Region) string { return "groups." + string(r) }

// SplitDocumentName splits the name of a document into its kind and object.
func SplitDocumentName(name string) (kind, object string, err error) {
	kind, object, ok := strings.Cut(name, "/")
	if !ok || kind == "" || object == "" {
		return "", "", fmt.Errorf("document name %q: want <kind>/<object>", name)
	}
	return kind, object, nil
}
