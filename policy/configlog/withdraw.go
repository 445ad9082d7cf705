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
	// withdrawAppendWindow is the time over which nodes spread their appends of
	// a withdrawal that is missing in the log. It starts at each node when the
	// node knows the withdrawal and follows the log.
	withdrawAppendWindow = 20 * time.Second
	// withdrawTimeout is how long operators' requests for a key wait for
	// confirmation, counted from the latest of them.
	withdrawTimeout = 5 * time.Second
	// withdrawResendInterval separates the messages to peers that have not
	// confirmed a withdrawal.
	withdrawResendInterval = time.Second
	// maxPendingWithdrawals bounds the withdrawals that are not done.
	maxPendingWithdrawals = 10_000
)

// Confirmation says where a withdrawal is certain to be in force: in the regions
// where nodes in a majority of availability zones have confirmed it. A node
// serves keys only while it has contact with nodes in a majority of its region's
// zones (membership.ContactLifetime). The two majorities overlap, so that every
// node soon learns of the withdrawal, or loses contact and refuses every key. A
// record in the log is not enough, since a node may be unable to reach the log.
type Confirmation struct {
	Regions []model.Region // that have confirmed
	Missing []model.Region // that have not
	InLog   bool           // this node's configuration holds it, so that it is in the log
}

// Events of the key_withdrawal chart, in the chart's order.
const (
	eventRequested chart.EventID = iota
	eventPeerConfirmed
	eventResendDue
	eventAppendDue
	eventTimedOut
	eventInConfiguration
)

// withdrawal is a withdrawn key that this node's configuration does not hold
// yet, or for whose confirmation an operator waits.
type withdrawal struct {
	core            *Core
	hash            model.KeyHash
	state           chart.StateID
	now             time.Time
	confirmedZones  map[model.Zone]bool // availability zones with a node that has it
	confirmedPeers  map[model.Instance]bool
	appendAt        time.Time // when this node appends it; zero while it does not follow the log
	appendRequested bool      // this node has requested its append, or the log had it already
	resendAt        time.Time
	timeoutAt       time.Time // of the latest operator's request
	waiters         []func(Confirmation)
}

var withdrawalMachine = sync.OnceValue(func() *chart.Machine[*withdrawal] {
	return chart.MustCompile(charts.MustRead("key_withdrawal"), chart.Binding[*withdrawal]{
		States: []string{"propagating", "confirmed", "logged", "done"},
		Events: []string{"requested", "peer_confirmed", "resend_due", "append_due", "timed_out", "in_configuration"},
		Guards: map[string]func(*withdrawal) bool{
			"all_regions_confirmed": func(w *withdrawal) bool { return len(w.confirmation().Missing) == 0 },
			"append_requested":      func(w *withdrawal) bool { return w.appendRequested },
			"operator_waiting":      func(w *withdrawal) bool { return len(w.waiters) > 0 },
		},
		Actions: map[string]func(*withdrawal){
			"send_to_peers":   (*withdrawal).sendToPeers,
			"append_to_log":   (*withdrawal).appendToLog,
			"answer_operator": (*withdrawal).answerOperator,
		},
	})
})

// OnWithdrawRequest withdraws a key on behalf of an operator. It calls done
// once, when every region has confirmed or withdrawTimeout after the latest
// request for the key; done must not block. It returns false when too many
// withdrawals are pending.
func (c *Core) OnWithdrawRequest(now time.Time, hash model.KeyHash, done func(Confirmation)) bool {
	w := c.applyWithdrawal(now, hash)
	inLog := isWithdrawn(c.config.Document(keyDocument(hash)))
	if w == nil && inLog && len(c.pendingWithdrawals) < maxPendingWithdrawals {
		w = c.newWithdrawal(now, hash)
		w.appendRequested = true
	}
	if w == nil {
		return false
	}
	w.waiters = append(w.waiters, done)
	w.timeoutAt = now.Add(withdrawTimeout)
	if inLog {
		w.step(now, eventInConfiguration)
	}
	w.step(now, eventRequested)
	return true
}

// OnWithdrawals handles withdrawals or confirmations from a peer. It confirms
// the withdrawals that this node applies.
func (c *Core) OnWithdrawals(now time.Time, from model.Member, m *Withdrawals) {
	var applied []model.KeyHash
	for _, hash := range m.Hashes {
		if !m.Ack {
			c.applyWithdrawal(now, hash)
		}
		w := c.pendingWithdrawals[hash]
		if w != nil || isWithdrawn(c.config.Document(keyDocument(hash))) {
			applied = append(applied, hash)
		}
		if w != nil {
			w.confirmedPeers[from.Instance] = true
			w.confirmedZones[from.Zone] = true
			w.step(now, eventPeerConfirmed)
		}
	}
	if !m.Ack && len(applied) > 0 {
		c.emit(&Send{To: from.Instance, Withdrawals: &Withdrawals{Hashes: applied, Ack: true}})
	}
}

