package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/model"
)

// Headers of the API for callers.
const (
	HeaderReason     = "Oleander-Reason"
	HeaderRun        = "Oleander-Run"      // whether the request ran, a model.RunState
	HeaderReplayed   = "Oleander-Replayed" // the answer is the stored first answer
	HeaderTargetLost = "Oleander-Target-Lost"
	HeaderTimeout    = "Oleander-Timeout" // milliseconds
	HeaderAttempt    = "Oleander-Attempt" // 0 for the caller's first attempt, more for a retry
	HeaderContext    = "Oleander-Context" // opaque id of the parent call, on a sub-call
	HeaderRequestID  = "Idempotency-Key"
	HeaderAPIKey     = "X-Api-Key"

	headerAuthorization = "Authorization"
	headerProxyAuth     = "Proxy-Authorization"
	headerRetryAfter    = "Retry-After"
)

const (
	bearerPrefix = "Bearer "
	// maxTimeoutMS is one day in milliseconds. A timeout above the route's has no
	// effect.
	maxTimeoutMS = 86_400_000
	maxAttempt   = 1_000_000 // maximum value of HeaderAttempt
	// uuidLength is the length of a UUID in its canonical form.
	uuidLength = 36
)

// strippedHeaders are meant for the node and are not forwarded. They include
// all headers that may hold a key, so that no target receives one.
var strippedHeaders = []string{
	headerAuthorization, headerProxyAuth, HeaderAPIKey, HeaderContext, HeaderTimeout, HeaderAttempt,
}

// readHeaders parses the headers that are meant for the node. An error names
// the header and the expected value; it never includes the actual value, which
// may be a key.
func readHeaders(req *model.Request, h http.Header) error {
	req.Header = h.Clone()
	for _, name := range strippedHeaders {
		req.Header.Del(name)
	}
	for _, name := range []string{headerAuthorization, HeaderAPIKey, HeaderContext, HeaderTimeout, HeaderAttempt, HeaderRequestID} {
		if len(h.Values(name)) > 1 {
			return errors.Errorf("header %s: want it once", name)
		}
	}
	req.Parent = h.Get(HeaderContext)
	if err := readKey(req, h); err != nil {
		return err
	}
	if err := readRequestID(req, h); err != nil {
		return err
	}
	timeout, err := readNumber(h, HeaderTimeout, maxTimeoutMS)
	if err != nil {
		return err
	}
	req.Timeout = time.Duration(timeout) * time.Millisecond
	req.ClientAttempt, err = readNumber(h, HeaderAttempt, maxAttempt)
	return err
}

// readKey reads the key from X-Api-Key or Authorization. Two different keys are
// an error, since it is unclear which one is meant.
func readKey(req *model.Request, h http.Header) error {
	apiKey := h.Get(HeaderAPIKey)
	bearer := bearerToken(h.Get(headerAuthorization))
	if apiKey != "" && bearer != "" && apiKey != bearer {
		return errors.Errorf("headers %s and %s: want one key", HeaderAPIKey, headerAuthorization)
	}
	req.Key = apiKey
	if apiKey == "" {
		req.Key = bearer
	}
	req.HasKey = req.Key != ""
	return nil
}

// bearerToken returns the key in an Authorization header, or "" for other
// schemes. The scheme is case-insensitive (RFC 9110, section 11.1).
func bearerToken(text string) string {
	if len(text) < len(bearerPrefix) || !strings.EqualFold(text[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(text[len(bearerPrefix):])
}

func readRequestID(req *model.Request, h http.Header) error {
	text := h.Get(HeaderRequestID)
	if text == "" {
		return nil
	}
	id, err := uuid.Parse(text)
	if err != nil || len(text) != uuidLength || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return errors.Errorf("header %s: want a UUID of version 7", HeaderRequestID)
	}
	req.RequestID = id
	return nil
}

func readNumber(h http.Header, name string, limit int) (int, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > limit {
		return 0, errors.Errorf("header %s: want a whole number from 0 to %d", name, limit)
	}
	return n, nil
}
