package poison

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/core/timers"
)

// The tables of the nodes are lost if all nodes end at once. The log therefore has a record
// of each refused request, which is read by the nodes that start. Requests that are only
// suspected are not recorded: a crash makes hundreds of them.

const (
	// minTakeoverDelay and maxTakeoverDelay bound the random time after which a node writes
	// what another node should have written. They are long compared to the time in which the
	// nodes read a new record, so that few of them write it.
	minTakeoverDelay = 3 * time.Second
	maxTakeoverDelay = 33 * time.Second
	// minRetryDelay and maxRetryDelay bound the random time after which the node that
	// should write tries again.
	minRetryDelay = 2 * time.Second
	maxRetryDelay = 4 * time.Second
	// loadedRecordAge is the least age of a crash of which a node learns when it loads the
	// log, since the time that the record was there is not known. What a peer knows of the
	// time since then holds.
	loadedRecordAge = suspicionLifetime / 2
)

// Record is what the log has of a request.
type Record struct {
	Fingerprint uint64
	Refused     bool          // false deletes the record
	Age         time.Duration // time since the latest crash when it was written
}

// Events of the state chart poison_record, in the chart's order.
const (
	eventQuarantined chart.EventID = iota
	eventReleased
	eventFound
	eventMissing
	eventWriteDue
)

// Archive decides when the node writes or deletes the log's record of a refused request. It
// is not safe for concurrent use.
type Archive struct {
	rng     *rand.Rand
	machine *chart.Machine[*archivedRequest]
	records map[uint64]*archivedRequest
	due     *timers.Queue[uint64]
	writes  []Record
}

type archivedRequest struct {
	archive     *Archive
	fingerprint uint64
	state       chart.StateID
	now         time.Time // time of the current step
	own         bool      // this node's target was the cause of the latest change
	tried       bool      // the node has tried to write the latest change
	lastCrashAt time.Time
}

// NewArchive returns an archive that knows no records.
func NewArchive(rng *rand.Rand) *Archive {
	return &Archive{
		rng: rng,
		machine: chart.MustCompile(charts.MustRead("poison_record"), chart.Binding[*archivedRequest]{
			States: []string{"absent", "unsaved", "saved", "obsolete", "removed"},
			Events: []string{"quarantined", "released", "found", "missing", "write_due"},
			Guards: map[string]func(*archivedRequest) bool{},
			Actions: map[string]func(*archivedRequest){
				"schedule_write": (*archivedRequest).scheduleWrite,
				"cancel_write":   func(r *archivedRequest) { r.archive.due.Remove(r.fingerprint) },
				"write":          func(r *archivedRequest) { r.write(true) },
				"erase":          func(r *archivedRequest) { r.write(false) },
			},
		}),
		records: make(map[uint64]*archivedRequest),
		due:     timers.New[uint64](),
	}
}

func (a *Archive) step(now time.Time, r *archivedRequest, e chart.EventID) {
	r.now = now
	r.state = a.machine.Step(r, r.state, e)
	if a.machine.Final(r.state) || r.state == a.machine.Initial() {
		delete(a.records, r.fingerprint)
	}
}

func (a *Archive) record(fingerprint uint64) *archivedRequest {
	r := a.records[fingerprint]
	if r == nil {
		r = &archivedRequest{archive: a, fingerprint: fingerprint, state: a.machine.Initial()}
		a.records[fingerprint] = r
	}
	return r
}

// OnChange handles a request that the node refuses from now on, or no longer refuses. own
// tells that a call at the node's own target was the cause.
func (a *Archive) OnChange(now time.Time, c Change, own bool) {
	r := a.record(c.Fingerprint)
	r.own, r.tried = own, false
	if c.Refused {
		r.lastCrashAt = c.At
		a.step(now, r, eventQuarantined)
	} else {
		a.step(now, r, eventReleased)
	}
}

// OnRecord handles a record that the log has or, if it is not refused, a deletion. The
// table must have handled it before.
func (a *Archive) OnRecord(now time.Time, record Record) {
	if record.Refused {
		a.step(now, a.record(record.Fingerprint), eventFound)
	} else {
		a.step(now, a.record(record.Fingerprint), eventMissing)
	}
}

// OnLoaded handles the complete list of the log's records, after OnRecord was called for
// each. Others are missing.
func (a *Archive) OnLoaded(now time.Time, records []Record) {
	present := make(map[uint64]bool, len(records))
	for _, record := range records {
		present[record.Fingerprint] = true
	}
	for fingerprint, r := range a.records {
		if !present[fingerprint] {
			a.step(now, r, eventMissing)
		}
	}
}

// Tick runs the timers that are due and returns the time of the next one, or zero if there
// is none.
func (a *Archive) Tick(now time.Time) time.Time {
	for {
		fingerprint, due := a.due.PopDue(now)
		if !due {
			return a.due.NextDue()
		}
		if r := a.records[fingerprint]; r != nil {
			a.step(now, r, eventWriteDue)
		}
	}
}

// TakeWrites returns and clears the records that the node must write to the log. OnRecord
// must be called for each that was written; the others are written again later.
func (a *Archive) TakeWrites() []Record {
	writes := a.writes
	a.writes = nil
	return writes
}

func (r *archivedRequest) scheduleWrite() {
	var delay time.Duration
	switch {
	case r.own && !r.tried:
	case r.own:
		delay = r.archive.randomDelay(minRetryDelay, maxRetryDelay)
	default:
		delay = r.archive.randomDelay(minTakeoverDelay, maxTakeoverDelay)
	}
	r.archive.due.Set(r.fingerprint, r.now.Add(delay))
}

func (a *Archive) randomDelay(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(a.rng.Float64()*float64(longest-shortest))
}

func (r *archivedRequest) write(refused bool) {
	r.tried = true
	record := Record{Fingerprint: r.fingerprint, Refused: refused}
	if refused {
		record.Age = r.now.Sub(r.lastCrashAt)
	}
	r.archive.writes = append(r.archive.writes, record)
}
