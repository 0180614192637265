package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// newMemoryCell returns a scheduler whose engines have 4 slots and the given KV tokens.
func newMemoryCell(share float64, memory ...int) *cell {
	c := newTestCell(0, 0, nil)
	infos := make([]EngineInfo, len(memory))
	for i := range infos {
		infos[i] = EngineInfo{Name: fmt.Sprintf("e%d", i), Slots: 4, KVTokens: memory[i]}
	}
	c.SetEngines(c.now, infos)
	c.SetCapacityShare(share)
	return c
}

// submitTokens queues a ticket of so many tokens, a tenth of them output.
func (c *cell) submitTokens(tokens uint32) *protocol.Ticket {
	ticket := c.ticket(0, "a")
	ticket.PromptTokens, ticket.OutputTokens = tokens-tokens/10, tokens/10
	c.Submit(c.now, "h", ticket)
	return ticket
}

// TestTooLarge guards against a request larger than an engine's memory that is granted because the engine is idle, which
// crashes the engine; against one that waits although it can never be granted, or has an engine reserved that can't take it;
// and against a scheduler with a part of the capacity that fills more than this part of the memory.
func TestTooLarge(t *testing.T) {
	cases := []struct {
		name   string
		share  float64
		memory []int
		tokens uint32
		// engine is the one that is granted, or code the refusal's.
		engine, code string
		retry        bool
	}{
		{"fits", 1, []int{1000}, 900, "e0", "", false},
		{"fits an idle engine", 1, []int{1000}, 1000, "e0", "", false},
		{"too large", 1, []int{1000}, 1010, "", CodeNoUpstream, false},
		{"too large for one engine", 1, []int{1000, 2000}, 1010, "e1", "", false},
		{"memory not known", 1, []int{0}, 1e6, "e0", "", false},
		{"memory of one engine not known", 1, []int{1000, 0}, 1e6, "e1", "", false},
		{"within the part", 0.25, []int{1000}, 220, "e0", "", false},
		{"larger than the part", 0.25, []int{1000}, 230, "", CodeOverloaded, true},
		{"one slot's part", 0.01, []int{1000}, 220, "e0", "", false},
		{"larger than one slot's part", 0.01, []int{1000}, 230, "", CodeOverloaded, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cell := newMemoryCell(c.share, c.memory...)
			cell.submitTokens(c.tokens)
			grants, refusals := cell.step()
			assert.Equal(t, len(grants)+len(refusals), 1)
			if c.code != "" {
				assert.Equal(t, len(refusals), 1)
				assert.Equal(t, refusals[0].Code, c.code)
				assert.Equal(t, refusals[0].RetryAfterMs > 0, c.retry)
				return
			}
			assert.Equal(t, grants[0].Engine, c.engine)
		})
	}
	cell := newMemoryCell(1, 1000, 2000)
	for range 6 {
		cell.submitTokens(250)
	}
	running, _ := cell.step()
	large := cell.submitTokens(1500)
	cell.step()
	assert.Equal(t, cell.engines.reserved.info.Name, "e1", "the only engine that can take it")
	for _, g := range running {
		cell.answer(g, 180, 20)
	}
	grants, _ := cell.step()
	assert.DeepEqual(t, ids(grants), []string{large.RequestId})
}

// TestPartitionedMemory guards against schedulers that can't reach each other and together exceed an engine's memory.
func TestPartitionedMemory(t *testing.T) {
	const (
		schedulers = 4
		memory     = 1000
	)
	for _, tokens := range []uint32{20, 60, 150, 220, 400, 900} {
		var sum float64
		for range schedulers {
			c := newMemoryCell(1.0/schedulers, memory)
			for range 10 {
				c.submitTokens(tokens)
			}
			c.step()
			sum += c.engines.list[0].tokensInFlight
		}
		assert.Assert(t, sum <= memory, "%d tokens each: %.0f", tokens, sum)
		assert.Assert(t, sum > 0 || tokens > memory/schedulers, "%d tokens each", tokens)
	}
}

