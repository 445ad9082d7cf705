package mesh

import (
	"context"
	"expvar"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/policy/mesh/memory"
)

const (
	// memoryRingCapacity bounds the messages that wait for the memory duty. A charge is
	// refused if the ring is full.
	memoryRingCapacity = 8192
	// chargeTimeout bounds the wait for a decision in case the duty ends. The policy decides
	// earlier.
	chargeTimeout = 3 * time.Second
	// defaultDescriptors is assumed if the limit on descriptors cannot be read.
	defaultDescriptors = 1024
)

// memoryMessage is a message to the memory duty.
type memoryMessage interface{ memoryMessage() }

type (
	// connOpened reports that a caller has connected. The reply says whether it may stay.
	connOpened struct {
		conn  *callerConn
		reply ring.Reply[bool]
	}
	// charged asks for bytes.
	charged struct {
		holding *holding
		bytes   int64
		use     memory.Use
		reply   ring.Reply[bool]
	}
	// bytesReleased returns bytes of a holder.
	bytesReleased struct {
		id    memory.HolderID
		bytes int64
	}
	// holdingMoved passes what a call holds to the connection of its caller.
	holdingMoved struct{ from, to memory.HolderID }
	// holderRemoved reports that a holder holds nothing any more.
	holderRemoved struct{ id memory.HolderID }
)

func (connOpened) memoryMessage()    {}
func (charged) memoryMessage()       {}
func (bytesReleased) memoryMessage() {}
func (holdingMoved) memoryMessage()  {}
func (holderRemoved) memoryMessage() {}

// memoryHandler handles the messages of the memory duty, which runs the memory policy.
type memoryHandler struct {
	node       *Node
	core       *memory.Core
	conns      map[memory.HolderID]*callerConn
	replies    map[memory.ChargeID]ring.Reply[bool]
	lastCharge memory.ChargeID
}

// newMemoryDuty returns the memory duty of a node and its limits.
func newMemoryDuty(n *Node) (*duty.Duty[memoryMessage], memory.Limits) {
	limits := memory.NewLimits(n.settings.MemoryBytes, descriptorLimit())
	return duty.New[memoryMessage]("memory", memoryRingCapacity, &memoryHandler{
		node:    n,
		core:    memory.New(limits),
		conns:   make(map[memory.HolderID]*callerConn),
		replies: make(map[memory.ChargeID]ring.Reply[bool]),
	}), limits
}

func descriptorLimit() uint64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return limit.Cur
}

// Handle implements duty.Handler.
func (h *memoryHandler) Handle(now time.Time, batch []memoryMessage) {
	for _, m := range batch {
		h.node.guard("memory", m, func() {
			h.handle(now, m)
			h.applyDecisions()
		})
	}
	h.publish()
}

// Tick implements duty.Handler.
func (h *memoryHandler) Tick(now time.Time) time.Time {
	next := now.Add(retryTickDelay) // if the timers panic
	h.node.guard("memory", timersDue{}, func() {
		if h.core.Short() {
			for id, conn := range h.conns {
				h.core.Sample(now, id, conn.currentState(), conn.moved.Load())
			}
		}
		next = h.core.Tick(now)
		h.applyDecisions()
	})
	h.publish()
	return next
}

func (h *memoryHandler) handle(now time.Time, m memoryMessage) {
	switch m := m.(type) {
	case connOpened:
		ok := h.core.Open(now, m.conn.held.id, m.conn.LocalAddr().String())
		if ok {
			h.conns[m.conn.held.id] = m.conn
		}
		m.reply.Send(ok)
	case charged:
		if !m.holding.connection {
			h.core.Add(m.holding.id)
		}
		h.lastCharge++
		h.replies[h.lastCharge] = m.reply
		h.core.Charge(now, h.lastCharge, m.holding.id, m.bytes, m.use)
	case bytesReleased:
		h.core.Release(m.id, m.bytes)
	case holdingMoved:
		h.core.Move(m.from, m.to)
	case holderRemoved:
		delete(h.conns, m.id)
		h.core.Remove(m.id)
	}
}

func (h *memoryHandler) applyDecisions() {
	for _, d := range h.core.Decisions() {
		if d.Kind == memory.Close {
			h.closeConn(d)
			continue
		}
		reply := h.replies[d.Charge]
		delete(h.replies, d.Charge)
		reply.Send(d.Kind == memory.Granted)
	}
}

