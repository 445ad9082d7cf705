package wire

import (
	"bufio"
	"bytes"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
)

// frameRecorder is a buffer that records where each frame ends.
type frameRecorder struct {
	bytes.Buffer
	ends []int
}

func (f *frameRecorder) Write(p []byte) (int, error) {
	n, err := f.Buffer.Write(p)
	f.ends = append(f.ends, f.Len())
	return n, err
}

func unlimited(int) error { return nil }

func writeTestAnswer(t *testing.T, size int) *frameRecorder {
	t.Helper()
	f := new(frameRecorder)
	answer := &model.Answer{ID: 7, Run: model.Completed, Status: 200, Body: bytes.Repeat([]byte("head"), size/4)}
	assert.NilError(t, WriteAnswer(f, answer))
	return f
}

func readAnswer(raw []byte, id model.CallID) (*model.Answer, error) {
	return ReadAnswer(bufio.NewReader(bytes.NewReader(raw)), id, unlimited)
}

// Guards against accepting a truncated answer as complete: it is truncated
// after each frame and at each of the last 64 bytes.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	f := writeTestAnswer(t, 3*chunkBytes+100)
	assert.Assert(t, len(f.ends) >= 6, "got %d frames, want a head, four chunks and an end", len(f.ends))
	for _, end := range append([]int{0}, f.ends[:len(f.ends)-1]...) {
		_, err := readAnswer(f.Bytes()[:end], 7)
		assert.Assert(t, err != nil, "truncated after %d bytes", end)
	}
	for dropped := range 64 {
		_, err := readAnswer(f.Bytes()[:f.Len()-1-dropped], 7)
		assert.Assert(t, err != nil, "truncated %d bytes before the end", dropped+1)
	}
	answer, err := readAnswer(f.Bytes(), 7)
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Body), 3*chunkBytes+100)
}

// Guards against corrupted bytes that reach the caller.
func TestCorruptedAnswerIsAnError(t *testing.T) {
	f := writeTestAnswer(t, 400)
	at := bytes.Index(f.Bytes(), []byte("headhead"))
	raw := bytes.Clone(f.Bytes())
	raw[at] ^= 1
	_, err := readAnswer(raw, 7)
	assert.ErrorContains(t, err, "checksum differs")
}

// Guards against an answer that is delivered to another call.
func TestAnswerOfAnotherCallIsAnError(t *testing.T) {
	_, err := readAnswer(writeTestAnswer(t, 400).Bytes(), 8)
	assert.ErrorContains(t, err, "belongs to call 7, want 8")
}

// Guards against a reader that continues after the byte budget is exceeded.
func TestReadStopsWhenBudgetIsExceeded(t *testing.T) {
	f := writeTestAnswer(t, 4*chunkBytes)
	errFull := errors.New("the budget is exceeded")
	reserved := 0
	_, err := ReadAnswer(bufio.NewReader(bytes.NewReader(f.Bytes())), 7, func(n int) error {
		if reserved += n; reserved > 2*chunkBytes {
			return errFull
		}
		return nil
	})
	assert.ErrorIs(t, err, errFull)
	assert.Equal(t, reserved, 3*chunkBytes)
}

func zeroTransit(time.Duration) (time.Time, Transit) { return time.Unix(1000, 0), Transit{} }

// Guards against a receiver that runs a call although its sender abandoned it
// before the end frame.
func TestCallWithoutEndFrameIsNotRead(t *testing.T) {
	f := new(frameRecorder)
	errAbandoned := errors.New("abandoned")
	err := WriteCall(f, &model.Call{ID: 7, Body: []byte("42")}, time.Now(), 0, func() error { return errAbandoned })
	assert.ErrorIs(t, err, errAbandoned)
	_, err = ReadCall(bufio.NewReader(&f.Buffer), zeroTransit, unlimited)
	assert.ErrorIs(t, err, ErrIncomplete)
}

// Guards against a deadline or a token's expiry that ignores the transit time.
func TestTransitTimeIsSubtracted(t *testing.T) {
	now := time.Now()
	call := &model.Call{ID: 7, Deadline: now.Add(time.Second), Token: &model.Token{Expiry: now.Add(500 * time.Millisecond)}}
	f := new(frameRecorder)
	assert.NilError(t, WriteCall(f, call, now, 42*time.Second, func() error { return nil }))
	arrival := time.Unix(1000, 0)
	got, err := ReadCall(bufio.NewReader(&f.Buffer), func(sent time.Duration) (time.Time, Transit) {
		assert.Equal(t, sent, 42*time.Second)
		return arrival, Transit{Estimate: 100 * time.Millisecond, Max: 120 * time.Millisecond}
	}, unlimited)
	assert.NilError(t, err)
	assert.Equal(t, got.Deadline.Sub(arrival), 900*time.Millisecond)
	assert.Equal(t, got.Token.TTL, 380*time.Millisecond)
	assert.Equal(t, got.Token.Expiry.Sub(arrival), 380*time.Millisecond)
}
