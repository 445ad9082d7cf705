package wire

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
	"github.com/oleanderworks/oleanderworks/policy/node/tokenlease"
)

// DecodeQuorum decodes a payload of kind KindVote or KindTokens. It returns an
// error for unknown or invalid content.
func DecodeQuorum(kind uint32, body []byte) (quorum.Message, error) {
	if kind == KindTokens {
		f := new(TokenFrame)
		if err := proto.Unmarshal(body, f); err != nil {
			return nil, errors.Wrap(err, "decode token frame")
		}
		return toTokenMessage(f)
	}
	f := new(VoteFrame)
	if err := proto.Unmarshal(body, f); err != nil {
		return nil, errors.Wrap(err, "decode vote frame")
	}
	if f.GetBallot() == nil || f.GetBallot().GetVoter() == nil {
		return nil, errors.New("vote frame without ballot")
	}
	return toVoteMessage(toBallot(f.GetBallot()), f)
}

func toVoteMessage(b quorum.Ballot, f *VoteFrame) (quorum.Message, error) {
	switch k := f.GetKind().(type) {
	case *VoteFrame_Probe:
		return &quorum.ProbeRequest{Ballot: b}, nil
	case *VoteFrame_ProbeAnswer:
		status, err := toVoterStatus(k.ProbeAnswer.GetStanding())
		return &quorum.ProbeAnswer{Ballot: b, Status: status, Voter: ToNodeID(k.ProbeAnswer.GetVoter())}, err
	case *VoteFrame_Seal:
		return &quorum.SealRequest{Ballot: b, Time: time.UnixMilli(k.Seal.GetTimeMs())}, nil
	case *VoteFrame_SealAnswer:
		a := k.SealAnswer
		status, err := toVoterStatus(a.GetStanding())
		return &quorum.SealAnswer{
			Ballot: b, Status: status, Time: time.UnixMilli(a.GetTimeMs()), Voter: ToNodeID(a.GetVoter()),
			Remaining: clampDuration(a.GetRemainingNs()),
		}, err
	case *VoteFrame_Promise:
		r := k.Promise
		return &tokenlease.PromiseRequest{
			Ballot: b, Holder: ToNodeID(r.GetHolder()), Term: r.GetTerm(), Sequence: r.GetSequence(),
			Continued: r.GetContinued(),
		}, nil
	case *VoteFrame_PromiseAnswer:
		a := k.PromiseAnswer
		return &tokenlease.PromiseAnswer{
			Ballot: b, Sequence: a.GetSequence(), Promised: a.GetPromised(), Holder: ToNodeID(a.GetHolder()),
			Term: a.GetTerm(), Remaining: clampDuration(a.GetRemainingNs()),
		}, nil
	case *VoteFrame_PromiseRelease:
		r := k.PromiseRelease
		return &tokenlease.PromiseRelease{
			Ballot: b, Holder: ToNodeID(r.GetHolder()), Term: r.GetTerm(),
			Remaining: clampDuration(r.GetRemainingNs()),
		}, nil
	}
	return toClaimMessage(b, f)
}

func toClaimMessage(b quorum.Ballot, f *VoteFrame) (quorum.Message, error) {
	switch k := f.GetKind().(type) {
	case *VoteFrame_Claim:
		r := k.Claim
		key, err := toRequestKey(r.GetKey())
		return &record.ClaimRequest{
			Ballot: b, Key: key, Holder: toHolder(r.GetHolder()), Target: ToNodeID(r.GetTarget()),
			Round: int(r.GetRound()), Sequence: r.GetSequence(),
		}, err
	case *VoteFrame_ClaimAnswer:
		a := k.ClaimAnswer
		key, err := toRequestKey(a.GetKey())
		if err != nil {
			return nil, err
		}
		return toClaimAnswer(b, key, a)
	case *VoteFrame_ClaimRelease:
		r := k.ClaimRelease
		key, err := toRequestKey(r.GetKey())
		return &record.ClaimRelease{Ballot: b, Key: key, Holder: toHolder(r.GetHolder()), Round: int(r.GetRound())}, err
	case *VoteFrame_ClaimComplete:
		c := k.ClaimComplete
		key, err := toRequestKey(c.GetKey())
		if err == nil && c.GetAnswer() == nil {
			err = errors.New("completion without answer")
		}
		return &record.ClaimComplete{Ballot: b, Key: key, Holder: toHolder(c.GetHolder()), Answer: toStoredAnswer(c.GetAnswer())}, err
	default:
		return nil, errors.Errorf("vote frame of unknown kind %T", k)
	}
}