func (h *memoryHandler) closeConn(d memory.Decision) {
	conn := h.conns[d.Holder]
	if conn == nil {
		return
	}
	conn.interrupt(d.State, d.Force)
	if !d.Force {
		h.node.metrics.limits.Add("connections_closed", 1)
		h.node.log.Emit(event.MeshConnectionClosed, "caller", conn.RemoteAddr(), "state", d.State, "held", d.Held,
			"bytes_per_second", int64(d.Rate), "account", h.core.Held(), "connections", h.core.Connections(), "waiting", h.core.Waiting())
	}
}

func (h *memoryHandler) publish() {
	m := &h.node.metrics.memory
	m.held.Set(h.core.Held())
	m.connections.Set(int64(h.core.Connections()))
	m.waiting.Set(int64(h.core.Waiting()))
}

// memoryMetrics holds the state of the account, as of the latest batch of the duty.
type memoryMetrics struct{ held, connections, waiting expvar.Int }

func (m *memoryMetrics) vars(l memory.Limits) *expvar.Map {
	limit, connectionLimit := new(expvar.Int), new(expvar.Int)
	limit.Set(l.Bytes)
	connectionLimit.Set(int64(l.Connections))
	out := new(expvar.Map).Init()
	out.Set("limit", limit)
	out.Set("held", &m.held)
	out.Set("waiting", &m.waiting)
	out.Set("connections", &m.connections)
	out.Set("connection_limit", connectionLimit)
	return out
}

// holding is what one connection or call holds of the account. Its first bytes are covered,
// by the charge for the connection or by the limits on calls, so that small requests need
// no message to the memory duty. A nil holding is valid and holds nothing.
type holding struct {
	node       *Node
	id         memory.HolderID
	connection bool
	known      atomic.Bool // to the memory duty, also if it has granted nothing
	used       atomic.Int64
	charged    atomic.Int64 // beyond coveredBytes
}

const (
	// coveredBytes is how much a holding may use without a charge.
	coveredBytes = 16 << 10
	// chargeStep is what charges are rounded up to.
	chargeStep = 16 << 10
)

func (n *Node) newHolding() *holding {
	return &holding{node: n, id: memory.HolderID(n.lastHolder.Add(1))}
}

// acquire takes bytes of the account. It may wait, and returns budget.ErrExceeded if there
// is no room.
func (h *holding) acquire(bytes int64, use memory.Use) error {
	used := h.used.Add(bytes)
	missing := used - coveredBytes - h.charged.Load()
	if missing <= 0 {
		return nil
	}
	missing = (missing + chargeStep - 1) / chargeStep * chargeStep
	if !h.charge(missing, use) {
		h.used.Add(-bytes)
		return budget.ErrExceeded
	}
	h.charged.Add(missing)
	return nil
}

func (h *holding) charge(bytes int64, use memory.Use) bool {
	m := charged{holding: h, bytes: bytes, use: use, reply: ring.NewReply[bool]()}
	ctx, cancel := context.WithTimeout(context.Background(), chargeTimeout)
	defer cancel()
	if !h.node.memory.Ring().Offer(m) {
		return false
	}
	h.known.Store(true)
	granted, err := m.reply.Wait(ctx)
	return granted && err == nil
}

// release returns bytes.
func (h *holding) release(bytes int64) {
	used := h.used.Add(-bytes)
	surplus := (h.charged.Load() - max(used-coveredBytes, 0)) / chargeStep * chargeStep
	if surplus > 0 {
		h.charged.Add(-surplus)
		_ = h.node.memory.Ring().Put(context.Background(), bytesReleased{id: h.id, bytes: surplus})
	}
}

// reset returns all bytes. The holding can be used again.
func (h *holding) reset() { h.release(h.used.Load()) }

// adopt takes over what answers hold, so that it counts for the caller that reads them.
func (h *holding) adopt(list []*holding) {
	for _, other := range list {
		if !other.known.Load() {
			continue
		}
		h.used.Add(other.used.Load())
		h.charged.Add(other.charged.Load())
		_ = h.node.memory.Ring().Put(context.Background(), holdingMoved{from: other.id, to: h.id})
	}
}

// end returns all bytes of a holding that is not used again.
func (h *holding) end() {
	if h != nil && (h.connection || h.known.Load()) {
		_ = h.node.memory.Ring().Put(context.Background(), holderRemoved{id: h.id})
	}
}

func endAll(list []*holding) {
	for _, held := range list {
		held.end()
	}
}

// answerSource makes the account the source of the reservation for a target's answer.
type answerSource struct{ held *holding }

// Acquire implements budget.Source.
func (s answerSource) Acquire(n int64) error {
	if err := s.held.acquire(n, memory.UseAnswer); err != nil {
		s.held.node.metrics.limits.Add("answers_dropped", 1)
		return err
	}
	return nil
}

// Release implements budget.Source.
func (s answerSource) Release(n int64) { s.held.release(n) }
