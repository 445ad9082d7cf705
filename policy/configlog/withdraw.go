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

// Acceptance says where a withdrawal is in force for certain: in the regions
// where nodes in a majority of availability zones have it. Being in the log
// alone is not enough, since a node may be cut off from the log.
type Acceptance struct {
	Regions []model.Region // accepted
	Missing []model.Region // not confirmed yet
	InLog   bool           // seen in the log by this node
}

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
		States: []string{"spreading", "confirmed", "logged", "settled"},
		Events: []string{"asked", "acknowledged", "repeat_due", "append_due", "patience_over", "seen_in_log"},
		Guards: map[string]func(*withdrawal) bool{
			"everywhere":     func(w *withdrawal) bool { return len(w.acceptance().Missing) == 0 },
			"appended":       func(w *withdrawal) bool { return w.appended },
			"operator_waits": func(w *withdrawal) bool { return len(w.waiters) > 0 },
		},
		Actions: map[string]func(*withdrawal){
			"spread": (*withdrawal).spread,
			"append": (*withdrawal).append,
			"answer": (*withdrawal).answer,
		},
	})
})

// OnWithdrawRequest withdraws a key on behalf of an operator. Done is called once,
// without blocking: when each region has accepted, or after some seconds. It
// reports false when too many withdrawals wait.
func (c *Core) OnWithdrawRequest(now time.Time, hash model.KeyHash, done func(Acceptance)) bool {
	w := c.learnWithdrawal(now, hash)
	inLog := isWithdrawn(c.config.Document(keyDocument(hash)))
	if w == nil && inLog && len(c.pending) < maxPending {
		w = c.newWithdrawal(now, hash)
		w.appended = true
	}
	if w == nil {
		return false
	}
	w.waiters = append(w.waiters, done)
	w.giveUpAt = now.Add(withdrawPatience)
	if inLog {
		w.step(now, eventSeenInLog)
	}
	w.step(now, eventAsked)
	return true
}

// OnWithdrawals takes withdrawals or confirmations from a peer. It confirms
// what this node applies.
func (c *Core) OnWithdrawals(now time.Time, from model.Member, m *Withdrawals) {
	var applied []model.KeyHash
	for _, hash := range m.Hashes {
		if !m.Ack {
			c.learnWithdrawal(now, hash)
		}
		w := c.pending[hash]
		if w != nil || isWithdrawn(c.config.Document(keyDocument(hash))) {
			applied = append(applied, hash)
		}
		if w != nil {
			w.peers[from.Instance] = true
			w.zones[from.Zone] = true
			w.step(now, eventAcknowledged)
		}
	}
	if !m.Ack && len(applied) > 0 {
		c.emit(&Send{To: from.Instance, Withdrawals: &Withdrawals{Hashes: applied, Ack: true}})
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
	c.builder.Withdraw(hash)
	c.dirty = true
	c.emit(&Notice{Kind: NoticeWithdrawn, ID: hash.Short()})
	return c.newWithdrawal(now, hash)
}

func (c *Core) newWithdrawal(now time.Time, hash model.KeyHash) *withdrawal {
	w := &withdrawal{
		core:  c,
		hash:  hash,
		state: withdrawalMachine().Initial(),
		zones: map[model.Zone]bool{c.self.Zone: true},
		peers: make(map[model.Instance]bool),
	}
	c.pending[hash] = w
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

// acceptance judges the zones that have confirmed, region by region.
func (w *withdrawal) acceptance() Acceptance {
	out := Acceptance{InLog: isWithdrawn(w.core.config.Document(keyDocument(w.hash)))}
	for region, zones := range w.core.regions() {
		have := 0
		for _, zone := range zones {
			if w.zones[zone] {
				have++
			}
		}
		if 2*have > len(zones) {
			out.Regions = append(out.Regions, region)
		} else {
			out.Missing = append(out.Missing, region)
		}
	}
	slices.Sort(out.Regions)
	slices.Sort(out.Missing)
	return out
}

// regions returns the availability zones of each region that the documents
// name, besides this node's own.
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

func (w *withdrawal) answer() {
	a := w.acceptance()
	for _, done := range w.waiters {
		done(a)
	}
	w.waiters = nil
}

func keyDocument(hash model.KeyHash) string {
	return model.DocumentName(model.KindKey, hash.String())
}
