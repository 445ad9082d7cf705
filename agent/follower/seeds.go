package follower

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/peerlink"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

// seedDialInterval is the time between attempts to dial the seed addresses. It can be
// short, since few nodes start at the same time and each has few seed addresses.
const seedDialInterval = time.Second

// Dialer opens a session to a peer.
type Dialer interface {
	Dial(ctx context.Context, peer model.Member) (*peerlink.Session, error)
}

// Seeds implements Peers with the node's links and, while it has none, with sessions
// to the seeds, which are the peer addresses in its settings. It lets a node that
// cannot reach the log service get the configuration from its peers.
type Seeds struct {
	links     Peers
	dialer    Dialer
	addresses []string
	log       *event.Log
	sessions  atomic.Pointer[map[model.Instance]*peerlink.Session]
}

// NewSeeds returns Seeds without sessions, which Run opens.
func NewSeeds(links Peers, dialer Dialer, addresses []string, log *event.Log) *Seeds {
	s := &Seeds{links: links, dialer: dialer, addresses: addresses, log: log}
	s.sessions.Store(&map[model.Instance]*peerlink.Session{})
	return s
}

// Connected implements Peers. A seed is named by its address, since its instance is
// not known.
func (s *Seeds) Connected() []model.Instance {
	out := s.links.Connected()
	for i := range *s.sessions.Load() {
		out = append(out, i)
	}
	return out
}

// Send implements Peers.
func (s *Seeds) Send(to model.Instance, kind uint32, m proto.Message) bool {
	session := (*s.sessions.Load())[to]
	if session == nil {
		return s.links.Send(to, kind, m)
	}
	f, err := wire.NewPayload(kind, m)
	if err != nil {
		s.log.Emit(event.PayloadUnknown, "peer", to, "kind", kind, "error", err)
		return false
	}
	return session.Send(f)
}

// Run opens and closes sessions until ctx ends. It blocks while it dials, so it needs
// its own goroutine.
func (s *Seeds) Run(ctx context.Context) {
	ticker := time.NewTicker(seedDialInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && len(s.addresses) > 0 {
		s.dialSeeds(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	s.closeAll()
}

func (s *Seeds) dialSeeds(ctx context.Context) {
	if len(s.links.Connected()) > 0 {
		s.closeAll()
		return
	}
	open := maps.Clone(*s.sessions.Load())
	maps.DeleteFunc(open, func(_ model.Instance, session *peerlink.Session) bool { return isClosed(session) })
	for _, address := range s.addresses {
		name := model.Instance(address)
		if open[name] != nil {
			continue
		}
		seed := model.Member{NodeID: model.NodeID{Instance: name}, PeerAddress: address}
		session, err := s.dialer.Dial(ctx, seed)
		if err != nil {
			s.log.Emit(event.DialFailed, "peer", address, "error", err)
			continue
		}
		open[name] = session
	}
	s.sessions.Store(&open)
}

func (s *Seeds) closeAll() {
	open := *s.sessions.Load()
	if len(open) == 0 {
		return
	}
	s.sessions.Store(&map[model.Instance]*peerlink.Session{})
	for _, session := range slices.Collect(maps.Values(open)) {
		session.Close()
	}
}

func isClosed(s *peerlink.Session) bool {
	select {
	case <-s.Done():
		return true
	default:
		return false
	}
}
