// Package caller implements the HTTP API that nodes of package agent offer to
// callers. docs/callers.md documents it. The API of the nodes of package
// agent/mesh is in package platform.
package caller

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"

	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/model"
)

// maxRequestBytes is the maximum size of a request's body.
const maxRequestBytes = 8 << 20

// Backend answers requests. It never returns nil.
type Backend func(ctx context.Context, req *model.Request) *model.Answer

// NewHandler returns the HTTP handler for callers. fromTarget is true for the
// loopback listener on which the node's own target sends its sub-calls.
// byteBudget bounds the bytes of requests and answers; nil for no bound.
func NewHandler(backend Backend, fromTarget bool, byteBudget *budget.Bytes) http.Handler {
	router := bunrouter.New(
		bunrouter.WithNotFoundHandler(noRoute),
		bunrouter.WithMethodNotAllowedHandler(noRoute),
	)
	serve := func(w http.ResponseWriter, r bunrouter.Request) error {
		reservation := byteBudget.NewReservation()
		defer reservation.Release()
		handle(w, r.WithContext(budget.NewContext(r.Context(), reservation)), backend, fromTarget)
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

// noRoute answers requests without a service in the path or with an unsupported
// method.
func noRoute(w http.ResponseWriter, r bunrouter.Request) error {
	a := model.NewRefusal(0, model.ReasonNoRoute, "want /<service>/<path> and one of the methods GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS")
	writeAnswer(w, r.Method, a)
	return nil
}

func handle(w http.ResponseWriter, r bunrouter.Request, backend Backend, fromTarget bool) {
	req, err := newRequest(w, r, fromTarget)
	if err != nil {
		writeAnswer(w, r.Method, readErrorRefusal(req, err))
		return
	}
	writeAnswer(w, r.Method, backend(r.Context(), req))
}

func readErrorRefusal(req *model.Request, err error) *model.Answer {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		detail := errors.Errorf("body: want at most %d bytes", tooLarge.Limit).Error()
		return model.NewRefusal(req.ID, model.ReasonTooLarge, detail)
	}
	if errors.Is(err, budget.ErrExceeded) {
		return model.NewRefusal(req.ID, model.ReasonNodeBusy, err.Error())
	}
	return model.NewRefusal(req.ID, model.ReasonBadRequest, err.Error())
}

// newRequest reads a request. On an error it also returns the partly read
// request, since the refusal needs its id.
func newRequest(w http.ResponseWriter, r bunrouter.Request, fromTarget bool) (*model.Request, error) {
	req := &model.Request{
		ID:         model.CallID(rand.Uint64()),
		Service:    model.Service(r.Param("service")),
		Method:     r.Method,
		Path:       targetPath(r.Request, r.Param("service")),
		FromTarget: fromTarget,
	}
	if err := readHeaders(req, r.Header); err != nil {
		return req, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return req, errors.Wrap(err, "body: want the whole of it")
	}
	req.Body = body
	return req, budget.FromContext(r.Context()).Acquire(len(body))
}

// targetPath returns the path without the service, and with the query.
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
