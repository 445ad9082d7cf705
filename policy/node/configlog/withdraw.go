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
	// withdrawAppendWindow is the time over which nodes spread their appends of a
	// withdrawal that is missing in the log. On each node it starts when the node
	// both knows the withdrawal and follows the log.
	withdrawAppendWindow = 20 * time.Second
	// withdrawTimeout is how long operators' requests for the withdrawal of a key
	// wait for confirmation, counted from the latest request.
	withdrawTimeout = 5 * time.Second
	// withdrawResendInterval is the time between messages to peers that have not
	// confirmed a withdrawal.
	withdrawResendInterval = time.Second
	// maxPendingWithdrawals limits the number of pending withdrawals.
	maxPendingWithdrawals = 10_000
)

// Confirmation reports in which regions a withdrawal is in force: those where
// nodes in a majority of the availability zones have confirmed it. A node accepts
// keys only while it has contact with nodes in a majority of its region's zones,
// see membership.ContactLifetime. Any two majorities overlap, so that every node
// either learns of the withdrawal or loses contact and refuses all keys. A record
// in the log is not enough, since some nodes may be unable to reach the log.
type Confirmation struct {
	Regions []model.Region // regions that have confirmed
	Missing []model.Region // regions that have not
	InLog   bool           // the withdrawal is in the log, since this node's configuration holds it
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

// withdrawal is the pending withdrawal of a key: this node's configuration does
// not hold it yet, or an operator waits for its confirmation.
type withdrawal struct {
	core              *Core
	hash              model.KeyHash
	state             chart.StateID
	now               time.Time
	confirmedZones    map[model.Zone]bool // availability zones with a node that refuses the key
	confirmedPeers    map[model.Instance]bool
	appendAt          time.Time // when this node appends it; zero while the node does not follow the log
	appendRequested   bool      // this node has requested its append, or the log had it already
	nextResendAt      time.Time
	operatorTimeoutAt time.Time // when the waiting operators get an answer at the latest
	waiters           []func(Confirmation)
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

// OnWithdrawRequest withdraws a key on behalf of an operator. It calls done once,
// when every region has confirmed the withdrawal, but at the latest
// withdrawTimeout after the last request for the key. done must not block.
// OnWithdrawRequest returns false and does not call done if too many withdrawals
// are pending.
func (c *Core) OnWithdrawRequest(now time.Time, hash model.KeyHash, done func(Confirmation)) bool {
	w := c.applyWithdrawal(now, hash)
	inLog := isWithdrawn(c.config.Document(keyDocumentName(hash)))
	if w == nil && inLog && len(c.pendingWithdrawals) < maxPendingWithdrawals {
		w = c.newWithdrawal(now, hash)
		w.appendRequested = true
	}
	if w == nil {
		return false
	}
	w.waiters = append(w.waiters, done)
	w.operatorTimeoutAt = now.Add(withdrawTimeout)
	if inLog {
		w.step(now, eventInConfiguration)
	}
	w.step(now, eventRequested)
	return true
}

// OnWithdrawals handles withdrawals or confirmations from a peer. It answers
// withdrawals with a confirmation of those that are in force on this node.
func (c *Core) OnWithdrawals(now time.Time, from model.Member, m *Withdrawals) {
	var applied []model.KeyHash
	for _, hash := range m.Hashes {
		if !m.Ack {
			c.applyWithdrawal(now, hash)
		}
		w := c.pendingWithdrawals[hash]
		if w != nil || isWithdrawn(c.config.Document(keyDocumentName(hash))) {
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

// applyWithdrawal makes this node refuse a key at once and sends the withdrawal to
// the peers. It returns nil if the configuration already holds the withdrawal or
// too many are pending.
func (c *Core) applyWithdrawal(now time.Time, hash model.KeyHash) *withdrawal {
	if w := c.pendingWithdrawals[hash]; w != nil {
		return w
	}
	if len(c.pendingWithdrawals) >= maxPendingWithdrawals || isWithdrawn(c.config.Document(keyDocumentName(hash))) {
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

// handleWithdrawnDocument advances a pending withdrawal when the key's withdrawn
// document has come from the log or from a peer's document set.
func (c *Core) handleWithdrawnDocument(now time.Time, doc model.Document) {
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
	following := c.followerByStream[model.ConfigStream].state == stateFollowing
	for _, w := range c.pendingWithdrawals {
		if len(w.waiters) > 0 && !now.Before(w.operatorTimeoutAt) {
			w.step(now, eventTimedOut)
		}
		if !now.Before(w.nextResendAt) {
			w.step(now, eventResendDue)
		}
		if w.appendDue(now, following) {
			w.step(now, eventAppendDue)
		}
	}
}

func (c *Core) pendingWithdrawalHashes() []model.KeyHash {
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

// appendDue reports whether this node's delay before the append has passed. The
// delay starts when the node both knows the withdrawal and follows the log. A node
// whose configuration holds the withdrawal by the end of the delay appends nothing.
func (w *withdrawal) appendDue(now time.Time, following bool) bool {
	if !following {
		w.appendAt = time.Time{}
		return false
	}
	if w.appendAt.IsZero() {
		delay := appendDelayFraction(w.core.self.Instance, keyDocumentName(w.hash))
		w.appendAt = now.Add(time.Duration(delay * float64(withdrawAppendWindow)))
	}
	return !now.Before(w.appendAt)
}

// confirmation returns which regions have confirmed the withdrawal.
func (w *withdrawal) confirmation() Confirmation {
	out := Confirmation{InLog: isWithdrawn(w.core.config.Document(keyDocumentName(w.hash)))}
	for region, zones := range w.core.zonesByRegion() {
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

// zonesByRegion returns the availability zones of each region in the
// configuration, and this node's zone. Zones without a configured region count
// as part of this node's region.
func (c *Core) zonesByRegion() map[model.Region][]model.Zone {
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

// sendToPeers sends the withdrawal to the peers that have not confirmed it.
func (w *withdrawal) sendToPeers() {
	w.nextResendAt = w.now.Add(withdrawResendInterval)
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
	confirmation := w.confirmation()
	for _, done := range w.waiters {
		done(confirmation)
	}
	w.waiters = nil
}

func keyDocumentName(hash model.KeyHash) string {
	return model.DocumentName(model.KindKey, hash.String())
}
