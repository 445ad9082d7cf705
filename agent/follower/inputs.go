package follower

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/configlog"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

// readerRing returns the ring of the goroutine that reads a stream, and starts the
// goroutine before the first read. A stream has at most one read in progress.
func (h *Handler) readerRing(stream string) *ring.Ring[*configlog.ReadLog] {
	r := h.readers[stream]
	if r == nil {
		r = ring.New[*configlog.ReadLog]("read "+stream, 1)
		h.readers[stream] = r
		go h.performReads(r)
	}
	return r
}

// performReads performs the reads that the duty requests, until the context ends.
func (h *Handler) performReads(requests *ring.Ring[*configlog.ReadLog]) {
	ctx := h.config.Context
	batch := make([]*configlog.ReadLog, 1)
	for {
		n, err := requests.Take(batch, nil, ctx.Done())
		if err != nil || ctx.Err() != nil {
			return
		}
		if n == 0 {
			continue
		}
		done := read(ctx, h.config.LogService, batch[0])
		if ctx.Err() != nil {
			return
		}
		if err := h.inbox.Put(ctx, done); err != nil {
			return
		}
	}
}

func read(ctx context.Context, log logservice.Log, request *configlog.ReadLog) *ReadDone {
	sentAt := time.Now()
	page, err := log.Read(ctx, request.Stream, request.From, logservice.ReadOptions{Wait: request.Wait})
	done := &ReadDone{Err: err}
	done.Read = configlog.ReadResult{Stream: request.Stream, From: request.From, SentAt: sentAt, Page: page}
	return done
}

// PayloadHandlers returns the handlers for payloads to the follower, by kind.
// They run on the sessions' reader goroutines and do not block. A message is dropped
// if the ring is full, since peers repeat their messages.
func PayloadHandlers(inbox *ring.Ring[Message], log *event.Log) map[uint32]func(model.Member, []byte) {
	malformed := func(from model.Member, err error) {
		log.Emit(event.PayloadUnknown, "peer", from.Instance, "error", err)
	}
	return map[uint32]func(model.Member, []byte){
		wire.KindRecordsRequest: func(from model.Member, body []byte) {
			r, err := decode(body, new(wire.RecordsRequest), wire.ToRecordsRequest)
			if err != nil {
				malformed(from, err)
				return
			}
			inbox.Offer(&PeerRequest{From: from, Request: r})
		},
		wire.KindRecords: func(from model.Member, body []byte) {
			a, err := decode(body, new(wire.Records), wire.ToRecordsAnswer)
			if err != nil {
				malformed(from, err)
				return
			}
			inbox.Offer(&PeerAnswer{From: from, Answer: a})
		},
		wire.KindWithdrawal: func(from model.Member, body []byte) {
			w, err := decode(body, new(wire.Withdrawal), wire.ToWithdrawals)
			if err != nil {
				malformed(from, err)
				return
			}
			inbox.Offer(&PeerWithdrawals{From: from, Withdrawals: w})
		},
	}
}

func decode[M proto.Message, T any](body []byte, m M, convert func(M) (T, error)) (T, error) {
	if err := proto.Unmarshal(body, m); err != nil {
		var zero T
		return zero, err
	}
	return convert(m)
}
