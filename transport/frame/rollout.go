package frame

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/oleanderworks/oleanderworks/model"
)

// append encodes the age and the run times in whole milliseconds.
func (m Rollout) append(b []byte) []byte {
	r := &m.Report
	b = appendString(b, 1, string(r.Node.Instance))
	b = appendFixed64(b, 2, uint64(r.Node.Incarnation))
	b = appendString(b, 3, string(r.Order.Service))
	b = appendString(b, 4, r.Order.Version)
	b = appendUint(b, 5, uint64(r.Order.Period.Milliseconds()))
	b = appendUint(b, 6, r.Order.Position.Era)
	b = appendUint(b, 7, uint64(r.Order.Position.Offset))
	b = appendUint(b, 8, uint64(r.Age.Milliseconds()))
	b = appendUint(b, 9, uint64(r.Phase))
	b = appendBool(b, 10, r.Drained)
	b = appendBool(b, 11, r.Recorded)
	return appendRouteCounts(b, 12, r.Counts)
}

func appendRouteCounts(b []byte, number protowire.Number, list []model.RouteCounts) []byte {
	for _, c := range list {
		b = appendNested(b, number, func(b []byte) []byte {
			b = appendString(b, 1, c.Route)
			b = appendBool(b, 2, c.New)
			b = appendUint(b, 3, c.Responses)
			b = appendUint(b, 4, c.Failed)
			b = appendUint(b, 5, c.Slow)
			return appendUint(b, 6, uint64(c.Time.Milliseconds()))
		})
	}
	return b
}

func decodeRollout(b []byte) (Message, error) {
	var m Rollout
	r := &m.Report
	err := forEachField(b, func(f field) error {
		switch f.number {
		case 1:
			r.Node.Instance = model.Instance(f.asString())
		case 2:
			r.Node.Incarnation = model.Incarnation(f.value)
		case 3:
			r.Order.Service = model.Service(f.asString())
		case 4:
			r.Order.Version = f.asString()
		case 5:
			r.Order.Period = decodeMilliseconds(f.value)
		case 6:
			r.Order.Position.Era = f.value
		case 7:
			r.Order.Position.Offset = int64(f.value)
		case 8:
			r.Age = decodeMilliseconds(f.value)
		case 9:
			r.Phase = decodeRolloutPhase(f.value)
		case 10:
			r.Drained = f.asBool()
		case 11:
			r.Recorded = f.asBool()
		case 12:
			c, err := decodeRouteCounts(f.bytes)
			r.Counts = append(r.Counts, c)
			return err
		}
		return nil
	})
	return m, err
}

func decodeRouteCounts(b []byte) (model.RouteCounts, error) {
	var c model.RouteCounts
	err := forEachField(b, func(f field) error {
		switch f.number {
		case 1:
			c.Route = f.asString()
		case 2:
			c.New = f.asBool()
		case 3:
			c.Responses = f.value
		case 4:
			c.Failed = f.value
		case 5:
			c.Slow = f.value
		case 6:
			c.Time = decodeMilliseconds(f.value)
		}
		return nil
	})
	return c, err
}

func decodeMilliseconds(value uint64) time.Duration {
	return time.Duration(min(value, maxMilliseconds)) * time.Millisecond
}

// decodeRolloutPhase decodes a phase. One that this release does not know counts as
// superseded, which the receiver ignores.
func decodeRolloutPhase(value uint64) model.RolloutPhase {
	return model.RolloutPhase(min(value, uint64(model.RolloutSuperseded)))
}