// applyWithdrawal applies a withdrawal at once and sends it to the peers. It
// returns nil when the configuration has it already or too many are pending.
func (c *Core) applyWithdrawal(now time.Time, hash model.KeyHash) *withdrawal {
	if w := c.pendingWithdrawals[hash]; w != nil {
		return w
	}
	if len(c.pendingWithdrawals) >= maxPendingWithdrawals || isWithdrawn(c.config.Document(keyDocument(hash))) {
		return nil
	}
	c.builder.Withdraw(hash)
	c.dirty = true
	c.emit(&Notice{Kind: NoticeWithdrawn, ID: hash.Short()})
	return c.newWithdrawal(now, hash)
}

func (c *Core) newWithdrawal(now time.Time, hash model.KeyHash) *withdrawal {
	w := &withdrawal{
		core:           c,
		hash:           hash,
		state:          withdrawalMachine().Initial(),
		confirmedZones: map[model.Zone]bool{c.self.Zone: true},
		confirmedPeers: make(map[model.Instance]bool),
	}
	c.pendingWithdrawals[hash] = w
	w.step(now, eventResendDue)
	return w
}

// markWithdrawalInConfiguration handles a withdrawn key's document that came from the
// log or from a peer's document set.
func (c *Core) markWithdrawalInConfiguration(now time.Time, doc model.Document) {
	if len(c.pendingWithdrawals) == 0 || !isWithdrawn(doc) {
		return
	}
	_, object, _ := model.SplitDocumentName(doc.Name)
	hash, err := model.ParseKeyHash(object)
	if w := c.pendingWithdrawals[hash]; err == nil && w != nil {
		w.step(now, eventInConfiguration)
	}
}

func (c *Core) tickWithdrawals(now time.Time) {
	following := c.trackerByStream[model.ConfigStream].state == stateFollowing
	for _, w := range c.pendingWithdrawals {
		if len(w.waiters) > 0 && !now.Before(w.timeoutAt) {
			w.step(now, eventTimedOut)
		}
		if !now.Before(w.resendAt) {
			w.step(now, eventResendDue)
		}
		if w.appendDue(now, following) {
			w.step(now, eventAppendDue)
		}
	}
}

func (c *Core) pendingHashes() []model.KeyHash {
	out := make([]model.KeyHash, 0, len(c.pendingWithdrawals))
	for hash := range c.pendingWithdrawals {
		out = append(out, hash)
	}
	slices.SortFunc(out, func(a, b model.KeyHash) int { return slices.Compare(a[:], b[:]) })
	return out
}

func (w *withdrawal) step(now time.Time, e chart.EventID) {
	w.now = now
	w.state = withdrawalMachine().Step(w, w.state, e)
	if withdrawalMachine().Final(w.state) {
		delete(w.core.pendingWithdrawals, w.hash)
	}
}

// appendDue reports whether this node's delay for the append is over. The delay
// starts when the node knows the withdrawal and follows the log; a node whose
// configuration holds the withdrawal before the end of the delay appends nothing.
func (w *withdrawal) appendDue(now time.Time, following bool) bool {
	if !following {
		w.appendAt = time.Time{}
		return false
	}
	if w.appendAt.IsZero() {
		delay := appendDelayFraction(w.core.self.Instance, keyDocument(w.hash))
		w.appendAt = now.Add(time.Duration(delay * float64(withdrawAppendWindow)))
	}
	return !now.Before(w.appendAt)
}

// confirmation returns which regions have confirmed the withdrawal.
func (w *withdrawal) confirmation() Confirmation {
	out := Confirmation{InLog: isWithdrawn(w.core.config.Document(keyDocument(w.hash)))}
	for region, zones := range w.core.regions() {
		confirmed := 0
		for _, zone := range zones {
			if w.confirmedZones[zone] {
				confirmed++
			}
		}
		if 2*confirmed > len(zones) {
			out.Regions = append(out.Regions, region)
		} else {
			out.Missing = append(out.Missing, region)
		}
	}
	slices.Sort(out.Regions)
	slices.Sort(out.Missing)
	return out
}

// regions returns the availability zones of each region in the configuration,
// this node's own zone included.
func (c *Core) regions() map[model.Region][]model.Zone {
	out := make(map[model.Region][]model.Zone)
	zones := c.builder.Zones()
	zones[c.self.Zone] = c.self.Region
	for zone, region := range zones {
		if region == "" {
			region = c.self.Region
		}
		out[region] = append(out[region], zone)
	}
	return out
}

// sendToPeers sends the withdrawal to the peers that are not known to have it.
func (w *withdrawal) sendToPeers() {
	w.resendAt = w.now.Add(withdrawResendInterval)
	for _, peer := range w.core.peers {
		if !w.confirmedPeers[peer] {
			w.core.emit(&Send{To: peer, Withdrawals: &Withdrawals{Hashes: []model.KeyHash{w.hash}}})
		}
	}
}

func (w *withdrawal) appendToLog() {
	c := w.core
	w.appendRequested = true
	c.emit(&Append{
		Stream:      model.ConfigStream,
		From:        c.config.NextOffset(),
		Publication: &model.Publication{Author: string(c.self.Instance), Withdraw: []string{w.hash.String()}},
	})
}

func (w *withdrawal) answerOperator() {
	a := w.confirmation()
	for _, done := range w.waiters {
		done(a)
	}
	w.waiters = nil
}

func keyDocument(hash model.KeyHash) string {
	return model.DocumentName(model.KindKey, hash.String())
}
