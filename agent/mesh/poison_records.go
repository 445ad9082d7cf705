package mesh

import (
	"context"
	"encoding/json"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/policy/mesh/poison"
)

const (
	// poisonRecordPrefix begins the key of the record of a refused request. The rest is the
	// fingerprint in hexadecimal. No address of a node begins so.
	poisonRecordPrefix = "refused/"
	fingerprintDigits  = 16
	// poisonWriterCapacity bounds the records that wait to be written. A record that finds
	// no room is written later.
	poisonWriterCapacity = 64
	// maxRecordAge bounds the age that a record may state.
	maxRecordAge = 24 * time.Hour
)

// poisonRecordValue is the value of the record of a refused request.
type poisonRecordValue struct {
	AgeMs int64 `json:"age_ms"` // time since the latest crash when the record was written, in ms
}

// splitNodeRecords separates the records of refused requests from the nodes' addresses.
func (n *Node) splitNodeRecords(records []keyed.Record) (addresses []keyed.Record, refused []poison.Record) {
	for _, r := range records {
		if !strings.HasPrefix(r.Key, poisonRecordPrefix) {
			addresses = append(addresses, r)
			continue
		}
		record, err := decodePoisonRecord(r)
		if err != nil {
			n.log.Emit(event.MeshRecordRejected, "stream", keyed.StreamNodes, "key", r.Key, "era", r.Position.Era, "offset", r.Position.Offset, "detail", err)
			continue
		}
		refused = append(refused, record)
	}
	return addresses, refused
}

func decodePoisonRecord(r keyed.Record) (poison.Record, error) {
	digits := strings.TrimPrefix(r.Key, poisonRecordPrefix)
	fingerprint, err := strconv.ParseUint(digits, 16, 64)
	if err != nil || len(digits) != fingerprintDigits {
		return poison.Record{}, errors.Errorf("fingerprint %q of a refused request, want %d hexadecimal digits", digits, fingerprintDigits)
	}
	if len(r.Value) == 0 {
		return poison.Record{Fingerprint: fingerprint}, nil
	}
	var value poisonRecordValue
	if err := json.Unmarshal(r.Value, &value); err != nil {
		return poison.Record{}, errors.Wrap(err, "record of a refused request")
	}
	if value.AgeMs < 0 || value.AgeMs > maxRecordAge.Milliseconds() {
		return poison.Record{}, errors.Errorf("age of a refused request: %d ms, want 0 to %d", value.AgeMs, maxRecordAge.Milliseconds())
	}
	return poison.Record{Fingerprint: fingerprint, Refused: true, Age: time.Duration(value.AgeMs) * time.Millisecond}, nil
}

func encodePoisonRecord(r poison.Record) (key string, value []byte, err error) {
	digits := strconv.FormatUint(r.Fingerprint, 16)
	key = poisonRecordPrefix + strings.Repeat("0", fingerprintDigits-len(digits)) + digits
	if !r.Refused {
		return key, nil, nil
	}
	value, err = json.Marshal(poisonRecordValue{AgeMs: r.Age.Milliseconds()})
	return key, value, errors.Wrap(err, "encode the record of a refused request")
}

// poisonWriter writes the records of refused requests to the log on its own thread.
type poisonWriter struct {
	node    *Node
	records *ring.Ring[poison.Record]
}

func newPoisonWriter(n *Node) *poisonWriter {
	return &poisonWriter{node: n, records: ring.New[poison.Record]("poison records", poisonWriterCapacity)}
}

// run writes records until ctx ends. The entry duty requests a failed write again.
func (w *poisonWriter) run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	batch := make([]poison.Record, 1)
	for ctx.Err() == nil {
		if _, err := w.records.Take(batch, nil, ctx.Done()); err != nil {
			return
		}
		err := w.write(ctx, batch[0])
		w.node.log.Emit(event.MeshRefusedRecorded, "fingerprint", batch[0].Fingerprint, "refused", batch[0].Refused, "age", batch[0].Age, "error", err)
		if err == nil {
			_ = w.node.entry.Ring().Put(ctx, poisonRecordWritten{record: batch[0]}) // fails only when the node stops
		}
	}
}

func (w *poisonWriter) write(ctx context.Context, r poison.Record) error {
	key, value, err := encodePoisonRecord(r)
	if err != nil {
		return err
	}
	_, err = w.node.store.Append(ctx, keyed.StreamNodes, key, value)
	return err
}
