package model

import (
	"net/http"
	"time"
)

// CallID identifies one call at its entry node, for matching answers and
// log lines. It is random.
type CallID uint64

// Request is a call as it arrives at its entry node, before any decision.
type Request struct {
	ID      CallID
	Service Service
	Method  string
	Path    string // path at the target, with the query
	Header  http.Header
	Body    []byte

	Host          string        // host of the route
	AttemptID     string        // the caller's id of this attempt, passed on unchanged
	Key           string        // the customer's key; empty when none was sent
	HasKey        bool          // a key was sent
	Parent        string        // value of Oleander-Context; empty for an outside call
	FromTarget    bool          // arrived on the loopback listener
	RequestID     RequestID     // the caller's id; zero when none was sent
	ClientAttempt int           // 0 for a first attempt
	Timeout       time.Duration // the caller's limit; zero for the route's default
}

// Token is one unit of a customer's rate, drawn from a grant.
type Token struct {
	Group  int           // quorum group whose grantor gave it
	Epoch  uint64        // term of the grantor
	Grant  uint64        // the grant it is from; known at the entry node only
	Expiry time.Time     // on the holder's monotonic clock
	Life   time.Duration // remaining life when the call was sent
}

// Claim is the right to hand one non-idempotent request to a target.
type Claim struct {
	Customer  Customer
	RequestID RequestID
	Group     int
	Epoch     uint64
	Attempt   int
	Holder    NodeID // entry node that claimed
	Target    NodeID // node of the target to which the request may be handed
}

// Call is a request after admission at its entry node, as it travels to a
// target's node.
type Call struct {
	ID          CallID
	Service     Service
	Method      string
	Path        string
	Header      http.Header
	Body        []byte
	Customer    Customer // empty on open routes
	KeyHash     KeyHash  // zero on open routes
	Class       Class
	Open        bool
	Idempotent  bool
	RequestID   RequestID
	Attempt     int // 0 for the first attempt of the node
	ClientRetry bool
	RetryBudget int // extra executions that this call may still cause
	Depth       int // 0 for an outside call
	Deadline    time.Time
	Fingerprint uint64     // of customer, method, path and body
	LostOn      []Instance // targets that were lost while this request ran
	Token       *Token
	Claim       *Claim
	Entry       NodeID

	Host      string    // host of the route
	AttemptID string    // the caller's id of this attempt, passed on unchanged
	Origin    Service   // service of the instance on which the request began
	Priority  int       // 0 is the highest
	Inner     bool      // made by a target while it runs another call
	Objective time.Time // an answer earns its full credit until then
	Share     Customer  // customer for whom the call is made, also by a target
	Repeat    bool      // made for a request that was sent before
	Crashes   int       // crashes in a row, known of its request when it was sent
	Suspected bool      // nodes have heard of these crashes, and wait for a completion
}

// Answer is the result of a call. When Reason is empty it holds the target's
// whole answer.
type Answer struct {
	ID          CallID
	Run         Run
	Reason      Reason
	Detail      string // for people; names the step and the peer
	Status      int
	Header      http.Header
	Body        []byte
	RetriesUsed int
	RetryAfter  time.Duration
	Replayed    bool
	TargetLost  bool // the target's connection broke while the call ran
	Load        Load
}

// Refused reports whether the answer comes from the system and not from a
// target.
func (a *Answer) Refused() bool { return a.Reason != ReasonNone }

// Refusal returns an answer for a call that no target was handed.
func Refusal(id CallID, reason Reason, detail string) *Answer {
	return &Answer{ID: id, Run: NotRun, Reason: reason, Detail: detail}
}

// Failure returns an answer for a call whose outcome is unknown.
func Failure(id CallID, reason Reason, detail string) *Answer {
	return &Answer{ID: id, Run: RunUnknown, Reason: reason, Detail: detail}
}

// Load is what a target's node reports about itself.
type Load struct {
	InFlight int           // calls running at the target
	Queued   int           // calls waiting at its node
	Limit    int           // calls that may run at once now
	Sojourn  time.Duration // recent minimum time in queue
	Draining bool
}
