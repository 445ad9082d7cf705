package follower

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/agent/appender"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/logservice/httplog"
	"github.com/oleanderworks/oleanderworks/logservice/memlog"
	"github.com/oleanderworks/oleanderworks/logservice/publish"
	"github.com/oleanderworks/oleanderworks/model"
)

// noPeers implements Peers for a node without links.
type noPeers struct{}

func (noPeers) Connected() []model.Instance                     { return nil }
func (noPeers) Send(model.Instance, uint32, proto.Message) bool { return false }
func (noPeers) append(*appender.Append) bool                    { return true }

// countingListener counts the bytes of all its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, bytes: l.bytes}, nil
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkConfigPropagation measures, over HTTP on one machine, the time from the
// start of a publication until all followers have the new configuration, and the
// bytes that each follower exchanges with the log service for one change.
func BenchmarkConfigPropagation(b *testing.B) {
	for _, followers := range []int{25, 100, 400} {
		b.Run(fmt.Sprintf("followers=%d", followers), func(b *testing.B) { benchmarkConfigPropagation(b, followers) })
	}
}

func benchmarkConfigPropagation(b *testing.B, followers int) {
	log := memlog.New(time.Now, time.Hour)
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(httplog.NewHandler(log))
	server.Listener = countingListener{Listener: server.Listener, bytes: &bytes}
	server.Start()
	defer server.Close()

	var t tomb.Tomb
	applied := make(chan struct{}, 100*followers)
	for i := range followers {
		startFollower(b, &t, i, server.URL, applied)
	}
	client := publish.NewClient(log, "bench")
	publishOne := func(i int) {
		body := json.RawMessage(fmt.Sprintf(`{"name":"c","rate":%d,"burst":50,"weight":1,"home":"viti","owner":"a@b.example"}`, i+1))
		base := client.Configuration().Document("customer/c").Version
		_, err := client.Publish(context.Background(), []model.Amendment{{Document: "customer/c", Base: base, Body: body}})
		assert.NilError(b, err)
		for range followers {
			<-applied
		}
	}
	publishOne(0)
	bytes.Store(0)
	b.ResetTimer()
	for i := range b.N {
		publishOne(i + 1)
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N*followers), "net-B/change")
	b.StopTimer()
	t.Kill(nil)
	server.CloseClientConnections()
	assert.NilError(b, t.Wait())
}

func startFollower(b *testing.B, t *tomb.Tomb, i int, url string, applied chan<- struct{}) {
	b.Helper()
	service, err := httplog.NewClient(url)
	assert.NilError(b, err)
	d, _ := New(Config{
		Context:    t.Context(context.Background()),
		LogService: service,
		Self:       model.Member{NodeID: model.NodeID{Instance: model.Instance(fmt.Sprint("node-", i))}},
		Streams:    []string{model.ConfigStream},
		Rand:       rand.New(rand.NewPCG(uint64(i), 1)),
		Log:        event.Discard(),
		Peers:      noPeers{},
		Append:     noPeers{}.append,
		SnapshotSubscribers: []SnapshotSubscriber{func(s *model.Snapshot) bool {
			if len(s.Customers) > 0 {
				applied <- struct{}{}
			}
			return true
		}},
	})
	d.Start(t)
}

// BenchmarkIdleRead measures the bytes of one read that returns no records.
func BenchmarkIdleRead(b *testing.B) {
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(httplog.NewHandler(memlog.New(time.Now, time.Hour)).ServeHTTP))
	server.Listener = countingListener{Listener: server.Listener, bytes: &bytes}
	server.Start()
	defer server.Close()
	c, err := httplog.NewClient(server.URL)
	assert.NilError(b, err)
	for b.Loop() {
		_, err := c.Read(context.Background(), model.ConfigStream, 0, logservice.ReadOptions{})
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "net-B/read")
}
