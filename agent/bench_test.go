package agent

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gopkg.in/tomb.v2"

	"github.com/oleanderworks/oleanderworks/agent/quorum"
	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/logservice/memlog"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
	"github.com/oleanderworks/oleanderworks/policy/node/tokenlease"
)

// BenchmarkAddedLatency measures the latency that two nodes add to a call: the
// difference between calls through both nodes and calls directly to the target,
// which alternate in one run. The goal is 0.97 ms at the 99th percentile.
func BenchmarkAddedLatency(b *testing.B) {
	for _, bytes := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("bytes=%d", bytes), func(b *testing.B) { benchmarkAddedLatency(b, bytes) })
	}
}

func benchmarkAddedLatency(b *testing.B, bytes int) {
	answer := make([]byte, bytes)
	target := startTarget(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publishHighCapacityConfig(b, log)
	entry := startNode(b, log, "registry-1", "registry", target)
	startNode(b, log, "tally-1", "tally", target)
	waitForGetOK(b, entry, "/tally/count")

	// The histograms are in microseconds.
	direct, viaNodes := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	for b.Loop() {
		recordLatency(b, direct, client, target+"/count")
		recordLatency(b, viaNodes, client, "http://"+entry.CallAddress()+"/tally/count")
	}
	report := func(unit string, q float64) {
		added := viaNodes.ValueAtQuantile(q) - direct.ValueAtQuantile(q)
		b.ReportMetric(float64(direct.ValueAtQuantile(q)), "direct-"+unit)
		b.ReportMetric(float64(added), "added-"+unit)
	}
	report("p50-us", 50)
	report("p99-us", 99)
}

func recordLatency(b *testing.B, h *hdrhistogram.Histogram, client *http.Client, url string) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("X-Api-Key", testKey)
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Fatalf("status %d: %s", resp.StatusCode, text)
	}
	_ = h.RecordValue(time.Since(began).Microseconds())
}

// BenchmarkMemoryPerCall measures the memory that a call in progress takes in the
// two nodes, including that of the test's caller and target.
func BenchmarkMemoryPerCall(b *testing.B) {
	const calls = 200
	release := make(chan struct{})
	target := startTarget(b, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
	})
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publishHighCapacityConfig(b, log)
	entry := startNode(b, log, "registry-1", "registry", target)
	startNode(b, log, "tally-1", "tally", target)
	waitForGetOK(b, entry, "/tally/count")
	for b.Loop() {
		before := heapAndStackInUse()
		done := make(chan struct{}, calls)
		for range calls {
			go func() {
				defer func() { done <- struct{}{} }()
				call(b, entry, http.MethodGet, "/tally/wait", nil)
			}()
		}
		time.Sleep(300 * time.Millisecond)
		b.ReportMetric(float64(heapAndStackInUse()-before)/calls, "bytes/call")
		for range calls {
			release <- struct{}{}
			<-done
		}
	}
}

func heapAndStackInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// BenchmarkDutyHandoff measures a message to a duty on its locked thread and the
// reply. These are two of the handoffs between threads that a call needs at each of
// its two nodes.
func BenchmarkDutyHandoff(b *testing.B) {
	var t tomb.Tomb
	quorumDuty := newGrantingQuorum()
	quorumDuty.Start(&t)
	replies := make(chan tokenlease.Result, 1)
	request := &quorum.AcquireTokens{Customer: "herders", Want: 1, Deliver: func(r tokenlease.Result) { replies <- r }}
	for b.Loop() {
		quorumDuty.Ring().Offer(request)
		<-replies
	}
	t.Kill(nil)
	_ = t.Wait()
}

// grantedTokenLifetime is the lifetime of the tokens that grantingQuorum grants.
const grantedTokenLifetime = time.Second

// newGrantingQuorum returns a fake quorum duty that grants every request.
func newGrantingQuorum() *duty.Duty[quorum.Message] {
	return duty.New[quorum.Message]("quorum", 64, grantingQuorum{})
}

type grantingQuorum struct{}

// Handle implements duty.Handler.
func (grantingQuorum) Handle(now time.Time, batch []quorum.Message) {
	for _, m := range batch {
		switch m := m.(type) {
		case *quorum.AcquireTokens:
			grant := tokenlease.Grant{Customer: m.Customer, Count: m.Want, Expiry: now.Add(grantedTokenLifetime)}
			m.Deliver(tokenlease.Result{Customer: m.Customer, Grant: grant})
		case *quorum.AcquireClaim:
			claim := &model.Claim{Customer: m.Customer, RequestID: m.RequestID, Attempt: m.Attempt}
			m.Deliver(record.Result{Outcome: record.Granted, Claim: claim})
		}
	}
}

// Tick implements duty.Handler.
func (grantingQuorum) Tick(time.Time) time.Time { return time.Time{} }
