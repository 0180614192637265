package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// answerAtSpeed releases a grant as answered, with the time that its output takes at a speed in tokens per second.
func (c *cell) answerAtSpeed(g *protocol.Grant, speed int64) {
	c.Release(c.now, "h", &protocol.Release{RequestId: g.RequestId, Engine: g.Engine,
		Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED, PromptTokens: 100, OutputTokens: 100,
		FirstTokenMs: 25, TotalMs: 25 + 100_000/speed})
}

// TestOutputSample guards against learning an output speed from an answer so short that all its tokens came with the
// first event. The engine would seem able to finish any answer in time.
func TestOutputSample(t *testing.T) {
	c := newTestCell(1, 1, func(s *Settings) { s.OutputSample = 128 })
	for _, k := range []struct {
		tokens uint32
		ms     int64
		want   float64
	}{{22, 1, 40}, {128, 6400, 20}} {
		c.submit(1, 0, "a")
		grants, _ := c.step()
		c.Release(c.now, "h", &protocol.Release{RequestId: grants[0].RequestId, Engine: grants[0].Engine,
			Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED, PromptTokens: 100, OutputTokens: k.tokens,
			FirstTokenMs: 25, TotalMs: 25 + k.ms})
		assert.Equal(t, c.engines.list[0].decodeSpeed(), k.want, "%d tokens", k.tokens)
	}
}

// TestStraggler guards against new work for an engine that became slow, against excluding more engines than the cap
// allows, against excluding engines when load slows the whole pool, and against an engine that returns at full load.
func TestStraggler(t *testing.T) {
	speeds := map[string]int64{}
	c := newTestCell(8, 4, func(s *Settings) { s.StragglerCap = 0.25 })
	round := func(n int) map[string]int {
		count := make(map[string]int)
		for range n {
			c.submit(32, 1, "a")
			grants, _ := c.step()
			clear(count)
			for _, g := range grants {
				count[g.Engine]++
			}
			c.now = c.now.Add(100 * time.Millisecond)
			for _, g := range grants {
				speed := int64(40)
				if s := speeds[g.Engine]; s > 0 {
					speed = s
				}
				c.answerAtSpeed(g, speed)
			}
		}
		return count
	}
	round(5)
	for _, e := range c.engines.list {
		speeds[e.info.Name] = 10
	}
	round(3)
	assert.Equal(t, c.engines.excludedOrReturning(), 0, "the whole pool is slow")
	clear(speeds)
	round(20)
	for _, e := range []string{"e0", "e1", "e2"} {
		speeds[e] = 4
	}
	count := round(5)
	assert.Equal(t, c.engines.excludedOrReturning(), 2)
	excluded := c.engines.excludedEngines[0]
	assert.Equal(t, count[excluded.info.Name], 0)
	assert.Assert(t, excluded.reason != "")
	clear(speeds)
	c.now = excluded.probeAt
	for _, want := range []int{1, 2, 4} {
		assert.Equal(t, round(1)[excluded.info.Name], want)
	}
	assert.Equal(t, excluded.pace.Requests(), 0)
}

// TestOverdue guards against new work for an engine that doesn't answer at all.
func TestOverdue(t *testing.T) {
	c := newTestCell(4, 4, nil)
	c.submit(16, 1, "a")
	grants, _ := c.step()
	c.now = c.now.Add(time.Minute)
	for _, g := range grants {
		if g.Engine != "e3" {
			c.answerAtSpeed(g, 40)
		}
	}
	c.report("e3", "one")
	assert.Assert(t, c.engines.byName["e3"].excluded)
	assert.Assert(t, !c.engines.byName["e0"].excluded)
}

// TestStaleReport guards against an outdated report that counts this scheduler's requests twice or hides those of other
// schedulers.
func TestStaleReport(t *testing.T) {
	cases := []struct {
		name   string
		report kernel.LoadReport
		want   int
	}{
		{"four own requests, ended since the report", kernel.LoadReport{Running: 4, AgeMS: 500}, 4},
		{"two of another scheduler", kernel.LoadReport{Running: 5, Waiting: 1, AgeMS: 500}, 2},
		{"fresh and full", kernel.LoadReport{Running: 4}, 0},
		{"too old", kernel.LoadReport{Running: 8, AgeMS: 5000}, 4},
		{"draining", kernel.LoadReport{Draining: true}, 0},
		{"fewer slots than the catalogue says", kernel.LoadReport{BatchSlots: 3}, 3},
	}
	for _, k := range cases {
		c := newTestCell(1, 4, nil)
		c.submit(10, 1, "a")
		grants, _ := c.step()
		c.now = c.now.Add(time.Second)
		for _, g := range grants {
			c.answer(g, 100, 100)
		}
		c.now = c.now.Add(100 * time.Millisecond)
		c.ObserveLoad(c.now, "e0", k.report, nil)
		grants, _ = c.step()
		assert.Equal(t, len(grants), k.want, k.name)
	}
}

// TestEngineDown guards against grants on an engine whose load reports fail or that a holder can't reach, and against
// tickets that wait forever in a pool without usable engines.
func TestEngineDown(t *testing.T) {
	c := newTestCell(2, 2, nil)
	// NoUpstreamAfter must end before the second probe, or the tickets would be served after all.
	c.settings.NoUpstreamAfter = c.settings.ProbeAfter
	c.submit(8, 1, "a")
	grants, _ := c.step()
	for _, g := range grants {
		if g.Engine == "e0" {
			c.finish(g, protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE, 0)
		}
	}
	for range failedPollsUntilDown {
		c.ObserveLoad(c.now, "e1", kernel.LoadReport{}, errPoll)
	}
	grants, refusals := c.step()
	assert.Equal(t, len(grants)+len(refusals), 0)
	assert.Equal(t, c.Backlog()[1], 6)
	c.now = c.NextWake(c.now)
	grants, _ = c.step()
	assert.Equal(t, len(grants), 1, "one probe")
	c.finish(grants[0], protocol.ReleaseKind_RELEASE_KIND_UNREACHABLE, 0)
	c.step()
	c.now = c.now.Add(c.settings.NoUpstreamAfter)
	_, refusals = c.step()
	assert.Equal(t, len(refusals), 6)
	assert.Equal(t, refusals[0].Code, CodeNoUpstream)
}

// TestUnusableLoadReport guards against an engine that is taken out of use because its load reports can't be read, or
// because it refuses to make any.
func TestUnusableLoadReport(t *testing.T) {
	for _, err := range []error{
		&kernel.ConnectionLostError{Cause: &kernel.MalformedAnswerError{Cause: errPoll}}, &kernel.RejectedError{Status: 500},
	} {
		c := newTestCell(1, 4, nil)
		for range failedPollsUntilDown + 1 {
			c.ObserveLoad(c.now, "e0", kernel.LoadReport{}, err)
		}
		c.submit(1, 0, "a")
		grants, _ := c.step()
		assert.Equal(t, len(grants), 1, "%v", err)
	}
}
