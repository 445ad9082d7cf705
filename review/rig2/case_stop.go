package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

const (
	gracePeriod  = 6 * time.Second
	stopMachines = 4
	stopRounds   = 24
	stopLimit    = 95 * time.Second // no round begins later
	routeTimeout = 1500 * time.Millisecond
)

// playStop stops and starts nodes in turn, as planned work, while their upstreams go on. A
// client at another machine sends two requests a second that may run once only to the service
// beside each. After the SIGTERM, no request at which the upstream is at work may be broken
// off and answered by the nodes before the last sixth of the grace period.
func playStop(r *rig) error {
	front := r.addMachine("front", "za", "desk", 24, 20*time.Millisecond)
	var routes []route
	for i := range stopMachines {
		service := fmt.Sprintf("ledger%d", i)
		r.addMachine(fmt.Sprintf("back%d", i), "za", service, 24, 220*time.Millisecond)
		routes = append(routes, route{
			Name: "r-" + service, Host: routeHost, PathPrefix: "/" + service + "/", Type: "non_idempotent", Timeout: "1500ms", SLO: "1500ms", Service: service, Attempts: 2,
		})
	}
	r.putConfig(1, routes)
	if err := r.startAll(); err != nil {
		return err
	}
	for _, m := range r.machines[1:] {
		if err := r.eventually(10*time.Second, "a request is served", func() bool {
			return r.send(front, "POST", "/"+m.service+"/warm", "lot", 1500*time.Millisecond).status == 200
		}); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // contact: all machines are in touch
	var all []stopped
	for round := range stopRounds {
		if time.Since(r.rec.began) > stopLimit {
			break
		}
		s, err := stopOnce(r, front, r.machines[1+round%stopMachines], round)
		if err != nil {
			return err
		}
		all = append(all, s)
	}
	return judgeStop(r, all)
}

// stopped is one stop of a node and the requests to its upstream.
type stopped struct {
	m        *machine
	term     time.Time // zero without the disruption
	requests []*request
}

// stopOnce stops and starts a node while a client sends requests to the service beside it.
func stopOnce(r *rig, front, back *machine, round int) (stopped, error) {
	s := stopped{m: back}
	stop := make(chan struct{})
	var mu sync.Mutex
	var senders sync.WaitGroup
	senders.Go(func() {
		for i := 0; ; i++ {
			senders.Go(func() {
				q := r.send(front, "POST", fmt.Sprintf("/%s/%d-%d", back.service, round, i), strings.Repeat("x", 1200), 1500*time.Millisecond)
				mu.Lock()
				s.requests = append(s.requests, q)
				mu.Unlock()
			})
			select {
			case <-stop:
				return
			case <-time.After(400*time.Millisecond + rand.N(200*time.Millisecond)):
			}
		}
	})
	defer senders.Wait()
	defer close(stop)
	time.Sleep(300*time.Millisecond + rand.N(500*time.Millisecond))
	if !r.trouble {
		time.Sleep(3 * time.Second)
		return s, nil
	}
	s.term = time.Now()
	back.signal(syscall.SIGTERM)
	if !back.waitExit(gracePeriod) {
		return s, fmt.Errorf("the node has not ended within %v of SIGTERM", gracePeriod)
	}
	time.Sleep(200 * time.Millisecond)
	return s, back.startNode()
}

// judgeStop looks for runs that the nodes broke off although the upstream was at work.
func judgeStop(r *rig, all []stopped) error {
	broken, count := 0, 0
	for _, s := range all {
		count += len(s.requests)
		if s.term.IsZero() {
			continue
		}
		byID := make(map[string]*request)
		for _, q := range s.requests {
			byID[q.id] = q
		}
		for _, run := range s.m.upstream.allRuns() {
			q := byID[run.id]
			if q == nil || run.how == "answered" || run.how == "" {
				continue
			}
			after := run.ended.Sub(s.term)
			if after < 0 || after >= gracePeriod*5/6 || q.ended.Sub(q.sent) >= routeTimeout*7/10 {
				continue // before the SIGTERM, or excused
			}
			broken++
			r.rec.say("%s: sent %.3f s after SIGTERM; its upstream had been at work for %.3f s when the node closed the connection, %.3f s after SIGTERM; the client got %d after %.3f s",
				q.id, q.sent.Sub(s.term).Seconds(), run.ended.Sub(run.began).Seconds(), after.Seconds(), q.status, q.ended.Sub(q.sent).Seconds())
		}
	}
	r.rec.say("%d rounds, %d requests, %d broken off while their upstream was at work", len(all), count, broken)
	if broken > 0 {
		return fmt.Errorf("%w: LOST: %d requests", errBroken, broken)
	}
	return nil
}
