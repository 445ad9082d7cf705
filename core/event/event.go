// Package event writes numbered log events over hclog. Every event is
// declared in the catalogue of this package; docs/events.md lists the same.
package event

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// maxPerSecond bounds the lines that one event writes in a second at a level
// above debug, maxDetailedPerSecond those of a detailed event. Decisions happen
// thousands of times a second, and a line costs more than the decision itself.
const (
	maxPerSecond         = 20
	maxDetailedPerSecond = 200
)

// Def declares one event.
type Def struct {
	Number int
	Name   string
	Level  hclog.Level
	Text   string // what happened, in one sentence
	Action string // what an operator does about it
	// Detailed events end a request badly. An operator looks for the line of
	// one id, so that more of them are written.
	Detailed bool
}

func (d *Def) perSecond() int64 {
	if d.Detailed {
		return maxDetailedPerSecond
	}
	return maxPerSecond
}

// Log writes events. It is safe for use by several threads.
type Log struct {
	out      hclog.Logger
	limiters sync.Map // event number -> *limiter
}

// New returns a log that writes to out.
func New(out hclog.Logger) *Log {
	return &Log{out: out}
}

// Discard returns a log that writes nothing.
func Discard() *Log {
	return New(hclog.NewNullLogger())
}

// Emit writes one event with key and value pairs. Lines above the rate limit
// are counted and the count is written with the event's next line.
func (l *Log) Emit(d *Def, args ...any) {
	if d.Level < l.out.GetLevel() {
		return
	}
	var left int64
	if l.out.GetLevel() > hclog.Debug {
		allowed, suppressed := l.limiter(d).allow(time.Now(), d.perSecond())
		if !allowed {
			return
		}
		left = suppressed
	}
	args = append([]any{"event", d.Number}, texts(args)...)
	if left > 0 {
		args = append(args, "suppressed", left)
	}
	l.out.Log(d.Level, d.Name, args...)
}

// texts renders values that have a form for people, such as durations, which
// a JSON line would otherwise hold as bare numbers.
func texts(args []any) []any {
	out := slices.Clone(args)
	for i, v := range out {
		if s, ok := v.(fmt.Stringer); ok {
			out[i] = s.String()
		}
	}
	return out
}

func (l *Log) limiter(d *Def) *limiter {
	if found, ok := l.limiters.Load(d.Number); ok {
		return found.(*limiter)
	}
	found, _ := l.limiters.LoadOrStore(d.Number, new(limiter))
	return found.(*limiter)
}

// limiter counts the lines of one event in the current second.
type limiter struct {
	second     atomic.Int64
	written    atomic.Int64
	suppressed atomic.Int64
}

func (r *limiter) allow(now time.Time, limit int64) (bool, int64) {
	second := now.Unix()
	if r.second.Swap(second) != second {
		r.written.Store(0)
	}
	if r.written.Add(1) > limit {
		r.suppressed.Add(1)
		return false, 0
	}
	return true, r.suppressed.Swap(0)
}
