package target

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/core/budget"
	"github.com/oleanderworks/oleanderworks/model"
)

func callHandler(t *testing.T, h http.HandlerFunc, ctx context.Context) *model.Answer {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	client, err := New(server.URL, 4)
	assert.NilError(t, err)
	call := &model.Call{ID: 7, Method: http.MethodPost, Path: "/tallies", Deadline: time.Now().Add(5 * time.Second)}
	return client.Do(ctx, call, "context", 0)
}

// Guards against forwarding a target's truncated answer as a complete one.
func TestTruncatedAnswerIsAFailure(t *testing.T) {
	answer := callHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "ten bytes.")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}, context.Background())
	assert.Equal(t, answer.Reason, model.ReasonAnswerCut)
	assert.Equal(t, answer.Run, model.RunUnknown)
}

// Guards against a target's large answer that exhausts the node's memory.
func TestAnswerBeyondBudgetIsAFailure(t *testing.T) {
	byteBudget := budget.NewBytes(1 << 20)
	reservation := byteBudget.NewReservation()
	answer := callHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 2<<20))
	}, budget.NewContext(context.Background(), reservation))
	assert.Equal(t, answer.Reason, model.ReasonTooLarge)
	assert.Equal(t, answer.Run, model.RunUnknown)
	reservation.Release()
	assert.Equal(t, byteBudget.Held(), int64(0))
}

// Guards against a body without end that keeps its call until the deadline although its
// memory is used up.
func TestEndlessBodyEndsTheCall(t *testing.T) {
	closed := make(chan struct{})
	reservation := budget.NewBytes(1 << 20).NewReservation()
	defer reservation.Release()
	start := time.Now()
	answer := callHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		defer close(closed)
		for err := error(nil); err == nil; {
			_, err = w.Write(make([]byte, 64<<10))
		}
	}, budget.NewContext(context.Background(), reservation))
	assert.Equal(t, answer.Run, model.RunUnknown)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection is still open")
	}
	assert.Assert(t, time.Since(start) < 2*time.Second)
}
