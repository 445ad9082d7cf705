// Package configlog turns the records of the log service into the
// configuration of a node, the members of services and the quorum groups. The
// result depends only on the order of the log, so that every node accepts the
// same publications. A node that cannot reach the log gets records from its
// peers, and nodes append records again before they expire from the log.
//
// The follower duty of a node runs a Core. Tools that publish need only
// Configuration.
//
// Limits and benchmarks refer to the design size: 19,000 nodes, 1,700 services,
// 40,000 documents and 13,000 changes a day.
package configlog

import (
	"encoding/json"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

// Verdict is the result of applying a publication.
type Verdict uint8

// Verdicts on a publication.
const (
	Accepted Verdict = iota
	// Conflict means that the publication was rejected because an amendment's base
	// is not the current version or is the highest possible one, because two
	// amendments change the same document, or because one changes a withdrawn key.
	Conflict
	Duplicate  // a record with the same id was applied earlier
	Malformed  // the record cannot be decoded
	Superseded // a refresh or withdrawal that changes nothing
)

// String returns the verdict as it is shown to operators.
func (v Verdict) String() string {
	names := [...]string{"accepted", "conflict", "duplicate", "malformed", "superseded"}
	return names[v]
}

// Outcome is the verdict on the publication in a record, with the cause of a
// conflict.
type Outcome struct {
	Verdict     Verdict
	Publication model.Publication
	// Document and Current are set for a conflict. They are the name of the first
	// document in conflict and its current version.
	Document string
	Current  uint64
}

// document is a known document. It is uncertain if this node missed records
// that may have changed it, until a refresh or a peer's document set confirms
// or replaces it.
type document struct {
	doc           model.Document
	uncertain     bool
	appendedAt    time.Time // append time of its newest record, or the later time at which this node requested a refresh; on this node's clock
	delayFraction float64   // this node's refresh delay as a fraction of the refresh window
}

// Configuration holds the documents in force as of an offset of the log. It is
// not safe for concurrent use.
type Configuration struct {
	self         model.Instance
	documents    map[string]*document
	seen         seenIDs
	nextOffset   logservice.Offset
	gap          bool // records before nextOffset were missed, and neither a peer's document set nor CloseGap has ended the gap
	changedNames []string
	checker      *invariant.Checker
}

// NewConfiguration returns an empty configuration for a node. The checker may be
// nil.
func NewConfiguration(self model.Instance, checker *invariant.Checker) *Configuration {
	return &Configuration{
		self:      self,
		documents: make(map[string]*document),
		seen:      newSeenIDs(),
		checker:   checker,
	}
}

// NextOffset returns the offset of the next record to apply.
func (c *Configuration) NextOffset() logservice.Offset { return c.nextOffset }

// Gap reports whether the configuration may lack the effect of records before
// NextOffset that expired unread.
func (c *Configuration) Gap() bool { return c.gap }

// Len returns the number of documents, deleted ones included.
func (c *Configuration) Len() int { return len(c.documents) }

// Document returns a document, with version 0 if it is unknown.
func (c *Configuration) Document(name string) model.Document {
	if d := c.documents[name]; d != nil {
		return d.doc
	}
	return model.Document{Name: name}
}

// Documents returns a new map of the current documents.
func (c *Configuration) Documents() map[string]model.Document {
	out := make(map[string]model.Document, len(c.documents))
	for name, d := range c.documents {
		out[name] = d.doc
	}
	return out
}

// TakeChanged returns the names of the documents that changed since the last
// call. A name may occur more than once.
func (c *Configuration) TakeChanged() []string {
	out := c.changedNames
	c.changedNames = nil
	return out
}

// SkipTo handles the expiry of all records before oldest. If this node missed
// some of them, it moves the next offset to oldest, marks every document as
// uncertain and returns true.
func (c *Configuration) SkipTo(oldest logservice.Offset) bool {
	c.seen.expire(oldest)
	if oldest <= c.nextOffset {
		return false
	}
	c.nextOffset = oldest
	c.gap = true
	for _, d := range c.documents {
		d.uncertain = true
	}
	return true
}

// CloseGap ends the gap. The caller must first follow the log for one retention
// period, in which other nodes append every document in force again.
func (c *Configuration) CloseGap() { c.gap = false }

// Apply applies a record. Records must come in log order. appendedAt is the time
// of the append on this node's clock. An error means that the record is malformed
// and was skipped.
func (c *Configuration) Apply(r logservice.Record, appendedAt time.Time) (Outcome, error) {
	var out Outcome
	c.nextOffset = r.Offset + 1
	if err := json.Unmarshal(r.Body, &out.Publication); err != nil {
		out.Verdict = Malformed
		return out, errors.Wrapf(err, "decode record at offset %d", r.Offset)
	}
	p := &out.Publication
	if !c.seen.add(p.ID, r.Offset) {
		out.Verdict = Duplicate
		return out, nil
	}
	switch {
	case len(p.Refresh) > 0:
		out.Verdict = c.applyRefresh(p.Refresh, appendedAt)
	case len(p.Withdraw) > 0:
		out.Verdict = c.withdrawKeys(p.Withdraw, appendedAt)
	default:
		c.applyAmendments(&out, appendedAt)
	}
	return out, nil
}

// applyAmendments applies all amendments of a publication, or none if one of
// them is in conflict.
func (c *Configuration) applyAmendments(out *Outcome, appendedAt time.Time) {
	amendments := out.Publication.Amendments
	uncertain := false
	amended := make(map[string]bool, len(amendments))
	for _, a := range amendments {
		matches, certain := c.matchesBase(a)
		if !matches || amended[a.Document] {
			out.Verdict = Conflict
			out.Document, out.Current = a.Document, c.Document(a.Document).Version
			return
		}
		amended[a.Document] = true
		uncertain = uncertain || !certain
	}
	out.Verdict = Accepted
	for _, a := range amendments {
		doc := model.Document{Name: a.Document, Version: a.Base + 1, Body: a.Body}
		c.setDocument(doc, uncertain, appendedAt)
	}
}

// matchesBase reports whether an amendment's base matches the current version,
// and whether that is certain. After a gap the current version may be higher
// than the known one.
func (c *Configuration) matchesBase(a model.Amendment) (matches, certain bool) {
	if a.Base == math.MaxUint64 {
		return false, true // there is no next version
	}
	d := c.documents[a.Document]
	if d == nil {
		return c.gap || a.Base == 0, !c.gap
	}
	if isWithdrawn(d.doc) {
		return false, !d.uncertain
	}
	if d.uncertain {
		return a.Base >= d.doc.Version, false
	}
	return a.Base == d.doc.Version, true
}

// applyRefresh stores refreshed documents whose version is higher than the known
// one, and confirms uncertain documents. It never lowers a version.
func (c *Configuration) applyRefresh(documents []model.Document, appendedAt time.Time) Verdict {
	verdict := Superseded
	for _, doc := range documents {
		d := c.documents[doc.Name]
		switch {
		case d == nil || doc.Version > d.doc.Version || d.uncertain && doc.Version == d.doc.Version:
			c.setDocument(doc, false, appendedAt)
			verdict = Accepted
		case doc.Version == d.doc.Version:
			d.appendedAt = appendedAt
		}
	}
	return verdict
}

// withdrawKeys marks keys as withdrawn. For an unknown key it creates a
// document, so that a later publication cannot create the key.
func (c *Configuration) withdrawKeys(hashes []string, appendedAt time.Time) Verdict {
	verdict := Superseded
	for _, hash := range hashes {
		doc := c.Document(model.DocumentName(model.KindKey, hash))
		if isWithdrawn(doc) {
			continue
		}
		var key model.KeyConfig
		if !model.IsDeleted(doc.Body) {
			_ = json.Unmarshal(doc.Body, &key) // if this fails, the withdrawn key names no customer
		}
		key.Withdrawn = true
		body, err := json.Marshal(key)
		if err != nil {
			continue
		}
		d := c.documents[doc.Name]
		uncertain := d == nil && c.gap || d != nil && d.uncertain
		c.setDocument(model.Document{Name: doc.Name, Version: doc.Version + 1, Body: body}, uncertain, appendedAt)
		verdict = Accepted
	}
	return verdict
}

// isWithdrawn reports whether a document is a withdrawn key. A withdrawal cannot
// be undone.
func isWithdrawn(doc model.Document) bool {
	kind, _, err := model.SplitDocumentName(doc.Name)
	if err != nil || kind != model.KindKey || model.IsDeleted(doc.Body) {
		return false
	}
	var key model.KeyConfig
	return json.Unmarshal(doc.Body, &key) == nil && key.Withdrawn
}

func (c *Configuration) setDocument(doc model.Document, uncertain bool, appendedAt time.Time) {
	d := c.documents[doc.Name]
	if d == nil {
		d = &document{delayFraction: appendDelayFraction(c.self, doc.Name)}
		c.documents[doc.Name] = d
	}
	c.checker.Assert(doc.Version >= d.doc.Version, "configuration never reverts",
		"document %s went from version %d to %d", doc.Name, d.doc.Version, doc.Version)
	d.doc, d.uncertain, d.appendedAt = doc, uncertain, appendedAt
	c.changedNames = append(c.changedNames, doc.Name)
}
