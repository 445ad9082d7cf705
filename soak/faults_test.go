package soak

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/platform/standin"
	"github.com/oleanderworks/oleanderworks/platform/storetest"
)

const operatorTopic = standin.OperatorTopic

// fault is a kind of fault. inject begins it, schedules its end if it has one, and does
// not wait for it.
type fault struct {
	name   string
	inject func(f *fleet, rng *rand.Rand)
}

// after runs callback when d has passed, unless the fleet is closed by then.
func (f *fleet) after(d time.Duration, callback func()) {
	time.AfterFunc(d, func() {
		if !f.closed() {
			callback()
		}
	})
}

// pick returns a random instance.
func (f *fleet) pick(rng *rand.Rand) *instance { return f.instances[rng.IntN(len(f.instances))] }

// randomDuration draws a duration between low and high.
func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Float64()*float64(high-low))
}

// markAllAffected records that a fault may affect calls at every instance for d.
func (f *fleet) markAllAffected(d time.Duration) {
	for _, inst := range f.instances {
		inst.faultState.markAffected(d)
	}
}

// restartDelay is the time between the exit of a node and its next start.
const restartDelay = 300 * time.Millisecond

// faults lists all faults. The names that end in _loses stand for lost answers to
// requests that took effect, target_garbles for truncated answers.
var faults = []fault{
	{"kill", func(f *fleet, rng *rand.Rand) { f.kill(f.pick(rng)) }},
	{"kill_many", func(f *fleet, rng *rand.Rand) {
		for _, inst := range f.instances {
			if rng.IntN(3) > 0 {
				f.kill(inst)
			}
		}
	}},
	{"term", func(f *fleet, rng *rand.Rand) { f.terminate(f.pick(rng)) }},
	{"term_in_turn", func(f *fleet, rng *rand.Rand) {
		for i, inst := range f.instances {
			f.after(time.Duration(i)*1500*time.Millisecond, func() { f.terminate(inst) })
		}
	}},
	{"pause", func(f *fleet, rng *rand.Rand) {
		inst, d := f.pick(rng), randomDuration(rng, 300*time.Millisecond, 4*time.Second)
		f.markAllAffected(d + settleTime)
		inst.process.step(eventPause)
		f.after(d, func() { inst.process.step(eventResume) })
	}},
	{"hup", func(f *fleet, rng *rand.Rand) { f.pick(rng).process.sendHangup() }},
	{"peers_delay", func(f *fleet, rng *rand.Rand) { f.failLink(f.pick(rng).peerLink, rng, (*proxy).addDelay) }},
	{"peers_reset", func(f *fleet, rng *rand.Rand) { f.failLink(f.pick(rng).peerLink, rng, (*proxy).resetAll) }},
	{"peers_silent", func(f *fleet, rng *rand.Rand) { f.failLink(f.pick(rng).peerLink, rng, (*proxy).silenceAll) }},
	{"peers_cut", func(f *fleet, rng *rand.Rand) { f.failLink(f.pick(rng).peerLink, rng, (*proxy).blockAll) }},
	{"peers_one_way", func(f *fleet, rng *rand.Rand) {
		blockForward := rng.IntN(2) == 0
		f.failLink(f.pick(rng).peerLink, rng, func(p *proxy) { p.block(blockForward, !blockForward) })
	}},
	{"target_reset", func(f *fleet, rng *rand.Rand) { f.failLink(f.pick(rng).targetLink, rng, (*proxy).resetAll) }},
	{"target_silent", func(f *fleet, rng *rand.Rand) { f.failLink(f.pick(rng).targetLink, rng, (*proxy).silenceAll) }},
	{"target_cut", func(f *fleet, rng *rand.Rand) { f.failLink(f.pick(rng).targetLink, rng, (*proxy).blockAll) }},
	{"store_cut", func(f *fleet, rng *rand.Rand) { f.failLink(f.pick(rng).storeLink, rng, (*proxy).blockAll) }},
	{"store_reset", func(f *fleet, rng *rand.Rand) { f.failLink(f.pick(rng).storeLink, rng, (*proxy).resetAll) }},
	{"store_down", func(f *fleet, rng *rand.Rand) { f.failStore(storetest.Fault{Down: true}, rng) }},
	{"store_loses", func(f *fleet, rng *rand.Rand) { f.failStore(storetest.Fault{LoseAppendAnswer: true}, rng) }},
	{"store_slow", func(f *fleet, rng *rand.Rand) { f.failStore(storetest.Fault{Delay: 400 * time.Millisecond}, rng) }},
	{"store_restored", func(f *fleet, rng *rand.Rand) { f.restoreStore(rng) }},
	{"store_expires", func(f *fleet, rng *rand.Rand) { f.store.Expire(operatorTopic) }},
	{"target_loses", func(f *fleet, rng *rand.Rand) {
		f.failTarget(f.pick(rng).target, rng, func(t *target) { t.lostAnswerShare = 0.3 }, func(t *target) { t.lostAnswerShare = 0 })
	}},
	{"target_garbles", func(f *fleet, rng *rand.Rand) {
		f.failTarget(f.pick(rng).target, rng, func(t *target) { t.truncatedAnswerShare = 0.3 }, func(t *target) { t.truncatedAnswerShare = 0 })
	}},
	{"target_slow", func(f *fleet, rng *rand.Rand) {
		f.failTarget(f.pick(rng).target, rng, func(t *target) { t.extraWork = 300 * time.Millisecond }, func(t *target) { t.extraWork = 0 })
	}},
	{"target_crash", func(f *fleet, rng *rand.Rand) {
		inst, downTime := f.pick(rng), randomDuration(rng, 0, 2*time.Second)
		f.markAllAffected(downTime + settleTime)
		inst.target.restart(func() { inst.target.stop() }, downTime)
	}},
	{"target_leaves", func(f *fleet, rng *rand.Rand) {
		inst, deregister := f.pick(rng), rng.IntN(2) == 0
		f.markAllAffected(targetDrainTime + settleTime)
		go inst.target.restart(func() { inst.target.leave(deregister) }, time.Second)
	}},
	{"key_withdrawn", func(f *fleet, rng *rand.Rand) {
		f.setKeyValid("k-guest", false)
		f.after(randomDuration(rng, 4*time.Second, 9*time.Second), func() { f.setKeyValid("k-guest", true) })
	}},
	{"config", func(f *fleet, rng *rand.Rand) {
		for i := range 8 {
			f.after(time.Duration(i)*200*time.Millisecond, func() { f.publishConfig(func() {}) })
		}
	}},
	{"zone_out", func(f *fleet, rng *rand.Rand) {
		zone := zones[rng.IntN(len(zones))]
		f.setZoneOut(zone, true)
		f.after(randomDuration(rng, 2*time.Second, 6*time.Second), func() { f.setZoneOut(zone, false) })
	}},
}

