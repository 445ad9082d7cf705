package dispatch

import (
	"math"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
)

const (
	// retryRatio is the number of retries that each first attempt to a service adds
	// to this node's retry budget. The operators' requirement is at most 0.2 retries
	// per first attempt in the whole fleet, plus some fifty requests. The difference
	// is a margin for calls nested in retried requests, which count as retries at the
	// services that they reach and cannot be prevented, and for requests that move to
	// another node.
	retryRatio = 0.15
	// maxRetryTokens is the least size of the token bucket of a service's retry budget,
	// and maxRetryDebt bounds how far calls nested in retried requests can overdraw it.
	maxRetryTokens = 2  // retries
	maxRetryDebt   = 20 // retries
	// nodeSlack bounds the retries that a node may make in the rule's window beyond retryRatio
	// of its requests. The requirement's slack is 1.25 to 1.44 for each node (50 for 40 nodes,
	// 118 for 88, 102 for 71).
	nodeSlack = 1.25 // retries
	// initialRetryTokens is small, since the budgets of all nodes that start add up.
	initialRetryTokens = 1 // retries
	// budgetStep is the resolution of the counts of requests and retries.
	budgetStep = 500 * time.Millisecond
	// ruleSteps is the window of the operators' requirement, 10 s. The largest count of
	// requests in that window, the one before, and the one half a window before counts.
	ruleSteps = 20
	// tokenSteps bounds the bucket to the tokens of the requests in the last 3 s. When
	// requests move to other nodes, the nodes that they leave can still spend these: the
	// sum over all nodes is 0.15 of the requests in 13 s, or 0.195 of those in 10 s.
	tokenSteps = 6
	// lastPart is the part of the bucket, beyond maxRetryTokens, on which a call may draw
	// only in proportion to its progress, if all calls have progress. It shrinks with their
	// share, so that nothing is kept for calls that do not exist.
	lastPart = 0.5
	// higherPart is the part of the bucket, beyond maxRetryTokens, that is kept for retries of
	// higher priority as far as these want all the tokens that the requests earn.
	higherPart = 0.5
	// wantSteps is the window in which the wanted retries of each priority count.
	wantSteps = 2
	// maxReservedRetries is the number of retries in a row that progress or priority has let
	// through where other calls could not retry. Then any call may retry, until one without
	// such a privilege has.
	maxReservedRetries = 4
)

// budgetCount counts the requests and retries of one budgetStep. advanced are the requests
// with progress.
type budgetCount struct{ requests, advanced, retries int }

// retryBudget limits the retries to one service. It follows the operators' rule in two ways: a
// count of the retries in the rule's window, and a token bucket that spreads them and whose
// sum over the nodes stays within the rule when requests move between nodes.
type retryBudget struct {
	tokens   float64
	counts   [2 * ruleSteps]budgetCount // ring, by step
	step     int64                      // latest step
	epoch    time.Time                  // start of step 0
	reserved int                        // see maxReservedRetries
	wanted   map[int]*wantedRetries     // by priority
}

// wantedRetries counts the retries of one priority that were wanted, made or not, in the last
// wantSteps.
type wantedRetries struct {
	step   int64
	counts [wantSteps]int // of step, step - 1 and so on
}

func (w *wantedRetries) advance(step int64) {
	for w.step = max(w.step, step-wantSteps); w.step < step; w.step++ {
		copy(w.counts[1:], w.counts[:])
		w.counts[0] = 0
	}
}

func (w *wantedRetries) total() int {
	n := 0
	for _, c := range w.counts {
		n += c
	}
	return n
}

func (c *Core) budgetFor(s model.Service) *retryBudget {
	b := c.budgets[s]
	if b == nil {
		b = &retryBudget{tokens: initialRetryTokens}
		c.budgets[s] = b
	}
	return b
}

// retainBudgets removes the budgets of services that the configuration does not have.
func (c *Core) retainBudgets(config *graph.Config) {
	for s := range c.budgets {
		if config.Services[s] == nil {
			delete(c.budgets, s)
		}
	}
}

// advance clears the counts of the steps that have passed since the latest one, and drops
// tokens beyond the size of the bucket.
func (b *retryBudget) advance(now time.Time) {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	step := int64(now.Sub(b.epoch) / budgetStep)
	for n := 0; b.step < step && n < len(b.counts); n++ {
		b.step++
		*b.latest() = budgetCount{}
	}
	b.step = max(b.step, step)
	b.tokens = min(b.tokens, b.bucketSize())
}

