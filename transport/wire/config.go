package wire

import (
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/configlog"
)

// FromRecordsRequest encodes a request for log records and documents.
func FromRecordsRequest(r *configlog.Request) *RecordsRequest {
	out := &RecordsRequest{
		Sequence:    r.Sequence,
		WantSet:     r.WantSet,
		SetPosition: uint64(r.SetPosition),
		SetFrom:     uint32(r.SetFrom),
		Withdrawn:   fromHashes(r.Withdrawn),
	}
	for _, p := range r.Positions {
		out.Positions = append(out.Positions, &StreamPosition{Stream: p.Stream, Next: uint64(p.Next)})
	}
	return out
}

// ToRecordsRequest decodes a request for log records and documents.
func ToRecordsRequest(m *RecordsRequest) (*configlog.Request, error) {
	withdrawn, err := toHashes(m.GetWithdrawn())
	if err != nil {
		return nil, err
	}
	out := &configlog.Request{
		Sequence:    m.GetSequence(),
		WantSet:     m.GetWantSet(),
		SetPosition: logservice.Offset(m.GetSetPosition()),
		SetFrom:     int(m.GetSetFrom()),
		Withdrawn:   withdrawn,
	}
	for _, p := range m.GetPositions() {
		out.Positions = append(out.Positions, configlog.Position{Stream: p.GetStream(), Next: logservice.Offset(p.GetNext())})
	}
	return out, nil
}

// FromRecordsAnswer encodes the log records and documents that answer a peer's
// request.
func FromRecordsAnswer(a *configlog.Answer) *Records {
	out := &Records{Sequence: a.Sequence, Withdrawn: fromHashes(a.Withdrawn)}
	for _, s := range a.Streams {
		out.Streams = append(out.Streams, fromStream(s))
	}
	if a.Set != nil {
		out.Set = fromSet(a.Set)
	}
	return out
}

// ToRecordsAnswer decodes the log records and documents that a peer answered
// with.
func ToRecordsAnswer(m *Records) (*configlog.Answer, error) {
	withdrawn, err := toHashes(m.GetWithdrawn())
	if err != nil {
		return nil, err
	}
	out := &configlog.Answer{Sequence: m.GetSequence(), Withdrawn: withdrawn}
	for _, s := range m.GetStreams() {
		out.Streams = append(out.Streams, toStream(s))
	}
	if m.GetSet() != nil {
		out.Set = toSet(m.GetSet())
	}
	return out, nil
}

// FromWithdrawals encodes a message about withdrawn keys or its confirmation.
func FromWithdrawals(w *configlog.Withdrawals) *Withdrawal {
	return &Withdrawal{Hashes: fromHashes(w.Hashes), Ack: w.Ack}
}

// ToWithdrawals decodes a message about withdrawn keys or its confirmation.
func ToWithdrawals(m *Withdrawal) (*configlog.Withdrawals, error) {
	hashes, err := toHashes(m.GetHashes())
	return &configlog.Withdrawals{Hashes: hashes, Ack: m.GetAck()}, err
}

func fromStream(s configlog.StreamRecords) *StreamRecords {
	out := &StreamRecords{
		Stream: s.Stream, From: uint64(s.From), Next: uint64(s.Next), Compact: s.Compact, KnownAgeNs: int64(s.KnownAge),
	}
	for _, r := range s.Records {
		out.Records = append(out.Records, &LogRecord{
			Id: r.ID, Offset: uint64(r.Offset), TimeNs: r.Time.UnixNano(), Body: r.Body,
		})
	}
	return out
}

func toStream(m *StreamRecords) configlog.StreamRecords {
	out := configlog.StreamRecords{
		Stream:  m.GetStream(),
		From:    logservice.Offset(m.GetFrom()),
		Next:    logservice.Offset(m.GetNext()),
		Compact: m.GetCompact(),
	}
	out.KnownAge = max(time.Duration(m.GetKnownAgeNs()), 0)
	for _, r := range m.GetRecords() {
		out.Records = append(out.Records, logservice.Record{
			ID: r.GetId(), Offset: logservice.Offset(r.GetOffset()), Time: time.Unix(0, r.GetTimeNs()), Body: r.GetBody(),
		})
	}
	return out
}

func fromSet(s *configlog.DocumentSet) *DocumentSet {
	out := &DocumentSet{Position: uint64(s.Position), Gap: s.Gap, From: uint32(s.From), Total: uint32(s.Total)}
	for _, d := range s.Documents {
		out.Documents = append(out.Documents, &SetDocument{
			Name: d.Name, Version: d.Version, Body: d.Body, Uncertain: d.Uncertain, AgeNs: int64(d.Age),
		})
	}
	return out
}

func toSet(m *DocumentSet) *configlog.DocumentSet {
	out := &configlog.DocumentSet{
		Position: logservice.Offset(m.GetPosition()),
		Gap:      m.GetGap(),
		From:     int(m.GetFrom()),
		Total:    int(m.GetTotal()),
	}
	for _, d := range m.GetDocuments() {
		doc := model.Document{Name: d.GetName(), Version: d.GetVersion(), Body: d.GetBody()}
		age := max(time.Duration(d.GetAgeNs()), 0)
		out.Documents = append(out.Documents, configlog.DocumentSetEntry{Document: doc, Uncertain: d.GetUncertain(), Age: age})
	}
	return out
}

func fromHashes(hashes []model.KeyHash) [][]byte {
	out := make([][]byte, len(hashes))
	for i := range hashes {
		out[i] = hashes[i][:]
	}
	return out
}

func toHashes(raw [][]byte) ([]model.KeyHash, error) {
	out := make([]model.KeyHash, len(raw))
	for i, b := range raw {
		if len(b) != len(out[i]) {
			return nil, errors.Errorf("key hash has %d bytes, want %d", len(b), len(out[i]))
		}
		copy(out[i][:], b)
	}
	return out, nil
}
