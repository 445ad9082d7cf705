package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceStock = "huvo11a"
	serviceClass = "kafi81c"
)

// playSlowReader sends requests for a large answer, reads them slowly, but well within the
// deadline, and sends SIGTERM to the node meanwhile. The rule is LOST, around planned work.
func playSlowReader(f *fleet, trouble bool) (bool, error) {
	const (
		clients       = 4
		answerBytes   = 15 << 20
		readPerSecond = 3 << 20
		receiveBuffer = 64 << 10
		work          = 90 * time.Millisecond
		termAfter     = 200 * time.Millisecond
	)
	f.publishConfig(7, serviceStock)
	for range 3 {
		if _, _, err := f.addMachine(serviceStock, work, answerBytes); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	m := f.machines[0]
	results := make([]result, clients)
	var wg sync.WaitGroup
	for i := range results {
		c, err := dialClient(m, receiveBuffer)
		if err != nil {
			return false, err
		}
		wg.Go(func() {
			defer c.close()
			results[i] = c.do(request{
				method: http.MethodGet, path: prefixOf(serviceStock) + "idempotent/2f", timeout: routeTimeout, readPerSecond: readPerSecond,
			})
		})
	}
	time.Sleep(termAfter)
	if trouble {
		m.signal(syscall.SIGTERM, "the platform stops the node")
	}
	wg.Wait()
	lost := 0
	for _, res := range results {
		if !f.answeredByUpstream(res.attempt) {
			f.rec.add("%s was not answered by an upstream: not counted", res.attempt)
			continue
		}
		if !res.complete && res.ended.Sub(res.sent) < routeTimeout {
			lost++
			f.rec.add("LOST: %s was passed on and answered by its upstream; its connection ended %.1f s after it was sent, with %d of %d bytes",
				res.attempt, res.ended.Sub(res.sent).Seconds(), res.received, answerBytes)
		}
	}
	return lost > 0, nil
}

// answeredByUpstream reports whether an upstream has handed over its whole answer to an
// attempt.
func (f *fleet) answeredByUpstream(attempt string) bool {
	for _, u := range f.incarnations() {
		if u.answered(attempt) {
			return true
		}
	}
	return false
}

func (f *fleet) ran(attempt string) bool {
	for _, u := range f.incarnations() {
		if u.ran(attempt) {
			return true
		}
	}
	return false
}

// playLargeBodies sends large bodies, within max_body_bytes, beside small requests on kept
// connections. The platform kills a node that exceeds its memory. The rule is LOST, for
// requests from kept connections.
func playLargeBodies(f *fleet, trouble bool) (bool, error) {
	const (
		keptConnections = 10
		uploads         = 12
		bodyBytes       = 15 << 20
		sendPerSecond   = 8 << 20
		work            = 400 * time.Millisecond
		allowed         = 3 // requests on kept connections
	)
	f.publishConfig(7, serviceStock)
	for range 3 {
		if _, _, err := f.addMachine(serviceStock, work, 1500); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	m := f.machines[0]
	stopWatch := make(chan struct{})
	defer close(stopWatch)
	go m.enforceMemory(stopWatch)

	var mu sync.Mutex
	lost := 0
	end := time.Now().Add(10 * time.Second)
	var wg sync.WaitGroup
	for range keptConnections {
		wg.Go(func() {
			n := f.sendOnKeptConnection(m, end)
			mu.Lock()
			defer mu.Unlock()
			lost += n
		})
	}
	time.Sleep(2 * time.Second)
	size := 1200
	if trouble {
		size = bodyBytes
	}
	for range uploads {
		c, err := dialClient(m, 0)
		if err != nil {
			return false, err
		}
		wg.Go(func() {
			defer c.close()
			c.do(request{
				method: http.MethodPost, path: prefixOf(serviceStock) + "non_idempotent/2f", body: make([]byte, size),
				timeout: routeTimeout, sendPerSecond: sendPerSecond,
			})
		})
	}
	wg.Wait()
	f.rec.add("requests on kept connections that were passed on and lost their connection without an answer: %d, allowed %d", lost, allowed)
	return lost > allowed, nil
}

// sendOnKeptConnection sends small requests one after the other on one connection, and
// reports how many were passed on and not answered before the connection ended.
func (f *fleet) sendOnKeptConnection(m *machine, end time.Time) int {
	lost := 0
	for time.Now().Before(end) {
		c, err := dialClient(m, 0)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for first := true; time.Now().Before(end); first = false {
			res := c.do(request{method: http.MethodGet, path: prefixOf(serviceStock) + "idempotent/2f", timeout: routeTimeout})
			if res.err == nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			if !first && f.ran(res.attempt) {
				lost++
				f.rec.add("LOST: %s came on a kept connection, was passed on, and its connection ended without an answer", res.attempt)
			}
			break
		}
		c.close()
	}
	return lost
}

// enforceMemory kills the node's process when it exceeds its memory, as the platform does.
func (m *machine) enforceMemory(stop <-chan struct{}) {
	const interval = 20 * time.Millisecond
	peak := 0
	for {
		select {
		case <-stop:
			m.fleet.rec.add("%s: the node had at most %d MB", m.name, peak)
			return
		case <-time.After(interval):
		}
		used := residentMB(m.pid())
		peak = max(peak, used)
		if used > ramMB {
			m.signal(syscall.SIGKILL, fmt.Sprintf("the node has %d MB, more than ram_mb = %d", used, ramMB))
			time.Sleep(restartDelay)
		}
	}
}

// residentMB returns the resident memory of a process that this one has started, or 0 if
// it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			if err != nil {
				return 0
			}
			return kb >> 10
		}
	}
	return 0
}

