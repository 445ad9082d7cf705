package model

import "cmp"

// LogPosition is a place in a stream of the log. A log that is restored from a backup
// begins a new era, in which it gives out the offsets after the backup again. Offsets of
// different eras therefore cannot be compared.
type LogPosition struct {
	Era    uint64 // rises by one with each restore; 0 if the log states none
	Offset int64
}

// Compare returns a negative number if p is before q, 0 if they are equal, and a positive
// number otherwise.
func (p LogPosition) Compare(q LogPosition) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset))
}

// Before reports whether p is before q.
func (p LogPosition) Before(q LogPosition) bool { return p.Compare(q) < 0 }

// DocumentsState states which of the operator's documents a node has.
type DocumentsState struct {
	End LogPosition // up to which the node has read the documents
	// Version is the version of the node's configuration, which may be newer than the
	// log up to End if the log was restored. It is 0 if the node has none, if the log
	// states no eras, and while the node waits for its peers' documents.
	Version uint64
}

// Incomplete reports whether the node may lack documents that its peers retain.
func (s DocumentsState) Incomplete() bool { return s.End.Era > 0 && s.Version == 0 }

// Lacks reports whether a peer has documents that the node does not have.
func (s DocumentsState) Lacks(peer DocumentsState) bool {
	return s.End.Before(peer.End) || s.Version < peer.Version
}
