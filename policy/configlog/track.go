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
	// configReadWait is how long a read of the configuration stream waits for a
	// record. 19,000 nodes make 4,750 reads a second while nothing changes. On
	// a silent connection the read ends 3 s after the wait, so that a change
	// arrives at most about 8 s late, within the 12 s in which it must be in
	// force.
	configReadWait = 4 * time.Second
	// otherReadWait is the same for the other streams.
	otherReadWait = 10 * time.Second
	// readRetryDelay is the delay before a failed read is repeated.
	readRetryDelay = 500 * time.Millisecond
	// logTimeout is how long after the first failed read, or after the wait of an
	// unanswered one, the node requests records from its peers; startLogTimeout
	// is the same at start.
	logTimeout      = 3 * time.Second
	startLogTimeout = 500 * time.Millisecond
	// maxRecentRecords and maxRecentBytes bound the records of a stream that
	// are kept for peers.
	maxRecentRecords = 512
	maxRecentBytes   = 256 << 10
)

// Events of the log_follower chart, in the chart's order.
const (
	eventMoreRemaining chart.EventID = iota
	eventEndReached
	eventReadFailed
	eventGap
	eventLogTimedOut
	eventPeerRequestDue
)

// States of the log_follower chart, in the chart's order.
const (
	stateCatchingUp chart.StateID = iota
	stateFollowing
	stateLogUnreachable
)

// streamTracker holds the reading state of one stream.
type streamTracker struct {
	core           *Core
	stream         string
	state          chart.StateID
	now            time.Time
	readSentAt     time.Time // when the read whose result is being handled was sent
	lastLogContact time.Time // when the latest read that reached the end was sent
	knownAsOf      time.Time // see Position.KnownAsOf
	timeoutAt      time.Time // when the log counts as unreachable unless a read succeeds before
	readPending    bool
	nextReadAt     time.Time
	retention      time.Duration

	recent      []logservice.Record
	recentFrom  logservice.Offset // every applied record from here on is in recent
	recentBytes int
}

// followerMachine compiles the chart once. The machine holds no state of a
// stream.
var followerMachine = sync.OnceValue(func() *chart.Machine[*streamTracker] {
	return chart.MustCompile(charts.MustRead("log_follower"), chart.Binding[*streamTracker]{
		States: []string{"catching_up", "following", "log_unreachable"},
		Events: []string{"more_remaining", "end_reached", "read_failed", "gap", "log_timed_out", "peer_request_due"},
		Actions: map[string]func(*streamTracker){
			"read_next":          func(t *streamTracker) { t.nextReadAt = t.now },
			"retry_read":         func(t *streamTracker) { t.nextReadAt = t.now.Add(readRetryDelay) },
			"record_log_contact": (*streamTracker).recordLogContact,
			"request_from_peers": func(t *streamTracker) { t.core.peerRequestWanted = true },
		},
	})
})

func (t *streamTracker) step(now time.Time, e chart.EventID) {
	t.now = now
	t.state = t.core.machine.Step(t, t.state, e)
}

// tick detects a log timeout and starts the read that is due. It returns the
// time of the next tick.
func (t *streamTracker) tick(now time.Time) time.Time {
	if !now.Before(t.timeoutAt) {
		t.step(now, eventLogTimedOut)
	}
	if t.readPending {
		return t.timeoutAt
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
	return t.timeoutAt
}

// readWait returns how long the log service may hold a read open.
func (t *streamTracker) readWait() time.Duration {
	if t.stream == model.ConfigStream {
		return configReadWait
	}
	return otherReadWait
}

// logAnswered restarts the log timeout after a successful read.
func (t *streamTracker) logAnswered(now time.Time) { t.timeoutAt = now.Add(t.readWait() + logTimeout) }

// logFailed shortens the log timeout after a failed read. It counts from the
// first failure on.
func (t *streamTracker) logFailed(now time.Time) {
	t.timeoutAt = earlier(t.timeoutAt, now.Add(logTimeout))
}

func (t *streamTracker) recordLogContact() {
	t.lastLogContact = t.readSentAt
	t.advanceKnownAsOf(t.readSentAt)
}

// advanceKnownAsOf records that every record appended before at is applied.
func (t *streamTracker) advanceKnownAsOf(at time.Time) {
	if at.After(t.knownAsOf) {
		t.knownAsOf = at
	}
}

// keepRecent keeps a record for peers that cannot reach the log.
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

// dropRecent drops the recent records after a jump to a position.
func (t *streamTracker) dropRecent(position logservice.Offset) {
	t.recent, t.recentBytes, t.recentFrom = nil, 0, position
}

// recentSince returns the records from a position on, or false when some of
// them are no longer kept.
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

// estimateAppendTime estimates when a record was appended, on this node's
// clock. The log's timestamp is used only while the node does not follow the
// log, and the age is bounded by the retention, so that a wrong clock cannot
// trigger a refresh of a record that was just appended.
func (t *streamTracker) estimateAppendTime(now time.Time, r logservice.Record) time.Time {
	if t.state == stateFollowing {
		return now
	}
	age := min(max(now.Sub(r.Time), 0), t.retention)
	return now.Add(-age)
}

// memberService returns the service whose members the stream holds, or false
// for another stream.
func memberService(stream string) (model.Service, bool) {
	name, ok := strings.CutPrefix(stream, model.MemberStream(""))
	return model.Service(name), ok
}
