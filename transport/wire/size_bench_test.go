package wire

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/tokenlease"
)

// BenchmarkQuorumMessage reports the encoded size of each type of message
// between a node and a quorum group, and the time to encode and decode it.
func BenchmarkQuorumMessage(b *testing.B) {
	for _, m := range quorumSamples() {
		b.Run(fmt.Sprintf("%T", m)[1:], func(b *testing.B) {
			kind, body := encodeQuorum(b, m)
			for b.Loop() {
				_, frame, _ := EncodeQuorum(m)
				_, _ = proto.Marshal(frame)
				_, _ = DecodeQuorum(kind, body)
			}
			_, frame, _ := EncodeQuorum(m)
			control, _ := NewPayload(kind, frame)
			b.ReportMetric(float64(len(body)), "B")
			b.ReportMetric(float64(proto.Size(control)), "frame-B")
		})
	}
}

// BenchmarkTokenRequest reports the encoded size of a token request, by the
// number of reports on earlier grants in it.
func BenchmarkTokenRequest(b *testing.B) {
	for _, reports := range []int{0, 1, 10, 100} {
		b.Run(fmt.Sprintf("reports=%d", reports), func(b *testing.B) {
			m := &tokenlease.TokenRequest{
				Group: model.GroupKey{Region: "viti", Group: 3}, Customer: "herders", Want: 5, Sequence: 1 << 20,
			}
			for i := range reports {
				m.Reports = append(m.Reports, tokenlease.Report{GrantID: 1<<62 + uint64(i), Used: 10})
			}
			kind, body := encodeQuorum(b, m)
			for b.Loop() {
				_, frame, _ := EncodeQuorum(m)
				_, _ = proto.Marshal(frame)
				_, _ = DecodeQuorum(kind, body)
			}
			b.ReportMetric(float64(len(body)), "B")
		})
	}
}

// BenchmarkLoad reports the encoded size of the load in heartbeats and
// answers.
func BenchmarkLoad(b *testing.B) {
	load := model.Load{InFlight: 60, Queued: 20, Limit: 120, Sojourn: 4 * time.Millisecond}
	var body []byte
	for b.Loop() {
		body, _ = proto.Marshal(FromLoad(load))
	}
	b.ReportMetric(float64(len(body)), "B")
}
