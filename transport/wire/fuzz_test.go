package wire

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// FuzzReadCall guards against a call stream that crashes a node or yields a
// body longer than the input.
func FuzzReadCall(f *testing.F) {
	encoded := new(bytes.Buffer)
	call := &model.Call{ID: 7, Method: "POST", Path: "/tallies", Body: []byte("42 head"),
		Token: &model.Token{Group: 1}, Claim: &model.Claim{Attempt: 1}}
	assert.NilError(f, WriteCall(encoded, call, time.Now(), 0, func() error { return nil }))
	f.Add(encoded.Bytes())
	f.Add(encoded.Bytes()[:encoded.Len()/2])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := ReadCall(bufio.NewReader(bytes.NewReader(raw)), zeroTransit, unlimited)
		if err == nil {
			assert.Assert(t, len(got.Body) <= len(raw))
		}
	})
}

// FuzzReadAnswer guards against an answer stream that crashes a node or yields
// the answer to another call.
func FuzzReadAnswer(f *testing.F) {
	encoded := new(bytes.Buffer)
	assert.NilError(f, WriteAnswer(encoded, &model.Answer{ID: 7, Run: model.Completed, Status: 200, Body: []byte("filed")}))
	f.Add(encoded.Bytes(), uint64(7))
	f.Add(encoded.Bytes(), uint64(8))
	f.Add(encoded.Bytes()[:encoded.Len()-3], uint64(7))
	f.Fuzz(func(t *testing.T, raw []byte, id uint64) {
		got, err := ReadAnswer(bufio.NewReader(bytes.NewReader(raw)), model.CallID(id), unlimited)
		if err == nil {
			assert.Equal(t, got.ID, model.CallID(id))
			assert.Assert(t, len(got.Body) <= len(raw))
		}
	})
}

// FuzzReadControl guards against a control stream that crashes a node.
func FuzzReadControl(f *testing.F) {
	seeds := []*ControlFrame{
		{Kind: &ControlFrame_Hello{Hello: &Hello{Node: &NodeID{Instance: "tally-1"}}}},
		{Kind: &ControlFrame_Heartbeat{Heartbeat: &Heartbeat{SentUs: 2, EchoSentUs: 1, Load: &Load{Limit: 4}}}},
		{Kind: &ControlFrame_Goodbye{Goodbye: &Goodbye{}}},
		{Kind: &ControlFrame_Payload{Payload: &Payload{Kind: KindProbe, Body: []byte{1, 2}}}},
	}
	for _, s := range seeds {
		var b bytes.Buffer
		assert.NilError(f, WriteFrame(&b, s))
		f.Add(b.Bytes())
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var frame ControlFrame
		if ReadFrame(bufio.NewReader(bytes.NewReader(raw)), &frame) != nil {
			return
		}
		_ = ToLoad(frame.GetHeartbeat().GetLoad())
		_ = ToNodeID(frame.GetHello().GetNode())
		var probe Probe
		if proto.Unmarshal(frame.GetPayload().GetBody(), &probe) == nil {
			_ = ToNodeID(probe.GetPeer())
		}
	})
}
