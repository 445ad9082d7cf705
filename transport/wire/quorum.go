package wire

import (
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
	"github.com/oleanderworks/oleanderworks/policy/node/tokenlease"
)

const (
	// maxCount limits the counts in token messages. It applies to Want when a
	// request is sent, so that it fits an int32, and to all counts received from
	// a peer.
	maxCount = 1 << 30
	// maxDuration limits the durations in quorum messages received from a peer.
	maxDuration = 24 * time.Hour
)

// EncodeQuorum returns the payload kind and the protobuf message for m.
func EncodeQuorum(m quorum.Message) (uint32, proto.Message, error) {
	switch m := m.(type) {
	case *tokenlease.TokenRequest:
		return KindTokens, &TokenFrame{Kind: &TokenFrame_Request{Request: fromTokenRequest(m)}}, nil
	case *tokenlease.TokenAnswer:
		return KindTokens, &TokenFrame{Kind: &TokenFrame_Answer{Answer: fromTokenAnswer(m)}}, nil
	}
	f := encodeVote(m)
	if f == nil {
		return 0, nil, errors.Errorf("message of unknown type %T", m)
	}
	return KindVote, f, nil
}

func encodeVote(m quorum.Message) *VoteFrame {
	switch m := m.(type) {
	case *quorum.ProbeRequest:
		return &VoteFrame{Ballot: fromBallot(m.Ballot), Kind: &VoteFrame_Probe{Probe: &ProbeRequest{}}}
	case *quorum.ProbeAnswer:
		a := &ProbeAnswer{Standing: uint32(m.Status), Voter: FromNodeID(m.Voter)}
		return &VoteFrame{Ballot: fromBallot(m.Ballot), Kind: &VoteFrame_ProbeAnswer{ProbeAnswer: a}}
	case *quorum.SealRequest:
		r := &SealRequest{TimeMs: m.Time.UnixMilli()}
		return &VoteFrame{Ballot: fromBallot(m.Ballot), Kind: &VoteFrame_Seal{Seal: r}}
	case *quorum.SealAnswer:
		a := &SealAnswer{
			Standing: uint32(m.Status), TimeMs: m.Time.UnixMilli(), Voter: FromNodeID(m.Voter),
			RemainingNs: int64(m.Remaining),
		}
		return &VoteFrame{Ballot: fromBallot(m.Ballot), Kind: &VoteFrame_SealAnswer{SealAnswer: a}}
	}
	if f := encodePromise(m); f != nil {
		return f
	}
	return encodeClaim(m)
}

func encodePromise(m quorum.Message) *VoteFrame {
	switch m := m.(type) {
	case *tokenlease.PromiseRequest:
		r := &PromiseRequest{Holder: FromNodeID(m.Holder), Term: m.Term, Sequence: m.Sequence, Continued: m.Continued}
		return &VoteFrame{Ballot: fromBallot(m.Ballot), Kind: &VoteFrame_Promise{Promise: r}}
	case *tokenlease.PromiseAnswer:
		a := &PromiseAnswer{
			Sequence: m.Sequence, Promised: m.Promised, Holder: FromNodeID(m.Holder),
			Term: m.Term, RemainingNs: int64(m.Remaining),
		}
		return &VoteFrame{Ballot: fromBallot(m.Ballot), Kind: &VoteFrame_PromiseAnswer{PromiseAnswer: a}}
	case *tokenlease.PromiseRelease:
		r := &PromiseRelease{Holder: FromNodeID(m.Holder), Term: m.Term, RemainingNs: int64(m.Remaining)}
		return &VoteFrame{Ballot: fromBallot(m.Ballot), Kind: &VoteFrame_PromiseRelease{PromiseRelease: r}}
	}
	return nil
}

func encodeClaim(m quorum.Message) *VoteFrame {
	switch m := m.(type) {
	case *record.ClaimRequest:
		r := &ClaimRequest{
			Key: fromRequestKey(m.Key), Holder: fromHolder(m.Holder), Target: FromNodeID(m.Target),
			Round: int32(m.Round), Sequence: m.Sequence,
		}
		return &VoteFrame{Ballot: fromBallot(m.Ballot), Kind: &VoteFrame_Claim{Claim: r}}
	case *record.ClaimAnswer:
		a := &ClaimAnswer{
			Key: fromRequestKey(m.Key), Sequence: m.Sequence, Vote: uint32(m.Vote), Answer: fromStoredAnswer(m.Answer),
		}
		return &VoteFrame{Ballot: fromBallot(m.Ballot), Kind: &VoteFrame_ClaimAnswer{ClaimAnswer: a}}
	case *record.ClaimRelease:
		r := &ClaimRelease{Key: fromRequestKey(m.Key), Holder: fromHolder(m.Holder), Round: int32(m.Round)}
		return &VoteFrame{Ballot: fromBallot(m.Ballot), Kind: &VoteFrame_ClaimRelease{ClaimRelease: r}}
	case *record.ClaimComplete:
		c := &ClaimComplete{Key: fromRequestKey(m.Key), Holder: fromHolder(m.Holder), Answer: fromStoredAnswer(m.Answer)}
		return &VoteFrame{Ballot: fromBallot(m.Ballot), Kind: &VoteFrame_ClaimComplete{ClaimComplete: c}}
	}
	return nil
}

// fromBallot encodes the region, group and epoch that a message refers to, and the
// voter that a request addresses. Answers repeat the ballot.
func fromBallot(b quorum.Ballot) *Ballot {
	return &Ballot{Region: string(b.Group.Region), Group: int32(b.Group.Group), Epoch: b.Epoch, Voter: FromNodeID(b.Voter)}
}

func fromRequestKey(k record.RequestKey) *RequestKey {
	return &RequestKey{Customer: string(k.Customer), RequestId: k.ID[:]}
}

func fromHolder(h record.Holder) *Holder {
	return &Holder{Node: FromNodeID(h.Node), CallId: uint64(h.Call)}
}

func fromStoredAnswer(a *model.Answer) *StoredAnswer {
	if a == nil {
		return nil
	}
	return &StoredAnswer{Head: fromAnswer(a), Body: a.Body}
}

func fromTokenRequest(m *tokenlease.TokenRequest) *TokenRequest {
	reports := make([]*TokenReport, len(m.Reports))
	for i, r := range m.Reports {
		reports[i] = &TokenReport{Grant: r.GrantID, Used: int32(r.Used), Returned: int32(r.Returned)}
	}
	return &TokenRequest{
		Region: string(m.Group.Region), Group: int32(m.Group.Group), Customer: string(m.Customer),
		Want: int32(min(m.Want, maxCount)), Sequence: m.Sequence,
		Reports: reports,
	}
}

func fromTokenAnswer(m *tokenlease.TokenAnswer) *TokenAnswer {
	return &TokenAnswer{
		Customer: string(m.Customer), Sequence: m.Sequence, Granted: int32(m.Granted), Term: m.Term,
		LifeNs: int64(m.Lifetime), RetryAfterNs: int64(m.RetryAfter), NotGrantor: m.NotGrantor, Grantor: string(m.Grantor),
	}
}

func toRequestID(raw []byte) (model.RequestID, error) {
	id, err := uuid.FromBytes(raw)
	return id, errors.Wrap(err, "request id")
}
