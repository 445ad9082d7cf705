package routing

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/oleanderworks/oleanderworks/model"
)

// classify finds the route and the customer of a request. It returns the
// call, or the refusal of a request that may not run.
func (c *Core) classify(now time.Time, req *model.Request) (*model.Call, *model.Answer) {
	if c.snapshot == nil {
		return nil, model.Refusal(req.ID, model.ReasonNoContact, "the node has no configuration yet")
	}
	service := c.snapshot.Services[req.Service]
	if service == nil {
		return nil, model.Refusal(req.ID, model.ReasonNoRoute, "unknown service")
	}
	path, _, _ := strings.Cut(req.Path, "?")
	route := service.Route(req.Method, path)
	if route == nil {
		return nil, model.Refusal(req.ID, model.ReasonNoRoute, "no route for method and path")
	}
	call := c.newCall(now, req, route)
	if route.Open && !req.HasKey {
		return call, nil
	}
	return call, c.identify(now, call, req)
}

func (c *Core) newCall(now time.Time, req *model.Request, route *model.Route) *model.Call {
	return &model.Call{
		ID:          req.ID,
		Service:     req.Service,
		Method:      req.Method,
		Path:        req.Path,
		Header:      req.Header,
		Body:        req.Body,
		Class:       route.Class,
		Open:        route.Open,
		Idempotent:  route.Idempotent,
		RequestID:   requestID(req, route),
		ClientRetry: req.ClientAttempt > 0,
		RetryBudget: c.snapshot.Fleet.RetryBudget,
		Deadline:    now.Add(timeout(req, route)),
		Entry:       c.self.NodeID,
	}
}

// identify sets the customer of a keyed call.
func (c *Core) identify(now time.Time, call *model.Call, req *model.Request) *model.Answer {
	if !req.HasKey {
		return model.Refusal(req.ID, model.ReasonKeyMissing, "the route needs a key")
	}
	if c.contact.lost(now) {
		return model.Refusal(req.ID, model.ReasonNoContact, "the node has no contact with the log or its peers")
	}
	hash := model.HashKey(req.Key)
	customer, ok := c.snapshot.CustomerOf(hash)
	if !ok {
		return model.Refusal(req.ID, model.ReasonKeyUnknown, "the key is unknown or withdrawn")
	}
	call.Customer = customer.Name
	call.KeyHash = hash
	call.Fingerprint = fingerprint(call)
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

func timeout(req *model.Request, route *model.Route) time.Duration {
	limit := route.Timeout.D()
	if limit == 0 {
		limit = DefaultTimeout
	}
	if req.Timeout > 0 && req.Timeout < limit {
		return req.Timeout
	}
	return limit
}

// fingerprint identifies a request that is sent again, also without an id.
func fingerprint(call *model.Call) uint64 {
	h := xxhash.New()
	for _, part := range []string{string(call.Customer), call.Method, call.Path} {
		h.WriteString(part)
		h.Write([]byte{0})
	}
	if call.RequestID != uuid.Nil {
		h.Write(call.RequestID[:])
	}
	h.Write(call.Body)
	return h.Sum64()
}
