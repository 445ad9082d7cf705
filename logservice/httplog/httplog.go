// Package httplog implements the client and the server side of the log service's HTTP
// protocol.
package httplog

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"

	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/logservice"
)

const (
	// requestTimeout is the timeout of an append. For a read, its wait is added.
	requestTimeout = 3 * time.Second
	// maxWait is the longest time that the server holds a read open.
	maxWait = 30 * time.Second
	// maxResponseBytes limits how much of a response the client reads.
	maxResponseBytes = 64 << 20
)

// Client implements logservice.Log over HTTP.
type Client struct {
	base *url.URL
	http *http.Client
}

// NewClient returns a client for the log service at a base URL, such as
// "http://10.0.0.1:9100".
func NewClient(base string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, errors.Wrap(err, "parse log service address")
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, errors.Errorf("log service address %q: want http://host:port", base)
	}
	return &Client{base: u, http: &http.Client{Transport: newTransport()}}, nil
}

// newTransport returns a transport limited to HTTP/1.1. There, a request that exceeds
// its deadline closes its connection, so that the next request uses another one. An
// HTTP/2 connection to a server that no longer answers would be reused.
func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.ForceAttemptHTTP2 = false
	t.TLSNextProto = make(map[string]func(string, *tls.Conn) http.RoundTripper)
	return t
}

type appendResponse struct {
	Offset logservice.Offset `json:"offset"`
}

// Append implements logservice.Log.
func (c *Client) Append(ctx context.Context, stream, id string, body json.RawMessage) (logservice.Offset, error) {
	if len(body) > logservice.MaxRecordBytes {
		return 0, fault.Wrap("append", stream, logservice.ErrTooLarge)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	u := c.url(stream, url.Values{"id": {id}})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(body))
	if err != nil {
		return 0, fault.Wrap("append", stream, err)
	}
	// Without GetBody, net/http does not resend the append. If the answer is lost, the
	// caller must search for the record's id before it appends again.
	req.GetBody = nil
	var response appendResponse
	if err := c.do(req, &response); err != nil {
		return 0, fault.Wrap("append", stream, err)
	}
	return response.Offset, nil
}

// Read implements logservice.Log.
func (c *Client) Read(ctx context.Context, stream string, from logservice.Offset, opts logservice.ReadOptions) (logservice.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+opts.Wait)
	defer cancel()
	query := url.Values{
		"from":    {strconv.FormatUint(uint64(from), 10)},
		"max":     {strconv.Itoa(opts.Max)},
		"wait_ms": {strconv.FormatInt(opts.Wait.Milliseconds(), 10)},
	}
	var page logservice.Page
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream, query), nil)
	if err != nil {
		return page, fault.Wrap("read", stream, err)
	}
	err = c.do(req, &page)
	return page, fault.Wrap("read", stream, err)
}

func (c *Client) url(stream string, query url.Values) string {
	u := c.base.JoinPath("streams", stream)
	u.RawQuery = query.Encode()
	return u.String()
}

func (c *Client) do(req *http.Request, result any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(logservice.ErrUnavailable, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusRequestEntityTooLarge {
		return logservice.ErrTooLarge
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(logservice.ErrUnavailable, "status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(result); err != nil {
		return errors.Wrap(logservice.ErrUnavailable, err.Error())
	}
	return nil
}

// NewHandler returns a handler that serves log over HTTP.
func NewHandler(log logservice.Log) http.Handler {
	router := bunrouter.New()
	router.POST("/streams/:stream", func(w http.ResponseWriter, r bunrouter.Request) error {
		serveAppend(w, r, log)
		return nil
	})
	router.GET("/streams/:stream", func(w http.ResponseWriter, r bunrouter.Request) error {
		serveRead(w, r, log)
		return nil
	})
	return router
}

func serveAppend(w http.ResponseWriter, r bunrouter.Request, log logservice.Log) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, logservice.MaxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !json.Valid(body) {
		http.Error(w, "record is not JSON", http.StatusBadRequest)
		return
	}
	offset, err := log.Append(r.Context(), r.Param("stream"), r.URL.Query().Get("id"), body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, appendResponse{Offset: offset})
}

func serveRead(w http.ResponseWriter, r bunrouter.Request, log logservice.Log) {
	from, opts, err := parseReadQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	page, err := log.Read(r.Context(), r.Param("stream"), from, opts)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, page)
}

func parseReadQuery(q url.Values) (logservice.Offset, logservice.ReadOptions, error) {
	var opts logservice.ReadOptions
	numbers := make(map[string]uint64, 3)
	for _, name := range []string{"from", "max", "wait_ms"} {
		if q.Get(name) == "" {
			continue
		}
		n, err := strconv.ParseUint(q.Get(name), 10, 63)
		if err != nil {
			return 0, opts, fmt.Errorf("query %s: want a whole number of 0 or more", name)
		}
		numbers[name] = n
	}
	opts.Max = int(min(numbers["max"], logservice.MaxPageRecords))
	opts.Wait = min(time.Duration(numbers["wait_ms"])*time.Millisecond, maxWait)
	return logservice.Offset(numbers["from"]), opts, nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
