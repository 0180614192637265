package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// submitLong queues a ticket with a long output.
func (c *cell) submitLong(tier uint32, workspace string) *protocol.Ticket {
	ticket := c.ticket(tier, workspace)
	ticket.OutputTokens = 2000
	c.Submit(c.now, "h", ticket)
	return ticket
}

// TestLongTicketsLeaveSlots guards against a short ticket waiting behind engines full of long ones, and against long
// tickets that starve behind short ones of the same workspace.
func TestLongTicketsLeaveSlots(t *testing.T) {
	c := newTestCell(2, 4, func(s *Settings) { s.LongShare = 0.5 })
	for range 20 {
		c.submitLong(1, "a")
	}
	long, _ := c.step()
	assert.Equal(t, len(long), 4)
	c.submit(20, 1, "a")
	short, _ := c.step()
	assert.Equal(t, len(short), 4)
	for _, g := range short {
		assert.Equal(t, c.requests[g.RequestId].class, classShort)
	}
	c.answer(long[0], 100, 2000)
	next, _ := c.step()
	assert.Equal(t, c.requests[next[0].RequestId].class, classLong, "the older long ticket comes before newer short ones")
}

// TestUrgentReserve guards against an urgent ticket waiting because lower tiers took the last slots, and against
// reserved slots that stay empty after a long time without urgent tickets.
func TestUrgentReserve(t *testing.T) {
	c := newTestCell(2, 8, func(s *Settings) { s.UrgentReserve, s.UrgentTier = 0.25, 1 })
	answer := func() {
		grants, _ := c.step()
		for _, g := range grants {
			c.answer(g, 100, 100)
		}
	}
	c.submit(1, 1, "b")
	answer()
	c.now = c.now.Add(urgentReserveTTL)
	c.submit(40, 3, "a")
	grants, _ := c.step()
	assert.Equal(t, len(grants), 12)
	c.submit(5, 0, "b")
	grants, _ = c.step()
	assert.Equal(t, len(grants), 4)
	assert.Equal(t, c.Backlog(), [4]int{1, 0, 0, 28})

	c = newTestCell(2, 8, func(s *Settings) { s.UrgentReserve = 0.25 })
	c.submit(40, 3, "a")
	grants, _ = c.step()
	assert.Equal(t, len(grants), 16, "no urgent work has come yet")
	c.submit(1, 0, "b")
	c.answer(grants[0], 100, 100)
	for _, g := range grants[1:9] {
		c.answer(g, 100, 100)
	}
	grants, _ = c.step()
	assert.Equal(t, len(grants), 5, "one urgent ticket, and lower tiers up to the reserve")
	c.now = c.now.Add(urgentReserveTTL + time.Second)
	grants, _ = c.step()
	assert.Equal(t, len(grants), 4)
}

// TestTokenRoom guards against more tokens in flight than the engine's KV cache holds, and against a large ticket that
// starves because small ones take every token that becomes free.
func TestTokenRoom(t *testing.T) {
	for _, engines := range []int{1, 2} {
		testTokenRoom(t, engines)
	}
}

func testTokenRoom(t *testing.T, engines int) {
	c := newTestCell(0, 0, func(s *Settings) { s.TokenRoom = 1 })
	infos := []EngineInfo{{Name: "e0", Slots: 10, KVTokens: 1000}, {Name: "e1", Slots: 10, KVTokens: 1000}}
	c.SetEngines(c.now, infos[:engines])
	c.submit(4*engines, 1, "a")
	running, _ := c.step()
	assert.Equal(t, len(running), 4*engines)
	large := c.ticket(1, "a")
	large.PromptTokens = 800
	c.Submit(c.now, "h", large)
	var granted bool
	for i := range 40 {
		c.submit(1, 1, "b")
		grants, _ := c.step()
		running = append(running, grants...)
		granted = granted || fmt.Sprint(ids(grants)) == fmt.Sprint([]string{large.RequestId})
		for _, e := range c.engines.list {
			assert.Assert(t, e.tokensInFlight <= 1000)
		}
		if granted {
			break
		}
		assert.Assert(t, len(running) > 0, "round %d: the engine is idle", i)
		c.answer(running[0], 100, 100)
		running = running[1:]
	}
	assert.Assert(t, granted)
}

// TestReservationYieldsToHigherTier guards against an urgent ticket waiting for an engine that is reserved for a
// lower tier's large ticket, and against a reservation that outlives its ticket.
func TestReservationYieldsToHigherTier(t *testing.T) {
	c := newTestCell(0, 0, func(s *Settings) { s.TokenRoom = 1 })
	c.SetEngines(c.now, []EngineInfo{{Name: "e0", Slots: 10, KVTokens: 1000}})
	c.submit(1, 1, "a")
	c.step()
	large := c.ticket(2, "a")
	large.PromptTokens = 890
	c.Submit(c.now, "h", large)
	c.step()
	same := c.submit(1, 2, "b")
	urgent := c.submit(1, 0, "b")
	grants, _ := c.step()
	assert.DeepEqual(t, ids(grants), []string{urgent.RequestId})
	c.Cancel(c.now, "h", large.RequestId)
	grants, _ = c.step()
	assert.DeepEqual(t, ids(grants), []string{same.RequestId})
}
