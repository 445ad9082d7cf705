package quarantine

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/oleanderworks/oleanderworks/agent/links"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/quarantine"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

// MarkUpdate carries crash marks that another node of the service has set, and
// the fingerprints of those that it has lifted.
type MarkUpdate struct {
	Marks  []quarantine.Mark
	Lifted []uint64
}

// Register makes d decode mark updates from peers. offer passes them to the duty
// that owns the table; it is called on reader goroutines and must not block. An
// update that finds no room is dropped: a call itself names the targets that were
// lost on its own attempts, and a mark whose lift is dropped stays until it
// expires.
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

// fromMark encodes a mark with its age instead of its time, so that the nodes'
// clocks need not agree.
func fromMark(m quarantine.Mark, now time.Time) *wire.CrashMark {
	return &wire.CrashMark{
		Fingerprint: m.Fingerprint,
		Target:      string(m.Target),
		Alone:       m.OnlyMarkedCall,
		AgeNs:       int64(now.Sub(m.At)),
	}
}

// toMarks decodes marks. A node may report crashes of its own target only;
// marks that name another target are dropped.
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
