package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

func (c *cell) runWithPrefixes(hashes ...uint64) *protocol.Grant {
	ticket := c.ticket(1, "a")
	ticket.PromptTokens, ticket.PrefixHashes = 4000, hashes
	c.Submit(c.now, "h", ticket)
	grants, _ := c.step()
	c.answer(grants[0], 4000, 100)
	return grants[0]
}

// TestPrefixAffinity guards against computing a prefix again on another engine, against following a prefix to an engine
// with much work ahead, and against relying on prefixes that an engine has evicted. A gap in the events must not end
// the affinity.
func TestPrefixAffinity(t *testing.T) {
	c := newTestCell(300, 20, nil)
	first := c.runWithPrefixes(1, 2, 3)
	// A little work ahead makes the engine the last one in the heap of its generation.
	busy := c.engines.byName[first.Engine]
	busy.decodeAhead = 0.01
	busy.updateAhead(c.now)
	c.engines.refreshOne(busy)
	assert.Equal(t, c.runWithPrefixes(1, 2, 4).Engine, first.Engine, "shares two thirds of the prompt")
	e := c.engines.byName[first.Engine]
	event := func(seq uint64, kind kernel.CacheEventKind, hash uint64) {
		c.ObserveCache(c.now, first.Engine, kernel.CacheEvents{Events: []kernel.CacheEvent{{Seq: seq, Kind: kind, Hash: hash}}})
	}
	event(1, kernel.CacheEvicted, 3)
	assert.Equal(t, len(c.engines.prefixes.engines[3]), 1, "the eviction is older than the dispatch")
	event(2, kernel.CacheStored, 9)
	assert.Equal(t, len(c.engines.prefixes.engines[9]), 1)
	c.now = c.now.Add(time.Minute)
	event(3, kernel.CacheEvicted, 3)
	assert.Equal(t, len(c.engines.prefixes.engines[3]), 0)
	event(9, kernel.CacheStored, 10)
	assert.Equal(t, len(e.cache.lastSeen), 5, "a gap in the events says nothing about the other prefixes")
	assert.Equal(t, c.runWithPrefixes(1, 2, 5).Engine, first.Engine, "known before the gap")
	c.report(first.Engine, "one")
	c.report(first.Engine, "two")
	assert.Equal(t, len(c.engines.prefixes.engines[10]), 0)

	c = newTestCell(8, 20, nil)
	first = c.runWithPrefixes(1, 2, 3)
	e = c.engines.byName[first.Engine]
	e.prefillUntil = c.now.Add(3 * time.Second)
	assert.Assert(t, c.runWithPrefixes(1, 2, 3).Engine != first.Engine, "three seconds of work ahead, one of prefill")
}

// TestPrefixEntries guards against an index that grows without bound.
func TestPrefixEntries(t *testing.T) {
	c := newTestCell(1, 20, func(s *Settings) { s.PrefixEntries = 10 })
	for i := range uint64(100) {
		c.runWithPrefixes(i, i+1000)
	}
	assert.Equal(t, len(c.engines.prefixes.engines), 10)
	assert.Equal(t, len(c.engines.list[0].cache.lastSeen), 10)
}
