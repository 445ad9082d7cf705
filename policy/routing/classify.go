package routing

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/tokenlease"
)

// classify finds the route, the customer and the parent of a request. It
// returns the call, or the refusal of a request that may not run.
func (c *Core) classify(now time.Time, r *call, req *model.Request) (*model.Call, *model.Answer) {
	if c.snapshot == nil {
		return nil, model.NewRefusal(req.ID, model.ReasonNoContact, "the node has no configuration yet")
	}
	service := c.snapshot.Services[req.Service]
	if service == nil {
		return nil, model.NewRefusal(req.ID, model.ReasonNoRoute, "unknown service")
	}
	path, _, _ := strings.Cut(req.Path, "?")
	if answer := answerOptions(req, service, path); answer != nil {
		return nil, answer
	}
	route := findRoute(service, req.Method, path)
	if route == nil {
		return nil, model.NewRefusal(req.ID, model.ReasonNoRoute, "no route for method and path")
	}
	a := c.newCall(now, req, route)
	refusal := c.identify(now, r, req, a)
	a.Fingerprint = fingerprint(a)
	r.given = r.budget
	r.ownID = req.RequestID == uuid.Nil
	return a, refusal
}

func (c *Core) newCall(now time.Time, req *model.Request, route *model.Route) *model.Call {
	return &model.Call{
		ID:         req.ID,
		Service:    req.Service,
		Method:     req.Method,
		Path:       req.Path,
		Header:     req.Header,
		Body:       req.Body,
		Class:      route.Class,
		Open:       route.Open,
		Idempotent: route.Idempotent,
		RequestID:  requestID(req, route),
		Deadline:   now.Add(timeout(req, route)),
		EntryNode:  c.self.NodeID,
	}
}

// identify finds out for whom the call runs and what it may cost.
func (c *Core) identify(now time.Time, r *call, req *model.Request, a *model.Call) *model.Answer {
	if !req.FromTarget {
		return c.identifyOutside(now, r, req, a)
	}
	if req.Parent == "" {
		return c.identifyOrphan(a)
	}
	p := c.parents[req.Parent]
	if p == nil {
		return model.NewRefusal(req.ID, model.ReasonParentEnded, "the call that this sub-call belongs to has ended")
	}
	if refusal := r.inherit(p, a); refusal != nil {
		return refusal
	}
	if !a.Open && a.Customer == "" {
		return model.NewRefusal(req.ID, model.ReasonNoCustomer, "the calling request has no customer")
	}
	c.account(a.Customer).retries.onFirstAttempt()
	return nil
}

// identifyOrphan judges a target's call without Oleander-Context. It has no
// customer and no retries, since it cannot be counted to a chain.
func (c *Core) identifyOrphan(a *model.Call) *model.Answer {
	if a.Open {
		return nil
	}
	return model.NewRefusal(a.ID, model.ReasonNoCustomer, "the header Oleander-Context is missing and the route is not open")
}

// identifyOutside sets the customer of an outside call. On an open route a
// key is not looked at: the call is served alike with any key and without.
func (c *Core) identifyOutside(now time.Time, r *call, req *model.Request, a *model.Call) *model.Answer {
	if !a.Open {
		if refusal := c.identifyKey(req, a); refusal != nil {
			return refusal
		}
	}
	seen := req.RequestID != uuid.Nil && c.seen.add(now, a.Customer, req.RequestID)
	a.ClientRetry = seen || req.ClientAttempt > 0
	if a.ClientRetry {
		return c.admitClientRetry(now, a)
	}
	c.account(a.Customer).retries.onFirstAttempt()
	r.budget = c.snapshot.Fleet.RetryBudget
	return nil
}

func (c *Core) identifyKey(req *model.Request, a *model.Call) *model.Answer {
	if !req.HasKey {
		return model.NewRefusal(req.ID, model.ReasonKeyMissing, "the route needs a key: header X-Api-Key, or Authorization: Bearer")
	}
	hash := model.HashKey(req.Key)
	customer, ok := c.snapshot.CustomerOf(hash)
	if !ok {
		return model.NewRefusal(req.ID, model.ReasonKeyUnknown, "the key is unknown or withdrawn")
	}
	a.Customer = customer.Name
	a.KeyHash = hash
	return nil
}

// admitClientRetry draws on the customer's retries. The nodes add no retries
// of their own to a request that its client already sends again.
func (c *Core) admitClientRetry(now time.Time, a *model.Call) *model.Answer {
	if a.Customer == "" || c.account(a.Customer).retries.takeClient(now) {
		return nil
	}
	refusal := model.NewRefusal(a.ID, model.ReasonRateLimited, "the customer's retries are used up")
	refusal.RetryAfter = clientRetryPause
	return refusal
}

// recheck judges, before each attempt, what may have changed since the call
// arrived.
func (c *Core) recheck(r *call) *model.Answer {
	if r.call.Open || r.call.Customer == "" {
		return nil
	}
	if !c.contact {
		return model.NewRefusal(r.id, model.ReasonNoContact, "the node has no contact with the fleet and cannot check keys")
	}
	if _, ok := c.snapshot.CustomerOf(r.call.KeyHash); !ok {
		return model.NewRefusal(r.id, model.ReasonKeyUnknown, "the key is unknown or withdrawn")
	}
	if !r.tokenAtHand() && c.account(r.call.Customer).parked.len() >= c.parkedLimit(r.call.Customer) {
		refusal := model.NewRefusal(r.id, model.ReasonRateLimited, "as many requests of the customer wait as its rate and burst allow")
		refusal.RetryAfter = tokenlease.MaxTokenWait
		return refusal
	}
	return nil
}

// requestID returns the caller's id, or a new one for a non-idempotent call
// without one.
func requestID(req *model.Request, route *model.Route) model.RequestID {
	if req.RequestID != uuid.Nil || route.Idempotent {
		return req.RequestID
	}
	return uuid.Must(uuid.NewV7())
}

// derivedID returns an id for a sub-call whose target copied the id of the
// calling request. It keeps the id's time, and is the same when the same
// sub-call is made again.
func derivedID(a *model.Call) model.RequestID {
	h := xxhash.New()
	_, _ = h.WriteString(string(a.Service))
	_, _ = h.Write(a.RequestID[8:])
	hashContent(h, a)
	id := a.RequestID
	variant := id[8] & 0xC0
	binary.BigEndian.PutUint64(id[8:], h.Sum64())
	id[8] = id[8]&0x3F | variant
	return id
}

func timeout(req *model.Request, route *model.Route) time.Duration {
	limit := route.Timeout.Std()
	if limit == 0 {
		limit = DefaultTimeout
	}
	if req.Timeout > 0 && req.Timeout < limit {
		return req.Timeout
	}
	return limit
}

// fingerprint identifies a request that is sent again, also without an id or
// with a new one.
func fingerprint(a *model.Call) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(a.Customer))
	_, _ = h.Write([]byte{0})
	hashContent(h, a)
	return h.Sum64()
}

func hashContent(h *xxhash.Digest, a *model.Call) {
	for _, part := range []string{a.Method, a.Path} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(a.Body)
}
