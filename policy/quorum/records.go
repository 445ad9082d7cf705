package quorum

import "github.com/oleanderworks/oleanderworks/model"

// AppendRecord adds a record of the log to the compositions of its group and
// reports whether it counts. The first record with the next epoch wins; later
// ones with the same epoch, and such that start before their predecessor, are
// skipped by every node alike. The first record that a node reads counts with
// any epoch, since earlier ones may have expired.
func AppendRecord(epochs []model.GroupRecord, r model.GroupRecord) ([]model.GroupRecord, bool) {
	if len(r.Members) == 0 || len(r.Members) > GroupSize || r.Epoch == 0 {
		return epochs, false
	}
	if n := len(epochs); n > 0 {
		last := &epochs[n-1]
		if r.Epoch != last.Epoch+1 || r.From.Before(last.From) {
			return epochs, false
		}
	}
	// The slice is shared with snapshots, so that it is copied to grow.
	return append(epochs[:len(epochs):len(epochs)], r), true
}
