package model

import (
	"net/http"
	"slices"
	"time"
)

// CallID is a random number that identifies one call at its entry node. Answers and
// log lines refer to the call by it.
type CallID uint64

// Request is a call as its entry node receives it, before any decision.
type Request struct {
	ID      CallID
	Service Service
	Method  string
	Path    string // path at the target, including the query
	Header  http.Header
	Body    []byte

	Host          string        // host that selects the route
	AttemptID     string        // caller's id of this attempt, forwarded unchanged
	Key           string        // customer's key; empty when none was sent
	HasKey        bool          // a key was sent
	Parent        string        // value of Oleander-Context, or attempt id of the calling request; empty for a call from outside
	FromTarget    bool          // received at the node's address for sub-calls (settings.Node.SubAddress)
	RequestID     RequestID     // caller's id; zero when none was sent
	ClientAttempt int           // attempts that the caller made before; 0 for its first
	Timeout       time.Duration // caller's time limit; zero for the route's default
}

// Token permits one request within a customer's rate. Entry nodes obtain tokens in
// grants.
type Token struct {
	Group   int           // quorum group whose grantor issued the grant
	Term    uint64        // the grantor's term
	GrantID uint64        // id of the grant; set at the entry node only
	Expiry  time.Time     // by the monotonic clock of the node that holds the value
	TTL     time.Duration // remaining validity when the call arrived; set at the target's node only
}

// Claim is the exclusive right to send one non-idempotent request to a target.
// A quorum group grants it, so that two entry nodes cannot both send the request.
type Claim struct {
	Customer  Customer
	RequestID RequestID
	Group     int
	Epoch     uint64 // of the quorum group
	Attempt   int    // number of the entry node's attempt; the first is 0
	Holder    NodeID // entry node that holds the claim
	Target    NodeID // node of the only target to which the request may be sent
}

// Call is a request that its entry node has accepted, as it is sent to a target's
// node, which decides on its admission.
type Call struct {
	ID          CallID
	Service     Service
	Method      string
	Path        string
	Header      http.Header
	Body        []byte
	Customer    Customer // empty on routes that need no key
	KeyHash     KeyHash  // zero on routes that need no key
	Class       Class
	Open        bool
	Idempotent  bool
	RequestID   RequestID
	Attempt     int // number of the entry node's attempt; the first is 0
	ClientRetry bool
	RetryBudget int // further executions that this call may still cause
	Depth       int // nesting depth; 0 for a call from outside
	Deadline    time.Time
	Fingerprint uint64     // hash of customer, method, path and body
	LostTargets []Instance // targets that were lost while this request ran
	Token       *Token
	Claim       *Claim
	EntryNode   NodeID

	Host            string    // host that selects the route
	AttemptID       string    // caller's id of this attempt, forwarded unchanged
	CallerService   Service   // service of the instance at which the request entered
	Priority        int       // 0 is the highest; derived from the priorities of the customer and the route
	Nested          bool      // made by a target while it runs another call
	SLODeadline     time.Time // end of the route's latency objective, or Deadline if that is earlier
	OnBehalfOf      Customer  // customer to which the call is attributed; a nested call inherits that of its parent
	IsRetry         bool      // an earlier attempt of the request, or of the one in which it is nested, may have run
	CrashCount      int       // known consecutive target crashes while the request ran, plus its earlier attempts that ended with ReasonAnswerCut, when the call was sent
	CrashesReported bool      // some of these crashes come from reports of peers, which are informed if the request completes
	Progress        float64   // of a nested call: fraction of its parent's nested calls that had ended when it was sent, 0 to 1
}

// Answer is the result of a call. When Reason is empty, it holds the target's
// whole answer; otherwise it is a refusal or failure from a node.
type Answer struct {
	ID          CallID
	Run         RunState
	Reason      Reason
	Detail      string // human-readable; names the failed step and the peer
	Status      int
	Header      http.Header
	Body        []byte
	RetriesUsed int
	RetryAfter  time.Duration
	Replayed    bool
	TargetLost  bool // a target was lost while it ran the request: in this call or, for a refusal by the quarantine, in an earlier one
	Load        Load
	// NestedFailed is set if a call that the target made for the request ended with a
	// failure of the service behind it.
	NestedFailed bool
	// Work is what the request used at the target's service and at those behind it.
	Work []ServiceWork
}

// ServiceWork is what a request, with the calls nested in it, used at one service.
type ServiceWork struct {
	Service    Service
	Calls      int           // calls that targets of the service ran
	TurnedAway int           // attempts that targets of the service, or their nodes, refused
	SlotTime   time.Duration // time for which the calls occupied slots of targets
}

// AddWork adds the work of list to sum, by service, and returns the result.
func AddWork(sum []ServiceWork, list ...ServiceWork) []ServiceWork {
	for _, w := range list {
		i := slices.IndexFunc(sum, func(s ServiceWork) bool { return s.Service == w.Service })
		if i < 0 {
			sum = append(sum, w)
			continue
		}
		sum[i].Calls += w.Calls
		sum[i].TurnedAway += w.TurnedAway
		sum[i].SlotTime += w.SlotTime
	}
	return sum
}

// FromNode reports whether the answer is a refusal or failure from a node and
// not a target's answer.
func (a *Answer) FromNode() bool { return a.Reason != ReasonNone }

// NewRefusal returns the answer to a call that no target ran.
func NewRefusal(id CallID, reason Reason, detail string) *Answer {
	return &Answer{ID: id, Run: NotRun, Reason: reason, Detail: detail}
}

// NewFailure returns the answer to a call that may have run.
func NewFailure(id CallID, reason Reason, detail string) *Answer {
	return &Answer{ID: id, Run: RunUnknown, Reason: reason, Detail: detail}
}

// Load is the load that a target's node reports with its answers.
type Load struct {
	InFlight int           // calls running at the target
	Queued   int           // calls queued at its node
	Limit    int           // current concurrency limit
	Sojourn  time.Duration // minimum time that recent calls spent in the queue
	Draining bool
}
