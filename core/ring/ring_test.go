package ring

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a ring that grows beyond its capacity and against refused
// messages that are not counted.
func TestOfferReportsFullRing(t *testing.T) {
	r := New[int]("test", 2)
	assert.Assert(t, r.Offer(1))
	assert.Assert(t, r.Offer(2))
	assert.Assert(t, !r.Offer(3))
	assert.Equal(t, r.Stats().Refused, int64(1))

	batch := make([]int, 4)
	n, err := r.Take(batch, nil, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, batch[:n], []int{1, 2})
}

// Guards against a Put that ignores its deadline and against one that is not woken
// when a Take frees a slot.
func TestPutWaitsForFreeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New[int]("test", 1)
		assert.Assert(t, r.Offer(1))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.ErrorIs(t, r.Put(ctx, 2), context.DeadlineExceeded)

		go func() {
			time.Sleep(time.Second)
			_, _ = r.Take(make([]int, 1), nil, nil)
		}()
		assert.NilError(t, r.Put(context.Background(), 2))
	})
}

// Guards against the loss of queued messages when a ring is closed, as at the shutdown
// of a duty.
func TestCloseKeepsQueuedMessages(t *testing.T) {
	r := New[int]("test", 2)
	r.Offer(7)
	r.Close()
	assert.Assert(t, !r.Offer(8))
	batch := make([]int, 1)
	n, err := r.Take(batch, nil, nil)
	assert.NilError(t, err)
	assert.Equal(t, n, 1)
	_, err = r.Take(batch, nil, nil)
	assert.ErrorIs(t, err, ErrClosed)
}

// Guards against messages that are lost or duplicated when several producers use a ring
// concurrently.
func TestConcurrentProducersLoseNoMessage(t *testing.T) {
	const producers, messagesPerProducer = 8, 1000
	r := New[int]("test", 16)
	for p := range producers {
		go func() {
			for i := range messagesPerProducer {
				_ = r.Put(context.Background(), p*messagesPerProducer+i)
			}
		}()
	}
	seen := make(map[int]bool)
	batch := make([]int, 5)
	for len(seen) < producers*messagesPerProducer {
		n, err := r.Take(batch, nil, nil)
		assert.NilError(t, err)
		for _, v := range batch[:n] {
			assert.Assert(t, !seen[v])
			seen[v] = true
		}
	}
}

// BenchmarkRequestReply measures the round trip of a request and its reply between two
// goroutines.
func BenchmarkRequestReply(b *testing.B) {
	type message struct{ reply Reply[int] }
	r := New[message]("bench", 64)
	go func() {
		batch := make([]message, 16)
		for {
			n, err := r.Take(batch, nil, nil)
			if err != nil {
				return
			}
			for _, m := range batch[:n] {
				m.reply.Send(1)
			}
		}
	}()
	for b.Loop() {
		m := message{reply: NewReply[int]()}
		r.Offer(m)
		<-m.reply.Chan()
	}
	r.Close()
}