func (b *retryBudget) latest() *budgetCount { return &b.counts[b.step%int64(len(b.counts))] }

// sum returns the counts of the steps whose age in steps is at least from and below to.
func (b *retryBudget) sum(from, to int) budgetCount {
	var total budgetCount
	for age := int64(from); age < int64(to) && age <= b.step; age++ {
		c := b.counts[(b.step-age)%int64(len(b.counts))]
		total.requests += c.requests
		total.advanced += c.advanced
		total.retries += c.retries
	}
	return total
}

func (b *retryBudget) bucketSize() float64 {
	return max(retryRatio*float64(b.sum(0, tokenSteps).requests), maxRetryTokens)
}

// left returns how many retries the rule's window still allows. The step that began before
// the window counts as well for the retries.
func (b *retryBudget) left() float64 {
	requests := max(b.sum(0, ruleSteps).requests, b.sum(ruleSteps, 2*ruleSteps).requests,
		b.sum(ruleSteps/2, ruleSteps*3/2).requests)
	earned := retryRatio * float64(requests)
	return max(earned, min(earned+nodeSlack, maxRetryTokens)) - float64(b.sum(0, ruleSteps+1).retries)
}

// onFirstAttempt adds the first attempt of a request to the budget. A request that is
// nested in a retried one counts as a retry itself.
func (b *retryBudget) onFirstAttempt(now time.Time, call *model.Call) {
	b.advance(now)
	b.latest().requests++
	if call.Progress > 0 {
		b.latest().advanced++
	}
	b.tokens = min(b.tokens+retryRatio, b.bucketSize())
	if call.IsRetry {
		b.charge()
	}
}

// available reports whether a call may be retried, or moved after a refusal by a target, and
// counts it as wanted.
func (b *retryBudget) available(now time.Time, call *model.Call) bool {
	b.advance(now)
	b.want(call.Priority)
	return b.allows(call.Priority, call.Progress) || b.reserved >= maxReservedRetries && b.allows(0, 1)
}

// want counts a wanted retry and forgets the priorities that want none any more.
func (b *retryBudget) want(priority int) {
	if b.wanted == nil {
		b.wanted = make(map[int]*wantedRetries)
	}
	w := b.wanted[priority]
	if w == nil {
		w = &wantedRetries{step: b.step}
		b.wanted[priority] = w
	}
	w.advance(b.step)
	w.counts[0]++
	for p, other := range b.wanted {
		if other.advance(b.step); other.total() == 0 {
			delete(b.wanted, p)
		}
	}
}

// allows reports whether the budget has a token for a call with the given priority and
// progress, beyond what is kept for others.
func (b *retryBudget) allows(priority int, progress float64) bool {
	return min(b.tokens, b.left()) >= 1+b.keptForAdvanced()*(1-progress)+b.keptForHigher(priority)
}

// keptForAdvanced returns the tokens that are kept for calls whose request is nearly done.
func (b *retryBudget) keptForAdvanced() float64 {
	recent := b.sum(0, tokenSteps)
	return lastPart * (b.bucketSize() - maxRetryTokens) * float64(recent.advanced) / float64(max(recent.requests, 1))
}

// keptForHigher returns the tokens that are kept for calls of higher priority.
func (b *retryBudget) keptForHigher(priority int) float64 {
	wanted := 0
	for p, w := range b.wanted {
		if p < priority {
			wanted += w.total()
		}
	}
	if wanted == 0 {
		return 0
	}
	earned := retryRatio * float64(b.sum(0, wantSteps).requests)
	return higherPart * (b.bucketSize() - maxRetryTokens) * min(float64(wanted)/max(earned, 1), 1)
}

// spend charges a retry that was available.
func (b *retryBudget) spend(now time.Time, call *model.Call) {
	b.advance(now)
	switch {
	case !b.allows(call.Priority, call.Progress):
		b.reserved = 0 // it was the turn of any call
	case !b.allows(math.MaxInt, 0):
		b.reserved++
	}
	b.charge()
}

// charge charges a retry. The debt is bounded both in the bucket and in the rule's window.
func (b *retryBudget) charge() {
	b.tokens = max(b.tokens-1, -maxRetryDebt)
	if b.left() > -maxRetryDebt {
		b.latest().retries++
	}
}
