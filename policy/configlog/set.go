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

// DocumentSet returns all documents, sorted by name.
func (c *Configuration) DocumentSet(now time.Time) DocumentSet {
	out := DocumentSet{Position: c.next, Gap: c.gap, Total: len(c.documents)}
	out.Documents = make([]DocumentSetEntry, 0, len(c.documents))
	for _, d := range c.documents {
		age := max(now.Sub(d.appendedAt), 0)
		out.Documents = append(out.Documents, DocumentSetEntry{Document: d.doc, Uncertain: d.uncertain, Age: age})
	}
	slices.SortFunc(out.Documents, func(a, b DocumentSetEntry) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// ShouldAdopt reports whether a peer's document set is useful: it is ahead of
// this node, or it closes this node's gap.
func (c *Configuration) ShouldAdopt(position logservice.Offset, gap bool) bool {
	return position > c.next || c.gap && !gap && position == c.next
}

// Adopt merges a complete document set. A document with a lower version than
// the known one is ignored. It returns false and changes nothing when the set
// is not useful, see ShouldAdopt.
func (c *Configuration) Adopt(now time.Time, set DocumentSet) bool {
	if !c.ShouldAdopt(set.Position, set.Gap) {
		return false
	}
	inSet := make(map[string]bool, len(set.Documents))
	for _, d := range set.Documents {
		inSet[d.Name] = true
		c.adoptDocument(now, d)
	}
	if !set.Gap {
		c.dropUncertain(inSet)
	}
	c.next, c.gap = set.Position, set.Gap
	return true
}

func (c *Configuration) adoptDocument(now time.Time, d DocumentSetEntry) {
	known := c.documents[d.Name]
	newer := known == nil || d.Version > known.doc.Version
	resolves := known != nil && d.Version == known.doc.Version && known.uncertain && !d.Uncertain
	if newer || resolves {
		c.setDocument(d.Document, d.Uncertain, now.Add(-d.Age))
	}
}

// dropUncertain drops the uncertain documents that the set does not have. The
// publications that they come from were rejected, which this node could not
// tell.
func (c *Configuration) dropUncertain(inSet map[string]bool) {
	for name, d := range c.documents {
		if d.uncertain && !inSet[name] {
			delete(c.documents, name)
			c.changed = append(c.changed, name)
		}
	}
}
