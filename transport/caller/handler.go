// Package caller is the HTTP front end for callers. docs/callers.md describes
// the interface.
package caller

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"

	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/model"
)

// Headers of the callers' interface.
const (
	HeaderReason    = "Oleander-Reason"
	HeaderRun       = "Oleander-Run"
	HeaderReplayed  = "Oleander-Replayed"
	HeaderTimeout   = "Oleander-Timeout" // milliseconds
	HeaderAttempt   = "Oleander-Attempt"
	HeaderContext   = "Oleander-Context"
	HeaderRequestID = "Idempotency-Key"
	HeaderKey       = "X-Api-Key"
)

const (
	// maxRequestBytes bounds the body of a request.
	maxRequestBytes = 8 << 20
	bearerPrefix    = "Bearer "
)

// Backend answers requests. It never returns nil.
type Backend func(ctx context.Context, req *model.Request) *model.Answer

// NewHandler returns the HTTP handler for callers. fromTarget is true for the
// loopback listener on which the node's own target calls. held bounds the
// bytes of requests and answers; nil for no bound.
func NewHandler(backend Backend, fromTarget bool, held *budget.Bytes) http.Handler {
	router := bunrouter.New()
	serve := func(w http.ResponseWriter, r bunrouter.Request) error {
		lease := held.Lease()
		defer lease.Release()
		handle(w, r.WithContext(budget.With(r.Context(), lease)), backend, fromTarget)
		return nil
	}
	methods := []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	for _, method := range methods {
		router.Handle(method, "/:service/*path", serve)
		router.Handle(method, "/:service", serve)
	}
	return router
}

func handle(w http.ResponseWriter, r bunrouter.Request, backend Backend, fromTarget bool) {
	req, err := newRequest(w, r, fromTarget)
	if err != nil {
		writeAnswer(w, refusalFor(req, err))
		return
	}
	writeAnswer(w, backend(r.Context(), req))
}

func refusalFor(req *model.Request, err error) *model.Answer {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return model.Refusal(req.ID, model.ReasonTooLarge, err.Error())
	}
	if errors.Is(err, budget.ErrExceeded) {
		return model.Refusal(req.ID, model.ReasonNodeBusy, err.Error())
	}
	return model.Refusal(req.ID, model.ReasonBadRequest, err.Error())
}

// newRequest reads a request. It returns the request also with an error, for
// its id.
func newRequest(w http.ResponseWriter, r bunrouter.Request, fromTarget bool) (*model.Request, error) {
	req := &model.Request{
		ID:         model.CallID(rand.Uint64()),
		Service:    model.Service(r.Param("service")),
		Method:     r.Method,
		Path:       targetPath(r.Request, r.Param("service")),
		Parent:     r.Header.Get(HeaderContext),
		FromTarget: fromTarget,
	}
	if err := readHeaders(req, r.Header); err != nil {
		return req, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return req, errors.Wrap(err, "read request body")
	}
	req.Body = body
	return req, budget.From(r.Context()).Take(len(body))
}

// targetPath cuts the service from the path and keeps the query.
func targetPath(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/"+service)
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func readHeaders(req *model.Request, h http.Header) error {
	req.Key, req.HasKey = readKey(h)
	req.Header = h.Clone()
	for _, name := range []string{"Authorization", HeaderKey, HeaderContext, HeaderTimeout, HeaderAttempt} {
		req.Header.Del(name)
	}
	if text := h.Get(HeaderRequestID); text != "" {
		id, err := uuid.Parse(text)
		if err != nil || id.Version() != 7 {
			return errors.Errorf("header %s: want a UUID of version 7", HeaderRequestID)
		}
		req.RequestID = id
	}
	timeout, err := readNumber(h, HeaderTimeout)
	if err != nil {
		return err
	}
	req.Timeout = time.Duration(timeout) * time.Millisecond
	req.ClientAttempt, err = readNumber(h, HeaderAttempt)
	return err
}

func readKey(h http.Header) (string, bool) {
	if key := h.Get(HeaderKey); key != "" {
		return key, true
	}
	return strings.CutPrefix(h.Get("Authorization"), bearerPrefix)
}

func readNumber(h http.Header, name string) (int, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, errors.Errorf("header %s: want a whole number of 0 or more", name)
	}
	return n, nil
}

// refusalBody is the JSON body of a refusal or failure.
type refusalBody struct {
	Reason       string `json:"reason"`
	Run          string `json:"run"`
	Detail       string `json:"detail,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func writeAnswer(w http.ResponseWriter, a *model.Answer) {
	h := w.Header()
	h.Set(HeaderRun, a.Run.String())
	if a.Refused() {
		writeRefusal(w, a)
		return
	}
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(HeaderRun, a.Run.String())
	if a.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func writeRefusal(w http.ResponseWriter, a *model.Answer) {
	h := w.Header()
	h.Set(HeaderReason, string(a.Reason))
	h.Set("Content-Type", "application/json")
	if a.RetryAfter > 0 {
		seconds := (a.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(statusOf(a.Reason))
	_ = json.NewEncoder(w).Encode(refusalBody{
		Reason:       string(a.Reason),
		Run:          a.Run.String(),
		Detail:       a.Detail,
		RetryAfterMS: a.RetryAfter.Milliseconds(),
	})
}
