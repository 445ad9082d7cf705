package soak

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/platform/standin"
	"github.com/oleanderworks/oleanderworks/platform/storetest"
)

const operatorTopic = standin.OperatorTopic

// fault is one kind of disturbance. It returns when it has begun; what it undoes
// later it plans itself.
type fault struct {
	name string
	do   func(f *fleet, rng *rand.Rand)
}

// after runs a step later, unless the fleet has ended.
func (f *fleet) after(d time.Duration, step func()) {
	time.AfterFunc(d, func() {
		if !f.ended() {
			step()
		}
	})
}

func (f *fleet) any(rng *rand.Rand) *machine { return f.machines[rng.IntN(len(f.machines))] }

// span draws a duration.
func span(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Float64()*float64(most-least))
}

// disturbAll notes a disturbance that calls from any machine may meet.
func (f *fleet) disturbAll(d time.Duration) {
	for _, m := range f.machines {
		m.quiet.disturb(d)
	}
}

// restartTime is how long after its end a node is started again.
const restartTime = 300 * time.Millisecond

var faults = []fault{
	{"kill", func(f *fleet, rng *rand.Rand) { f.kill(f.any(rng)) }},
	{"kill_many", func(f *fleet, rng *rand.Rand) {
		for _, m := range f.machines {
			if rng.IntN(3) > 0 {
				f.kill(m)
			}
		}
	}},
	{"term", func(f *fleet, rng *rand.Rand) { f.term(f.any(rng)) }},
	{"term_in_turn", func(f *fleet, rng *rand.Rand) {
		for i, m := range f.machines {
			f.after(time.Duration(i)*1500*time.Millisecond, func() { f.term(m) })
		}
	}},
	{"pause", func(f *fleet, rng *rand.Rand) {
		m, d := f.any(rng), span(rng, 300*time.Millisecond, 4*time.Second)
		f.disturbAll(d + contactTime)
		m.process.step(eventPause)
		f.after(d, func() { m.process.step(eventResume) })
	}},
	{"hup", func(f *fleet, rng *rand.Rand) { f.any(rng).process.hangUp() }},
	{"peers_delay", func(f *fleet, rng *rand.Rand) { f.disturbLink(f.any(rng).peers, rng, (*proxy).slowDown) }},
	{"peers_reset", func(f *fleet, rng *rand.Rand) { f.disturbLink(f.any(rng).peers, rng, (*proxy).resetAll) }},
	{"peers_silent", func(f *fleet, rng *rand.Rand) { f.disturbLink(f.any(rng).peers, rng, (*proxy).silence) }},
	{"peers_cut", func(f *fleet, rng *rand.Rand) { f.disturbLink(f.any(rng).peers, rng, (*proxy).cutBoth) }},
	{"peers_one_way", func(f *fleet, rng *rand.Rand) {
		way := rng.IntN(2) == 0
		f.disturbLink(f.any(rng).peers, rng, func(p *proxy) { p.block(way, !way) })
	}},
	{"target_reset", func(f *fleet, rng *rand.Rand) { f.disturbLink(f.any(rng).targetLink, rng, (*proxy).resetAll) }},
	{"target_silent", func(f *fleet, rng *rand.Rand) { f.disturbLink(f.any(rng).targetLink, rng, (*proxy).silence) }},
	{"target_cut", func(f *fleet, rng *rand.Rand) { f.disturbLink(f.any(rng).targetLink, rng, (*proxy).cutBoth) }},
	{"store_cut", func(f *fleet, rng *rand.Rand) { f.disturbLink(f.any(rng).storeLink, rng, (*proxy).cutBoth) }},
	{"store_reset", func(f *fleet, rng *rand.Rand) { f.disturbLink(f.any(rng).storeLink, rng, (*proxy).resetAll) }},
	{"store_down", func(f *fleet, rng *rand.Rand) { f.disturbStore(storetest.Fault{Down: true}, rng) }},
	{"store_loses", func(f *fleet, rng *rand.Rand) { f.disturbStore(storetest.Fault{LoseAppend: true}, rng) }},
	{"store_slow", func(f *fleet, rng *rand.Rand) { f.disturbStore(storetest.Fault{Delay: 400 * time.Millisecond}, rng) }},
	{"store_expires", func(f *fleet, rng *rand.Rand) { f.store.Expire(operatorTopic) }},
	{"target_loses", func(f *fleet, rng *rand.Rand) {
		f.disturbTarget(f.any(rng).target, rng, func(t *target) { t.lose = 0.3 }, func(t *target) { t.lose = 0 })
	}},
	{"target_garbles", func(f *fleet, rng *rand.Rand) {
		f.disturbTarget(f.any(rng).target, rng, func(t *target) { t.garble = 0.3 }, func(t *target) { t.garble = 0 })
	}},
	{"target_slow", func(f *fleet, rng *rand.Rand) {
		f.disturbTarget(f.any(rng).target, rng, func(t *target) { t.slow = 300 * time.Millisecond }, func(t *target) { t.slow = 0 })
	}},
	{"target_crash", func(f *fleet, rng *rand.Rand) {
		m, down := f.any(rng), span(rng, 0, 2*time.Second)
		f.disturbAll(down + contactTime)
		m.target.restart(func() { m.target.stop() }, down)
	}},
	{"target_leaves", func(f *fleet, rng *rand.Rand) {
		m, dark := f.any(rng), rng.IntN(2) == 0
		f.disturbAll(drainTime + contactTime)
		go m.target.restart(func() { m.target.leave(dark) }, time.Second)
	}},
	{"key_withdrawn", func(f *fleet, rng *rand.Rand) {
		f.hold("k-guest", false)
		f.after(span(rng, 4*time.Second, 9*time.Second), func() { f.hold("k-guest", true) })
	}},
	{"config", func(f *fleet, rng *rand.Rand) {
		for i := range 8 {
			f.after(time.Duration(i)*200*time.Millisecond, func() { f.configure(func() {}) })
		}
	}},
	{"zone_out", func(f *fleet, rng *rand.Rand) {
		zone := zones[rng.IntN(len(zones))]
		f.takeOut(zone, true)
		f.after(span(rng, 2*time.Second, 6*time.Second), func() { f.takeOut(zone, false) })
	}},
}

