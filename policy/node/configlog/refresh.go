package configlog

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// refreshAgeFraction is the age of a document's newest record, as a fraction
	// of the retention, from which on nodes append the document again.
	refreshAgeFraction = 0.6
	// uncertainRefreshAgeFraction replaces refreshAgeFraction on a node whose copy
	// of the document is uncertain, so that nodes with a certain copy append
	// first.
	uncertainRefreshAgeFraction = 0.8
	// refreshWindowFraction is the fraction of the retention over which the
	// nodes' delays are spread. After uncertainRefreshAgeFraction and this window
	// a tenth of the retention is left for an outage of the log.
	refreshWindowFraction = 0.1
	// delaySteepness shapes the distribution of delays, see appendDelayFraction.
	// As long as there are fewer than exp(delaySteepness) nodes, about 160,000 for
	// 12, usually only a few of them have a short delay. The design size is 19,000.
	delaySteepness = 12
	// maxRefreshDocuments and maxRefreshBytes limit the size of a refresh record.
	maxRefreshDocuments = 200
	maxRefreshBytes     = 128 << 10
)

// appendDelayFraction returns a node's delay before it appends a document, a
// group's composition or a withdrawal, as a fraction of the time window. The
// delay follows from a hash of the node and the name, without knowledge of other
// nodes. Delays are distributed exponentially, with most of them near the end of
// the window, so that few nodes append early whatever the number of nodes, and
// the others see the first append before their own is due.
func appendDelayFraction(self model.Instance, name string) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(self))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(name)
	uniform := float64(h.Sum64()) / math.MaxUint64
	return math.Log1p(uniform*math.Expm1(delaySteepness)) / delaySteepness
}

// refreshDueAt returns when this node must append the document again.
func (d *document) refreshDueAt(retention time.Duration) time.Time {
	ageFraction := refreshAgeFraction
	if d.uncertain {
		ageFraction = uncertainRefreshAgeFraction
	}
	fraction := ageFraction + refreshWindowFraction*d.delayFraction
	return d.appendedAt.Add(time.Duration(fraction * float64(retention)))
}

// TakeRefreshDue returns the documents that this node must append again now, and
// sets their append time to now. It also returns when to check next, or the zero
// time if there is nothing to check. If a document is due, others with old records
// are returned with it, so that documents published together are refreshed with few
// records.
func (c *Configuration) TakeRefreshDue(now time.Time, retention time.Duration) ([]model.Document, time.Time) {
	if retention <= 0 {
		return nil, time.Time{}
	}
	var next time.Time
	firstDue := ""
	for name, d := range c.documents {
		due := d.refreshDueAt(retention)
		if !due.After(now) {
			if firstDue == "" || name < firstDue {
				firstDue = name
			}
			continue
		}
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	if firstDue == "" {
		return nil, next
	}
	return c.refreshBatch(now, retention, firstDue), now
}

// refreshBatch returns the document firstDue and the documents with old records that
// follow it in order of names, wrapping around at the end. It leaves out other
// documents that are uncertain. Nodes with different due documents thus refresh
// mostly different documents.
func (c *Configuration) refreshBatch(now time.Time, retention time.Duration, firstDue string) []model.Document {
	cutoff := now.Add(-time.Duration(refreshAgeFraction * float64(retention)))
	var names []string
	for name, d := range c.documents {
		if !d.uncertain && !d.appendedAt.After(cutoff) || name == firstDue {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	startIndex, _ := slices.BinarySearchFunc(names, firstDue, cmp.Compare[string])
	var out []model.Document
	size := 0
	for i := range names {
		d := c.documents[names[(startIndex+i)%len(names)]]
		size += len(d.doc.Body) + len(d.doc.Name)
		if len(out) > 0 && (size > maxRefreshBytes || len(out) == maxRefreshDocuments) {
			break
		}
		d.appendedAt = now // prevents this node from appending it twice
		out = append(out, d.doc)
	}
	return out
}
