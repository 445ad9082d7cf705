package link

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkOneSecond measures the CPU time that the core needs for one second of
// operation. All connections were opened by peers; each of them receives bytes before each
// of four ticks, receives one heartbeat and sends one.
func BenchmarkOneSecond(b *testing.B) {
	for _, peers := range []int{10, 50, 110} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			c := newCore()
			for i := range peers {
				c.OnAccepted(epoch, SessionID(i+1))
			}
			now, received := epoch, int64(0)
			b.ReportAllocs()
			for b.Loop() {
				for range 4 {
					now = now.Add(tickPeriod)
					received += 100
					for i := range peers {
						c.OnTraffic(now, SessionID(i+1), received, 0)
					}
					c.Tick(now)
				}
				for i := range peers {
					h := Heartbeat{Sent: now.Sub(epoch), EchoSent: now.Sub(epoch) - time.Millisecond}
					c.OnHeartbeat(now, SessionID(i+1), h)
				}
				c.Actions()
			}
		})
	}
}
