package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["nested"] = playNested }

const (
	// nestedWork, nestedTail and nestedTailFactor are those of the site's scan-blanks: the mean
	// work, and the share of the requests that take several times as long.
	nestedWork       = 90 * time.Millisecond
	nestedTail       = 0.01
	nestedTailFactor = 5
	nestedRounds     = 9
	nestedLimit      = 85 * time.Second // no round begins later
	// jobTime is how long a job makes calls, one after the other. It is within the timeout of
	// its route.
	jobTime    = 5700 * time.Millisecond
	jobTimeout = 6 * time.Second
	jobs       = 40 // at the same time
)

// call is a call that an upstream makes for a request that it runs, and what became of it.
type call struct {
	id          string
	m           *machine
	sent, ended time.Time
	status      int
	err         error
}

// playNested stops and starts nodes in turn, as planned work, while the upstreams beside them
// run jobs that make calls. A call that is sent later than 3 s after the SIGTERM must not be
// broken off while its upstream is at work.
func playNested(r *rig) error {
	front := r.addMachine("front", "za", "desk", 24, 20*time.Millisecond)
	var mu sync.Mutex
	var calls []*call
	var routes []route
	for i := range 3 {
		m := r.addMachine(fmt.Sprintf("lodge%d", i), "za", fmt.Sprintf("lodge%d", i), 109, 0)
		m.upstream.job = func(ctx context.Context, attempt string) bool {
			return runJob(ctx, m, attempt, func(c *call) {
				mu.Lock()
				calls = append(calls, c)
				mu.Unlock()
			})
		}
		routes = append(routes, route{
			Name: "r-" + m.service, Host: routeHost, PathPrefix: "/" + m.service + "/", Type: "non_idempotent", Timeout: "6000ms", SLO: "6000ms", Service: m.service, Attempts: 2,
		})
	}
	for i := range 2 {
		m := r.addMachine(fmt.Sprintf("stock%d", i), "za", "stock", 109, nestedWork)
		m.upstream.tail = nestedTail
	}
	r.putConfig(1, append(routes, route{
		Name: "r-stock", Host: routeHost, PathPrefix: "/stock/", Type: "idempotent", Timeout: "3000ms", SLO: "1200ms", Service: "stock", Attempts: 2, Public: true,
	}))
	if err := r.startAll(); err != nil {
		return err
	}
	time.Sleep(contact)
	var terms []nodeStop
	for round := range nestedRounds {
		if time.Since(r.rec.began) > nestedLimit {
			break
		}
		m := r.machines[1+round%3]
		var clients sync.WaitGroup
		for i := range jobs {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				r.send(front, "POST", fmt.Sprintf("/%s/%d-%d", m.service, round, i), "lot", jobTimeout)
			})
		}
		time.Sleep(250 * time.Millisecond)
		if r.trouble {
			terms = append(terms, nodeStop{m, time.Now()})
			m.signal(syscall.SIGTERM)
			if !m.waitExit(gracePeriod) {
				return fmt.Errorf("the node has not ended within %v of SIGTERM", gracePeriod)
			}
			time.Sleep(200 * time.Millisecond)
			if err := m.startNode(); err != nil {
				return err
			}
		}
		clients.Wait()
		time.Sleep(time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	return judgeNested(r, terms, calls)
}

type nodeStop struct {
	m    *machine
	term time.Time
}

// runJob makes calls one after the other for jobTime, with the deadline of the job. It reports
// whether all were served.
func runJob(ctx context.Context, m *machine, attempt string, made func(*call)) bool {
	began := time.Now()
	for i := 0; time.Since(began) < jobTime; i++ {
		c := &call{id: fmt.Sprintf("%s.%d", attempt, i), m: m, sent: time.Now()}
		made(c)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.address(portOutbound)+"/stock/"+c.id, nil)
		if err != nil {
			panic(err) // the rig's own fault
		}
		req.Host = routeHost
		req.Header.Set(headerAttempt, c.id)
		req.Header.Set(headerDeadline, fmt.Sprint((jobTimeout - time.Since(began)).Milliseconds()))
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			c.status = resp.StatusCode
		}
		c.ended, c.err = time.Now(), err
		if c.status != http.StatusOK {
			m.rig.rec.add("upstream %s: its call %s ended with %d, %v", m.upstream.id, c.id, c.status, err)
			return false
		}
	}
	return true
}

// judgeNested looks for calls that a stopping node broke off although their upstream was at
// work.
func judgeNested(r *rig, terms []nodeStop, calls []*call) error {
	runs := make(map[string]run)
	for _, m := range r.machines {
		for _, run := range m.upstream.allRuns() {
			runs[run.id] = run
		}
	}
	broken := 0
	for _, c := range calls {
		run, ran := runs[c.id]
		if !ran || c.ended.IsZero() || c.status == http.StatusOK || run.how == "answered" && !run.ended.After(c.ended) {
			continue
		}
		for _, s := range terms {
			sent, ended := c.sent.Sub(s.term), c.ended.Sub(s.term)
			if c.m != s.m || sent <= 3*time.Second || ended > gracePeriod {
				continue
			}
			broken++
			r.rec.say("call %s: taken by the stopping node %.3f s after its SIGTERM, at work at its upstream for %.3f s; ended with %d (%v) %.3f s after the SIGTERM",
				c.id, sent.Seconds(), c.ended.Sub(run.began).Seconds(), c.status, c.err, ended.Seconds())
		}
	}
	r.rec.say("%d stops, %d calls, %d broken off while their upstream was at work", len(terms), len(calls), broken)
	if broken > 0 {
		return fmt.Errorf("%w: LOST: %d calls", errBroken, broken)
	}
	return nil
}

// workTime draws the time that a request takes.
func (u *upstream) workTime() time.Duration {
	if rand.Float64() < u.tail {
		return u.work * nestedTailFactor
	}
	return u.work
}
