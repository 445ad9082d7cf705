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
	configReadWait = 4 * time.Second
	// otherWait is the same for the other streams.
	otherReadWait = 10 * time.Second
	// readRetry separates reads that failed.
	readRetryDelay = 500 * time.Millisecond
	// silenceLimit is how long after a failed or overdue read the node asks
	// its peers; startSilence is the same at start.
	silenceLimit      = 3 * time.Second
	startSilenceLimit = 500 * time.Millisecond
	// recentRecords and recentBytes bound the records kept for peers.
	maxRecentRecords = 512
	maxRecentBytes   = 256 << 10
)

// Events of the log_follower chart, in the chart's order.
const (
	eventMoreRemaining chart.EventID = iota
	eventEndReached
	eventReadFailed
	eventGap
	eventLogSilent
	eventPeerRequestDue
)

// States of the log_follower chart, in the chart's order.
const (
	stateCatchingUp chart.StateID = iota
	stateFollowing
	stateLogUnreachable
)

// track follows one stream.
type streamTracker struct {
	core        *Core
	stream      string
	state       chart.StateID
	now         time.Time
	readStarted time.Time // start of the read that is being handled
	lastContact time.Time // start of the latest read that reached the end
	knownAsOf   time.Time // the same, or later through a peer
	silentAt    time.Time // when the stream counts as silent
	readPending bool
	nextReadAt  time.Time
	retention   time.Duration

	recent      []logservice.Record
	recentFrom  logservice.Offset // position before the first recent record
	recentBytes int
}

// machine is compiled once; it holds no state.
var followerMachine = sync.OnceValue(func() *chart.Machine[*streamTracker] {
	return chart.MustCompile(charts.MustRead("log_follower"), chart.Binding[*streamTracker]{
		States: []string{"catching_up", "following", "log_unreachable"},
		Events: []string{"more_remaining", "end_reached", "read_failed", "gap", "log_silent", "peer_request_due"},
		Actions: map[string]func(*streamTracker){
			"read_next":          func(t *streamTracker) { t.nextReadAt = t.now },
			"retry_read":         func(t *streamTracker) { t.nextReadAt = t.now.Add(readRetryDelay) },
			"record_contact":     (*streamTracker).recordContact,
			"request_from_peers": func(t *streamTracker) { t.core.peerRequestWanted = true },
		},
	})
})

func (t *streamTracker) step(now time.Time, e chart.EventID) {
	t.now = now
	t.state = t.core.machine.Step(t, t.state, e)
}

// tick starts the read that is due and notices silence. It returns the time
// of the next step.
func (t *streamTracker) tick(now time.Time) time.Time {
	if !now.Before(t.silentAt) {
		t.step(now, eventLogSilent)
	}
	if t.readPending {
		return t.silentAt
	}
	if now.Before(t.nextReadAt) {
		return t.nextReadAt
	}
	t.readPending = true
	wait := t.readWait()
	if t.state != stateFollowing {
		wait = 0
	}
	t.core.emit(&ReadLog{Stream: t.stream, From: t.core.next(t.stream), Wait: wait})
	return t.silentAt
}

func (t *streamTracker) readWait() time.Duration {
	if t.stream == model.ConfigStream {
		return configReadWait
	}
	return otherReadWait
}

// heard notes a sign of life of the log.
func (t *streamTracker) logAnswered(now time.Time) { t.silentAt = now.Add(t.readWait() + silenceLimit) }

// failed notes that the log did not answer. Silence counts from the first
// failure on.
func (t *streamTracker) logFailed(now time.Time) {
	t.silentAt = earlier(t.silentAt, now.Add(silenceLimit))
}

func (t *streamTracker) recordContact() {
	t.lastContact = t.readStarted
	t.advanceKnownAsOf(t.readStarted)
}

// noteKnown notes that every record appended before at is applied.
func (t *streamTracker) advanceKnownAsOf(at time.Time) {
	if at.After(t.knownAsOf) {
		t.knownAsOf = at
	}
}

// keep remembers a record for peers that do not reach the log.
func (t *streamTracker) keepRecent(r logservice.Record) {
	t.recent = append(t.recent, r)
	t.recentBytes += len(r.Body)
	for len(t.recent) > maxRecentRecords || t.recentBytes > maxRecentBytes {
		t.recentFrom = t.recent[0].Offset + 1
		t.recentBytes -= len(t.recent[0].Body)
		t.recent[0] = logservice.Record{}
		t.recent = t.recent[1:]
	}
}

// forget empties the recent records, after a jump to a position.
func (t *streamTracker) dropRecent(position logservice.Offset) {
	t.recent, t.recentBytes, t.recentFrom = nil, 0, position
}

// since returns the records from a position on, and false when some of them
// are not kept.
func (t *streamTracker) recentSince(position logservice.Offset) ([]logservice.Record, bool) {
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
func (t *streamTracker) estimateAppendTime(now time.Time, r logservice.Record) time.Time {
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
