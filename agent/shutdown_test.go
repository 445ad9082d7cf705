package agent

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/logservice/memlog"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/settings"
)

// slowTarget answers after a delay. It records the number of running calls, the number
// of calls whose caller disconnected, and the start of the latest call.
type slowTarget struct {
	delay        time.Duration
	lastStart    atomic.Int64 // Unix nanoseconds
	running      atomic.Int64
	disconnected atomic.Int64 // calls whose caller disconnected
}

func (s *slowTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.lastStart.Store(time.Now().UnixNano())
	s.running.Add(1)
	defer s.running.Add(-1)
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(s.delay):
		_, _ = io.WriteString(w, "filed")
	case <-r.Context().Done():
		s.disconnected.Add(1)
	}
}

// loadGenerator sends calls until it is stopped and counts them by outcome. A call
// that was neither served nor refused as not run counts as failed, unless its dial
// failed, which counts as a dial error.
type loadGenerator struct {
	client                              http.Client
	served, refused, failed, dialErrors atomic.Int64
	lastFailure                         atomic.Value
	stop                                chan struct{}
	workers                             sync.WaitGroup
}

// startLoadGenerator starts workers for each URL. A worker whose call got no answer
// or was refused switches to fallbackURL, as callers of several nodes do.
func startLoadGenerator(workers int, fallbackURL string, urls ...string) *loadGenerator {
	l := &loadGenerator{stop: make(chan struct{})}
	l.client.Transport = &http.Transport{MaxIdleConnsPerHost: workers}
	for _, url := range urls {
		for range workers {
			l.workers.Go(func() { l.run(url, fallbackURL) })
		}
	}
	return l
}

func (l *loadGenerator) stopAndWait() {
	close(l.stop)
	l.workers.Wait()
}

func (l *loadGenerator) run(url, fallbackURL string) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		if !l.sendCall(url) {
			url = fallbackURL
		}
	}
}

// sendCall sends a call and counts its outcome. It returns false if the call got no
// answer or was refused as not run.
func (l *loadGenerator) sendCall(url string) bool {
	req, _ := http.NewRequest(http.MethodPost, url, strings.NewReader("42 head"))
	req.Header.Set("X-Api-Key", testKey)
	resp, err := l.client.Do(req)
	var opened *net.OpError
	if errors.As(err, &opened) && opened.Op == "dial" {
		// No connection was opened, so the shutdown has interrupted no request.
		l.dialErrors.Add(1)
		return false
	}
	if err != nil {
		l.failed.Add(1)
		l.lastFailure.Store(err.Error())
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err == nil && resp.StatusCode == http.StatusOK && string(body) == "filed":
		l.served.Add(1)
	case err == nil && resp.Header.Get("Oleander-Run") == "not-run":
		l.refused.Add(1)
		return false
	default:
		l.failed.Add(1)
		l.lastFailure.Store(string(body))
	}
	return true
}

func withDrainTime(s *settings.Node) { s.DrainTime = 10 * time.Second }

// Guards against a graceful shutdown that interrupts a request of the node's callers
// or of another node.
func TestShutdownUnderLoadInterruptsNoRequest(t *testing.T) {
	target := &slowTarget{delay: 150 * time.Millisecond}
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publish(t, log, nonIdempotentConfig())
	entry := startNode(t, log, "registry-1", "registry", server.URL)
	leaving := startNode(t, log, "tally-1", "tally", server.URL, withDrainTime)
	remaining := startNode(t, log, "tally-2", "tally", server.URL, inZone("nadi"))
	for _, n := range []*Node{entry, leaving, remaining} {
		waitForPostOK(t, n, "/tally/x")
	}
	l := startLoadGenerator(20, "http://"+remaining.CallAddress()+"/tally/x", "http://"+entry.CallAddress()+"/tally/x", "http://"+leaving.CallAddress()+"/tally/x")
	time.Sleep(500 * time.Millisecond)
	begin := time.Now()
	assert.NilError(t, leaving.Stop())
	took := time.Since(begin)
	time.Sleep(300 * time.Millisecond)
	l.stopAndWait()
	t.Logf("shutdown took %s; %d served, %d refused as not run, %d connections refused, %d failed", took,
		l.served.Load(), l.refused.Load(), l.dialErrors.Load(), l.failed.Load())
	assert.Equal(t, l.failed.Load(), int64(0), "%v", l.lastFailure.Load())
	assert.Equal(t, target.disconnected.Load(), int64(0))
	assert.Assert(t, l.served.Load() > 100)
	assert.Assert(t, took < 10*time.Second)
	assert.Assert(t, lastRecord(t, log, "tally").Leave)
}

// Guards against calls that are still sent to an availability zone 3 s after it was
// taken out of service, and against the interruption of calls that run there.
func TestZoneOutOfServiceGetsNoNewCalls(t *testing.T) {
	inside, outside := &slowTarget{delay: 4 * time.Second}, &slowTarget{delay: 50 * time.Millisecond}
	insideServer, outsideServer := httptest.NewServer(inside), httptest.NewServer(outside)
	t.Cleanup(insideServer.Close)
	t.Cleanup(outsideServer.Close)
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publish(t, log, nonIdempotentConfig())
	entry := startNode(t, log, "registry-1", "registry", outsideServer.URL)
	startNode(t, log, "tally-1", "tally", insideServer.URL, inZone("nadi"))
	startNode(t, log, "tally-2", "tally", outsideServer.URL)
	waitForPostOK(t, entry, "/tally/x")
	// No call may be refused. The fallback URL is empty, so that each call of a worker
	// whose call was refused counts as failed.
	l := startLoadGenerator(30, "", "http://"+entry.CallAddress()+"/tally/x")
	for inside.running.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	body, err := json.Marshal(model.AvailabilityConfig{OutOfService: true, Region: "viti"})
	assert.NilError(t, err)
	out := time.Now()
	publish(t, log, map[string]any{"zone/nadi": json.RawMessage(body)})
	time.Sleep(4500 * time.Millisecond)
	l.stopAndWait()
	last := time.Unix(0, inside.lastStart.Load()).Sub(out)
	t.Logf("last new call %s after the zone was taken out of service; %d served, %d failed", last, l.served.Load(), l.failed.Load())
	assert.Assert(t, last < 3*time.Second)
	assert.Equal(t, l.failed.Load(), int64(0), "%v", l.lastFailure.Load())
	assert.Equal(t, inside.disconnected.Load(), int64(0))
}
