package configlog

import (
	"slices"
	"sync"
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// withdrawWindow spreads the appends of nodes that know a withdrawal which
	// is not in the log, once the log is back.
	withdrawWindow = 20 * time.Second
	// withdrawPatience is how long an operator's request waits for
	// acceptance.
	withdrawPatience = 5 * time.Second
	// withdrawRepeat separates the messages to peers that did not confirm.
	withdrawRepeat = time.Second
	// maxPending bounds the withdrawals that are not yet in the log.
	maxPending = 10_000
)

// Acceptance says where a withdrawal is safe.
type Acceptance string

// Values of Acceptance.
const (
	AcceptedByLog   Acceptance = "log"   // it is in the log
	AcceptedByPeers Acceptance = "peers" // nodes in a majority of availability zones have it
	NotAccepted     Acceptance = "pending"
)

// Events of the key_withdrawal chart, in the chart's order.
const (
	eventAsked chart.EventID = iota
	eventAcknowledged
	eventRepeatDue
	eventAppendDue
	eventPatienceOver
	eventSeenInLog
)

// withdrawal is a withdrawn key that was not yet seen in the log.
type withdrawal struct {
	core     *Core
	hash     model.KeyHash
	state    chart.StateID
	now      time.Time
	zones    map[model.Zone]bool // availability zones whose nodes have it
	peers    map[model.Instance]bool
	appendAt time.Time
	appended bool
	repeatAt time.Time
	giveUpAt time.Time
	waiters  []func(Acceptance)
}

var withdrawalMachine = sync.OnceValue(func() *chart.Machine[*withdrawal] {
	return chart.MustCompile(charts.MustRead("key_withdrawal"), chart.Binding[*withdrawal]{
		States: []string{"spreading", "confirmed", "logged"},
		Events: []string{"asked", "acknowledged", "repeat_due", "append_due", "patience_over", "seen_in_log"},
		Guards: map[string]func(*withdrawal) bool{
			"majority": (*withdrawal).majority,
			"appended": func(w *withdrawal) bool { return w.appended },
		},
		Actions: map[string]func(*withdrawal){
			"spread":         (*withdrawal).spread,
			"append":         (*withdrawal).append,
			"answer_peers":   func(w *withdrawal) { w.answer(AcceptedByPeers) },
			"answer_pending": func(w *withdrawal) { w.answer(NotAccepted) },
			"answer_log":     func(w *withdrawal) { w.answer(AcceptedByLog) },
		},
	})
})

// OnWithdraw withdraws a key on behalf of an operator. Done is called once,
// without blocking. It reports false when too many withdrawals wait.
func (c *Core) OnWithdraw(now time.Time, hash model.KeyHash, done func(Acceptance)) bool {
	if isWithdrawn(c.config.Document(keyDocument(hash))) {
		done(AcceptedByLog)
		return true
	}
	w := c.learnWithdrawal(now, hash)
	if w == nil {
		return false
	}
	w.waiters = append(w.waiters, done)
	w.giveUpAt = now.Add(withdrawPatience)
	w.step(now, eventAsked)
	return true
}

// OnWithdrawals takes withdrawals or confirmations from a peer.
func (c *Core) OnWithdrawals(now time.Time, from model.Member, m *Withdrawals) {
	for _, hash := range m.Hashes {
		if !m.Ack {
			c.learnWithdrawal(now, hash)
		}
		if w := c.pending[hash]; w != nil {
			w.peers[from.Instance] = true
			w.zones[from.Zone] = true
			w.step(now, eventAcknowledged)
		}
	}
	if !m.Ack {
		c.emit(&Send{To: from.Instance, Withdrawals: &Withdrawals{Hashes: m.Hashes, Ack: true}})
	}
}

