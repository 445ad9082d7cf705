package follower

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/agent/appender"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/logservice/memlog"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/configlog"
)

// Guards against a subscriber that keeps an old configuration because its ring was
// full when the newest one was published.
func TestFullSubscriberGetsNewestValueLater(t *testing.T) {
	room := false
	var got []int
	p := newPublisher[int]([]func(*int) bool{func(v *int) bool {
		if room {
			got = append(got, *v)
		}
		return room
	}})
	for i := range 3 {
		p.publish(&i)
	}
	room = true
	p.offerPending()
	p.offerPending()
	assert.DeepEqual(t, got, []int{2})
}

// Guards against a status without the time of the last contact with the log, and
// against a record that is lost because the appender's ring was full.
func TestStatusHasLogContactAndUnsentRecordsAreRetried(t *testing.T) {
	var published []*LogStatus
	var taken []*appender.Append
	room := false
	_, h := New(Config{
		Context:    t.Context(),
		LogService: memlog.New(time.Now, time.Hour),
		Streams:    []string{model.ConfigStream},
		Rand:       rand.New(rand.NewPCG(1, 1)),
		Log:        event.Discard(),
		Peers:      noPeers{},
		Append: func(a *appender.Append) bool {
			if room {
				taken = append(taken, a)
			}
			return room
		},
		StatusSubscribers: []StatusSubscriber{func(status *LogStatus) bool {
			published = append(published, status)
			return true
		}},
	})
	now := time.Unix(1_700_000_000, 0)
	h.Tick(now)
	read := configlog.ReadResult{Stream: model.ConfigStream, SentAt: now, Page: logservice.Page{Retention: time.Hour}}
	h.Handle(now.Add(time.Second), []Message{&ReadDone{Read: read}})
	last := published[len(published)-1]
	assert.Assert(t, last.LastLogContact.Equal(now) && last.KnownAsOf(model.ConfigStream).Equal(now) && last.Ready)

	h.Handle(now.Add(time.Second), []Message{&WithdrawKey{Hash: model.HashKey("k")}})
	assert.Equal(t, len(taken), 0)
	room = true
	h.Tick(now.Add(2 * time.Second))
	assert.Equal(t, len(taken), 1)
	var p model.Publication
	assert.NilError(t, json.Unmarshal(taken[0].Body, &p))
	assert.DeepEqual(t, p.Withdraw, []string{model.HashKey("k").String()})
	assert.Equal(t, p.ID, taken[0].ID)
}
