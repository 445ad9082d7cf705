package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/url"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	admissionduty "github.com/oleanderworks/oleanderworks/agent/admission"
	"github.com/oleanderworks/oleanderworks/agent/appender"
	"github.com/oleanderworks/oleanderworks/agent/follower"
	"github.com/oleanderworks/oleanderworks/agent/links"
	membershipduty "github.com/oleanderworks/oleanderworks/agent/membership"
	routingduty "github.com/oleanderworks/oleanderworks/agent/routing"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/drain"
	"github.com/oleanderworks/oleanderworks/policy/node/membership"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

const (
	// targetPollInterval is the time between attempts to connect to a target that
	// has not started yet.
	targetPollInterval = 100 * time.Millisecond
	// targetConnectTimeout bounds one such attempt.
	targetConnectTimeout = time.Second
	// peerProbeTimeout bounds a probe of a peer on behalf of another node.
	peerProbeTimeout = 2 * time.Second
)

// buildMembership builds the membership duty and connects it to the other duties
// and to its peers.
func (n *Node) buildMembership(dispatcher *links.Dispatcher) {
	core := membership.New(*n.self.Load(), newRand())
	n.membership = membershipduty.New(core, drain.New(n.settings.DrainTime), membershipduty.Outputs{
		Send:        func(to model.Instance, kind uint32, m *wire.Probe) { n.linksHandler.Send(to, kind, m) },
		Broadcast:   func(kind uint32, m *wire.Suspicion) { n.linksHandler.Broadcast(kind, m) },
		SetExcluded: n.setExcluded,
		ReportPeerLoad: func(i model.Instance, l model.Load) {
			n.routing.Ring().Offer(&routingduty.LoadReport{Instance: i, Load: l})
		},
		UpdateContact:     n.updateContact,
		SetOwnLoad:        n.setOwnLoad,
		SampleLoad:        n.sampleLoad,
		Append:            n.appendMember,
		ProbePeer:         func(to model.Instance, id uint64, m model.Member) { go n.probePeer(to, id, m) },
		InFlight:          n.inFlight,
		RunShutdownStep:   n.runShutdownStep,
		ChangeIncarnation: n.changeIncarnation,
	}, n.log)
	dispatcher.Register(wire.KindProbe, n.onProbe)
	dispatcher.Register(wire.KindSuspicion, n.onSuspicion)
}

// changeIncarnation gives the node a new incarnation. The follower duty needs it to
// refresh the node's join record, and the admission duty to check claims: it accepts
// those that name this incarnation or an earlier one of this process. A goroutine
// waits for room in their rings, so that the membership thread does not block.
func (n *Node) changeIncarnation(self model.Member) {
	n.self.Store(&self)
	ctx := n.tomb.Context(context.Background())
	go func() {
		_ = n.admission.Ring().Put(ctx, &admissionduty.IncarnationChanged{Self: self})
		_ = n.logDuties.follower.Ring().Put(ctx, &follower.IncarnationChanged{Self: self})
	}()
}

func (n *Node) setExcluded(i model.Instance, excluded bool) bool {
	return n.routing.Ring().Offer(&routingduty.ExclusionChanged{Instance: i, Excluded: excluded})
}

// updateContact drops the message if a ring is full. The membership duty repeats it
// at each tick, and contact expires if no message arrives.
func (n *Node) updateContact(until time.Time) {
	n.routing.Ring().Offer(&routingduty.ContactChanged{Until: until})
	n.admission.Ring().Offer(&admissionduty.ContactChanged{Until: until})
}

func (n *Node) setOwnLoad(l model.Load) {
	n.links.Ring().Offer(&links.OwnLoad{Load: l})
}

func (n *Node) sampleLoad() {
	n.admission.Ring().Offer(&admissionduty.SampleLoad{Deliver: func(l model.Load) {
		n.membership.Ring().Offer(&membershipduty.LoadSampled{Load: l})
	}})
}

func (n *Node) onHeartbeat(from model.Member, sentAt, echoSentAt time.Time, l model.Load) {
	n.membership.Ring().Offer(&membershipduty.HeartbeatReceived{From: from, SentAt: sentAt, EchoSentAt: echoSentAt, Load: l})
}

func (n *Node) onGoodbye(from model.Instance) {
	n.membership.Ring().Offer(&membershipduty.PeerLeaving{From: from})
}

func (n *Node) onProbe(from model.Member, body []byte) {
	var p wire.Probe
	if proto.Unmarshal(body, &p) != nil {
		return
	}
	if p.GetAnswer() {
		n.membership.Ring().Offer(&membershipduty.ProbeAnswered{ID: p.GetId(), Reached: p.GetReached()})
		return
	}
	peer := model.Member{NodeID: wire.ToNodeID(p.GetPeer()), PeerAddress: p.GetAddress()}
	n.membership.Ring().Offer(&membershipduty.ProbeRequested{From: from.Instance, ID: p.GetId(), Peer: peer})
}

func (n *Node) onSuspicion(from model.Member, body []byte) {
	var s wire.Suspicion
	if proto.Unmarshal(body, &s) != nil {
		return
	}
	n.membership.Ring().Offer(&membershipduty.SuspicionReceived{From: from, Peer: wire.ToNodeID(s.GetPeer()), Retracted: s.GetLifted(), Refuted: s.GetRefuted()})
}

// probePeer tries to connect to a peer on behalf of another node and sends that node
// the result.
func (n *Node) probePeer(to model.Instance, id uint64, m model.Member) {
	ctx, cancel := context.WithTimeout(n.tomb.Context(context.Background()), peerProbeTimeout)
	defer cancel()
	err := n.endpoint.Probe(ctx, m)
	n.linksHandler.Send(to, wire.KindProbe, &wire.Probe{Id: id, Answer: true, Reached: err == nil})
}

// appendMember passes a record to the appender. The appender uses the record's ID to
// find it in the log if the log service's answer was lost. If the appender's ring is
// full, the record is dropped and the membership duty gets no AppendDone.
func (n *Node) appendMember(r *model.MemberRecord) {
	r.ID = uuid.NewString()
	body, err := json.Marshal(r)
	if err != nil {
		n.log.Emit(event.RecordMalformed, "error", errors.Wrap(err, "encode member record"))
		return
	}
	n.logDuties.appender.Ring().Offer(&appender.Append{
		Stream: model.MemberStream(r.Member.Service),
		ID:     r.ID,
		Body:   body,
		Done: func(err error) {
			n.membership.Ring().Offer(&membershipduty.AppendDone{Record: r, Err: err})
		},
	})
}

// waitForTarget waits until the target accepts connections and then notifies the
// membership duty.
func (n *Node) waitForTarget(ctx context.Context) {
	u, err := url.Parse(n.settings.TargetURL)
	if err != nil {
		return
	}
	dialer := net.Dialer{Timeout: targetConnectTimeout}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", u.Host)
		if err == nil {
			conn.Close()
			_ = n.membership.Ring().Put(ctx, &membershipduty.TargetUp{})
			return
		}
		select {
		case <-time.After(targetPollInterval):
		case <-ctx.Done():
		}
	}
}
