package routing

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/tokenlease"
)

// resolveRequest determines the route, the customer and the parent of a request.
// It returns the call, which is nil without a route, and the answer if the request
// is not to be sent to a target.
func (c *Core) resolveRequest(now time.Time, r *callState, req *model.Request) (*model.Call, *model.Answer) {
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
	call := c.newCall(now, req, route)
	refusal := c.identifyCaller(now, r, req, call)
	call.Fingerprint = fingerprint(call)
	r.initialRetryBudget = r.retryBudget
	r.idGenerated = req.RequestID == uuid.Nil
	return call, refusal
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
		RequestID:  requestIDOf(req, route),
		Deadline:   now.Add(timeoutOf(req, route)),
		EntryNode:  c.self.NodeID,
	}
}

// identifyCaller determines the customer, the parent and the retry budget of a
// call.
func (c *Core) identifyCaller(now time.Time, r *callState, req *model.Request, call *model.Call) *model.Answer {
	if !req.FromTarget {
		return c.identifyExternal(now, r, req, call)
	}
	if req.Parent == "" {
		return c.identifyWithoutContext(call)
	}
	p := c.parents[req.Parent]
	if p == nil {
		return model.NewRefusal(req.ID, model.ReasonParentEnded, "the call that this sub-call belongs to has ended")
	}
	if refusal := r.inheritFromParent(p, call); refusal != nil {
		return refusal
	}
	if !call.Open && call.Customer == "" {
		return model.NewRefusal(req.ID, model.ReasonNoCustomer, "the calling request has no customer")
	}
	c.account(call.Customer).retries.onFirstAttempt()
	return nil
}

// identifyWithoutContext handles a target's call without the header
// Oleander-Context. Such a call has no customer and no retry budget, since its
// call chain is unknown.
func (c *Core) identifyWithoutContext(call *model.Call) *model.Answer {
	if call.Open {
		return nil
	}
	return model.NewRefusal(call.ID, model.ReasonNoCustomer, "the header Oleander-Context is missing and the route is not open")
}

// identifyExternal sets the customer and the retry budget of a call that does
// not come from the node's target. On an open route the key is ignored, so that
// calls with a valid key, with an invalid one and without one are served equally.
func (c *Core) identifyExternal(now time.Time, r *callState, req *model.Request, call *model.Call) *model.Answer {
	if !call.Open {
		if refusal := c.identifyKey(req, call); refusal != nil {
			return refusal
		}
	}
	seen := req.RequestID != uuid.Nil && c.seen.checkAndAdd(now, call.Customer, req.RequestID)
	call.ClientRetry = seen || req.ClientAttempt > 0
	if call.ClientRetry {
		return c.acceptClientRetry(now, call)
	}
	c.account(call.Customer).retries.onFirstAttempt()
	r.retryBudget = c.snapshot.Fleet.RetryBudget
	return nil
}

func (c *Core) identifyKey(req *model.Request, call *model.Call) *model.Answer {
	if !req.HasKey {
		return model.NewRefusal(req.ID, model.ReasonKeyMissing, "the route needs a key: header X-Api-Key, or Authorization: Bearer")
	}
	hash := model.HashKey(req.Key)
	customer, ok := c.snapshot.CustomerOf(hash)
	if !ok {
		return model.NewRefusal(req.ID, model.ReasonKeyUnknown, "the key is unknown or withdrawn")
	}
	call.Customer = customer.Name
	call.KeyHash = hash
	return nil
}

// acceptClientRetry accepts or refuses a retry by a client; see allowClientRetry.
// A retry without a customer is always accepted. The call gets no retry budget:
// nodes do not retry a request that its client already retries.
func (c *Core) acceptClientRetry(now time.Time, call *model.Call) *model.Answer {
	if call.Customer == "" || c.account(call.Customer).retries.allowClientRetry(now) {
		return nil
	}
	refusal := model.NewRefusal(call.ID, model.ReasonRateLimited, "the customer's retries are used up")
	refusal.RetryAfter = clientRetryInterval
	return refusal
}

// checkBeforeAttempt checks the conditions that may change between two attempts:
// contact (see OnContact), validity of the key and room in the token queue.
func (c *Core) checkBeforeAttempt(r *callState) *model.Answer {
	if r.call.Open || r.call.Customer == "" {
		return nil
	}
	if !c.inContact {
		return model.NewRefusal(r.id, model.ReasonNoContact, "the node has no contact with the fleet and cannot check keys")
	}
	if _, ok := c.snapshot.CustomerOf(r.call.KeyHash); !ok {
		return model.NewRefusal(r.id, model.ReasonKeyUnknown, "the key is unknown or withdrawn")
	}
	if !r.noTokenWait() && c.account(r.call.Customer).tokenQueue.len() >= c.tokenQueueLimit(r.call.Customer) {
		refusal := model.NewRefusal(r.id, model.ReasonRateLimited, "as many requests of the customer wait as its rate and burst allow")
		refusal.RetryAfter = tokenlease.MaxTokenWait
		return refusal
	}
	return nil
}

// requestIDOf returns the caller's request id, or a new one for a non-idempotent
// call without an id.
func requestIDOf(req *model.Request, route *model.Route) model.RequestID {
	if req.RequestID != uuid.Nil || route.Idempotent {
		return req.RequestID
	}
	return uuid.Must(uuid.NewV7())
}

// deriveRequestID returns a request id for a sub-call whose caller copied the id
// of its parent. The derived id has the same time, and is the same when the
// sub-call is made again.
func deriveRequestID(call *model.Call) model.RequestID {
	h := xxhash.New()
	_, _ = h.WriteString(string(call.Service))
	_, _ = h.Write(call.RequestID[8:])
	hashContent(h, call)
	id := call.RequestID
	variant := id[8] & 0xC0
	binary.BigEndian.PutUint64(id[8:], h.Sum64())
	id[8] = id[8]&0x3F | variant
	return id
}

func timeoutOf(req *model.Request, route *model.Route) time.Duration {
	limit := route.Timeout.Std()
	if limit == 0 {
		limit = DefaultTimeout
	}
	if req.Timeout > 0 && req.Timeout < limit {
		return req.Timeout
	}
	return limit
}

// fingerprint returns a hash of the customer, method, path and body. It is the
// same when a request is sent again without an id or with a new one.
func fingerprint(call *model.Call) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(call.Customer))
	_, _ = h.Write([]byte{0})
	hashContent(h, call)
	return h.Sum64()
}

func hashContent(h *xxhash.Digest, call *model.Call) {
	for _, part := range []string{call.Method, call.Path} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(call.Body)
}
