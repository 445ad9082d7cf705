package configlog

import (
	"slices"
	"strings"
	"time"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

// DocumentSetEntry is a document of a document set.
type DocumentSetEntry struct {
	model.Document
	Uncertain bool
	Age       time.Duration // of the document's newest record
}

// DocumentSet holds all documents as of an offset of the log, or a part of them.
// The receiver requests one part after the other, so that at most one is in
// flight to it.
type DocumentSet struct {
	Position  logservice.Offset  // the set has the effect of every record before this offset
	Gap       bool               // the sender's configuration has a gap
	From      int                // index of the first document of this part
	Total     int                // number of documents in the whole set
	Documents []DocumentSetEntry // sorted by name
}

// DocumentSet returns all documents, sorted by name.
func (c *Configuration) DocumentSet(now time.Time) DocumentSet {
	out := DocumentSet{Position: c.nextOffset, Gap: c.gap, Total: len(c.documents)}
	out.Documents = make([]DocumentSetEntry, 0, len(c.documents))
	for _, d := range c.documents {
		age := max(now.Sub(d.appendedAt), 0)
		out.Documents = append(out.Documents, DocumentSetEntry{Document: d.doc, Uncertain: d.uncertain, Age: age})
	}
	slices.SortFunc(out.Documents, func(a, b DocumentSetEntry) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// ShouldAdopt reports whether a peer's document set is more recent than this
// configuration or closes its gap.
func (c *Configuration) ShouldAdopt(position logservice.Offset, gap bool) bool {
	return position > c.nextOffset || c.gap && !gap && position == c.nextOffset
}

// Adopt merges a peer's complete document set into the configuration and moves
// the next offset to its position. It ignores documents with a lower version
// than the known one. If ShouldAdopt is false for the set, Adopt returns false
// and changes nothing.
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
	c.nextOffset, c.gap = set.Position, set.Gap
	return true
}

func (c *Configuration) adoptDocument(now time.Time, d DocumentSetEntry) {
	known := c.documents[d.Name]
	newer := known == nil || d.Version > known.doc.Version
	confirms := known != nil && d.Version == known.doc.Version && known.uncertain && !d.Uncertain
	if newer || confirms {
		c.setDocument(d.Document, d.Uncertain, now.Add(-d.Age))
	}
}

// dropUncertain drops the uncertain documents that are not in the set. They come
// from publications that were rejected, but that this node accepted because it
// missed records.
func (c *Configuration) dropUncertain(inSet map[string]bool) {
	for name, d := range c.documents {
		if d.uncertain && !inSet[name] {
			delete(c.documents, name)
			c.changedNames = append(c.changedNames, name)
		}
	}
}
