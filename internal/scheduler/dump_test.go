package scheduler

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// TestDump guards against a waiting ticket that is shown without a reason or with a wrong one, and against an exclusion
// whose reason is lost when the engine returns.
func TestDump(t *testing.T) {
	works := map[string]cataloguer.Work{
		"few":  {Limits: cataloguer.Limits{Concurrency: 1}},
		"slow": {Limits: cataloguer.Limits{TokensPerMinute: 2000}},
	}
	newTicket := func(work string, prompt, output uint32) *protocol.Ticket {
		return &protocol.Ticket{Work: work, PromptTokens: prompt, OutputTokens: output}
	}
	cases := []struct {
		name    string
		running []*protocol.Ticket
		waiting *protocol.Ticket
		tier    uint32
		want    blockReason
	}{
		{"slots", []*protocol.Ticket{
			newTicket("", 1, 1), newTicket("", 1, 1), newTicket("", 1, 1), newTicket("", 1, 1),
		}, newTicket("", 1, 1), 0, blockSlots},
		{"long", []*protocol.Ticket{newTicket("", 1, 900), newTicket("", 1, 900)}, newTicket("", 1, 900), 0, blockLong},
		{"room", []*protocol.Ticket{newTicket("", 5000, 1)}, newTicket("", 6000, 1), 0, blockRoom},
		{"urgent", []*protocol.Ticket{
			newTicket("", 1, 1), newTicket("", 1, 1), newTicket("", 1, 1),
		}, newTicket("", 1, 1), 3, blockUrgent},
		{"concurrency", []*protocol.Ticket{newTicket("few", 1, 1)}, newTicket("few", 1, 1), 0, blockConcurrency},
		{"tokens", []*protocol.Ticket{newTicket("slow", 100, 100)}, newTicket("slow", 100, 100), 0, blockTokens},
	}
	for _, k := range cases {
		c := newTestCell(0, 0, func(s *Settings) { s.UrgentReserve, s.LongShare = 0.25, 0.5 })
		c.SetEngines(c.now, []EngineInfo{{Name: "e0", Slots: 4, KVTokens: 10_000}})
		c.SetWorks(works)
		c.submit(1, 0, "other")
		first, _ := c.step()
		c.answer(first[0], 100, 100)
		for i, ticket := range append(k.running, k.waiting) {
			ticket.RequestId, ticket.Workspace, ticket.Tier = string(rune('a'+i)), "w", k.tier
			c.Submit(c.now, "h", ticket)
			c.step()
		}
		dump := c.Dump()
		assert.Equal(t, len(dump.Grants), len(k.running), k.name)
		assert.Equal(t, len(dump.Queue), 1, k.name)
		assert.Equal(t, dump.Queue[0].Tickets[0].Reason, string(k.want), k.name)
		_, err := json.Marshal(dump)
		assert.NilError(t, err)
	}
	c := newTestCell(1, 4, nil)
	for range failedPollsUntilDown {
		c.ObserveLoad(c.now, "e0", kernel.LoadReport{}, errPoll)
	}
	c.report("e0", "one")
	assert.Equal(t, c.Dump().Engines[0].LastExclusion, "load report failed")
	assert.Assert(t, c.Dump().Engines[0].Usable)
}
