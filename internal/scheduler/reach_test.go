package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// TestUnreachableForOneHolder guards against an engine that is taken from all holders because one of them could not connect,
// against one that stays in use though no holder reaches it, and against a pool that loses most of its engines this way.
func TestUnreachableForOneHolder(t *testing.T) {
	const (
		answered    = protocol.ReleaseKind_RELEASE_KIND_ANSWERED
		failed      = protocol.ReleaseKind_RELEASE_KIND_FAILED
		unreachable = protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE
		probeAfter  = time.Second
	)
	type event struct {
		at     time.Duration
		holder string
		engine int
		kind   protocol.ReleaseKind
	}
	ms := time.Millisecond
	cases := []struct {
		name    string
		engines int
		events  []event
		// at is when the grants are looked at; holders are those that get grants of engine e0 then, and excluded is the number of
		// excluded engines.
		at       time.Duration
		holders  string
		excluded int
	}{
		{"one holder", 3, []event{{0, "b", 0, answered}, {10 * ms, "a", 0, unreachable}}, 20 * ms, "bc", 0},
		{"one holder, all its grants", 3, []event{{0, "b", 0, answered}, {10 * ms, "a", 0, unreachable}, {11 * ms, "a", 0, unreachable},
			{12 * ms, "a", 0, unreachable}}, 20 * ms, "bc", 0},
		{"one holder, later", 3, []event{{0, "b", 0, answered}, {10 * ms, "a", 0, unreachable}}, 20*ms + probeAfter, "abc", 0},
		{"one holder, again", 3, []event{{0, "b", 0, answered}, {10 * ms, "a", 0, unreachable}, {probeAfter, "b", 0, answered},
			{20*ms + probeAfter, "a", 0, unreachable}}, 30*ms + 2*probeAfter, "bc", 0},
		{"one holder, reached again", 3, []event{{0, "b", 0, answered}, {10 * ms, "a", 0, unreachable}, {15 * ms, "a", 0, answered}}, 20 * ms, "abc", 0},
		{"others had errors", 3, []event{{0, "b", 0, failed}, {10 * ms, "a", 0, unreachable}}, 20 * ms, "bc", 0},
		{"two holders", 3, []event{{0, "c", 0, answered}, {10 * ms, "a", 0, unreachable}, {12 * ms, "b", 0, unreachable}}, 20 * ms, "", 1},
		{"two holders behind a cut, others had answers", 3, []event{{0, "c", 0, answered}, {10 * ms, "a", 0, unreachable},
			{11 * ms, "c", 0, answered}, {12 * ms, "b", 0, unreachable}}, 20 * ms, "c", 0},
		{"stopped after a last answer", 3, []event{{0, "c", 0, answered}, {10 * ms, "a", 0, unreachable}, {11 * ms, "c", 0, answered},
			{12 * ms, "b", 0, unreachable}, {14 * ms, "c", 0, unreachable}}, 20 * ms, "", 1},
		{"no other holder had an answer", 3, []event{{0, "a", 0, answered}, {10 * ms, "a", 0, unreachable}}, 20 * ms, "", 1},
		{"others had answers long ago", 3, []event{{0, "b", 0, answered}, {5 * time.Second, "a", 0, unreachable}}, 5001 * ms, "", 1},
		{"all engines", 4, []event{{0, "a", 1, unreachable}, {0, "a", 2, unreachable}, {0, "a", 3, unreachable}, {0, "a", 0, unreachable},
			{ms, "b", 1, unreachable}, {ms, "b", 2, unreachable}, {ms, "b", 3, unreachable}, {ms, "b", 0, unreachable}}, 20 * ms, "c", 2},
	}
	for _, k := range cases {
		c := newTestCell(k.engines, 6, func(s *Settings) { s.ProbeAfter = probeAfter })
		for _, e := range k.events {
			c.now = start.Add(e.at)
			c.Step(c.now)
			c.Release(c.now, e.holder, &protocol.Release{RequestId: "x", Engine: fmt.Sprint("e", e.engine), Kind: e.kind})
		}
		c.now = start.Add(k.at)
		c.Step(c.now)
		got, excluded := "", 0
		for _, e := range c.engines.list {
			if e.excluded {
				excluded++
			}
		}
		for _, holder := range []string{"a", "b", "c"} {
			c.Submit(c.now, holder, c.ticket(0, "w"))
			if r := c.requests[fmt.Sprint("r", c.ticketCount)]; c.engines.byName["e0"].admits(r) == blockNone {
				got += holder
			}
		}
		assert.Equal(t, got, k.holders, k.name)
		assert.Equal(t, excluded, k.excluded, k.name)
	}
}

// TestUnreachablePool guards against tickets that wait for ever in a pool in which an engine stays in use though nobody reaches it,
// against a holder that fails with many grants at once after its pause, and against tickets of one that can't reach any engine.
func TestUnreachablePool(t *testing.T) {
	c := newTestCell(1, 6, func(s *Settings) { s.ProbeAfter, s.ProbeAfterMax = time.Second, time.Second })
	refused := 0
	c.submit(1, 0, "a")
	for range 30 {
		grants, refusals := c.step()
		for _, g := range grants {
			c.finish(g, protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE, 0)
		}
		for _, r := range refusals {
			assert.Equal(t, r.Code, CodeNoUpstream)
			assert.Equal(t, c.now.Sub(start), c.settings.NoUpstreamAfter)
			refused++
		}
		c.now = c.now.Add(time.Second)
	}
	assert.Equal(t, refused, 1)

	c = newTestCell(1, 6, func(s *Settings) { s.ProbeAfter = time.Second })
	e := c.engines.byName["e0"]
	e.reach.recordAnswer("other", c.now)
	e.reach.recordFailure("h", c.now, time.Second, time.Minute)
	c.now = c.now.Add(time.Second)
	c.submit(3, 0, "a")
	grants, _ := c.step()
	assert.Equal(t, len(grants), 1, "one attempt")
	c.answer(grants[0], 100, 100)
	grants, _ = c.step()
	assert.Equal(t, len(grants), 2)

	c = newTestCell(2, 6, nil)
	for _, e := range c.engines.list {
		e.reach.recordAnswer("other", c.now)
		c.Release(c.now, "h", &protocol.Release{RequestId: "x", Engine: e.info.Name, Kind: protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE})
	}
	ticket := c.ticket(0, "a")
	ticket.DeadlineMs = 1000
	c.Submit(c.now, "h", ticket)
	_, refusals := c.step()
	assert.Equal(t, len(refusals), 1)
	assert.Equal(t, refusals[0].Code, CodeNoUpstream)
	assert.Equal(t, time.Duration(refusals[0].RetryAfterMs)*time.Millisecond, c.settings.ProbeAfter)
}
