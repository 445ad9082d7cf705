package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late"] = playLate }

const (
	contact      = 3 * time.Second
	drainTimeout = 2 * time.Second
	// servesOn is how long the leaving upstream serves after the acknowledgement: drain_timeout
	// and a little longer, at times many seconds.
	servesOn = 4600 * time.Millisecond
	// heartbeatDelay is how late the heartbeat arrives; PROTOCOL.md says seconds.
	heartbeatDelay = 4600 * time.Millisecond
	// latenessSlack keeps requests out of the count that were on their way at a bound.
	latenessSlack = 200 * time.Millisecond
)

// playLate lets an upstream leave, kills and starts the node beside it, and delivers to it a
// heartbeat that the upstream made before it left. Requests must not reach the upstream later
// than drain_timeout after the acknowledgement.
func playLate(r *rig) error {
	front := r.addMachine("front", "za", "desk", 24, 20*time.Millisecond)
	leaving := r.addMachine("leaving", "za", "ledger", 24, 120*time.Millisecond)
	r.addMachine("staying", "za", "ledger", 24, 120*time.Millisecond)
	r.putConfig(1, []route{{
		Name: "r-ledger", Host: routeHost, PathPrefix: "/ledger/", Type: "non_idempotent", Timeout: "1500ms", SLO: "1500ms", Service: "ledger", Attempts: 2,
	}})
	if err := r.startAll(); err != nil {
		return err
	}
	if err := r.eventually(10*time.Second, "both upstreams run requests", func() bool {
		r.send(front, "POST", "/ledger/warm", "lot", routeTimeout)
		for _, m := range r.machines[1:] {
			if len(m.upstream.allRuns()) == 0 {
				return false
			}
		}
		return true
	}); err != nil {
		return err
	}
	time.Sleep(contact)
	stop := make(chan struct{})
	var mu sync.Mutex
	var requests []*request
	var senders sync.WaitGroup
	senders.Go(func() {
		for i := 0; ; i++ {
			senders.Go(func() {
				q := r.send(front, "POST", fmt.Sprintf("/ledger/%d", i), strings.Repeat("x", 1200), routeTimeout)
				mu.Lock()
				requests = append(requests, q)
				mu.Unlock()
			})
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	time.Sleep(time.Second)
	u := leaving.upstream
	late := u.nextBeat("ready") // sent now, on the way for heartbeatDelay
	time.Sleep(100 * time.Millisecond)
	acked, err := u.deregister()
	ackedAt := time.Now()
	if err != nil || !acked {
		return fmt.Errorf("the deregistration was not acknowledged: %v", err)
	}
	restartedAt := time.Time{}
	if r.trouble {
		time.Sleep(400 * time.Millisecond)
		leaving.signal(syscall.SIGKILL)
		leaving.waitExit(time.Second)
		time.Sleep(300 * time.Millisecond)
		if err := leaving.startNode(); err != nil {
			return err
		}
		restartedAt = time.Now()
		time.Sleep(time.Until(late.madeAt.Add(heartbeatDelay)))
		_, _ = u.sendBeat(late)
	}
	time.Sleep(time.Until(ackedAt.Add(servesOn)))
	u.exit()
	time.Sleep(2 * time.Second)
	close(stop)
	senders.Wait()
	return judgeLate(r, u, requests, ackedAt, restartedAt)
}

// judgeLate counts the requests that reached the upstream too late, from machines in touch.
func judgeLate(r *rig, u *upstream, requests []*request, ackedAt, restartedAt time.Time) error {
	from := ackedAt.Add(drainTimeout + latenessSlack)
	if inTouch := restartedAt.Add(contact + latenessSlack); inTouch.After(from) {
		from = inTouch
	}
	byID := make(map[string]*request)
	for _, q := range requests {
		byID[q.id] = q
	}
	tooLate, lost := 0, 0
	for _, run := range u.allRuns() {
		q := byID[run.id]
		if q == nil || q.sent.Before(from) {
			continue
		}
		tooLate++
		if q.status != 200 {
			lost++
		}
		r.rec.say("%s was sent and reached the leaving upstream %.3f s after the acknowledgement, %.3f s after the start of its node; the client got %d",
			q.id, run.began.Sub(ackedAt).Seconds(), run.began.Sub(restartedAt).Seconds(), q.status)
	}
	r.rec.say("%d requests; %d of them were sent and reached the upstream later than %.1f s after the acknowledgement, with all machines in touch; %d of these were lost",
		len(requests), tooLate, from.Sub(ackedAt).Seconds(), lost)
	if tooLate > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests", errBroken, tooLate)
	}
	return nil
}