// TestTakeoverMemory guards against a new scheduler that grants a large request before it knows what its predecessor has
// granted, or without counting it, so that an engine exceeds its memory.
func TestTakeoverMemory(t *testing.T) {
	c := newMemoryCell(1, 1000)
	c.SetTakeover(c.now.Add(100 * time.Millisecond))
	large := c.submitTokens(600)
	grants, refusals := c.step()
	assert.Equal(t, len(grants)+len(refusals), 0)
	wake := c.NextWake(c.now)
	assert.Assert(t, wake.After(c.now) && !wake.After(c.now.Add(100*time.Millisecond)))
	small := c.submitTokens(100)
	grants, _ = c.step()
	assert.DeepEqual(t, ids(grants), []string{small.RequestId})
	c.now = c.now.Add(90 * time.Millisecond)
	running := c.ticket(0, "b")
	running.PromptTokens, running.OutputTokens = 450, 50
	assert.Assert(t, c.Adopt(c.now, "h", running, "e0", time.Second))
	c.now = c.now.Add(10 * time.Millisecond)
	grants, _ = c.step()
	assert.Equal(t, len(grants), 0, "no room besides the adopted request")
	c.answer(&protocol.Grant{RequestId: running.RequestId, Engine: "e0"}, 450, 50)
	grants, _ = c.step()
	assert.DeepEqual(t, ids(grants), []string{large.RequestId})
}

// TestUnknownRuns guards against memory that counts as free while requests fill it that this scheduler doesn't hold: those of
// holders that it has lost and of lost connections, which may run on, and those of other schedulers; and against memory that stays in use after them.
func TestUnknownRuns(t *testing.T) {
	lose := func(c *cell) *protocol.Ticket {
		ticket := c.ticket(0, "b")
		ticket.PromptTokens, ticket.OutputTokens, ticket.DeadlineMs = 450, 50, 5000
		c.Submit(c.now, "lost", ticket)
		c.step()
		c.DropHolder(c.now, "lost")
		return ticket
	}
	foreign := func(c *cell, requests int) {
		c.ObserveLoad(c.now, "e0", kernel.LoadReport{Running: requests, KVTotal: 1000}, nil)
	}
	cases := []struct {
		name string
		fill func(c *cell)
		free func(c *cell)
	}{
		{"deadline", func(c *cell) { lose(c) }, func(c *cell) { c.now = c.now.Add(5 * time.Second) }},
		{"holder is back", func(c *cell) { c.Adopt(c.now, "lost", lose(c), "e0", 0) }, func(c *cell) { c.DropHolder(c.now, "lost"); c.now = c.now.Add(5 * time.Second) }},
		{"late release", func(c *cell) { lose(c) }, func(c *cell) {
			c.Release(c.now, "lost", &protocol.Release{RequestId: "r1", Engine: "e0", Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED})
		}},
		{"lost answer", func(c *cell) {
			ticket := c.submitTokens(500)
			c.step()
			c.Release(c.now, "h", &protocol.Release{RequestId: ticket.RequestId, Engine: "e0", Kind: protocol.ReleaseKind_RELEASE_KIND_LOST})
		}, func(c *cell) { c.now = c.now.Add(maxOrphanedTime) }},
		{"lost answer of another process", func(c *cell) { lose(c) }, func(c *cell) {
			c.Adopt(c.now, "lost", &protocol.Ticket{RequestId: "r1", PromptTokens: 450, OutputTokens: 50}, "e0", 0)
			c.Release(c.now, "lost", &protocol.Release{RequestId: "r1", Engine: "e0", Kind: protocol.ReleaseKind_RELEASE_KIND_LOST, Incarnation: 9})
		}},
		{"restart", func(c *cell) { lose(c) }, func(c *cell) {
			c.SetEngines(c.now, []EngineInfo{{Name: "e0", Slots: 4, KVTokens: 1000, Incarnation: 2}})
			c.now = c.now.Add(time.Second)
		}},
		{"other schedulers", func(c *cell) { foreign(c, 2) }, func(c *cell) { foreign(c, 0) }},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := newMemoryCell(1, 1000)
			c.SetEngines(c.now, []EngineInfo{{Name: "e0", Slots: 4, KVTokens: 1000, Incarnation: 1}})
			k.fill(c)
			large := c.submitTokens(600)
			grants, _ := c.step()
			assert.Equal(t, len(grants), 0)
			k.free(c)
			grants, _ = c.step()
			assert.DeepEqual(t, ids(grants), []string{large.RequestId})
		})
	}
}
