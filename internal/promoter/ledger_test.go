package promoter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootplank/internal/kernel"
)

// TestExposureBound guards against leases that add up to more than the bound, whatever calls are lost, late or repeated and
// whatever restarts: gates use their leases as far as they can, also while they are cut off.
func TestExposureBound(t *testing.T) {
	settings := DefaultSettings()
	// A low bound is reached within few steps.
	settings.ExposureSlack = 10
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		order := kernel.RolloutOrder{Service: "s", To: "v2", Duration: time.Minute, Position: 1}
		record := kernel.RolloutRecord{Service: "s", To: "v2", From: []string{"v1"}, Order: 1}
		newDecider := func(previous *kernel.RolloutRecord) *Decider {
			record.Generation++
			d := NewDecider(now, now, order, record, previous, settings)
			d.Recorded(now, record)
			return d
		}
		decider := newDecider(nil)
		newGate := func() *Gate {
			g := NewGate()
			g.SetVersions([]string{"v1", "v2"})
			g.SetOrder(now, order, true)
			return g
		}
		const gateCount = 3
		gates, incarnations := make([]*Gate, gateCount), make([]uint64, gateCount)
		for i := range gates {
			gates[i] = newGate()
		}
		requests, used := 0, uint64(0)
		var late []func()
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			i := rapid.IntRange(0, gateCount-1).Draw(t, "gate")
			g := gates[i]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			case 1, 2:
				count := rapid.IntRange(1, 10).Draw(t, "requests")
				requests += count
				for range count {
					g.Arrived()
				}
			case 3, 4, 5:
				left, _ := g.LeaseLeft(now)
				g.Use(left)
				used += left
			case 6, 7:
				sent, report := now, g.Report(now, fmt.Sprint(i), incarnations[i], true)
				decider.around.RecordReadAt = now
				if rapid.Bool().Draw(t, "call late") {
					late = append(late, func() { g.SetLease(sent, decider.Report(now, report)) })
				} else if lease := decider.Report(now, report); rapid.Bool().Draw(t, "answer late") {
					late = append(late, func() { g.SetLease(sent, lease) })
				} else {
					g.SetLease(sent, lease)
				}
			case 8:
				for _, call := range late {
					call()
				}
				late = late[:0]
			case 9:
				if rapid.Bool().Draw(t, "decider") {
					previous := record
					decider = newDecider(&previous)
				} else {
					gates[i] = newGate()
					incarnations[i]++
				}
			}
			bound := boundMargin * (settings.ExposureShare*float64(requests) + settings.ExposureSlack)
			assert.Assert(t, float64(used) <= bound, "%d requests to the new version, bound %.1f", used, bound)
		}
	})
}