// kill sends SIGKILL to a node, which it resumes first if it is paused, and starts it
// again.
func (f *fleet) kill(inst *instance) {
	f.markAllAffected(restartDelay + settleTime)
	inst.process.step(eventResume)
	inst.process.step(eventKill)
	f.after(restartDelay, func() { inst.process.step(eventStart) })
}

// terminate sends SIGTERM to a node and starts it again when it has exited. It reports
// and kills a node that still runs after shutdownGrace. That includes a paused node,
// which gets no SIGTERM, since state paused of the chart soak_process ignores the event
// terminate.
func (f *fleet) terminate(inst *instance) {
	inst.process.step(eventTerminate)
	go func() {
		if !inst.process.waitExit(shutdownGrace) {
			f.recorder.report("GRACE: node %s was still running %v after SIGTERM", inst.name, shutdownGrace)
			inst.process.step(eventKill)
		}
		inst.faultState.markAffected(settleTime) // connections from its callers are refused
		f.after(restartDelay, func() { inst.process.step(eventStart) })
	}()
}

// failLink injects a fault into a link and heals the link after a random time. That also
// ends other delays and blocks of the link, but silenced connections stay silent.
func (f *fleet) failLink(p *proxy, rng *rand.Rand, inject func(*proxy)) {
	d := randomDuration(rng, 500*time.Millisecond, 5*time.Second)
	f.markAllAffected(d + settleTime)
	inject(p)
	f.after(d, p.heal)
}

// failStore injects a fault into the store for a random time.
func (f *fleet) failStore(storeFault storetest.Fault, rng *rand.Rand) {
	d := randomDuration(rng, time.Second, 5*time.Second)
	f.markAllAffected(d + settleTime)
	f.store.SetFault(storeFault)
	f.after(d, func() { f.store.SetFault(storetest.Fault{}) })
}

