package httplog

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/logservice/memlog"
)

// Guards against a client and a server that disagree on the encoding of requests, pages
// or errors.
func TestClientReadsWhatItAppends(t *testing.T) {
	log := memlog.New(time.Now, time.Hour)
	server := httptest.NewServer(NewHandler(log))
	defer server.Close()
	c, err := NewClient(server.URL)
	assert.NilError(t, err)
	ctx := context.Background()
	for i := range 3 {
		offset, err := c.Append(ctx, "config", "id", json.RawMessage(`{"a":1}`))
		assert.NilError(t, err)
		assert.Equal(t, offset, logservice.Offset(i))
	}
	page, err := c.Read(ctx, "config", 1, logservice.ReadOptions{})
	assert.NilError(t, err)
	assert.Equal(t, len(page.Records), 2)
	assert.Equal(t, page.Next, logservice.Offset(3))
	assert.Equal(t, page.Retention, time.Hour)

	_, err = c.Append(ctx, "config", "id", json.RawMessage(`"`+strings.Repeat("a", logservice.MaxRecordBytes)+`"`))
	assert.ErrorIs(t, err, logservice.ErrTooLarge)
	log.SetFaults(memlog.Faults{Down: true})
	_, err = c.Read(ctx, "config", 0, logservice.ReadOptions{})
	assert.ErrorIs(t, err, logservice.ErrUnavailable)
}

// Guards against a client that reuses a connection on which the server no longer
// answers, although it answers on new connections.
func TestSilentConnectionIsReplaced(t *testing.T) {
	log := memlog.New(time.Now, time.Hour)
	silent := make(chan struct{})
	handler := NewHandler(log)
	first := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if first == "" {
			first = r.RemoteAddr
		} else if r.RemoteAddr == first {
			<-silent
		}
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	defer close(silent)
	c, err := NewClient(server.URL)
	assert.NilError(t, err)
	read := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := c.Read(ctx, "config", 0, logservice.ReadOptions{})
		return err
	}
	assert.NilError(t, read())
	assert.ErrorIs(t, read(), logservice.ErrUnavailable)
	assert.NilError(t, read())
}

// Guards against a server that accepts malformed requests, and against a client that
// accepts a base URL with another scheme than HTTP.
func TestMalformedRequestsAreRejected(t *testing.T) {
	server := httptest.NewServer(NewHandler(memlog.New(time.Now, time.Hour)))
	defer server.Close()
	resp, err := http.Get(server.URL + "/streams/config?from=-1")
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	resp, err = http.Post(server.URL+"/streams/config?id=a", "application/json", strings.NewReader("{"))
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	_, err = NewClient("ftp://" + net.IPv4zero.String())
	assert.ErrorContains(t, err, "want http://host:port")
}
