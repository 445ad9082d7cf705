package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderworks/oleanderworks/model"
)

// callTree is a request and the sub-calls that its target makes for it.
type callTree struct {
	children     []*callTree
	parallel     bool // the target starts all sub-calls before it waits for one
	dropsContext bool // the target does not pass on Oleander-Context
	open         bool // the route needs no key
	depth        int
}

func (tree *callTree) size() int {
	n := 1
	for _, child := range tree.children {
		n += child.size()
	}
	return n
}

// callTreeRunner runs call trees. Each depth has one node, which is the entry node
// of the calls at that depth.
type callTreeRunner struct {
	t              testing.TB
	rng            *rand.Rand
	nodes          []*node // by depth of the calls
	failureRate    float64 // of executions, which fail after their sub-calls
	lostAnswerRate float64 // of answers, which are lost on the way to the entry node
	refusalRate    float64 // of attempts, which are not run
	executions     int     // attempts that ran at a target
	retries        int     // attempts that were retries of calls that may have run
	contexts       int     // values of Oleander-Context handed out
}

func newCallTreeRunner(t testing.TB, seed uint64, depth int) *callTreeRunner {
	tr := &callTreeRunner{t: t, rng: rand.New(rand.NewPCG(seed, 7))}
	for range depth + 1 {
		n := newNode(t)
		n.account("herders").retries.tokens = maxRetryTokens // so that only the retry budget limits retries
		tr.nodes = append(tr.nodes, n)
	}
	return tr
}

// request runs the root call of a tree from its entry node to its end.
func (tr *callTreeRunner) request(tree *callTree, context string) {
	tr.complete(tree, tr.begin(tree, context))
}

func (tr *callTreeRunner) begin(tree *callTree, context string) Decision {
	n := tr.nodes[tree.depth]
	path := "/a"
	if tree.open {
		path = "/open"
	}
	n.begin(path, func(r *model.Request) {
		r.FromTarget = tree.depth > 0
		r.Parent = context
	})
	n.grantAll()
	return n.decisions[0]
}

func (tr *callTreeRunner) complete(tree *callTree, d Decision) {
	n := tr.nodes[tree.depth]
	for d.Answer == nil {
		if d.Cause == Retried {
			tr.retries++
		}
		answer := tr.execute(tree, d.Call)
		n.outcome(answer)
		n.grantAll()
		if !answer.FromNode() {
			return
		}
		d = n.decisions[0]
	}
}

// execute runs an attempt at its target.
func (tr *callTreeRunner) execute(tree *callTree, attempt *model.Call) *model.Answer {
	if tr.rng.Float64() < tr.refusalRate {
		return model.NewRefusal(attempt.ID, model.ReasonShed, "")
	}
	tr.executions++
	tr.contexts++
	context := fmt.Sprint(tr.contexts)
	var n *node
	if len(tree.children) > 0 {
		n = tr.nodes[tree.depth+1]
		n.OnParentStarted(context, attempt)
		tr.subCalls(tree, context)
	}
	answer := completedAnswer(attempt.ID)
	if tr.rng.Float64() < tr.failureRate {
		answer = model.NewFailure(attempt.ID, model.ReasonTargetFailed, "")
	}
	if n != nil {
		answer.RetriesUsed = n.OnParentEnded(n.now, context, false).RetriesUsed
		assert.Equal(tr.t, n.ParentCount(), 0)
	}
	if tr.rng.Float64() < tr.lostAnswerRate {
		return model.NewFailure(attempt.ID, model.ReasonAnswerCut, "")
	}
	return answer
}

func (tr *callTreeRunner) subCalls(tree *callTree, context string) {
	if tree.dropsContext {
		context = ""
	}
	if !tree.parallel {
		for _, child := range tree.children {
			tr.request(child, context)
		}
		return
	}
	decisions := make([]Decision, len(tree.children))
	for i, child := range tree.children {
		decisions[i] = tr.begin(child, context)
	}
	for i, child := range tree.children {
		tr.complete(child, decisions[i])
	}
}

func newChain(depth int, dropsContext bool) *callTree {
	var tree *callTree
	for d := depth - 1; d >= 0; d-- {
		next := &callTree{depth: d, dropsContext: dropsContext}
		if tree != nil {
			next.children = []*callTree{tree}
		}
		tree = next
	}
	return tree
}

// Guards against retries that multiply along a call chain: with 2 retries at each
// of 8 levels, a failing request would cause 3^8 executions.
func TestChainOfEightLevelsStaysWithinBudget(t *testing.T) {
	const depth, budget = 8, 2
	for _, drops := range []bool{false, true} {
		for seed := range uint64(200) {
			tr := newCallTreeRunner(t, seed, depth)
			tr.failureRate, tr.lostAnswerRate, tr.refusalRate = []float64{1, 0.5, 0.2}[seed%3], 0.1, 0.1
			tr.request(newChain(depth, drops), "")
			assert.Assert(t, tr.retries <= budget, "seed %d: %d retries", seed, tr.retries)
			assert.Assert(t, tr.executions <= depth+budget*depth, "seed %d: %d executions", seed, tr.executions)
		}
	}
}

