package configlog

import (
	"slices"
	"time"

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

// withdrawal is a withdrawn key that was not yet seen in the log.
type withdrawal struct {
	zones    map[model.Zone]bool // availability zones whose nodes have it
	peers    map[model.Instance]bool
	appendAt time.Time
	appended bool
	repeatAt time.Time
	giveUpAt time.Time
	waiters  []func(Acceptance)
}

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
	if !w.appended {
		c.appendWithdrawal(hash, w)
	}
	c.judgeWithdrawal(w)
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
			c.judgeWithdrawal(w)
		}
	}
	if !m.Ack {
		c.emit(&Send{To: from.Instance, Withdrawals: &Withdrawals{Hashes: m.Hashes, Ack: true}})
	}
}

// learnWithdrawal applies a withdrawal at once and passes it on. It returns
// nil when too many wait.
func (c *Core) learnWithdrawal(now time.Time, hash model.KeyHash) *withdrawal {
	if w := c.pending[hash]; w != nil {
		return w
	}
	if len(c.pending) >= maxPending || isWithdrawn(c.config.Document(keyDocument(hash))) {
		return nil
	}
	w := &withdrawal{
		zones: map[model.Zone]bool{c.self.Zone: true},
		peers: make(map[model.Instance]bool),
	}
	c.pending[hash] = w
	c.builder.Withdraw(hash)
	c.dirty = true
	c.emit(&Notice{Kind: NoticeWithdrawn, ID: hash.Short()})
	c.spreadWithdrawal(now, hash, w)
	return w
}

// spreadWithdrawal sends a withdrawal to the peers that are not known to have
// it.
func (c *Core) spreadWithdrawal(now time.Time, hash model.KeyHash, w *withdrawal) {
	w.repeatAt = now.Add(withdrawRepeat)
	for _, peer := range c.peers {
		if !w.peers[peer] {
			c.emit(&Send{To: peer, Withdrawals: &Withdrawals{Hashes: []model.KeyHash{hash}}})
		}
	}
}

func (c *Core) appendWithdrawal(hash model.KeyHash, w *withdrawal) {
	w.appended = true
	c.emit(&Append{
		Stream:      model.ConfigStream,
		From:        c.config.Next(),
		Publication: &model.Publication{Author: string(c.self.Instance), Withdraw: []string{hash.String()}},
	})
}

// judgeWithdrawal answers the waiters once nodes in a majority of
// availability zones have the withdrawal.
func (c *Core) judgeWithdrawal(w *withdrawal) {
	known := c.builder.Zones()
	have := 0
	for _, zone := range known {
		if w.zones[zone] {
			have++
		}
	}
	if 2*have > len(known) {
		w.answer(AcceptedByPeers)
	}
}

// settleWithdrawal notes that a document came from the log or from a peer's
// set.
func (c *Core) settleWithdrawal(doc model.Document) {
	if len(c.pending) == 0 || !isWithdrawn(doc) {
		return
	}
	_, object, _ := model.SplitDocumentName(doc.Name)
	hash, err := model.ParseKeyHash(object)
	if err != nil || c.pending[hash] == nil {
		return
	}
	c.pending[hash].answer(AcceptedByLog)
	delete(c.pending, hash)
}

func (c *Core) tickWithdrawals(now time.Time) {
	following := c.byName[model.ConfigStream].state == stateFollowing
	for hash, w := range c.pending {
		if len(w.waiters) > 0 && !now.Before(w.giveUpAt) {
			w.answer(NotAccepted)
		}
		if !now.Before(w.repeatAt) {
			c.spreadWithdrawal(now, hash, w)
		}
		switch {
		case !following:
			w.appendAt = time.Time{}
		case w.appendAt.IsZero():
			delay := refreshDelay(c.self.Instance, keyDocument(hash))
			w.appendAt = now.Add(time.Duration(delay * float64(withdrawWindow)))
		case !w.appended && !now.Before(w.appendAt):
			c.appendWithdrawal(hash, w)
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

func (w *withdrawal) answer(a Acceptance) {
	for _, done := range w.waiters {
		done(a)
	}
	w.waiters = nil
}

func keyDocument(hash model.KeyHash) string {
	return model.DocumentName(model.KindKey, hash.String())
}
