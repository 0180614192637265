package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// TestRandomInputs guards against lost or repeated decisions, engines over their bounds, sums that drift, and a ticket
// that is shed while a lower tier is queued, under any order of inputs.
func TestRandomInputs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCell(3, 4, func(s *Settings) {
			s.MaxQueue, s.LongShare, s.UrgentReserve = 12, 0.5, 0.25
			s.Pace = rapid.Bool().Draw(t, "pace")
			s.EngineChoice = rapid.SampledFrom(EngineChoices.Names()).Draw(t, "choice")
		})
		c.SetWorks(map[string]cataloguer.Work{"work": {Limits: cataloguer.Limits{Concurrency: 5, TokensPerMinute: 90_000}}})
		waiting := make(map[string]*protocol.Ticket)
		granted := make(map[string]*protocol.Grant)
		instance := 0
		engine := rapid.SampledFrom([]string{"e0", "e1", "e2"})
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "input") {
			case 0, 1, 2, 3:
				ticket := c.ticket(rapid.Uint32Range(0, 3).Draw(t, "tier"),
					rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"))
				ticket.OutputTokens = rapid.SampledFrom([]uint32{0, 10, 100, 3000}).Draw(t, "output")
				ticket.DeadlineMs = rapid.SampledFrom([]int64{0, 3000, 100_000}).Draw(t, "deadline")
				ticket.Fingerprint = rapid.Uint64Range(0, 20).Draw(t, "fingerprint")
				waiting[ticket.RequestId] = ticket
				c.Submit(c.now, "h", ticket)
			case 4, 5:
				for _, id := range slices.Sorted(maps.Keys(granted)) {
					g := granted[id]
					kind := rapid.SampledFrom([]protocol.ReleaseKind{1, 2, 3, 4, 5, 6}).Draw(t, "kind")
					c.finish(g, kind, waiting[id].Fingerprint)
					delete(granted, id)
					if kind != protocol.ReleaseKind_RELEASE_KIND_UNUSED && kind != protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE {
						delete(waiting, id)
					}
					break
				}
			case 6:
				instance += rapid.IntRange(0, 1).Draw(t, "restart")
				c.report(engine.Draw(t, "engine"), fmt.Sprint(instance))
			case 7:
				c.ObserveLoad(c.now, engine.Draw(t, "engine"), kernel.LoadReport{}, errPoll)
			case 8:
				c.SetLeaving(c.now, engine.Draw(t, "engine"), rapid.Bool().Draw(t, "leaving"))
			case 9:
				for _, id := range slices.Sorted(maps.Keys(waiting)) {
					ticket := waiting[id]
					if granted[id] == nil {
						c.Submit(c.now, "h", ticket)
					} else {
						c.Cancel(c.now, "h", id)
						delete(granted, id)
						delete(waiting, id)
					}
					break
				}
			}
			for _, d := range c.Step(c.now) {
				if g := d.Grant; g != nil {
					assert.Assert(t, waiting[g.RequestId] != nil && granted[g.RequestId] == nil, "second or unknown grant")
					granted[g.RequestId] = g
					continue
				}
				ticket := waiting[d.Refusal.RequestId]
				assert.Assert(t, ticket != nil && granted[d.Refusal.RequestId] == nil, "refused after a grant")
				delete(waiting, d.Refusal.RequestId)
				if d.Refusal.Code == CodeOverloaded {
					backlog := c.Backlog()
					for _, queued := range backlog[ticket.Tier+1:] {
						assert.Equal(t, queued, 0, "a higher tier was shed first")
					}
				}
			}
			c.check(t, len(waiting), len(granted))
		}
		c.DropHolder(c.now, "h")
		c.check(t, 0, 0)
	})
}

// check compares the scheduler's indexes and sums with its requests.
func (c *cell) check(t *rapid.T, known, granted int) {
	assert.Equal(t, len(c.requests), known)
	assert.Equal(t, c.engines.granted, granted)
	assert.Equal(t, c.queued(), known-granted)
	for _, e := range c.engines.list {
		assert.Assert(t, len(e.granted) <= e.info.Slots)
		assert.Assert(t, e.longInFlight <= e.longSlots() || e.slots < e.info.Slots)
		assert.Assert(t, e.runningAlone == nil || len(e.granted) == 1, "a suspect shares its engine")
		assert.Assert(t, e.usable() || e.freeSlots() == 0)
		var prompts float64
		for _, r := range e.granted {
			prompts += r.promptWork
		}
		assert.Assert(t, prompts-e.promptInFlight < 1e-6 && e.promptInFlight-prompts < 1e-6)
		assert.Assert(t, e.slots <= e.info.Slots && (e.info.Slots == 0 || e.slots >= 1))
	}
	for _, b := range c.buckets {
		var seconds float64
		for _, a := range b.accounts {
			seconds += a.slotSeconds
		}
		assert.Assert(t, seconds-b.slotSeconds < 1e-6 && b.slotSeconds-seconds < 1e-6)
	}
}
