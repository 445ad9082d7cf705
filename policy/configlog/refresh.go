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
	// refreshAge is the part of the retention after which a document's newest
	// record is appended again.
	refreshAgeFraction = 0.6
	// uncertainAge is the same for a document that only a node with a gap
	// knows: the nodes that are sure of theirs go first.
	uncertainAgeFraction = 0.8
	// refreshWindow is the part of the retention over which the nodes' delays
	// are spread. With uncertainAge it leaves a tenth for an outage.
	refreshWindowFraction = 0.1
	// refreshSteepness shapes the delays, see refreshDelay. exp(12) is 160,000
	// nodes, above the target of 19,000.
	refreshSteepness = 12
	// maxRefreshDocuments and maxRefreshBytes bound one refresh record.
	maxRefreshDocuments = 200
	maxRefreshBytes     = 128 << 10
)

// refreshDelay is a node's delay for a document, as a part of the window, from
// the rendezvous hash of both. Its distribution is exponential, with most
// nodes near the end: whatever the number of nodes, only a few are early, so
// that the first append is seen before the others are due. A node needs to
// know no other node for this.
func refreshDelayFraction(self model.Instance, name string) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(self))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(name)
	uniform := float64(h.Sum64()) / math.MaxUint64
	return math.Log1p(uniform*math.Expm1(refreshSteepness)) / refreshSteepness
}

// dueAt returns when this node appends the document again.
func (d *document) refreshDueAt(retention time.Duration) time.Time {
	ageFraction := refreshAgeFraction
	if d.uncertain {
		ageFraction = uncertainAgeFraction
	}
	fraction := ageFraction + refreshWindowFraction*d.delayFraction
	return d.appendedAt.Add(time.Duration(fraction * float64(retention)))
}

// RefreshDue returns documents that this node appends now, and the time of
// the next look. When one document is due, others whose record is as old go
// with it, so that documents published together are refreshed by few records.
func (s *State) RefreshDue(now time.Time, retention time.Duration) ([]model.Document, time.Time) {
	if retention <= 0 {
		return nil, time.Time{}
	}
	var next time.Time
	first := ""
	for name, d := range s.documents {
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
	return s.refreshBatch(now, retention, first), now
}

// refreshBatch takes the due document and the old ones that follow it by
// name. Nodes that start at different documents repeat little of each other.
func (s *State) refreshBatch(now time.Time, retention time.Duration, first string) []model.Document {
	cutoff := now.Add(-time.Duration(refreshAgeFraction * float64(retention)))
	var names []string
	for name, d := range s.documents {
		if !d.uncertain && !d.appendedAt.After(cutoff) || name == first {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	start, _ := slices.BinarySearchFunc(names, first, cmp.Compare[string])
	var out []model.Document
	size := 0
	for i := range names {
		d := s.documents[names[(start+i)%len(names)]]
		size += len(d.doc.Body) + len(d.doc.Name)
		if len(out) > 0 && (size > maxRefreshBytes || len(out) == maxRefreshDocuments) {
			break
		}
		d.appendedAt = now // this node does not repeat it before it is old again
		out = append(out, d.doc)
	}
	return out
}
