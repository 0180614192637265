package scheduler

import (
	"fmt"
	"testing"
	"time"

	"coltsfootplank/internal/protocol"
)

// BenchmarkDecision measures one submission, one decision and one release at saturation, by the number of engines and
// of queued tickets, with slots or KV tokens ("room") as the bottleneck.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{12, 100, 900} {
		for _, queued := range []int{100, 5000} {
			b.Run(fmt.Sprintf("engines=%d/queued=%d", engines, queued), func(b *testing.B) {
				benchmarkDecision(b, newTestCell(engines, 8, benchSettings), engines*8, queued)
			})
		}
		b.Run(fmt.Sprintf("engines=%d/queued=5000/room", engines), func(b *testing.B) {
			c := newTestCell(0, 0, benchSettings)
			infos := make([]EngineInfo, engines)
			for i := range infos {
				infos[i] = EngineInfo{Name: fmt.Sprintf("e%d", i), Slots: 64, KVTokens: 4000}
			}
			c.SetEngines(c.now, infos)
			benchmarkDecision(b, c, engines*8, 5000)
		})
	}
}

func benchSettings(s *Settings) { s.MaxQueue, s.LongShare, s.UrgentReserve = 0, 0.5, 0.125 }

func benchmarkDecision(b *testing.B, c *cell, slots, queued int) {
	submit := func(i int) {
		ticket := c.ticket(uint32(i%4), fmt.Sprintf("w%d", i%200))
		ticket.DeadlineMs = 100_000_000
		ticket.PrefixHashes = []uint64{uint64(i % 50), uint64(i%500) + 1000, uint64(i) + 10_000}
		if i%5 == 0 {
			ticket.OutputTokens = 2000
		}
		c.Submit(c.now, "h", ticket)
	}
	var running []*protocol.Grant
	for i := range slots + queued {
		submit(i)
	}
	running, _ = c.step()
	b.ReportAllocs()
	b.ResetTimer()
	next := slots + queued
	for i := range b.N {
		c.now = c.now.Add(time.Millisecond)
		c.answer(running[i%len(running)], 100, 100)
		submit(next)
		next++
		grants, _ := c.step()
		if len(grants) > 0 {
			running[i%len(running)] = grants[0]
		}
	}
}
