package wire

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
	"github.com/oleanderworks/oleanderworks/policy/node/tokenlease"
)

// quorumSamples returns one message of each type with every field set.
func quorumSamples() []quorum.Message {
	node := model.NodeID{Instance: "tally-1", Incarnation: 7}
	ballot := quorum.Ballot{Group: model.GroupKey{Region: "viti", Group: 3}, Epoch: 5, Voter: node}
	at := time.UnixMilli(1_770_000_000_123)
	key := record.RequestKey{Customer: "herders", ID: uuid.MustParse("019ca6b1-fdd8-796c-8d49-64d4cfc97ba3")}
	holder := record.Holder{Node: model.NodeID{Instance: "tally-2", Incarnation: 9}, Call: 11}
	answer := &model.Answer{ID: 11, Run: model.Completed, Status: 201, Header: map[string][]string{"X-A": {"b"}}, Body: []byte("filed")}
	return []quorum.Message{
		&quorum.ProbeRequest{Ballot: ballot},
		&quorum.ProbeAnswer{Ballot: ballot, Status: quorum.VoterSealed, Voter: node},
		&quorum.SealRequest{Ballot: ballot, Time: at},
		&quorum.SealAnswer{Ballot: ballot, Status: quorum.VoterRestarted, Time: at, Voter: node, Remaining: time.Second},
		&tokenlease.PromiseRequest{Ballot: ballot, Holder: node, Term: 2, Sequence: 4, Continued: true},
		&tokenlease.PromiseAnswer{Ballot: ballot, Sequence: 4, Promised: true, Holder: node, Term: 2, Remaining: time.Second},
		&tokenlease.PromiseRelease{Ballot: ballot, Holder: node, Term: 2, Remaining: time.Millisecond},
		&tokenlease.TokenRequest{
			Group: ballot.Group, Customer: "herders", Want: 5, Sequence: 6,
			Reports: []tokenlease.Report{{GrantID: 1, Used: 2, Returned: 3}},
		},
		&tokenlease.TokenAnswer{
			Customer: "herders", Sequence: 6, Granted: 4, Term: 2, Lifetime: time.Second,
			RetryAfter: time.Millisecond, NotGrantor: true, Grantor: "tally-3",
		},
		&record.ClaimRequest{Ballot: ballot, Key: key, Holder: holder, Target: node, Round: 2, Sequence: 8},
		&record.ClaimAnswer{Ballot: ballot, Key: key, Sequence: 8, Vote: record.VoteCompleted, Answer: answer},
		&record.ClaimRelease{Ballot: ballot, Key: key, Holder: holder, Round: 2},
		&record.ClaimComplete{Ballot: ballot, Key: key, Holder: holder, Answer: answer},
	}
}

func encodeQuorum(t testing.TB, m quorum.Message) (uint32, []byte) {
	t.Helper()
	kind, frame, err := EncodeQuorum(m)
	assert.NilError(t, err)
	body, err := proto.Marshal(frame)
	assert.NilError(t, err)
	return kind, body
}

// Guards against a field that is lost or changed by encoding and decoding.
func TestQuorumMessagesRoundTrip(t *testing.T) {
	for _, m := range quorumSamples() {
		kind, body := encodeQuorum(t, m)
		got, err := DecodeQuorum(kind, body)
		assert.NilError(t, err, "%T", m)
		assert.DeepEqual(t, got, m)
	}
}

// Guards against payloads of a faulty peer that make a node panic, or that
// decode to a message which cannot be encoded.
func FuzzDecodeQuorum(f *testing.F) {
	for _, m := range quorumSamples() {
		kind, body := encodeQuorum(f, m)
		f.Add(kind, body)
		f.Add(kind, body[:len(body)/2])
	}
	f.Add(KindVote, []byte{})
	f.Add(KindTokens, []byte{0x0a, 0x00})
	f.Fuzz(func(t *testing.T, kind uint32, body []byte) {
		m, err := DecodeQuorum(kind, body)
		if err != nil {
			return
		}
		_, _, err = EncodeQuorum(m)
		assert.NilError(t, err)
	})
}
