package agent

import (
	"context"
	"time"

	admissionduty "github.com/oleanderworks/oleanderworks/agent/admission"
	"github.com/oleanderworks/oleanderworks/agent/appender"
	"github.com/oleanderworks/oleanderworks/agent/follower"
	"github.com/oleanderworks/oleanderworks/agent/links"
	membershipduty "github.com/oleanderworks/oleanderworks/agent/membership"
	"github.com/oleanderworks/oleanderworks/agent/quorum"
	routingduty "github.com/oleanderworks/oleanderworks/agent/routing"
	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/peerlink"
)

// logDuties holds the duties of a node that read and append to the log.
type logDuties struct {
	follower        *duty.Duty[follower.Message]
	followerHandler *follower.Handler
	appender        *duty.Duty[appender.Message]
	seeds           *follower.Seeds
}

// buildLogDuties builds the follower and appender duties and connects them to
// the other duties. statusSubscribers get each new LogStatus; build passes none.
func (n *Node) buildLogDuties(linksHandler *links.Handler, dispatcher *links.Dispatcher, statusSubscribers ...follower.StatusSubscriber) {
	ctx := n.tomb.Context(context.Background())
	d := &n.logDuties
	d.appender = appender.New(ctx, n.logService, newRand(), n.log)
	d.seeds = follower.NewSeeds(linksHandler, seedDialer{n.endpoint}, n.settings.Peers, n.log)
	d.follower, d.followerHandler = follower.New(follower.Config{
		Context:             ctx,
		LogService:          n.logService,
		Self:                n.member(),
		Streams:             n.streams(),
		Rand:                newRand(),
		Checker:             n.checker,
		Log:                 n.log,
		Peers:               d.seeds,
		Append:              func(a *appender.Append) bool { return d.appender.Ring().Offer(a) },
		StatusSubscribers:   statusSubscribers,
		SnapshotSubscribers: n.snapshotSubscribers(),
	})
	for kind, handler := range follower.PayloadHandlers(d.follower.Ring(), n.log) {
		dispatcher.Register(kind, handler)
	}
	n.vars.Set("follower", d.follower.Vars())
	n.vars.Set("appender", d.appender.Vars())
}

// snapshotSubscribers returns a subscriber for each duty that needs the
// configuration.
func (n *Node) snapshotSubscribers() []follower.SnapshotSubscriber {
	return []follower.SnapshotSubscriber{
		func(s *model.Snapshot) bool { return n.routing.Ring().Offer(&routingduty.SnapshotChanged{Snapshot: s}) },
		func(s *model.Snapshot) bool {
			return n.admission.Ring().Offer(&admissionduty.SnapshotChanged{Snapshot: s})
		},
		func(s *model.Snapshot) bool { return n.quorum.Ring().Offer(&quorum.SnapshotChanged{Snapshot: s}) },
		func(s *model.Snapshot) bool {
			return n.membership.Ring().Offer(&membershipduty.SnapshotChanged{Snapshot: s})
		},
		func(s *model.Snapshot) bool { return n.links.Ring().Offer(&links.SnapshotChanged{Snapshot: s}) },
	}
}

func (n *Node) startLogDuties(ctx context.Context) {
	d := &n.logDuties
	d.appender.Start(&n.tomb)
	d.follower.Start(&n.tomb)
	n.tomb.Go(func() error {
		d.seeds.Run(ctx)
		return nil
	})
}

// seedDialer dials peers by address only, since their instances are not known.
type seedDialer struct{ endpoint *peerlink.Endpoint }

// Dial implements follower.Dialer.
func (d seedDialer) Dial(ctx context.Context, peer model.Member) (*peerlink.Session, error) {
	return d.endpoint.Dial(ctx, model.Member{PeerAddress: peer.PeerAddress})
}

// streams returns the streams of the log that the node follows.
func (n *Node) streams() []string {
	services := n.settings.EntryServices
	if len(services) == 0 {
		services = []string{n.settings.Service}
	}
	streams := []string{model.ConfigStream, model.GroupStream(model.Region(n.settings.Region))}
	hasOwnService := false
	for _, s := range services {
		hasOwnService = hasOwnService || s == n.settings.Service
		streams = append(streams, model.MemberStream(model.Service(s)))
	}
	if !hasOwnService {
		streams = append(streams, model.MemberStream(model.Service(n.settings.Service)))
	}
	return streams
}

// groupsKnownAsOf returns the latest time such that this node has applied every
// composition of the region's quorum groups that was appended earlier, whether it
// was read from the log or received from a peer.
func (n *Node) groupsKnownAsOf() time.Time {
	return n.logDuties.followerHandler.View().KnownAsOf(model.GroupStream(model.Region(n.settings.Region)))
}
