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

// slowTarget answers after a while and notes starts and interruptions.
type slowTarget struct {
	took      time.Duration
	lastStart atomic.Int64 // Unix nanoseconds
	running   atomic.Int64
	broken    atomic.Int64 // calls whose caller went away
}

func (s *slowTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.lastStart.Store(time.Now().UnixNano())
	s.running.Add(1)
	defer s.running.Add(-1)
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(s.took):
		_, _ = io.WriteString(w, "filed")
	case <-r.Context().Done():
		s.broken.Add(1)
	}
}

// load sends calls until stop and sorts their ends.
type load struct {
	client                     http.Client
	served, refused, cut, dial atomic.Int64
	lastCut                    atomic.Value
	stop                       chan struct{}
	wait                       sync.WaitGroup
}

// startLoad starts workers at each URL. A worker that is refused goes on at
// the URL elsewhere, as callers of several nodes do.
func startLoad(workers int, elsewhere string, urls ...string) *load {
	l := &load{stop: make(chan struct{})}
	l.client.Transport = &http.Transport{MaxIdleConnsPerHost: workers}
	for _, url := range urls {
		for range workers {
			l.wait.Go(func() { l.run(url, elsewhere) })
		}
	}
	return l
}

func (l *load) end() {
	close(l.stop)
	l.wait.Wait()
}

func (l *load) run(url, elsewhere string) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		if !l.one(url) {
			url = elsewhere
		}
	}
}

// one sends a call and reports whether its node serves.
func (l *load) one(url string) bool {
	req, _ := http.NewRequest(http.MethodPost, url, strings.NewReader("42 head"))
	req.Header.Set("X-Api-Key", testKey)
	resp, err := l.client.Do(req)
	var opened *net.OpError
	if errors.As(err, &opened) && opened.Op == "dial" {
		// No connection was opened: no request was sent that could be cut.
		l.dial.Add(1)
		return false
	}
	if err != nil {
		l.cut.Add(1)
		l.lastCut.Store(err.Error())
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
		l.cut.Add(1)
		l.lastCut.Store(string(body))
	}
	return true
}

func withDrain(s *settings.Node) { s.DrainTime = 10 * time.Second }

// Guards against a request that a graceful shutdown cuts, at callers of the
// node and at calls from other nodes.
func TestShutdownUnderLoadCutsNothing(t *testing.T) {
	target := &slowTarget{took: 150 * time.Millisecond}
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publish(t, log, testDocuments())
	entry := startNode(t, log, "registry-1", "registry", server.URL)
	leaving := startNode(t, log, "tally-1", "tally", server.URL, withDrain)
	stays := startNode(t, log, "tally-2", "tally", server.URL, inZone("nadi"))
	for _, n := range []*Node{entry, leaving, stays} {
		waitServed(t, n, "/tally/x")
	}
	l := startLoad(20, "http://"+stays.CallAddress()+"/tally/x", "http://"+entry.CallAddress()+"/tally/x", "http://"+leaving.CallAddress()+"/tally/x")
	time.Sleep(500 * time.Millisecond)
	begin := time.Now()
	assert.NilError(t, leaving.Stop())
	took := time.Since(begin)
	time.Sleep(300 * time.Millisecond)
	l.end()
	t.Logf("shutdown took %s; %d served, %d refused not run, %d connections refused, %d cut", took,
		l.served.Load(), l.refused.Load(), l.dial.Load(), l.cut.Load())
	assert.Equal(t, l.cut.Load(), int64(0), "%v", l.lastCut.Load())
	assert.Equal(t, target.broken.Load(), int64(0))
	assert.Assert(t, l.served.Load() > 100)
	assert.Assert(t, took < 10*time.Second)
	assert.Assert(t, lastRecord(t, log, "tally").Leave)
}

// Guards against new work in an availability zone 3 s after it was taken out
// of service, and against a cut of what runs there.
func TestZoneOutEndsNewWorkAndCutsNothing(t *testing.T) {
	inside, outside := &slowTarget{took: 4 * time.Second}, &slowTarget{took: 50 * time.Millisecond}
	insideServer, outsideServer := httptest.NewServer(inside), httptest.NewServer(outside)
	t.Cleanup(insideServer.Close)
	t.Cleanup(outsideServer.Close)
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publish(t, log, testDocuments())
	entry := startNode(t, log, "registry-1", "registry", outsideServer.URL)
	startNode(t, log, "tally-1", "tally", insideServer.URL, inZone("nadi"))
	startNode(t, log, "tally-2", "tally", outsideServer.URL)
	waitServed(t, entry, "/tally/x")
	l := startLoad(30, "", "http://"+entry.CallAddress()+"/tally/x")
	for inside.running.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	body, err := json.Marshal(model.AvailabilityConfig{Out: true, Region: "viti"})
	assert.NilError(t, err)
	out := time.Now()
	publish(t, log, map[string]any{"zone/nadi": json.RawMessage(body)})
	time.Sleep(4500 * time.Millisecond)
	l.end()
	last := time.Unix(0, inside.lastStart.Load()).Sub(out)
	t.Logf("last new work %s after the zone was taken out; %d served, %d cut", last, l.served.Load(), l.cut.Load())
	assert.Assert(t, last < 3*time.Second)
	assert.Equal(t, l.cut.Load(), int64(0), "%v", l.lastCut.Load())
	assert.Equal(t, inside.broken.Load(), int64(0))
}
