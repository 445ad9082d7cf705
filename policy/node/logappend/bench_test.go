package logappend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkAppend measures the CPU time for one record from its arrival until it is in the
// log while other records wait. Each iteration appends up to maxInFlight records, so the
// number of waiting records falls from the given one.
func BenchmarkAppend(b *testing.B) {
	for _, waiting := range []int{1, 100, 1_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			now := time.Unix(1_770_000_000, 0)
			c := New(rand.New(rand.NewPCG(1, 1)), waiting+1)
			for range waiting {
				_ = c.Add(now, &Record{Stream: "members.tally", Body: []byte("{}")})
			}
			for b.Loop() {
				_ = c.Add(now, &Record{Stream: "members.tally", Body: []byte("{}")})
				c.Tick(now)
				for _, a := range c.Actions() {
					c.OnAppend(now, a.Record, 1, nil)
				}
				for c.Len() > waiting {
					c.Tick(now)
					for _, a := range c.Actions() {
						c.OnAppend(now, a.Record, 1, nil)
					}
				}
			}
		})
	}
}
