package wire

import "google.golang.org/protobuf/proto"

// Kinds of payloads on a control stream. Each kind belongs to one duty.
const (
	KindVote            uint32 = 100 // quorum: votes, leases and claims
	KindTokens          uint32 = 110 // quorum: token requests and grants
	KindProbe           uint32 = 200 // membership: indirect probes
	KindSuspicion       uint32 = 201 // membership: reports of silent peers
	KindRecords         uint32 = 300 // follower: log records passed on
	KindRecordsRequest  uint32 = 301 // follower: ask for log records
	KindWithdrawal      uint32 = 302 // follower: a withdrawn key
	KindCrashMark       uint32 = 400 // admission: a request that lost a target
	KindCrashMarkLifted uint32 = 401 // admission: a marked request completed
)

// NewPayload encodes a message for the control stream.
func NewPayload(kind uint32, m proto.Message) (*ControlFrame, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	return &ControlFrame{Kind: &ControlFrame_Payload{Payload: &Payload{Kind: kind, Body: body}}}, nil
}
