package mesh

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/policy/mesh/memory"
)

func newMemoryNode(t *testing.T, bytes int64) *Node {
	n := New(&Settings{Instance: "10.0.0.1:7000", Service: "s", Zone: "z", TargetAddress: "127.0.0.1:1", MemoryBytes: bytes},
		nil, versionDecoder{}, plainCodec{}, hclog.NewNullLogger())
	t.Cleanup(func() { n.tomb.Kill(nil) })
	return n
}

// Guards against closing a connection that was chosen while its caller read an answer slowly,
// and whose next request runs by the time it is told to end.
func TestInterruptSparesConnectionThatHasMovedOn(t *testing.T) {
	caller, accepted := net.Pipe()
	defer caller.Close()
	c := newCallerConn(newMemoryNode(t, 64<<20), accepted)
	c.setState(memory.StateRunning)
	c.interrupt(memory.StateWriting, false)
	go func() { _, _ = caller.Read(make([]byte, 1)) }()
	_ = accepted.SetDeadline(time.Now().Add(time.Second))
	_, err := accepted.Write([]byte{'x'})
	assert.NilError(t, err)
}

// Guards against holders that the account keeps for good: each large frame of a link has one,
// also if there is no room for it, or if its bytes are returned before it ends.
func TestHoldingWithoutBytesIsRemoved(t *testing.T) {
	for _, granted := range []bool{false, true} {
		n := newMemoryNode(t, 64<<20)
		take := func() memoryMessage {
			batch := make([]memoryMessage, 1)
			_, _ = n.memory.Ring().Take(batch, time.After(time.Second), nil)
			return batch[0] // nil if there was no message
		}
		held := n.newHolding()
		go func() {
			if m, ok := take().(charged); ok {
				m.reply.Send(granted)
			}
		}()
		err := held.acquire(1<<20, memory.UseAnswer)
		assert.Equal(t, err == nil, granted)
		if granted {
			held.reset()
			assert.Equal(t, take(), memoryMessage(bytesReleased{id: held.id, bytes: 1<<20 - coveredBytes}))
		}
		held.end()
		assert.Equal(t, take(), memoryMessage(holderRemoved{id: held.id}))
	}
}

// Guards against a refusal of an ordinary request whose body has many lines: the begin of a
// body often comes together with the head, and its lines are no fields.
func TestLinesOfBodyAreNoFields(t *testing.T) {
	n := newMemoryNode(t, 64<<20)
	n.memory.Start(&n.tomb)
	body := strings.Repeat("1\n", 1500)
	fields := strings.Repeat("a: b\r\n", maxFields)
	for _, test := range []struct {
		reads []string
		want  error
	}{
		{[]string{"POST / HTTP/1.1\r\nHost: a\r\n\r\n" + body}, nil},
		{[]string{"POST / HTTP/1.1\r\nHost: a\r\n\r", "\n" + body}, nil},
		{[]string{"POST / HTTP/1.1\nHost: a\n\n" + body}, nil},
		{[]string{"POST / HTTP/1.1\r\nHo", "st: a\r\n", fields + "\r\n"}, errHeadTooLarge},
	} {
		caller, accepted := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, caller) }()
		c := newCallerConn(n, accepted)
		var err error
		for _, read := range test.reads {
			if err = c.countHead([]byte(read)); err != nil {
				break
			}
		}
		assert.Equal(t, err, test.want, "%.40q", test.reads)
		c.Close()
	}
}