func (f *fleet) kill(m *machine) {
	f.disturbAll(restartTime + contactTime)
	m.process.step(eventResume)
	m.process.step(eventKill)
	f.after(restartTime, func() { m.process.step(eventStart) })
}

// term tells a node to stop and starts it again when it has ended.
func (f *fleet) term(m *machine) {
	m.process.step(eventTerm)
	go func() {
		if !m.process.ended(graceTime) {
			f.book.broken("GRACE: the node of %s runs %v after SIGTERM", m.name, graceTime)
			m.process.step(eventKill)
		}
		m.quiet.disturb(contactTime) // its callers' connections are refused
		f.after(restartTime, func() { m.process.step(eventStart) })
	}()
}

func (f *fleet) disturbLink(p *proxy, rng *rand.Rand, how func(*proxy)) {
	d := span(rng, 500*time.Millisecond, 5*time.Second)
	f.disturbAll(d + contactTime)
	how(p)
	f.after(d, p.heal)
}

func (f *fleet) disturbStore(s storetest.Fault, rng *rand.Rand) {
	d := span(rng, time.Second, 5*time.Second)
	f.disturbAll(d + contactTime)
	f.store.SetFault(s)
	f.after(d, func() { f.store.SetFault(storetest.Fault{}) })
}

func (f *fleet) disturbTarget(t *target, rng *rand.Rand, begin, end func(*target)) {
	change := func(how func(*target)) {
		t.mu.Lock()
		defer t.mu.Unlock()
		how(t)
	}
	change(begin)
	f.after(span(rng, time.Second, 5*time.Second), func() { change(end) })
}

// hold gives a key back to its customer or withdraws it.
func (f *fleet) hold(key string, held bool) {
	f.configure(func() {
		f.keys[key] = held
		if held {
			f.withdrawn = time.Time{}
			return
		}
		f.withdrawn = time.Now()
	})
}

// keyHeld returns since when a key is withdrawn, zero if it is held.
func (f *fleet) keyHeld(key string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keys[key] || key != "k-guest" {
		return time.Time{}
	}
	return f.withdrawn
}

func (f *fleet) takeOut(zone string, out bool) {
	value, at := "", time.Time{}
	if out {
		value, at = "{}", time.Now()
	}
	f.store.Put(operatorTopic, standin.ZoneKey(zone), value)
	for _, m := range f.machines {
		if m.zone == zone {
			m.quiet.setOut(at)
		}
	}
}

// play lets faults come in series that overlap, for a time.
func (f *fleet) play(length time.Duration) []string {
	var played []string
	for end := time.Now().Add(length); time.Now().Before(end); {
		chosen := faults[f.rng.IntN(len(faults))]
		for range 1 + f.rng.IntN(3) {
			played = append(played, chosen.name)
			chosen.do(f, f.rng)
			time.Sleep(span(f.rng, 20*time.Millisecond, 400*time.Millisecond))
		}
		time.Sleep(span(f.rng, 100*time.Millisecond, 1500*time.Millisecond))
	}
	return played
}

// heal undoes everything and starts what is down.
func (f *fleet) heal() {
	f.store.SetFault(storetest.Fault{})
	for _, z := range zones {
		f.takeOut(z, false)
	}
	f.hold("k-guest", true)
	for _, m := range f.machines {
		for _, p := range []*proxy{m.peers, m.targetLink, m.storeLink} {
			p.heal()
		}
		m.process.step(eventResume)
	}
}
