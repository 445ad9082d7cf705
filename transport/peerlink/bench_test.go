package peerlink

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

// benchPair is a node and an endpoint that stands for all of the node's peers. They
// use TLS.
type benchPair struct {
	peer     model.Member
	node     *Endpoint
	received atomic.Int64 // heartbeats that arrived at the node
	accepted chan *Session
}

func heartbeatFrame() *wire.ControlFrame {
	const uptimeUs = 36e9 // 10 hours in microseconds
	return &wire.ControlFrame{Kind: &wire.ControlFrame_Heartbeat{Heartbeat: &wire.Heartbeat{
		SentUs: uptimeUs, EchoSentUs: uptimeUs, EchoHeldUs: 5e5,
		Load: &wire.Load{InFlight: 60, Queued: 20, Limit: 120, SojournNs: 4e6},
	}}}
}

func newBenchPair(b *testing.B) *benchPair {
	b.Helper()
	ca := newTestCA(b)
	p := &benchPair{accepted: make(chan *Session, 256)}
	peersEndpoint := newEndpoint("tally-1", ca.issue(b, b.TempDir(), "tally-1"))
	peersEndpoint.OnAccepted = func(s *Session) { p.accepted <- s }
	peersEndpoint.HandleControl = func(s *Session, _ *wire.ControlFrame) { s.Send(heartbeatFrame()) }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	tb := new(tomb.Tomb)
	tb.Go(func() error { return peersEndpoint.Serve(tb, l) })
	b.Cleanup(func() { tb.Kill(nil); _ = tb.Wait() })
	p.peer = testMember("tally-1", l.Addr().String())
	p.node = newEndpoint("registry-1", ca.issue(b, b.TempDir(), "registry-1"))
	p.node.HandleControl = func(*Session, *wire.ControlFrame) { p.received.Add(1) }
	return p
}

func (p *benchPair) open(b *testing.B, n int) (out, in []*Session) {
	b.Helper()
	for range n {
		s, err := p.node.Dial(context.Background(), p.peer)
		assert.NilError(b, err)
		b.Cleanup(s.Close)
		out, in = append(out, s), append(in, <-p.accepted)
	}
	return out, in
}

func bytesReceived(sessions []*Session) int64 {
	var n int64
	for _, s := range sessions {
		n += s.BytesReceived()
	}
	return n
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkHeartbeatRound exchanges one heartbeat in each direction on every
// session, as a node does every second. Both ends run in this process, so half of
// the process's CPU time is reported. The byte counts are those of TLS records,
// without the headers of TCP and IP.
func BenchmarkHeartbeatRound(b *testing.B) {
	for _, peers := range []int{10, 50, 110, 400} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			p := newBenchPair(b)
			out, in := p.open(b, peers)
			sentBefore, receivedBefore, cpuBefore := bytesReceived(in), bytesReceived(out), cpuTime(b)
			rounds := 0
			for b.Loop() {
				want := p.received.Load() + int64(peers)
				for _, s := range out {
					s.Send(heartbeatFrame())
				}
				for p.received.Load() < want {
					time.Sleep(20 * time.Microsecond)
				}
				rounds++
			}
			b.ReportMetric(float64(bytesReceived(in)-sentBefore)/float64(rounds), "sent-B/round")
			b.ReportMetric(float64(bytesReceived(out)-receivedBefore)/float64(rounds), "received-B/round")
			b.ReportMetric(float64((cpuTime(b)-cpuBefore).Microseconds())/float64(2*rounds), "cpu-us/round")
		})
	}
}

// BenchmarkLinkMemory reports the memory that an idle session uses at one end,
// and the CPU time of opening it at one end, including the TLS handshake.
func BenchmarkLinkMemory(b *testing.B) {
	for _, links := range []int{10, 50, 110, 400} {
		b.Run(fmt.Sprintf("links=%d", links), func(b *testing.B) {
			p := newBenchPair(b)
			p.open(b, 1)
			memoryBefore, cpuBefore := memoryInUse(), cpuTime(b)
			opened := 0
			for b.Loop() {
				p.open(b, links)
				opened += links
			}
			b.ReportMetric(float64((cpuTime(b)-cpuBefore).Microseconds())/float64(2*opened), "open-cpu-us/link")
			b.ReportMetric((memoryInUse()-memoryBefore)/float64(2*opened), "B/link")
		})
	}
}

func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// BenchmarkCall sends calls over one session, with 1 KiB in the body of each call
// and each answer.
func BenchmarkCall(b *testing.B) {
	body := make([]byte, 1024)
	for _, parallel := range []int{1, 16} {
		b.Run(fmt.Sprintf("parallel=%d", parallel), func(b *testing.B) {
			p := newBenchPair(b)
			out, _ := p.open(b, 1)
			b.ReportAllocs()
			b.SetParallelism(parallel)
			run := func() {
				call := &model.Call{ID: 7, Method: "POST", Path: "/tallies", Body: body, Deadline: time.Now().Add(time.Minute)}
				call.EntryNode.Instance = "registry-1"
				if a := out[0].Call(context.Background(), call); a.FromNode() {
					b.Error(a.Detail)
				}
			}
			if parallel == 1 {
				for b.Loop() {
					run()
				}
				return
			}
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					run()
				}
			})
		})
	}
}
