package quarantine

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/oleanderworks/oleanderworks/agent/links"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quarantine"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

// MarkUpdate carries crash marks that another node of the service has set, and the
// fingerprints of the requests whose marks it has lifted.
type MarkUpdate struct {
	Marks  []quarantine.Mark
	Lifted []uint64
}

// Register registers the handlers of mark updates from peers with d. offer passes
// the updates to the duty that owns the table; it is called on reader goroutines and
// must not block. An update is dropped if the duty's ring is full. This is
// acceptable, since a call itself names the targets that were lost on its attempts,
// and a mark whose lift was dropped expires.
func Register(d *links.Dispatcher, log *event.Log, offer func(MarkUpdate) bool) {
	d.Register(wire.KindCrashMark, func(from model.Member, body []byte) {
		m := new(wire.CrashMarks)
		if decode(log, from, body, m) {
			offer(MarkUpdate{Marks: toMarks(from.Instance, m, time.Now())})
		}
	})
	d.Register(wire.KindCrashMarkLifted, func(from model.Member, body []byte) {
		m := new(wire.CrashMarksLifted)
		if decode(log, from, body, m) {
			offer(MarkUpdate{Lifted: m.GetFingerprints()})
		}
	})
}

func decode(log *event.Log, from model.Member, body []byte, m proto.Message) bool {
	err := proto.Unmarshal(body, m)
	if err != nil {
		log.Emit(event.CrashMarkMalformed, "peer", from.Instance, "error", err)
	}
	return err == nil
}

// fromMark encodes a mark. It encodes the mark's age instead of its time, so that
// the nodes' clocks need not be synchronized.
func fromMark(m quarantine.Mark, now time.Time) *wire.CrashMark {
	return &wire.CrashMark{
		Fingerprint: m.Fingerprint,
		Target:      string(m.Target),
		Alone:       m.OnlyMarkedCall,
		AgeNs:       int64(now.Sub(m.At)),
	}
}

// toMarks decodes marks. It drops marks that name another target than the sender's
// own, since a node may report crashes of its own target only.
func toMarks(from model.Instance, list *wire.CrashMarks, now time.Time) []quarantine.Mark {
	var out []quarantine.Mark
	for _, m := range list.GetMarks() {
		if model.Instance(m.GetTarget()) != from {
			continue
		}
		out = append(out, quarantine.Mark{
			Fingerprint:    m.GetFingerprint(),
			Target:         model.Instance(m.GetTarget()),
			OnlyMarkedCall: m.GetAlone(),
			At:             now.Add(-time.Duration(max(m.GetAgeNs(), 0))),
		})
	}
	return out
}
