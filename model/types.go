// Package model defines the data types that policies, transports and
// configuration share. It imports no transport.
package model

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Names of the objects to which the configuration refers.
type (
	// Instance names a machine that hosts one target and its node. In a mesh it
	// is the node's address, IP:port; the ids that targets announce have this type
	// too.
	Instance string
	// Zone names an availability zone.
	Zone string
	// Region names a set of availability zones.
	Region string
	// Service names a set of targets that serve the same routes.
	Service string
	// Customer names the owner of keys, a rate and a burst.
	Customer string
	// Class names a request class. Its rank comes from the configuration.
	Class string
)

// Incarnation is a random number that distinguishes the successive identities of the
// node on an instance: a node takes a new one when its process starts, when it joins
// again after a wrong removal, and when it was paused for so long that its votes are
// out of date.
type Incarnation uint64

// NodeID identifies one incarnation of the node on an instance.
type NodeID struct {
	Instance    Instance    `json:"instance"`
	Incarnation Incarnation `json:"incarnation"`
}

// RequestID identifies a non-idempotent request. It is a UUIDv7 and therefore
// carries its creation time.
type RequestID = uuid.UUID

// RequestIDTime returns the creation time of id, with a resolution of 1 ms.
func RequestIDTime(id RequestID) time.Time {
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec)
}

// KeyHash is the SHA-256 hash of a customer's key. A Snapshot holds only hashes;
// the configuration of a mesh holds the keys themselves (graph.Customer).
type KeyHash [sha256.Size]byte

// HashKey returns the hash by which key is stored and looked up.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// String returns the hash in hexadecimal.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// Short returns the first 8 hexadecimal digits, for logs.
func (h KeyHash) Short() string { return h.String()[:8] }

// ParseKeyHash parses the hexadecimal form of a hash.
func ParseKeyHash(text string) (KeyHash, error) {
	var h KeyHash
	raw, err := hex.DecodeString(text)
	if err != nil {
		return h, errors.Wrap(err, "parse key hash")
	}
	if len(raw) != len(h) {
		return h, errors.Errorf("parse key hash: %d bytes, want %d", len(raw), len(h))
	}
	copy(h[:], raw)
	return h, nil
}
