package wire

import (
	"bufio"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/model"
)

// Transit is the transit time of a message between two nodes. Estimate relies
// on the estimated offset between their clocks; Max adds the maximum error of that
// offset.
type Transit struct{ Estimate, Max time.Duration }

// WriteCall writes a call. The deadline and the token's expiry are sent as the
// time that remains at now, so that the clocks of the two nodes need not agree;
// sent is now on the sender's monotonic clock. beforeEnd is called before the
// end frame is written. If it returns an error, the end frame is not written,
// and the receiver does not run the call.
func WriteCall(w io.Writer, c *model.Call, now time.Time, sent time.Duration, beforeEnd func() error) error {
	head := &CallHead{
		CallId:      uint64(c.ID),
		Service:     string(c.Service),
		Method:      c.Method,
		Path:        c.Path,
		Headers:     fromHeader(c.Header),
		Customer:    string(c.Customer),
		KeyHash:     c.KeyHash[:],
		Class:       string(c.Class),
		Open:        c.Open,
		Idempotent:  c.Idempotent,
		RequestId:   c.RequestID[:],
		Attempt:     int32(c.Attempt),
		ClientRetry: c.ClientRetry,
		RetryBudget: int32(c.RetryBudget),
		Depth:       int32(c.Depth),
		RemainingNs: int64(c.Deadline.Sub(now)),
		Fingerprint: c.Fingerprint,
		LostOn:      fromInstances(c.LostTargets),
		Token:       fromToken(c.Token, now),
		Claim:       fromClaim(c.Claim),
		Entry:       FromNodeID(c.EntryNode),
		SentNs:      int64(sent),
	}
	if err := WriteFrame(w, &CallFrame{Kind: &CallFrame_Call{Call: head}}); err != nil {
		return err
	}
	return writeBody(w, c.Body, beforeEnd)
}

// ReadCall reads a call. arrival is called once the head has been read, and
// returns the current time and the head's transit time. The estimated transit
// time is subtracted from the time until the deadline, and the maximum one from
// the token's time to live, since a token must not be used after it has expired.
// reserve is called with the size of each body chunk before the chunk is kept.
func ReadCall(r *bufio.Reader, arrival func(sent time.Duration) (time.Time, Transit), reserve func(n int) error) (*model.Call, error) {
	var f CallFrame
	if err := ReadFrame(r, &f); err != nil {
		return nil, err
	}
	head := f.GetCall()
	if head == nil {
		return nil, fault.New("read call", "", "first frame is no call head")
	}
	now, transit := arrival(time.Duration(head.GetSentNs()))
	c, err := toCall(head, now, transit)
	if err != nil {
		return nil, fault.Wrap("read call", head.GetEntry().GetInstance(), err)
	}
	c.Body, err = readBody(r, reserve)
	return c, fault.Wrap("read call body", head.GetEntry().GetInstance(), err)
}

func toCall(h *CallHead, now time.Time, transit Transit) (*model.Call, error) {
	c := &model.Call{
		ID:          model.CallID(h.GetCallId()),
		Service:     model.Service(h.GetService()),
		Method:      h.GetMethod(),
		Path:        h.GetPath(),
		Header:      toHeader(h.GetHeaders()),
		Customer:    model.Customer(h.GetCustomer()),
		Class:       model.Class(h.GetClass()),
		Open:        h.GetOpen(),
		Idempotent:  h.GetIdempotent(),
		Attempt:     int(h.GetAttempt()),
		ClientRetry: h.GetClientRetry(),
		RetryBudget: int(h.GetRetryBudget()),
		Depth:       int(h.GetDepth()),
		Deadline:    now.Add(time.Duration(h.GetRemainingNs()) - transit.Estimate),
		Fingerprint: h.GetFingerprint(),
		LostTargets: toInstances(h.GetLostOn()),
		Token:       toToken(h.GetToken(), now, transit.Max),
		EntryNode:   ToNodeID(h.GetEntry()),
	}
	if len(h.GetKeyHash()) != len(c.KeyHash) {
		return nil, errors.Errorf("key hash has %d bytes, want %d", len(h.GetKeyHash()), len(c.KeyHash))
	}
	copy(c.KeyHash[:], h.GetKeyHash())
	id, err := uuid.FromBytes(h.GetRequestId())
	if err != nil {
		return nil, errors.Wrap(err, "request id")
	}
	c.RequestID = id
	c.Claim = toClaim(h.GetClaim(), c)
	return c, nil
}

// WriteAnswer writes the answer to a call.
func WriteAnswer(w io.Writer, a *model.Answer) error {
	if err := WriteFrame(w, &CallFrame{Kind: &CallFrame_Answer{Answer: fromAnswer(a)}}); err != nil {
		return err
	}
	return writeBody(w, a.Body, func() error { return nil })
}

// ReadAnswer reads the answer to the call with the given id. An answer to
// another call is an error, so that no caller receives it. reserve is called
// with the size of each body chunk before the chunk is kept.
func ReadAnswer(r *bufio.Reader, id model.CallID, reserve func(n int) error) (*model.Answer, error) {
	var f CallFrame
	if err := ReadFrame(r, &f); err != nil {
		return nil, err
	}
	h := f.GetAnswer()
	if h == nil {
		return nil, fault.New("read answer", "", "first frame is no answer head")
	}
	if model.CallID(h.GetCallId()) != id {
		return nil, fault.New("read answer", "", "answer belongs to call %x, want %x", h.GetCallId(), id)
	}
	a := toAnswer(h)
	body, err := readBody(r, reserve)
	if err != nil {
		return nil, fault.Wrap("read answer body", "", err)
	}
	a.Body = body
	return a, nil
}