// learnWithdrawal applies a withdrawal at once and passes it on. It returns
// nil when the log has it or too many wait.
func (c *Core) learnWithdrawal(now time.Time, hash model.KeyHash) *withdrawal {
	if w := c.pending[hash]; w != nil {
		return w
	}
	if len(c.pending) >= maxPending || isWithdrawn(c.config.Document(keyDocument(hash))) {
		return nil
	}
	w := &withdrawal{
		core:  c,
		hash:  hash,
		state: withdrawalMachine().Initial(),
		zones: map[model.Zone]bool{c.self.Zone: true},
		peers: make(map[model.Instance]bool),
	}
	c.pending[hash] = w
	c.builder.Withdraw(hash)
	c.dirty = true
	c.emit(&Notice{Kind: NoticeWithdrawn, ID: hash.Short()})
	w.step(now, eventRepeatDue)
	return w
}

// settleWithdrawal notes that a document came from the log or from a peer's
// set.
func (c *Core) settleWithdrawal(now time.Time, doc model.Document) {
	if len(c.pending) == 0 || !isWithdrawn(doc) {
		return
	}
	_, object, _ := model.SplitDocumentName(doc.Name)
	hash, err := model.ParseKeyHash(object)
	if w := c.pending[hash]; err == nil && w != nil {
		w.step(now, eventSeenInLog)
	}
}

func (c *Core) tickWithdrawals(now time.Time) {
	following := c.byName[model.ConfigStream].state == stateFollowing
	for _, w := range c.pending {
		if len(w.waiters) > 0 && !now.Before(w.giveUpAt) {
			w.step(now, eventPatienceOver)
		}
		if !now.Before(w.repeatAt) {
			w.step(now, eventRepeatDue)
		}
		if w.appendIsDue(now, following) {
			w.step(now, eventAppendDue)
		}
	}
}

func (c *Core) pendingHashes() []model.KeyHash {
	out := make([]model.KeyHash, 0, len(c.pending))
	for hash := range c.pending {
		out = append(out, hash)
	}
	slices.SortFunc(out, func(a, b model.KeyHash) int { return slices.Compare(a[:], b[:]) })
	return out
}

func (w *withdrawal) step(now time.Time, e chart.EventID) {
	w.now = now
	w.state = withdrawalMachine().Step(w, w.state, e)
	if withdrawalMachine().Final(w.state) {
		delete(w.core.pending, w.hash)
	}
}

// appendIsDue starts the node's delay when the log answers again. A node that
// sees the withdrawal in the log before its delay ends appends nothing.
func (w *withdrawal) appendIsDue(now time.Time, following bool) bool {
	if !following {
		w.appendAt = time.Time{}
		return false
	}
	if w.appendAt.IsZero() {
		delay := refreshDelay(w.core.self.Instance, keyDocument(w.hash))
		w.appendAt = now.Add(time.Duration(delay * float64(withdrawWindow)))
	}
	return !now.Before(w.appendAt)
}

// majority reports whether nodes in a majority of availability zones have the
// withdrawal.
func (w *withdrawal) majority() bool {
	known := w.core.builder.Zones()
	have := 0
	for _, zone := range known {
		if w.zones[zone] {
			have++
		}
	}
	return 2*have > len(known)
}

// spread sends the withdrawal to the peers that are not known to have it.
func (w *withdrawal) spread() {
	w.repeatAt = w.now.Add(withdrawRepeat)
	for _, peer := range w.core.peers {
		if !w.peers[peer] {
			w.core.emit(&Send{To: peer, Withdrawals: &Withdrawals{Hashes: []model.KeyHash{w.hash}}})
		}
	}
}

func (w *withdrawal) append() {
	c := w.core
	w.appended = true
	c.emit(&Append{
		Stream:      model.ConfigStream,
		From:        c.config.Next(),
		Publication: &model.Publication{Author: string(c.self.Instance), Withdraw: []string{w.hash.String()}},
	})
}

func (w *withdrawal) answer(a Acceptance) {
	for _, done := range w.waiters {
		done(a)
	}
	w.waiters = nil
}

func keyDocument(hash model.KeyHash) string {
	return model.DocumentName(model.KindKey, hash.String())
}
