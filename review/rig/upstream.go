package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerAttempt  = "X-Oleanderworks-Attempt-Id"
	headerDeadline = "X-Oleanderworks-Deadline-Ms"
	headerExpect   = "X-Oleanderworks-Expect-Instance"
	headerID       = "X-Oleanderworks-Instance-Id"
	headerSig      = "X-Oleanderworks-Response-Sig"
	headerNotRun   = "X-Oleanderworks-Not-Executed"

	healthPath   = "/healthz"
	beatInterval = 1500 * time.Millisecond
	slotCount    = 109
	// crashingPath ends the path of a request that crashes the upstreams that run it.
	crashingPath = "/crash"
	// crashTime is how long an upstream is down after a crash.
	crashTime = 2 * time.Second
	// unreadTimeout is the time after which an upstream cuts off an answer that is not read.
	unreadTimeout = 5 * time.Second
)

// upstream is a stand-in of an application upstream: one incarnation.
type upstream struct {
	id, service string
	machine     *machine
	born        time.Time
	work        time.Duration
	answerBytes int
	server      *http.Server
	rec         *record
	stop        context.CancelFunc
	leaving     atomic.Bool // it has deregistered itself
	falseHealth atomic.Bool // its health check passes although it leaves

	mu        sync.Mutex
	sequence  int
	runs      map[string]time.Time // when the run of an attempt began
	ended     map[string]time.Time // when its whole answer had been handed over
	crashing  int                  // runs of the request that crashes upstreams
	fromOther []string             // attempts that ran here though they were sent to another service's route
}

// startUpstream starts an upstream at the machine's app address.
func startUpstream(m *machine, service, id string, work time.Duration, answerBytes int) (*upstream, error) {
	l, err := net.Listen("tcp", m.address(appPort))
	if err != nil {
		return nil, err
	}
	u := &upstream{
		id: id, service: service, machine: m, born: time.Now(), work: work, answerBytes: answerBytes, rec: m.fleet.rec,
		runs: make(map[string]time.Time), ended: make(map[string]time.Time),
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), WriteTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	u.stop = cancel
	go func() { _ = u.server.Serve(l) }() // ends with close
	go u.beat(ctx)
	u.rec.add("upstream %s of %s starts at %s", id, service, m.address(appPort))
	return u, nil
}

// close ends the upstream like a crash: without a message.
func (u *upstream) close() {
	u.stop()
	u.server.Close()
}

// beat sends heartbeats to the node beside the upstream.
func (u *upstream) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil && !u.leaving.Load() {
		u.sendBeat(ctx, client)
		select {
		case <-time.After(beatInterval):
		case <-ctx.Done():
		}
	}
}

func (u *upstream) sendBeat(ctx context.Context, client *http.Client) {
	u.mu.Lock()
	u.sequence++
	sequence := u.sequence
	u.mu.Unlock()
	body := fmt.Sprintf(`{"addr":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slot_count":%d},`+
		`"status":{"state":"ready","seq":%d,"cold_left":"0ms"}}`,
		u.machine.address(appPort), u.born.UnixMilli(), u.service, u.machine.zone, slotCount, sequence)
	url := "http://" + u.machine.address(controlPort) + "/v1/Instances.Heartbeat/" + u.id
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return // the next beat follows
	}
	resp.Body.Close()
	u.rec.add("heartbeat %d of %s, service %s: answered %d", sequence, u.id, u.service, resp.StatusCode)
}

// deregister tells the node that the upstream leaves, and reports whether the node has
// acknowledged it.
func (u *upstream) deregister() bool {
	u.leaving.Store(true)
	url := "http://" + u.machine.address(controlPort) + "/v1/Instances.Deregister/" + u.id
	body := fmt.Sprintf(`{"born":%d}`, u.born.UnixMilli())
	resp, err := (&http.Client{Timeout: time.Second}).Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	resp.Body.Close()
	u.rec.add("deregistration of %s: answered %d", u.id, resp.StatusCode)
	return resp.StatusCode == http.StatusOK
}

// runsAfter returns how many runs began after a time.
func (u *upstream) runsAfter(t time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, began := range u.runs {
		if began.After(t) {
			n++
		}
	}
	return n
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(headerAttempt)
	w.Header().Set(headerID, u.id)
	if r.URL.Path == healthPath {
		if u.leaving.Load() && !u.falseHealth.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get(headerExpect); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set(headerAttempt, attempt)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.begin(attempt, r, len(body))
	if strings.HasSuffix(r.URL.Path, crashingPath) {
		go u.machine.fleet.crash(u)
		<-r.Context().Done()
		panic(http.ErrAbortHandler) // without an answer
	}
	time.Sleep(u.work)
	answer := answerOf(attempt, u.answerBytes)
	w.Header().Set(headerSig, signatureOf(u.id, attempt))
	w.Header().Set("Keep-Alive", "timeout=10")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(u.work + unreadTimeout))
	if err := r.Context().Err(); err != nil {
		u.rec.add("upstream %s cannot answer %s: %v", u.id, attempt, err)
		return
	}
	_, err = w.Write(answer)
	u.mu.Lock()
	u.ended[attempt] = time.Now()
	u.mu.Unlock()
	u.rec.add("upstream %s has answered %s, %d bytes, error: %v", u.id, attempt, len(answer), err)
}

func (u *upstream) begin(attempt string, r *http.Request, bodyBytes int) {
	u.mu.Lock()
	u.runs[attempt] = time.Now()
	if strings.HasSuffix(r.URL.Path, crashingPath) {
		u.crashing++
	}
	if !strings.HasPrefix(r.URL.Path, prefixOf(u.service)) {
		u.fromOther = append(u.fromOther, attempt)
	}
	u.mu.Unlock()
	u.rec.add("upstream %s of %s runs %s: %s %s, body of %d bytes, %s ms left, expected instance %s",
		u.id, u.service, attempt, r.Method, r.URL.Path, bodyBytes, r.Header.Get(headerDeadline), r.Header.Get(headerExpect))
}

// ran reports whether an attempt has run here.
func (u *upstream) ran(attempt string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.runs[attempt]
	return ok
}

// answered reports whether the upstream has handed over the whole answer to an attempt.
func (u *upstream) answered(attempt string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.ended[attempt]
	return ok
}

// crashes returns how many requests that crash upstreams have run here.
func (u *upstream) crashes() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashing
}

// unfinished returns how many runs, other than of requests that crash upstreams, have not
// been answered.
func (u *upstream) unfinished() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.runs) - len(u.ended) - u.crashing
}

// foreignRuns returns the attempts that ran here and were sent to another service's route.
func (u *upstream) foreignRuns() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.fromOther...)
}

// answerOf returns the body of the answer to an attempt.
func answerOf(attempt string, size int) []byte {
	unit := []byte(attempt + "\n")
	return bytes.Repeat(unit, size/len(unit)+1)[:size]
}

func signatureOf(id, attempt string) string { return id + "." + attempt }
