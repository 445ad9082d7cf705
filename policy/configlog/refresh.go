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
	// refreshAgeFraction is the fraction of the retention after which a
	// document's newest record is appended again.
	refreshAgeFraction = 0.6
	// uncertainAgeFraction is the same for a node whose copy of the document is
	// uncertain: nodes with a certain copy append first.
	uncertainAgeFraction = 0.8
	// refreshWindowFraction is the fraction of the retention over which the
	// nodes' delays are spread. After uncertainAgeFraction and this window a
	// tenth of the retention is left for an outage of the log.
	refreshWindowFraction = 0.1
	// refreshSteepness shapes the delays, see appendDelayFraction: of up to
	// exp(refreshSteepness) nodes, about 160,000 for 12, usually only a few are
	// due early. The design size is 19,000.
	refreshSteepness = 12
	// maxRefreshDocuments and maxRefreshBytes bound one refresh record.
	maxRefreshDocuments = 200
	maxRefreshBytes     = 128 << 10
)

// appendDelayFraction returns a node's delay before it appends a document, a
// group's composition or a withdrawal, as a fraction of the window, from the
// rendezvous hash of both. The delays are distributed exponentially with most
// nodes near the end of the window: whatever the number of nodes, only a few are
// early, and the others see the first append before theirs is due. A node needs
// no knowledge of other nodes for this.
func appendDelayFraction(self model.Instance, name string) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(self))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(name)
	uniform := float64(h.Sum64()) / math.MaxUint64
	return math.Log1p(uniform*math.Expm1(refreshSteepness)) / refreshSteepness
}

// refreshDueAt returns when this node is due to append the document again.
func (d *document) refreshDueAt(retention time.Duration) time.Time {
	ageFraction := refreshAgeFraction
	if d.uncertain {
		ageFraction = uncertainAgeFraction
	}
	fraction := ageFraction + refreshWindowFraction*d.delayFraction
	return d.appendedAt.Add(time.Duration(fraction * float64(retention)))
}

// TakeRefreshDue returns the documents that this node appends again now, and the
// time of the next check. It counts them as appended at once. When one document
// is due, other documents with old records are returned with it, so that
// documents published together are refreshed with few records.
func (c *Configuration) TakeRefreshDue(now time.Time, retention time.Duration) ([]model.Document, time.Time) {
	if retention <= 0 {
		return nil, time.Time{}
	}
	var next time.Time
	first := ""
	for name, d := range c.documents {
		due := d.refreshDueAt(retention)
		if !due.After(now) {
			if first == "" || name < first {
				first = name
			}
			continue
		}
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	if first == "" {
		return nil, next
	}
	return c.refreshBatch(now, retention, first), now
}

// refreshBatch takes the due document and the old ones that follow it by name,
// wrapping around. Nodes that start at different documents overlap little.
func (c *Configuration) refreshBatch(now time.Time, retention time.Duration, first string) []model.Document {
	cutoff := now.Add(-time.Duration(refreshAgeFraction * float64(retention)))
	var names []string
	for name, d := range c.documents {
		if !d.uncertain && !d.appendedAt.After(cutoff) || name == first {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	start, _ := slices.BinarySearchFunc(names, first, cmp.Compare[string])
	var out []model.Document
	size := 0
	for i := range names {
		d := c.documents[names[(start+i)%len(names)]]
		size += len(d.doc.Body) + len(d.doc.Name)
		if len(out) > 0 && (size > maxRefreshBytes || len(out) == maxRefreshDocuments) {
			break
		}
		d.appendedAt = now // this node does not append it again before it is old again
		out = append(out, d.doc)
	}
	return out
}
