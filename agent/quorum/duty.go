package quorum

import (
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/invariant"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/quorum"
	"github.com/oleanderworks/oleanderworks/policy/node/record"
	"github.com/oleanderworks/oleanderworks/policy/node/tokenlease"
)

const (
	// ringCapacity bounds the waiting messages. A peer's message that finds the
	// ring full is dropped: its sender repeats an unanswered request, and a lost
	// answer counts as no vote.
	ringCapacity = 8192
	// refreshInterval is the time between updates of votes and leases without a
	// new configuration. They also change with time: an unsealed composition may
	// have leases only after a wait, and ended epochs are dropped.
	refreshInterval = time.Second
)

// Config holds what the duty needs from its node.
type Config struct {
	Self model.Member
	// Send queues a message for a peer. It does not block and returns false if the
	// message was not queued.
	Send func(to model.Instance, m quorum.Message) bool
	// Append starts to append a composition to the log. It does not block and
	// reports whether the append was started. If so, AppendDone follows when it
	// ends. If AppendDone is lost because the duty's ring is full, the node
	// proposes no further compositions of that group.
	Append func(model.GroupRecord) bool
	// LastContact returns the time of the latest contact with the log. Group records
	// received from a peer count as contact: this node has applied every composition
	// of its region that was appended earlier.
	LastContact func() time.Time
	// NewID returns an id for the log record of a composition.
	NewID   func() string
	Rand    *rand.Rand
	Log     *event.Log
	Checker *invariant.Checker // may be nil
}

// Handler is the logic of the quorum duty. It owns the node's votes, lease
// promises, request records and token buckets, and the claims and token requests
// in progress for the node's own callers.
type Handler struct {
	config    Config
	directory *quorum.Directory
	voter     *quorum.VoterState
	composer  *quorum.Composer
	promises  *tokenlease.Promises
	leases    *tokenlease.LeaseManager
	acquirer  *tokenlease.Acquirer
	store     *record.Store
	claimant  *record.Claimant

	loggedEpochs  map[model.GroupKey]uint64 // newest epochs whose composition was logged
	appending     map[model.GroupKey]bool   // groups with an append in progress
	leaving       bool                      // the node is shutting down and acquires no more leases
	nextRefreshAt time.Time
	selfMessages  []quorum.Message // messages from this node to itself
	metrics       *metrics
}

// New returns the duty and its metrics.
func New(c Config) (*duty.Duty[Message], *expvar.Map) {
	h := NewHandler(c)
	d := duty.New[Message]("quorum", ringCapacity, h)
	vars := d.Vars()
	h.metrics.addTo(vars)
	return d, vars
}

// NewHandler returns the logic of the duty. All its methods run on one thread.
func NewHandler(c Config) *Handler {
	voter := quorum.NewVoterState(c.Self.NodeID, c.Rand)
	promises := tokenlease.NewPromises(voter)
	return &Handler{
		config:       c,
		directory:    quorum.NewDirectory(c.Self.Region, nil),
		voter:        voter,
		composer:     quorum.NewComposer(c.Self, voter, c.NewID),
		promises:     promises,
		leases:       tokenlease.NewLeaseManager(voter, promises, c.Rand, c.Checker),
		acquirer:     tokenlease.NewAcquirer(c.Rand),
		store:        record.NewStore(voter),
		claimant:     record.NewClaimant(c.Self.NodeID, c.Rand),
		loggedEpochs: make(map[model.GroupKey]uint64),
		appending:    make(map[model.GroupKey]bool),
		metrics:      new(metrics),
	}
}

// Handle implements duty.Handler.
func (h *Handler) Handle(now time.Time, batch []Message) {
	h.voter.SetLogContact(h.config.LastContact())
	for _, m := range batch {
		h.handle(now, m)
		h.flush(now)
	}
}

func (h *Handler) handle(now time.Time, m Message) {
	switch m := m.(type) {
	case *AcquireTokens:
		h.acquirer.Acquire(now, m.Customer, m.Want, m.Deliver)
	case *ReportTokens:
		h.acquirer.AddReports(now, m.Customer, m.Reports)
	case *AcquireClaim:
		h.claimant.Acquire(now, record.ClaimParams{
			Key: record.RequestKey{Customer: m.Customer, ID: m.RequestID}, Call: m.CallID, Target: m.Target, Attempt: m.Attempt,
		}, m.Deliver)
	case *CompleteClaim:
		h.claimant.Complete(m.Claim, m.Answer)
	case *ReleaseClaim:
		h.claimant.Release(m.Claim)
	case *PeerMessage:
		if !maySend(m.From, m.Message) {
			h.config.Log.Emit(event.QuorumMessageMalformed, "peer", m.From)
			return
		}
		h.handleQuorumMessage(now, m.From, m.Message)
	case *ReleaseLeases:
		h.leaving = true
		h.leases.ReleaseAll(now)
	case *AppendDone:
		delete(h.appending, m.Key)
	case *SnapshotChanged:
		h.onSnapshot(now, m.Snapshot)
	}
}

func (h *Handler) onSnapshot(now time.Time, s *model.Snapshot) {
	h.directory = quorum.NewDirectory(h.config.Self.Region, s)
	h.acquirer.SetDirectory(h.directory)
	h.claimant.SetDirectory(h.directory)
	h.refresh(now)
	h.composer.OnSnapshot(now, s, h.directory)
}

// refresh updates votes and leases from the known compositions. The latest one
// may start in the future.
func (h *Handler) refresh(now time.Time) {
	h.nextRefreshAt = now.Add(refreshInterval)
	keys := make([]model.GroupKey, h.directory.GroupCount())
	for i := range keys {
		keys[i] = model.GroupKey{Region: h.config.Self.Region, Group: i}
		h.refreshVotes(now, keys[i])
	}
	if !h.leaving {
		h.leases.OnDirectory(now, keys, h.directory)
	}
}

func (h *Handler) refreshVotes(now time.Time, key model.GroupKey) {
	epochs := h.directory.Compositions(key)
	for i := range epochs {
		if i+1 < len(epochs) {
			h.voter.OnSuccessor(now, &epochs[i+1], record.RetentionTime)
			continue
		}
		h.voter.OnComposition(now, &epochs[i])
		if h.loggedEpochs[key] != epochs[i].Epoch {
			h.loggedEpochs[key] = epochs[i].Epoch
			h.logComposed(&epochs[i])
		}
	}
}

// Tick implements duty.Handler.
func (h *Handler) Tick(now time.Time) time.Time {
	h.voter.SetLogContact(h.config.LastContact())
	if !h.nextRefreshAt.After(now) {
		h.refresh(now)
	}
	next := h.nextRefreshAt
	for _, tick := range []func(time.Time) time.Time{
		h.composer.Tick, h.leases.Tick, h.acquirer.Tick, h.claimant.Tick, h.store.Tick,
	} {
		if t := tick(now); !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	h.flush(now)
	h.metrics.update(h)
	return next
}

// Paused implements duty.PauseObserver. Durations measured across a pause may be
// wrong, so the node gives up the leases, promises and votes that depend on them.
// It votes again under a new incarnation once a composition contains that
// incarnation.
func (h *Handler) Paused(now time.Time, gap time.Duration) {
	h.config.Log.Emit(event.VotesRetired, "gap", gap)
	h.leases.ReleaseAll(now)
	h.promises.Clear()
	h.voter.Retire(now)
	h.composer.OnPaused(now)
	h.acquirer.OnPaused(now)
	h.metrics.retirements.Add(1)
	h.flush(now)
}
