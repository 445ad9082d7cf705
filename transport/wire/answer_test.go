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

// frames notes where each frame ends.
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

// Guards against a cut answer that looks complete, wherever the cut falls.
func TestAnswerCutAtEveryFrameIsAnError(t *testing.T) {
	f := writeTestAnswer(t, 3*chunkBytes+100)
	assert.Assert(t, len(f.ends) >= 6, "head, four chunks and end: %d", len(f.ends))
	for _, end := range append([]int{0}, f.ends[:len(f.ends)-1]...) {
		_, err := readAnswer(f.Bytes()[:end], 7)
		assert.Assert(t, err != nil, "cut at %d", end)
	}
	for cut := range 64 {
		_, err := readAnswer(f.Bytes()[:f.Len()-1-cut], 7)
		assert.Assert(t, err != nil, "cut %d bytes before the end", cut+1)
	}
	answer, err := readAnswer(f.Bytes(), 7)
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Body), 3*chunkBytes+100)
}

// Guards against changed bytes that reach the caller.
func TestCorruptedAnswerIsAnError(t *testing.T) {
	f := writeTestAnswer(t, 400)
	at := bytes.Index(f.Bytes(), []byte("headhead"))
	raw := bytes.Clone(f.Bytes())
	raw[at] ^= 1
	_, err := readAnswer(raw, 7)
	assert.ErrorContains(t, err, "checksum differs")
}

// Guards against an answer that reaches another call.
func TestAnswerOfAnotherCallIsAnError(t *testing.T) {
	_, err := readAnswer(writeTestAnswer(t, 400).Bytes(), 8)
	assert.ErrorContains(t, err, "belongs to call 7, want 8")
}

// Guards against a body that is read although there is no room for it.
func TestReadStopsWithoutRoom(t *testing.T) {
	f := writeTestAnswer(t, 4*chunkBytes)
	full := errors.New("no room")
	taken := 0
	_, err := ReadAnswer(bufio.NewReader(bytes.NewReader(f.Bytes())), 7, func(n int) error {
		if taken += n; taken > 2*chunkBytes {
			return full
		}
		return nil
	})
	assert.ErrorIs(t, err, full)
	assert.Equal(t, taken, 3*chunkBytes)
}

func zeroTransit(time.Duration) (time.Time, Transit) { return time.Unix(1000, 0), Transit{} }

// Guards against a receiver that runs a call whose sender gave it up before
// the end.
func TestCallWithoutEndIsNotRead(t *testing.T) {
	f := new(frameRecorder)
	stop := errors.New("given up")
	err := WriteCall(f, &model.Call{ID: 7, Body: []byte("42")}, time.Now(), 0, func() error { return stop })
	assert.ErrorIs(t, err, stop)
	_, err = ReadCall(bufio.NewReader(&f.Buffer), zeroTransit, unlimited)
	assert.ErrorIs(t, err, ErrIncomplete)
}

// Guards against a deadline or a token life that ignores the time on the way.
func TestTimeOnTheWayIsSubtracted(t *testing.T) {
	now := time.Now()
	call := &model.Call{ID: 7, Deadline: now.Add(time.Second), Token: &model.Token{Expiry: now.Add(500 * time.Millisecond)}}
	f := new(frameRecorder)
	assert.NilError(t, WriteCall(f, call, now, 42*time.Second, func() error { return nil }))
	arrived := time.Unix(1000, 0)
	got, err := ReadCall(bufio.NewReader(&f.Buffer), func(sent time.Duration) (time.Time, Transit) {
		assert.Equal(t, sent, 42*time.Second)
		return arrived, Transit{Estimate: 100 * time.Millisecond, Max: 120 * time.Millisecond}
	}, unlimited)
	assert.NilError(t, err)
	assert.Equal(t, got.Deadline.Sub(arrived), 900*time.Millisecond)
	assert.Equal(t, got.Token.TTL, 380*time.Millisecond)
	assert.Equal(t, got.Token.Expiry.Sub(arrived), 380*time.Millisecond)
}
