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
	// configReadWait is how long the log service may hold open a read of the
	// configuration stream until a record arrives. With 19,000 nodes this makes
	// 4,750 reads a second while nothing changes. On a connection that no longer
	// answers, a read ends 3 s after the wait, so that a change arrives at most
	// about 8 s late. It must be in force within 12 s.
	configReadWait = 4 * time.Second
	// otherReadWait is the corresponding wait for all other streams.
	otherReadWait = 10 * time.Second
	// readRetryDelay is the delay before a failed read is repeated.
	readRetryDelay = 500 * time.Millisecond
	// logTimeout is the time after the first failed read, or after the wait of an
	// unanswered one, at which the log counts as unreachable and the node requests
	// records from its peers. startLogTimeout is the corresponding time after the
	// node starts to follow a stream.
	logTimeout      = 3 * time.Second
	startLogTimeout = 500 * time.Millisecond
	// maxRecentRecords and maxRecentBytes limit the records of a stream that are
	// kept for peers that cannot reach the log.
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

// follower holds the state of following one stream.
type follower struct {
	core           *Core
	stream         string
	state          chart.StateID
	now            time.Time
	readSentAt     time.Time // when the read whose result is being handled was sent
	lastLogContact time.Time // when the latest read that reached the end of the stream was sent
	knownAsOf      time.Time // see Position.KnownAsOf
	timeoutAt      time.Time // when the log counts as unreachable unless a read succeeds earlier
	readPending    bool
	nextReadAt     time.Time
	retention      time.Duration

	recentRecords    []logservice.Record
	recentFromOffset logservice.Offset // every applied record from here on is in recentRecords
	recentBytes      int
}

// followerMachine compiles the chart once for all streams. The machine itself
// holds no state of a stream.
var followerMachine = sync.OnceValue(func() *chart.Machine[*follower] {
	return chart.MustCompile(charts.MustRead("log_follower"), chart.Binding[*follower]{
		States: []string{"catching_up", "following", "log_unreachable"},
		Events: []string{"more_remaining", "end_reached", "read_failed", "gap", "log_timed_out", "peer_request_due"},
		Actions: map[string]func(*follower){
			"read_next":          func(f *follower) { f.nextReadAt = f.now },
			"retry_read":         func(f *follower) { f.nextReadAt = f.now.Add(readRetryDelay) },
			"record_log_contact": (*follower).recordLogContact,
			"request_from_peers": func(f *follower) { f.core.peerRequestWanted = true },
		},
	})
})

func (f *follower) step(now time.Time, e chart.EventID) {
	f.now = now
	f.state = f.core.machine.Step(f, f.state, e)
}

// tick checks the log timeout and requests a read if one is due. It returns when
// it must be called again.
func (f *follower) tick(now time.Time) time.Time {
	if !now.Before(f.timeoutAt) {
		f.step(now, eventLogTimedOut)
	}
	if f.readPending {
		return f.timeoutAt
	}
	if now.Before(f.nextReadAt) {
		return f.nextReadAt
	}
	f.readPending = true
	wait := f.readWait()
	if f.state != stateFollowing {
		wait = 0
	}
	f.core.emit(&ReadLog{Stream: f.stream, From: f.core.nextOffset(f.stream), Wait: wait})
	return f.timeoutAt
}

// readWait returns how long the log service may hold a read open.
func (f *follower) readWait() time.Duration {
	if f.stream == model.ConfigStream {
		return configReadWait
	}
	return otherReadWait
}

// resetTimeout restarts the log timeout after a successful read.
func (f *follower) resetTimeout(now time.Time) { f.timeoutAt = now.Add(f.readWait() + logTimeout) }

// shortenTimeout lets the log timeout end at most logTimeout after now. Of several
// failed reads in a row, only the first has an effect.
func (f *follower) shortenTimeout(now time.Time) {
	f.timeoutAt = earlier(f.timeoutAt, now.Add(logTimeout))
}

func (f *follower) recordLogContact() {
	f.lastLogContact = f.readSentAt
	f.advanceKnownAsOf(f.readSentAt)
}

// advanceKnownAsOf sets knownAsOf to at if that is later. Every record appended
// before at must have been applied.
func (f *follower) advanceKnownAsOf(at time.Time) {
	if at.After(f.knownAsOf) {
		f.knownAsOf = at
	}
}

// addRecent keeps a record for peers that cannot reach the log.
func (f *follower) addRecent(r logservice.Record) {
	f.recentRecords = append(f.recentRecords, r)
	f.recentBytes += len(r.Body)
	for len(f.recentRecords) > maxRecentRecords || f.recentBytes > maxRecentBytes {
		f.recentFromOffset = f.recentRecords[0].Offset + 1
		f.recentBytes -= len(f.recentRecords[0].Body)
		f.recentRecords[0] = logservice.Record{}
		f.recentRecords = f.recentRecords[1:]
	}
}

// dropRecent drops the recent records when the next offset jumps to offset.
func (f *follower) dropRecent(offset logservice.Offset) {
	f.recentRecords, f.recentBytes, f.recentFromOffset = nil, 0, offset
}

// recentRecordsSince returns the records from an offset on, or false if some of
// them are no longer kept.
func (f *follower) recentRecordsSince(offset logservice.Offset) ([]logservice.Record, bool) {
	if offset < f.recentFromOffset {
		return nil, false
	}
	for i, r := range f.recentRecords {
		if r.Offset >= offset {
			return f.recentRecords[i:], true
		}
	}
	return nil, true
}

// estimateAppendTime estimates when a record was appended, on this node's clock.
// While the node follows the log, that is now: the log service's timestamp is not
// used, so that a clock difference cannot trigger the refresh of a record that was
// just appended. Otherwise the age by timestamp is limited to the retention.
func (f *follower) estimateAppendTime(now time.Time, r logservice.Record) time.Time {
	if f.state == stateFollowing {
		return now
	}
	age := min(max(now.Sub(r.Time), 0), f.retention)
	return now.Add(-age)
}

// memberService returns the service of a member stream, or false if the stream is
// not a member stream.
func memberService(stream string) (model.Service, bool) {
	name, ok := strings.CutPrefix(stream, model.MemberStream(""))
	return model.Service(name), ok
}
