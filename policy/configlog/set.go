package configlog

import (
	"slices"
	"strings"
	"time"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

// DocumentSetEntry is one document of a set.
type DocumentSetEntry struct {
	model.Document
	Uncertain bool
	Age       time.Duration // of its newest record
}

// DocumentSet is a part of all documents as of a position. Parts are asked for one
// after the other, so that a receiver never has more than one on its way.
type DocumentSet struct {
	Position  logservice.Offset  // every record before it is in the set
	Gap       bool               // the sender missed records itself
	From      int                // index of the first document of this part
	Total     int                // documents of the whole set
	Documents []DocumentSetEntry // sorted by name
}

// Export returns all documents, sorted by name.
func (s *State) Export(now time.Time) DocumentSet {
	out := DocumentSet{Position: s.next, Gap: s.gap, Total: len(s.documents)}
	out.Documents = make([]DocumentSetEntry, 0, len(s.documents))
	for _, d := range s.documents {
		age := max(now.Sub(d.appendedAt), 0)
		out.Documents = append(out.Documents, DocumentSetEntry{Document: d.doc, Uncertain: d.uncertain, Age: age})
	}
	slices.SortFunc(out.Documents, func(a, b DocumentSetEntry) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// ShouldAdopt reports whether a peer's set at a position is of use: it is ahead, or
// it closes the gap of this node.
func (s *State) ShouldAdopt(position logservice.Offset, gap bool) bool {
	return position > s.next || s.gap && !gap && position == s.next
}

// Adopt merges a whole set, document by document: a lower version than the
// known one is ignored. It reports false and changes nothing when the set is
// of no use.
func (s *State) Adopt(now time.Time, set DocumentSet) bool {
	if !s.ShouldAdopt(set.Position, set.Gap) {
		return false
	}
	inSet := make(map[string]bool, len(set.Documents))
	for _, d := range set.Documents {
		inSet[d.Name] = true
		s.adoptDocument(now, d)
	}
	if !set.Gap {
		s.dropUncertain(inSet)
	}
	s.next, s.gap = set.Position, set.Gap
	return true
}

func (s *State) adoptDocument(now time.Time, d DocumentSetEntry) {
	known := s.documents[d.Name]
	newer := known == nil || d.Version > known.doc.Version
	resolves := known != nil && d.Version == known.doc.Version && known.uncertain && !d.Uncertain
	if newer || resolves {
		s.setDocument(d.Document, d.Uncertain, now.Add(-d.Age))
	}
}

// dropUncertain drops the documents that rest on records whose outcome this
// node could not know, and that the set does not have.
func (s *State) dropUncertain(inSet map[string]bool) {
	for name, d := range s.documents {
		if d.uncertain && !inSet[name] {
			delete(s.documents, name)
			s.changed = append(s.changed, name)
		}
	}
}