// restoreStore backs up the store and later takes it down, restores the backup and, after
// another moment, writes the operator's documents again.
func (f *fleet) restoreStore(rng *rand.Rand) {
	backup := f.store.Backup()
	age, downTime := randomDuration(rng, 500*time.Millisecond, 4*time.Second), randomDuration(rng, 100*time.Millisecond, 3*time.Second)
	rewriteDelay := randomDuration(rng, 0, 1500*time.Millisecond)
	f.after(age, func() {
		f.markAllAffected(downTime + rewriteDelay + settleTime)
		f.store.SetFault(storetest.Fault{Down: true})
		f.after(downTime, func() {
			f.store.Restore(backup)
			f.store.SetFault(storetest.Fault{})
			f.after(rewriteDelay, f.writeDocumentsAgain)
		})
	})
}

// writeDocumentsAgain writes the operator's documents as they should be.
func (f *fleet) writeDocumentsAgain() {
	f.publishConfig(func() {})
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, zone := range zones {
		f.putZone(zone)
	}
}

// putZone writes the document of an availability zone. The caller holds f.mu.
func (f *fleet) putZone(zone string) {
	value := ""
	if f.zonesOut[zone] {
		value = "{}"
	}
	f.store.Put(operatorTopic, standin.ZoneKey(zone), value)
}

// failTarget changes the behavior of a target for a random time.
func (f *fleet) failTarget(t *target, rng *rand.Rand, apply, undo func(*target)) {
	change := func(modify func(*target)) {
		t.mu.Lock()
		defer t.mu.Unlock()
		modify(t)
	}
	change(apply)
	f.after(randomDuration(rng, time.Second, 5*time.Second), func() { change(undo) })
}

// setKeyValid publishes a configuration in which a key of the customer guest is valid
// or withdrawn.
func (f *fleet) setKeyValid(key string, valid bool) {
	f.publishConfig(func() {
		f.guestKeys[key] = valid
		if valid {
			f.keyWithdrawnAt = time.Time{}
			return
		}
		f.keyWithdrawnAt = time.Now()
	})
}

// keyWithdrawnSince returns when a key was withdrawn. The time is zero if the key is
// valid.
func (f *fleet) keyWithdrawnSince(key string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.guestKeys[key] || key != "k-guest" {
		return time.Time{}
	}
	return f.keyWithdrawnAt
}

// setZoneOut takes an availability zone out of service or puts it back.
func (f *fleet) setZoneOut(zone string, out bool) {
	since := time.Time{}
	if out {
		since = time.Now()
	}
	f.mu.Lock()
	f.zonesOut[zone] = out
	f.putZone(zone)
	f.mu.Unlock()
	for _, inst := range f.instances {
		if inst.zone == zone {
			inst.faultState.setZoneOut(since)
		}
	}
}

// injectFaults injects random faults for a time and returns their names. It injects each
// chosen fault one to three times in short succession, and faults overlap.
func (f *fleet) injectFaults(duration time.Duration) []string {
	var injected []string
	for end := time.Now().Add(duration); time.Now().Before(end); {
		chosen := faults[f.rng.IntN(len(faults))]
		for range 1 + f.rng.IntN(3) {
			injected = append(injected, chosen.name)
			chosen.inject(f, f.rng)
			time.Sleep(randomDuration(f.rng, 20*time.Millisecond, 400*time.Millisecond))
		}
		time.Sleep(randomDuration(f.rng, 100*time.Millisecond, 1500*time.Millisecond))
	}
	return injected
}

// healAll ends delays and blocks of links and faults of the store, puts the
// availability zones back into service, makes the key of the customer guest valid and
// resumes paused nodes. Silenced connections stay silent until they are closed. All
// other faults end by themselves.
func (f *fleet) healAll() {
	f.store.SetFault(storetest.Fault{})
	for _, z := range zones {
		f.setZoneOut(z, false)
	}
	f.setKeyValid("k-guest", true)
	for _, inst := range f.instances {
		for _, p := range []*proxy{inst.peerLink, inst.targetLink, inst.storeLink} {
			p.heal()
		}
		inst.process.step(eventResume)
	}
}
