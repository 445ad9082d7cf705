package mesh

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/mesh/fleet"
	"github.com/oleanderworks/oleanderworks/transport/frame"
)

// Guards against a record that names no node and hides the nodes in the records after it.
func TestInvalidNodeRecordLeavesOthers(t *testing.T) {
	h, _ := newPeersHandlerWithLinks(nil)
	var log bytes.Buffer
	h.node.log = event.New(hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: &log}))
	h.core = fleet.New("10.0.0.1:7000", h.loader.version, newRand())
	h.onNodesRead(time.Now(), logAnswer{records: []keyed.Record{
		{Key: "10.0.0.2:7000", Value: []byte(strings.Repeat("[", 20000))},
		{Key: "10.0.0.3:99999", Value: []byte("{}"), Position: model.LogPosition{Offset: 1}},
		{Value: []byte("{}"), Position: model.LogPosition{Offset: 2}},
		{Key: "10.0.0.4:7000", Value: []byte(`{"zone":1e999}`), Position: model.LogPosition{Offset: 3}},
	}})
	peers, _ := h.core.ChangedPeers()
	assert.DeepEqual(t, peers, []model.Instance{"10.0.0.2:7000", "10.0.0.4:7000"})
	assert.Equal(t, strings.Count(log.String(), event.MeshRecordRejected.Name), 2, log.String())
}

// Guards against a connection without a valid hello that adds a peer.
func TestLinkWithInvalidAddressIsClosed(t *testing.T) {
	h, _ := newPeersHandlerWithLinks(nil)
	h.core = fleet.New("10.0.0.1:7000", h.loader.version, newRand())
	own, other := net.Pipe()
	defer other.Close()
	l := &link{peer: frame.Hello{Node: model.NodeID{Instance: ":1"}}, conn: own, queue: ring.New[frame.Message]("test", 8)}
	h.node.log = event.New(hclog.NewNullLogger())
	h.handle(time.Now(), incomingOpened{link: l})
	_, changed := h.core.ChangedPeers()
	assert.Assert(t, !changed)
	_, err := other.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
}

// Guards against a connection that is not from a node and makes the node allocate as much
// memory as for the largest message.
func TestOversizedHelloIsRejected(t *testing.T) {
	own, other := net.Pipe()
	defer own.Close()
	defer other.Close()
	go func() {
		_, _ = io.CopyN(io.Discard, other, int64(len(frame.Append(nil, frame.Hello{}))))
		_, _ = other.Write([]byte{0x04, 0, 0, 0, byte(frame.KindHello)})
	}()
	_, err := handshake(own, frame.Hello{})
	assert.ErrorContains(t, err, "frame of 67108864 bytes")
}