// Guards against a tree of sub-calls that exceeds the retry budget of its request,
// with sub-calls in sequence and in parallel, lost answers and omitted context
// headers.
func TestRandomTreesStayWithinBudget(t *testing.T) {
	const budget = 2
	rapid.Check(t, func(rt *rapid.T) {
		tree := randomTree(rt, 0)
		tr := newCallTreeRunner(t, rapid.Uint64().Draw(rt, "seed"), 5)
		tr.failureRate = rapid.Float64Range(0, 1).Draw(rt, "failures")
		tr.lostAnswerRate = rapid.Float64Range(0, 1).Draw(rt, "lost")
		tr.refusalRate = rapid.Float64Range(0, 0.5).Draw(rt, "refused")
		tr.request(tree, "")
		if tr.retries > budget || tr.executions > tree.size()*(1+budget) {
			rt.Fatalf("%d retries, %d executions of a tree of %d calls", tr.retries, tr.executions, tree.size())
		}
		for _, n := range tr.nodes {
			if n.Len() != 0 {
				rt.Fatalf("%d calls are still in progress", n.Len())
			}
		}
	})
}

func randomTree(rt *rapid.T, depth int) *callTree {
	tree := &callTree{
		depth:        depth,
		parallel:     rapid.Bool().Draw(rt, "parallel"),
		dropsContext: rapid.IntRange(0, 4).Draw(rt, "drops") == 0,
		open:         depth > 0 && rapid.Bool().Draw(rt, "open"),
	}
	if depth < 4 {
		for range rapid.IntRange(0, 3).Draw(rt, "children") {
			tree.children = append(tree.children, randomTree(rt, depth+1))
		}
	}
	return tree
}

// Guards against a sub-call that does not have its parent's customer, class and
// deadline, takes a rate token, or uses its parent's request id.
func TestSubCallInheritsFromItsParent(t *testing.T) {
	n := newNode(t)
	external := n.start("/a").Call
	external.RequestID = uuid.Must(uuid.NewV7())
	held := n.balances.Available(n.now, "herders")
	n.OnParentStarted("running", external)
	sub := func(path string) model.CallID {
		return n.begin(path, func(r *model.Request) {
			r.Key, r.FromTarget, r.Parent, r.RequestID = "ignored", true, "running", external.RequestID
		})
	}
	d := n.wantAttempt(sub("/a"))
	assert.Equal(t, d.Call.Customer, external.Customer)
	assert.Equal(t, d.Call.KeyHash, external.KeyHash)
	assert.Equal(t, d.Call.Class, external.Class)
	assert.Equal(t, d.Call.Depth, 1)
	assert.Assert(t, d.Call.Deadline.Equal(external.Deadline))
	assert.Assert(t, d.Call.Token == nil)
	assert.Equal(t, n.balances.Available(n.now, "herders"), held)

	sub("/mark")
	id := n.quorumRequests[0].(ClaimRequest).RequestID
	assert.Assert(t, id != external.RequestID && id.Version() == 7)
	assert.Assert(t, model.RequestIDTime(id).Equal(model.RequestIDTime(external.RequestID)))
}

// Guards against sub-calls that start after their parent has ended or without a
// parent, and against sub-calls that continue after their parent was canceled.
func TestSubCallEndsWithItsParent(t *testing.T) {
	n := newNode(t)
	external := n.start("/a").Call
	n.OnParentStarted("running", external)
	fromTarget := func(parent string) func(*model.Request) {
		return func(r *model.Request) { r.FromTarget, r.Parent = true, parent }
	}
	child := n.begin("/a", fromTarget("running"))
	n.wantAttempt(child)
	n.now = n.now.Add(time.Second)
	usage := n.OnParentEnded(n.now, "running", true)
	assert.Equal(t, usage.SubCallWait, time.Second)
	assert.Equal(t, usage.RetriesUsed, 1, "the budget is held by the sub-call in progress")
	n.collect()
	assert.Assert(t, n.decisions[0].Cancel && n.decisions[0].CallID == child)

	late := n.begin("/a", fromTarget("running"))
	n.wantAnswer(late, model.ReasonParentEnded, model.NotRun)
	withoutContext := n.begin("/a", fromTarget(""))
	n.wantAnswer(withoutContext, model.ReasonNoCustomer, model.NotRun)
	open := n.begin("/open", fromTarget(""))
	assert.Equal(t, n.wantAttempt(open).Call.RetryBudget, 0)
	externalCall := n.begin("/a", func(r *model.Request) { r.Parent, r.HasKey = "running", false })
	n.wantAnswer(externalCall, model.ReasonKeyMissing, model.NotRun)
}
