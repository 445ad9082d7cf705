package configlog

import (
	"slices"
	"strings"
	"time"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

// DocumentSetEntry is one document of a document set.
type DocumentSetEntry struct {
	model.Document
	Uncertain bool
	Age       time.Duration // of its newest record
}

// DocumentSet holds all documents as of a position, or a part of them. The
// receiver requests the parts one after the other, so that at most one part is
// in flight to it.
type DocumentSet struct {
	Position  logservice.Offset  // every record before it is in the set
	Gap       bool               // the sender misses records itself
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

// ShouldAdopt reports whether a peer's document set is useful: it is ahead of
// this node, or it closes this node's gap.
func (s *State) ShouldAdopt(position logservice.Offset, gap bool) bool {
	return position > s.next || s.gap && !gap && position == s.next
}

// Adopt merges a complete document set. A document with a lower version than
// the known one is ignored. It returns false and changes nothing when the set
// is not useful, see ShouldAdopt.
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

// dropUncertain drops the uncertain documents that the set does not have. The
// publications that they come from were rejected, which this node could not
// tell.
func (s *State) dropUncertain(inSet map[string]bool) {
	for name, d := range s.documents {
		if d.uncertain && !inSet[name] {
			delete(s.documents, name)
			s.changed = append(s.changed, name)
		}
	}
}
