package mesh

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/logservice/keyed"
)

// publishRingCapacity bounds the requests to publish the address. One that waits stands
// for any number of them.
const publishRingCapacity = 1

// publishRequest asks to append the node's address to the stream of nodes.
type publishRequest struct{}

// addressPublisher appends the node's address to the stream of nodes on its own thread.
type addressPublisher struct {
	node     *Node
	requests *ring.Ring[publishRequest]
}

func newAddressPublisher(n *Node) *addressPublisher {
	return &addressPublisher{node: n, requests: ring.New[publishRequest]("address requests", publishRingCapacity)}
}

// request publishes the address once more. If a request waits already, that one suffices.
func (p *addressPublisher) request() { p.requests.Offer(publishRequest{}) }

// run serves requests until ctx ends.
func (p *addressPublisher) run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	batch := make([]publishRequest, publishRingCapacity)
	for ctx.Err() == nil {
		if _, err := p.requests.Take(batch, nil, ctx.Done()); err != nil {
			return
		}
		p.publish(ctx)
	}
}

// publish appends the address. An append whose answer was lost can be repeated safely,
// since a second record with the same key replaces the first.
func (p *addressPublisher) publish(ctx context.Context) {
	n := p.node
	backoff := initialBackoff
	value := []byte(`{"zone":"` + string(n.settings.Zone) + `"}`)
	for ctx.Err() == nil {
		era, err := n.store.Append(ctx, keyed.StreamNodes, string(n.settings.Instance), value)
		if err == nil {
			n.log.Emit(event.MeshAnnounced, "address", n.settings.Instance, "era", era)
			_ = n.peers.Ring().Put(ctx, addressPublished{era: era}) // fails only when the node stops
			return
		}
		n.log.Emit(event.MeshAnnounceFailed, "error", err)
		sleep(ctx, backoff/2+time.Duration(rand.Float64()*float64(backoff)))
		backoff = min(2*backoff, maxBackoff)
	}
}
