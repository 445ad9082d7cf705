package configlog

import (
	"strings"
	"sync"
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// configWait is how long a read of the configuration waits for a record.
	// With 19,000 nodes it makes 4,750 reads a second without a change. A read
	// on a connection that went silent ends 3 s after it, so that a change is
	// at most some 8 s late, within the 12 s in which it must be in force.
	configWait = 4 * time.Second
	// otherWait is the same for the other streams.
	otherWait = 10 * time.Second
	// readRetry separates reads that failed.
	readRetry = 500 * time.Millisecond
	// silenceLimit is how long after a failed or overdue read the node asks
	// its peers; startSilence is the same at start.
	silenceLimit = 3 * time.Second
	startSilence = 500 * time.Millisecond
	// recentRecords and recentBytes bound the records kept for peers.
	recentRecords = 512
	recentBytes   = 256 << 10
)

// Events of the log_follower chart, in the chart's order.
const (
	eventPageMore chart.EventID = iota
	eventPageEnd
	eventReadFailed
	eventGap
	eventSilence
	eventAskDue
)

// States of the log_follower chart, in the chart's order.
const (
	stateStarting chart.StateID = iota
	stateFollowing
	stateCutOff
)

// track follows one stream.
type track struct {
	core      *Core
	stream    string
	state     chart.StateID
	now       time.Time
	started   time.Time // start of the read that is being handled
	contact   time.Time // start of the latest read that reached the end
	known     time.Time // the same, or later through a peer
	silentAt  time.Time // when the stream counts as silent
	reading   bool
	readAt    time.Time
	retention time.Duration

	recent      []logservice.Record
	recentFrom  logservice.Offset // position before the first recent record
	recentBytes int
}

// machine is compiled once; it holds no state.
var machine = sync.OnceValue(func() *chart.Machine[*track] {
	return chart.MustCompile(charts.MustRead("log_follower"), chart.Binding[*track]{
		States: []string{"starting", "following", "cut_off"},
		Events: []string{"page_more", "page_end", "read_failed", "gap", "silence", "ask_due"},
		Actions: map[string]func(*track){
			"read_next":    func(t *track) { t.readAt = t.now },
			"read_later":   func(t *track) { t.readAt = t.now.Add(readRetry) },
			"note_contact": (*track).noteContact,
			"ask_peers":    func(t *track) { t.core.askWanted = true },
		},
	})
})

func (t *track) step(now time.Time, e chart.EventID) {
	t.now = now
	t.state = t.core.machine.Step(t, t.state, e)
}

// tick starts the read that is due and notices silence. It returns the time
// of the next step.
func (t *track) tick(now time.Time) time.Time {
	if !now.Before(t.silentAt) {
		t.step(now, eventSilence)
	}
	if t.reading {
		return t.silentAt
	}
	if now.Before(t.readAt) {
		return t.readAt
	}
	t.reading = true
	wait := t.wait()
	if t.state != stateFollowing {
		wait = 0
	}
	t.core.emit(&ReadLog{Stream: t.stream, From: t.core.next(t.stream), Wait: wait})
	return t.silentAt
}

func (t *track) wait() time.Duration {
	if t.stream == model.ConfigStream {
		return configWait
	}
	return otherWait
}

// heard notes a sign of life of the log.
func (t *track) heard(now time.Time) { t.silentAt = now.Add(t.wait() + silenceLimit) }

// failed notes that the log did not answer. Silence counts from the first
// failure on.
func (t *track) failed(now time.Time) {
	t.silentAt = earlier(t.silentAt, now.Add(silenceLimit))
}

func (t *track) noteContact() {
	t.contact = t.started
	t.noteKnown(t.started)
}

// noteKnown notes that every record appended before at is applied.
func (t *track) noteKnown(at time.Time) {
	if at.After(t.known) {
		t.known = at
	}
}

// keep remembers a record for peers that do not reach the log.
func (t *track) keep(r logservice.Record) {
	t.recent = append(t.recent, r)
	t.recentBytes += len(r.Body)
	for len(t.recent) > recentRecords || t.recentBytes > recentBytes {
		t.recentFrom = t.recent[0].Offset + 1
		t.recentBytes -= len(t.recent[0].Body)
		t.recent[0] = logservice.Record{}
		t.recent = t.recent[1:]
	}
}

// forget empties the recent records, after a jump to a position.
func (t *track) forget(position logservice.Offset) {
	t.recent, t.recentBytes, t.recentFrom = nil, 0, position
}

// since returns the records from a position on, and false when some of them
// are not kept.
func (t *track) since(position logservice.Offset) ([]logservice.Record, bool) {
	if position < t.recentFrom {
		return nil, false
	}
	for i, r := range t.recent {
		if r.Offset >= position {
			return t.recent[i:], true
		}
	}
	return nil, true
}

// born estimates when a record was appended, on this node's clock. The
// log's clock is used only for records from before this node followed, and
// bounded by the retention, so that a wrong clock cannot cause a refresh of
// what was just appended.
func (t *track) born(now time.Time, r logservice.Record) time.Time {
	if t.state == stateFollowing {
		return now
	}
	age := min(max(now.Sub(r.Time), 0), t.retention)
	return now.Add(-age)
}

// service returns the service of a stream of members.
func memberService(stream string) (model.Service, bool) {
	name, ok := strings.CutPrefix(stream, model.MemberStream(""))
	return model.Service(name), ok
}