// playReusedAddress ends an upstream and starts one of another service at its address. The
// rule is ROUTE.
func playReusedAddress(f *fleet, trouble bool) (bool, error) {
	const (
		work       = 90 * time.Millisecond
		reuseAfter = 3 * time.Second // the bound reuse_after is 2 s
	)
	f.publishConfig(7, serviceStock, serviceClass)
	for _, service := range []string{serviceStock, serviceStock, serviceClass} {
		if _, _, err := f.addMachine(service, work, 1500); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	end := time.Now().Add(20 * time.Second)
	var wg sync.WaitGroup
	for _, m := range f.machines {
		for range 4 {
			wg.Go(func() { f.sendOnKeptConnection(m, end) })
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		m := f.machines[0]
		f.rec.add("upstream %s of %s ends", f.upstreams[0].id, serviceStock)
		f.upstreams[0].close()
		time.Sleep(reuseAfter)
		m.service = serviceClass
		if err := m.writeSettings(); err != nil {
			return false, err
		}
		if _, err := f.startUpstream(m, serviceClass, "i-"+m.name+"-b", work, 1500); err != nil {
			return false, err
		}
		m.signal(syscall.SIGHUP, "the settings file has changed")
	}
	wg.Wait()
	foreign := 0
	for _, u := range f.incarnations() {
		foreign += len(u.foreignRuns())
	}
	f.rec.add("requests for %s that ran at an upstream of %s: %d", serviceStock, serviceClass, foreign)
	return foreign > 0, nil
}

// playCrashingRequest sends a request that crashes the upstreams that run it, until it is
// refused, and then again at each node after its restart. The rule is BUDGET, for
// requests that crash upstreams.
func playCrashingRequest(f *fleet, trouble bool) (bool, error) {
	const (
		work      = 400 * time.Millisecond
		contact   = 3 * time.Second
		slack     = 500 * time.Millisecond
		resends   = 4 // at each node
		crashes   = 3 // after which the request must not be sent on
		allowed   = 3 // retries that reach upstreams nevertheless
		restarted = 2 // nodes
	)
	f.publishConfig(7, serviceStock)
	for range 4 {
		if _, _, err := f.addMachine(serviceStock, work, 1500); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	end := time.Now().Add(70 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, m := range f.machines {
		for range 4 {
			wg.Go(func() { f.sendCalmly(m, end, stop) })
		}
	}
	defer wg.Wait()
	defer close(stop)

	for i := 0; f.crashingRuns() < crashes; i++ {
		if i == 10 {
			return false, fmt.Errorf("the request has crashed %d upstreams, want %d", f.crashingRuns(), crashes)
		}
		f.sendCrashing(f.machines[i%len(f.machines)])
	}
	time.Sleep(contact + crashTime)
	before := f.crashingRuns()
	f.rec.add("the request has crashed %d upstreams", before)
	for _, m := range f.machines[:restarted] {
		if trouble {
			if err := m.restart(); err != nil {
				return false, err
			}
		}
		time.Sleep(contact + slack) // the node is in touch again
		for range resends {
			f.sendCrashing(m)
		}
	}
	retries := f.crashingRuns() - before
	lost := 0
	for _, u := range f.incarnations() {
		if u.crashes() > 0 {
			lost += u.unfinished()
		}
	}
	f.rec.add("retries that reached an upstream later than contact after the third crash: %d, allowed %d", retries, allowed)
	f.rec.add("other requests that were at work at an upstream when it crashed: %d", lost)
	return retries > allowed, nil
}

// sendCrashing sends the request that crashes upstreams, and waits until an upstream that
// it has crashed is back.
func (f *fleet) sendCrashing(m *machine) {
	c, err := dialClient(m, 0)
	if err != nil {
		f.rec.add("%s cannot be reached: %v", m.name, err)
		return
	}
	defer c.close()
	before := f.crashingRuns()
	c.do(request{
		method: http.MethodPost, path: prefixOf(serviceStock) + "non_idempotent" + crashingPath, body: []byte("lot 7"), timeout: routeTimeout,
	})
	if f.crashingRuns() > before {
		time.Sleep(crashTime + time.Second)
	}
}

// crashingRuns returns how often the request that crashes upstreams has reached one.
func (f *fleet) crashingRuns() int {
	n := 0
	for _, u := range f.incarnations() {
		n += u.crashes()
	}
	return n
}

// sendCalmly sends small requests that must not be repeated, a few in a second, until end
// or until stop is closed.
func (f *fleet) sendCalmly(m *machine, end time.Time, stop <-chan struct{}) {
	for time.Now().Before(end) {
		if c, err := dialClient(m, 0); err == nil {
			c.do(request{method: http.MethodPost, path: prefixOf(serviceStock) + "non_idempotent/2f", body: []byte("lot 8"), timeout: routeTimeout})
			c.close()
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// playForgottenLeave lets an upstream leave and restarts the node beside it. The upstream
// serves on for some seconds, and its health check passes although it leaves. The rule is
// DRAIN.
func playForgottenLeave(f *fleet, trouble bool) (bool, error) {
	const (
		work         = 400 * time.Millisecond
		drainTimeout = 2 * time.Second
		contact      = 3 * time.Second
		serveTime    = 14 * time.Second // after the deregistration
	)
	f.publishConfig(7, serviceStock, serviceClass)
	for _, service := range []string{serviceStock, serviceStock, serviceStock, serviceClass} {
		if _, _, err := f.addMachine(service, work, 1500); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	end := time.Now().Add(20 * time.Second)
	var wg sync.WaitGroup
	never := make(chan struct{})
	for _, m := range f.machines[1:] { // the last one is in the zone of the first
		for range 8 {
			wg.Go(func() { f.sendCalmly(m, end, never) })
		}
	}
	time.Sleep(2 * time.Second)
	m, u := f.machines[0], f.incarnations()[0]
	u.falseHealth.Store(trouble)
	if !u.deregister() {
		return false, errors.New("the deregistration was not acknowledged")
	}
	counted := time.Now().Add(drainTimeout)
	if trouble {
		if err := m.restart(); err != nil {
			return false, err
		}
		counted = time.Now().Add(contact) // later than drain_timeout, and the node is in touch again
	}
	time.Sleep(serveTime)
	u.close()
	f.rec.add("upstream %s ends, with %d requests at work", u.id, u.unfinished())
	wg.Wait()
	n := u.runsAfter(counted)
	f.rec.add("requests that reached %s after drain_timeout, with all machines in touch: %d", u.id, n)
	return n > 0, nil
}
