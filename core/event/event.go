// Package event writes numbered log events with hclog. All events are declared in
// the catalogue of this package, from which docs/events.md is generated.
package event

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Rate limits for the lines of one event; at the log levels debug and trace there is
// no limit. higherMaxLinesPerSecond applies to the events with HigherRateLimit. The
// limits are necessary because a node makes thousands of decisions per second and
// writing a line costs more than a decision.
const (
	maxLinesPerSecond       = 20
	higherMaxLinesPerSecond = 200
)

// Definition describes an event.
type Definition struct {
	Number      int
	Name        string
	Level       hclog.Level
	Description string // what happened, in one sentence
	Action      string // what an operator should do
	// HigherRateLimit selects the limit higherMaxLinesPerSecond. It is set for the
	// events of mesh nodes about failed and retried requests, since operators search
	// the log for the lines of one request.
	HigherRateLimit bool
}

func (d *Definition) rateLimit() int64 {
	if d.HigherRateLimit {
		return higherMaxLinesPerSecond
	}
	return maxLinesPerSecond
}

// Log writes events. It is safe for concurrent use.
type Log struct {
	out      hclog.Logger
	limiters sync.Map // event number -> *limiter
}

// New returns a log that writes to out.
func New(out hclog.Logger) *Log {
	return &Log{out: out}
}

// Discard returns a log that discards all events.
func Discard() *Log {
	return New(hclog.NewNullLogger())
}

// Emit writes one event with alternating keys and values. Lines above the rate
// limit are suppressed; the event's next line reports their number.
func (l *Log) Emit(d *Definition, args ...any) {
	if d.Level < l.out.GetLevel() {
		return
	}
	var suppressed int64
	if l.out.GetLevel() > hclog.Debug {
		allowed, count := l.limiter(d).allow(time.Now(), d.rateLimit())
		if !allowed {
			return
		}
		suppressed = count
	}
	args = append([]any{"event", d.Number}, renderValues(args)...)
	if suppressed > 0 {
		args = append(args, "suppressed", suppressed)
	}
	l.out.Log(d.Level, d.Name, args...)
}

// renderValues replaces values that implement fmt.Stringer, such as durations, by
// their string form. JSON output would otherwise show them as plain numbers.
func renderValues(args []any) []any {
	out := slices.Clone(args)
	for i, v := range out {
		if s, ok := v.(fmt.Stringer); ok {
			out[i] = s.String()
		}
	}
	return out
}

func (l *Log) limiter(d *Definition) *limiter {
	if value, ok := l.limiters.Load(d.Number); ok {
		return value.(*limiter)
	}
	value, _ := l.limiters.LoadOrStore(d.Number, new(limiter))
	return value.(*limiter)
}

// limiter counts the lines of one event in the current second.
type limiter struct {
	second     atomic.Int64
	written    atomic.Int64
	suppressed atomic.Int64
}

// allow reports whether another line may be written, and if so, how many lines were
// suppressed since the previous one.
func (l *limiter) allow(now time.Time, limit int64) (bool, int64) {
	second := now.Unix()
	if l.second.Swap(second) != second {
		l.written.Store(0)
	}
	if l.written.Add(1) > limit {
		l.suppressed.Add(1)
		return false, 0
	}
	return true, l.suppressed.Swap(0)
}
