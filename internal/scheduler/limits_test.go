package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/protocol"
)

func limited(limits cataloguer.Limits) map[string]cataloguer.Work {
	return map[string]cataloguer.Work{"work": {Name: "work", Limits: limits}}
}

// TestConcurrencyLimit guards against a workspace running more than its limit, against its limit holding up other
// workspaces, and against slots of the limit that a release, a cancel or a returned grant doesn't free.
func TestConcurrencyLimit(t *testing.T) {
	c := newCell(2, 10, nil)
	c.SetWorks(limited(cataloguer.Limits{Concurrency: 4}))
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

// TestLimitExceeded guards against tickets that wait for a limit for ever, and against refusing those that wait
// for capacity.
func TestLimitExceeded(t *testing.T) {
	c := newCell(1, 10, nil)
	c.SetWorks(limited(cataloguer.Limits{Concurrency: 1}))
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
	// Now the engine is the bottleneck for longer than the wait.
	c.SetLeaving(c.now, "e0", true)
	c.SetWorks(limited(cataloguer.Limits{Concurrency: 2}))
	c.step()
	c.now = c.now.Add(2 * c.settings.LimitWait)
	c.step()
	c.SetLeaving(c.now, "e0", false)
	c.SetWorks(limited(cataloguer.Limits{Concurrency: 1}))
	for range 2 {
		_, refusals = c.step()
		assert.Equal(t, len(refusals), 0)
	}
}

// TestTokensPerMinuteLimit guards against a use over the limit of tokens per minute, and against a lane that is
// never reopened as tokens come in.
func TestTokensPerMinuteLimit(t *testing.T) {
	c := newCell(4, 100, nil)
	c.SetWorks(limited(cataloguer.Limits{TokensPerMinute: 60_000}))
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

// TestRetryBudget guards against callers' retries without bound, and against a resent ticket counting as a retry.
func TestRetryBudget(t *testing.T) {
	c := newCell(0, 0, func(s *Settings) { s.MaxQueue, s.Retries.Burst = 1, 3 })
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

// TestRetryAfter guards against refused callers returning together or before the queue can have drained.
func TestRetryAfter(t *testing.T) {
	c := newCell(1, 1, func(s *Settings) { s.MaxQueue = 8 })
	c.submit(108, 3, "a")
	_, refusals := c.step()
	assert.Equal(t, len(refusals), 99)
	distinct := make(map[int64]bool)
	for _, r := range refusals {
		// Eight tickets of 2.525 s are queued, and more at the first refusals.
		assert.Assert(t, r.RetryAfterMs >= 10_000 && r.RetryAfterMs <= 90_000, "%v", r)
		distinct[r.RetryAfterMs] = true
	}
	assert.Assert(t, len(distinct) > 80)
}
