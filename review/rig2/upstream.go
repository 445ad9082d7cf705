package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	headerAttempt   = "X-Oleanderworks-Attempt-Id"
	headerDeadline  = "X-Oleanderworks-Deadline-Ms"
	headerExpect    = "X-Oleanderworks-Expect-Instance"
	headerInstance  = "X-Oleanderworks-Instance-Id"
	headerNotRun    = "X-Oleanderworks-Not-Executed"
	headerSignature = "X-Oleanderworks-Response-Sig"
	headerKey       = "X-Oleanderworks-Key"
	healthPath      = "/healthz"
	// crashingPath is the path of a request that crashes each upstream that begins to run it.
	crashingPath = "/count/crashing"
)

// run is one run of a request at an upstream.
type run struct {
	id       string
	upstream string
	began    time.Time
	ended    time.Time
	how      string // "answered", or why it ended without an answer; empty while it runs
}

// upstream is a stand-in for the upstream beside a node. It speaks what PROTOCOL.md says of
// upstreams and records each run.
type upstream struct {
	m     *machine
	rec   *record
	slots int
	work  time.Duration // time that a request takes
	tail  float64       // share of the requests that take nestedTailFactor times as long
	// job runs a request in place of work, unless it is nil, and reports whether it succeeded.
	job func(ctx context.Context, attempt string) bool

	mu       sync.Mutex
	id       string
	born     int64
	seq      int
	leaving  bool
	running  int
	server   *http.Server
	stopBeat chan struct{}
	runs     []*run
}

// start starts a new incarnation with its own id, and its heartbeats.
func (u *upstream) start() error {
	l, err := net.Listen("tcp", u.m.appAddress())
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.born = time.Now().UnixMilli()
	u.id = fmt.Sprintf("i-%s-%x", u.m.name, u.born&0xffffff)
	u.seq, u.leaving = 0, false
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), IdleTimeout: 10 * time.Second}
	u.stopBeat = make(chan struct{})
	server, stop := u.server, u.stopBeat
	u.mu.Unlock()
	u.rec.add("upstream %s starts at %s", u.id, u.m.appAddress())
	go func() { _ = server.Serve(l) }() // ends when the upstream exits
	go u.beat(stop)
	return nil
}

// beat sends a heartbeat each beatInterval until stop is closed.
func (u *upstream) beat(stop chan struct{}) {
	for {
		_, _ = u.sendBeat(u.nextBeat("ready"))
		select {
		case <-stop:
			return
		case <-time.After(beatInterval):
		}
	}
}

// heartbeat is a heartbeat that was made and may be sent later.
type heartbeat struct {
	id, body, what string
	madeAt         time.Time
}

// nextBeat makes the next heartbeat.
func (u *upstream) nextBeat(state string) heartbeat {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seq++
	body := fmt.Sprintf(`{"addr":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slot_count":%d},"status":{"state":%q,"seq":%d,"cold_left":"0ms"}}`,
		u.m.appAddress(), u.born, u.m.service, u.m.zone, u.slots, state, u.seq)
	return heartbeat{id: u.id, body: body, what: fmt.Sprintf("heartbeat %s seq %d", state, u.seq), madeAt: time.Now()}
}

// sendBeat sends a heartbeat and reports whether it was acknowledged.
func (u *upstream) sendBeat(h heartbeat) (bool, error) {
	return u.post("/v1/Instances.Heartbeat/"+h.id, h.body, h.what+fmt.Sprintf(" of %.3f", h.madeAt.Sub(u.rec.began).Seconds()))
}

// deregister sends the deregistration and reports whether it was acknowledged. From now on
// the health check fails and no more heartbeats are made.
func (u *upstream) deregister() (bool, error) {
	u.mu.Lock()
	u.leaving = true
	id, body := u.id, fmt.Sprintf(`{"born":%d}`, u.born)
	close(u.stopBeat)
	u.mu.Unlock()
	return u.post("/v1/Instances.Deregister/"+id, body, "deregistration")
}

func (u *upstream) post(path, body, what string) (bool, error) {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post("http://"+u.m.controlAddress()+path, "application/json", strings.NewReader(body))
	if err != nil {
		u.rec.add("upstream %s: %s got no answer: %v", u.id, what, err)
		return false, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	u.rec.add("upstream %s: %s answered %d", u.id, what, resp.StatusCode)
	return resp.StatusCode/100 == 2, nil
}

// exit ends the upstream's process: its connections close.
func (u *upstream) exit() {
	u.mu.Lock()
	server := u.server
	u.server = nil
	if server != nil && !u.leaving {
		close(u.stopBeat)
	}
	u.mu.Unlock()
	if server != nil {
		u.rec.add("upstream %s exits", u.id)
		_ = server.Close()
	}
}

// crash ends the upstream's process after a time, and starts it again after downFor.
func (u *upstream) crash(after time.Duration) {
	time.AfterFunc(after, func() {
		u.exit()
		time.AfterFunc(downFor, func() { _ = u.start() })
	})
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	id, leaving := u.id, u.leaving
	u.mu.Unlock()
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == healthPath {
		w.Header().Set(headerInstance, id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get(headerAttempt)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != id {
		u.rec.add("upstream %s rejects %s with 421", id, attempt)
		w.Header().Set(headerInstance, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	if u.running >= u.slots {
		u.mu.Unlock()
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.running++
	current := &run{id: attempt, upstream: id, began: time.Now()}
	u.runs = append(u.runs, current)
	work := u.workTime()
	u.mu.Unlock()
	u.rec.addAt(current.began, "upstream %s runs %s %s %s (deadline %s)", id, attempt, r.Method, r.URL.Path, r.Header.Get(headerDeadline))
	how := "answered"
	if r.URL.Path == crashingPath {
		u.crash(crashAfter)
	}
	if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		work = min(work, time.Duration(ms)*time.Millisecond)
	}
	status := http.StatusOK
	if u.job != nil {
		work = 0
		if !u.job(r.Context(), attempt) {
			status = http.StatusInternalServerError
		}
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		how = "its connection closed" // the upstream drops the request
	}
	u.mu.Lock()
	u.running--
	current.ended, current.how = time.Now(), how
	u.mu.Unlock()
	u.rec.addAt(current.ended, "upstream %s ends %s: %s", id, attempt, how)
	if how != "answered" {
		return
	}
	answer := []byte("done " + attempt + " " + strconv.Itoa(len(body)))
	w.Header().Set(headerAttempt, attempt)
	w.Header().Set(headerSignature, id+"."+attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// allRuns returns copies of the runs.
func (u *upstream) allRuns() []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]run, len(u.runs))
	for i, r := range u.runs {
		out[i] = *r
	}
	return out
}