// fromAnswer encodes an answer without its body. The field run holds the
// model.RunState.
func fromAnswer(a *model.Answer) *AnswerHead {
	return &AnswerHead{
		CallId:       uint64(a.ID),
		Run:          uint32(a.Run),
		Reason:       string(a.Reason),
		Detail:       a.Detail,
		Status:       int32(a.Status),
		Headers:      fromHeader(a.Header),
		RetriesUsed:  int32(a.RetriesUsed),
		RetryAfterNs: int64(a.RetryAfter),
		Replayed:     a.Replayed,
		TargetLost:   a.TargetLost,
		Load:         FromLoad(a.Load),
	}
}

// toAnswer decodes an answer without its body.
func toAnswer(h *AnswerHead) *model.Answer {
	return &model.Answer{
		ID:          model.CallID(h.GetCallId()),
		Run:         model.RunState(h.GetRun()),
		Reason:      model.Reason(h.GetReason()),
		Detail:      h.GetDetail(),
		Status:      int(h.GetStatus()),
		Header:      toHeader(h.GetHeaders()),
		RetriesUsed: int(h.GetRetriesUsed()),
		RetryAfter:  time.Duration(h.GetRetryAfterNs()),
		Replayed:    h.GetReplayed(),
		TargetLost:  h.GetTargetLost(),
		Load:        ToLoad(h.GetLoad()),
	}
}

func fromHeader(h http.Header) []*Header {
	out := make([]*Header, 0, len(h))
	for name, values := range h {
		out = append(out, &Header{Name: name, Values: values})
	}
	return out
}

func toHeader(headers []*Header) http.Header {
	out := make(http.Header, len(headers))
	for _, h := range headers {
		out[http.CanonicalHeaderKey(h.GetName())] = h.GetValues()
	}
	return out
}

func fromInstances(list []model.Instance) []string {
	var out []string
	for _, i := range list {
		out = append(out, string(i))
	}
	return out
}

func toInstances(list []string) []model.Instance {
	var out []model.Instance
	for _, i := range list {
		out = append(out, model.Instance(i))
	}
	return out
}

// fromToken encodes a rate token. The field epoch holds the grantor's term, unlike
// in Claim, where it holds the epoch of the quorum group.
func fromToken(t *model.Token, now time.Time) *Token {
	if t == nil {
		return nil
	}
	return &Token{Group: int32(t.Group), Epoch: t.Term, LifeNs: int64(t.Expiry.Sub(now))}
}

// toToken decodes a rate token that was in transit for the given time. TTL is the
// time from its arrival, at now, until Expiry.
func toToken(t *Token, now time.Time, transit time.Duration) *model.Token {
	if t == nil {
		return nil
	}
	remaining := time.Duration(t.GetLifeNs()) - transit
	return &model.Token{
		Group:  int(t.GetGroup()),
		Term:   t.GetEpoch(),
		Expiry: now.Add(remaining),
		TTL:    remaining,
	}
}

func fromClaim(c *model.Claim) *Claim {
	if c == nil {
		return nil
	}
	return &Claim{
		RequestId: c.RequestID[:],
		Group:     int32(c.Group),
		Epoch:     c.Epoch,
		Attempt:   int32(c.Attempt),
		Target:    FromNodeID(c.Target),
	}
}

func toClaim(c *Claim, call *model.Call) *model.Claim {
	if c == nil {
		return nil
	}
	return &model.Claim{
		Customer:  call.Customer,
		RequestID: call.RequestID,
		Group:     int(c.GetGroup()),
		Epoch:     c.GetEpoch(),
		Attempt:   int(c.GetAttempt()),
		Holder:    call.EntryNode,
		Target:    ToNodeID(c.GetTarget()),
	}
}

// FromNodeID encodes a node id.
func FromNodeID(n model.NodeID) *NodeID {
	return &NodeID{Instance: string(n.Instance), Incarnation: uint64(n.Incarnation)}
}

// ToNodeID decodes a node id.
func ToNodeID(n *NodeID) model.NodeID {
	return model.NodeID{
		Instance:    model.Instance(n.GetInstance()),
		Incarnation: model.Incarnation(n.GetIncarnation()),
	}
}

// FromLoad encodes a node's load. The field sojourn_ns holds the minimum time that
// recent calls spent in the queue.
func FromLoad(l model.Load) *Load {
	return &Load{
		InFlight:  int32(l.InFlight),
		Queued:    int32(l.Queued),
		Limit:     int32(l.Limit),
		SojournNs: int64(l.Sojourn),
		Draining:  l.Draining,
	}
}

// ToLoad decodes a node's load.
func ToLoad(l *Load) model.Load {
	return model.Load{
		InFlight: int(l.GetInFlight()),
		Queued:   int(l.GetQueued()),
		Limit:    int(l.GetLimit()),
		Sojourn:  time.Duration(l.GetSojournNs()),
		Draining: l.GetDraining(),
	}
}