func toClaimAnswer(b quorum.Ballot, key record.RequestKey, m *ClaimAnswer) (quorum.Message, error) {
	vote := record.Vote(m.GetVote())
	if m.GetVote() > uint32(record.VoteUnknownEpoch) {
		return nil, errors.Errorf("unknown vote %d", m.GetVote())
	}
	if vote == record.VoteCompleted && m.GetAnswer() == nil {
		return nil, errors.New("vote for a completed request without its answer")
	}
	return &record.ClaimAnswer{Ballot: b, Key: key, Sequence: m.GetSequence(), Vote: vote, Answer: toStoredAnswer(m.GetAnswer())}, nil
}

func toTokenMessage(f *TokenFrame) (quorum.Message, error) {
	switch k := f.GetKind().(type) {
	case *TokenFrame_Request:
		r := k.Request
		reports := make([]tokenlease.Report, len(r.GetReports()))
		for i, p := range r.GetReports() {
			reports[i] = tokenlease.Report{GrantID: p.GetGrant(), Used: clampCount(p.GetUsed()), Returned: clampCount(p.GetReturned())}
		}
		return &tokenlease.TokenRequest{
			Group:    model.GroupKey{Region: model.Region(r.GetRegion()), Group: int(r.GetGroup())},
			Customer: model.Customer(r.GetCustomer()), Want: clampCount(r.GetWant()), Sequence: r.GetSequence(),
			Reports: reports,
		}, nil
	case *TokenFrame_Answer:
		a := k.Answer
		return &tokenlease.TokenAnswer{
			Customer: model.Customer(a.GetCustomer()), Sequence: a.GetSequence(), Granted: clampCount(a.GetGranted()),
			Term: a.GetTerm(), Lifetime: clampDuration(a.GetLifeNs()), RetryAfter: clampDuration(a.GetRetryAfterNs()),
			NotGrantor: a.GetNotGrantor(), Grantor: model.Instance(a.GetGrantor()),
		}, nil
	default:
		return nil, errors.Errorf("token frame of unknown kind %T", k)
	}
}

func toBallot(b *Ballot) quorum.Ballot {
	return quorum.Ballot{
		Group: model.GroupKey{Region: model.Region(b.GetRegion()), Group: int(b.GetGroup())},
		Epoch: b.GetEpoch(), Voter: ToNodeID(b.GetVoter()),
	}
}

// toVoterStatus decodes the field standing of a voter's answer.
func toVoterStatus(s uint32) (quorum.VoterStatus, error) {
	if s > uint32(quorum.VoterRestarted) {
		return 0, errors.Errorf("unknown voter status %d", s)
	}
	return quorum.VoterStatus(s), nil
}

func toRequestKey(k *RequestKey) (record.RequestKey, error) {
	id, err := toRequestID(k.GetRequestId())
	return record.RequestKey{Customer: model.Customer(k.GetCustomer()), ID: id}, err
}

func toHolder(h *Holder) record.Holder {
	return record.Holder{Node: ToNodeID(h.GetNode()), Call: model.CallID(h.GetCallId())}
}

func toStoredAnswer(a *StoredAnswer) *model.Answer {
	if a == nil {
		return nil
	}
	out := toAnswer(a.GetHead())
	out.Body = a.GetBody()
	return out
}

func clampCount(n int32) int { return int(min(max(n, 0), maxCount)) }

func clampDuration(ns int64) time.Duration {
	return min(max(time.Duration(ns), 0), maxDuration)
}
