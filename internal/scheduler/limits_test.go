package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/protocol"
)

func worksWithLimits(limits cataloguer.Limits) map[string]cataloguer.Work {
	return map[string]cataloguer.Work{"work": {Name: "work", Limits: limits}}
}

// TestConcurrencyLimit guards against a workspace that runs more requests than its limit, against a limit that blocks
// other workspaces, and against releases, cancellations and returned grants that don't free their place under the
// limit.
func TestConcurrencyLimit(t *testing.T) {
	c := newTestCell(2, 10, nil)
	c.SetWorks(worksWithLimits(cataloguer.Limits{Concurrency: 4}))
	c.SetLimitShare(0.5)
	c.submit(10, 0, "a")
	grants, _ := c.step()
	assert.Equal(t, len(grants), 2)
	c.submit(2, 3, "b")
	others, _ := c.step()
	assert.Equal(t, len(others), 2)
	for _, free := range []func(g *protocol.Grant){
		func(g *protocol.Grant) { c.answer(g, 100, 100) },
		func(g *protocol.Grant) { c.Cancel(c.now, "h", g.RequestId) },
		func(g *protocol.Grant) { c.finish(g, protocol.ReleaseKind_RELEASE_KIND_UNUSED, 0) },
	} {
		free(grants[0])
		next, _ := c.step()
		assert.Equal(t, len(next), 1)
		grants = append(grants[1:], next...)
	}
}

// TestLimitExceeded guards against tickets that wait for a limit forever, and against refusing tickets that wait for
// capacity.
func TestLimitExceeded(t *testing.T) {
	c := newTestCell(1, 10, nil)
	c.SetWorks(worksWithLimits(cataloguer.Limits{Concurrency: 1}))
	waiting := c.submit(2, 0, "a")
	c.step()
	assert.Equal(t, c.NextWake(c.now).Sub(c.now), c.settings.LimitWait)
	c.now = c.now.Add(c.settings.LimitWait)
	young := c.submit(1, 0, "a")
	_, refusals := c.step()
	assert.DeepEqual(t, ids(refusals), []string{waiting.RequestId})
	assert.Equal(t, refusals[0].Code, CodeLimitExceeded)
	assert.Assert(t, refusals[0].RetryAfterMs > 0)
	assert.Assert(t, c.requests[young.RequestId] != nil)
	// The lack of an engine now delays the tickets for longer than LimitWait.
	c.SetLeaving(c.now, "e0", true)
	c.SetWorks(worksWithLimits(cataloguer.Limits{Concurrency: 2}))
	c.step()
	c.now = c.now.Add(2 * c.settings.LimitWait)
	c.step()
	c.SetLeaving(c.now, "e0", false)
	c.SetWorks(worksWithLimits(cataloguer.Limits{Concurrency: 1}))
	for range 2 {
		_, refusals = c.step()
		assert.Equal(t, len(refusals), 0)
	}
}

// TestTokensPerMinuteLimit guards against more tokens per minute than the limit, and against a work queue that stays
// throttled although tokens are available again.
func TestTokensPerMinuteLimit(t *testing.T) {
	c := newTestCell(4, 100, nil)
	c.SetWorks(worksWithLimits(cataloguer.Limits{TokensPerMinute: 60_000}))
	var tokens float64
	for round := 0; c.now.Before(start.Add(5 * time.Minute)); round++ {
		assert.Assert(t, round < 10_000, "the time of the next wake doesn't advance")
		for c.queued() < 5 {
			c.submit(1, 0, "a")
		}
		grants, refusals := c.step()
		assert.Equal(t, len(refusals), 0)
		for _, g := range grants {
			c.answer(g, 100, 200)
			tokens += 300
		}
		if wake := c.NextWake(c.now); wake.After(c.now) {
			c.now = wake
		}
	}
	assert.Assert(t, within(tokens, 5*60_000, 0.1), "%v", tokens)
}

// TestRetryBudget guards against an unbounded number of callers' retries, and against a ticket that counts as a
// caller's retry because its holder sent it again.
func TestRetryBudget(t *testing.T) {
	c := newTestCell(0, 0, func(s *Settings) { s.MaxQueue, s.Retries.Burst = 1, 3 })
	c.submit(1, 0, "a")
	codes := make(map[string]int)
	for range 10 {
		retry := c.ticket(1, "a")
		retry.Fingerprint = 7
		c.Submit(c.now, "h", retry)
		_, refusals := c.step()
		codes[refusals[0].Code]++
	}
	assert.DeepEqual(t, codes, map[string]int{CodeOverloaded: 4, CodeRetryBudgetExceeded: 6})
	resent := c.ticket(0, "a")
	resent.Fingerprint, resent.AgeMs = 7, 10
	c.Submit(c.now, "h", resent)
	c.DropHolder(c.now, "h")
	resent.RequestId = "other"
	c.Submit(c.now, "h", resent)
	assert.Equal(t, c.Backlog()[0], 1)
}

// TestRetryAfter guards against refused callers that all return at once or before the queue can have drained.
func TestRetryAfter(t *testing.T) {
	c := newTestCell(1, 1, func(s *Settings) { s.MaxQueue = 8 })
	c.submit(108, 3, "a")
	_, refusals := c.step()
	assert.Equal(t, len(refusals), 99)
	distinct := make(map[int64]bool)
	for _, r := range refusals {
		// Eight tickets of 2.525 s each are queued, and more at the time of the first refusals.
		assert.Assert(t, r.RetryAfterMs >= 10_000 && r.RetryAfterMs <= 90_000, "%v", r)
		distinct[r.RetryAfterMs] = true
	}
	assert.Assert(t, len(distinct) > 80)
}
