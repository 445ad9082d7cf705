package wire

import "google.golang.org/protobuf/proto"

// Kinds of payloads on a control stream. Each kind is handled by one duty.
const (
	KindVote            uint32 = 100 // quorum: status of voters, seals, lease promises and claims
	KindTokens          uint32 = 110 // quorum: token requests and grants
	KindProbe           uint32 = 200 // membership: requests to probe a peer on behalf of the sender, and answers
	KindSuspicion       uint32 = 201 // membership: reports that a peer is unreachable or reachable again, and answers that it is reachable
	KindRecords         uint32 = 300 // follower: log records and documents from a peer
	KindRecordsRequest  uint32 = 301 // follower: requests for log records and documents
	KindWithdrawal      uint32 = 302 // follower: withdrawn keys, and confirmations of them
	KindCrashMark       uint32 = 400 // admission: requests that may have crashed a target
	KindCrashMarkLifted uint32 = 401 // admission: marked requests that have completed
)

// NewPayload returns the control frame that carries m as a payload.
func NewPayload(kind uint32, m proto.Message) (*ControlFrame, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	return &ControlFrame{Kind: &ControlFrame_Payload{Payload: &Payload{Kind: kind, Body: body}}}, nil
}
