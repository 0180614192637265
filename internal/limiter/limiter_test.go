package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	key   = Key{Workspace: "a", Work: "brief"}
)

// TestConcurrency guards against more requests in flight than the limit, and against one key counting against another's
// limit.
func TestConcurrency(t *testing.T) {
	l := New()
	limits := Limits{Concurrency: 2}
	for range 2 {
		verdict, _ := l.Check(start, key, limits, 1)
		assert.Equal(t, verdict, Allowed)
		l.Start(start, key, limits, 1)
	}
	verdict, _ := l.Check(start, key, limits, 1)
	assert.Equal(t, verdict, ConcurrencyReached)
	verdict, _ = l.Check(start, Key{Workspace: "b", Work: "brief"}, limits, 1)
	assert.Equal(t, verdict, Allowed)
	l.End(start, key, limits, 0)
	verdict, _ = l.Check(start, key, limits, 1)
	assert.Equal(t, verdict, Allowed)
}

// TestTokensPerMinute guards against usage that differs from the limit by more than 10% over one or more minutes when
// the estimates are half of the actual tokens, and against a wait of 0.
func TestTokensPerMinute(t *testing.T) {
	l := New()
	limits := Limits{TokensPerMinute: 60_000}
	var used float64
	for now := start; now.Before(start.Add(10 * time.Minute)); {
		verdict, wait := l.Check(now, key, limits, 100)
		if verdict == Allowed {
			l.Start(now, key, limits, 100)
			l.End(now, key, limits, 100)
			used += 200
			continue
		}
		assert.Equal(t, verdict, TokensReached)
		assert.Assert(t, wait > 0)
		now = now.Add(wait)
		if minutes := now.Sub(start).Minutes(); minutes >= 1 {
			assert.Assert(t, used <= minutes*60_000*1.1, "%v tokens in %v minutes", used, minutes)
			assert.Assert(t, used >= minutes*60_000*0.9, "%v tokens in %v minutes", used, minutes)
		}
	}
}

// TestLargeRequest guards against a request that is never allowed because it is larger than the burst.
func TestLargeRequest(t *testing.T) {
	l := New()
	limits := Limits{TokensPerMinute: 1000}
	verdict, _ := l.Check(start, key, limits, 5000)
	assert.Equal(t, verdict, Allowed)
	l.Start(start, key, limits, 5000)
	_, wait := l.Check(start, key, limits, 5000)
	assert.Assert(t, wait > 4*time.Minute)
	verdict, _ = l.Check(start.Add(wait), key, limits, 5000)
	assert.Equal(t, verdict, Allowed)
}

// TestRetryBudget guards against unlimited retries, against refused first submissions, and against fingerprints that
// are kept without bound.
func TestRetryBudget(t *testing.T) {
	r := NewRetryBudget(RetryBudgetSettings{
		Ratio: 0.5, PerSecond: 0.1, Burst: 2, FailureRetention: time.Minute, MaxEntries: 10,
	})
	r.RecordFailure(start, 1)
	for i, want := range []bool{true, true, false} {
		assert.Equal(t, r.Admit(start, "a", 1), want, "retry %d", i)
	}
	assert.Equal(t, r.RetryAfter("a"), 10*time.Second)
	assert.Assert(t, r.Admit(start, "b", 1), "each workspace has its own budget")
	assert.Assert(t, r.Admit(start, "a", 2))
	assert.Assert(t, r.Admit(start, "a", 3))
	assert.Assert(t, r.Admit(start, "a", 1), "two first submissions earn one retry")
	assert.Assert(t, !r.Admit(start, "a", 1))
	assert.Assert(t, r.Admit(start.Add(10*time.Second), "a", 1), "ten seconds earn one retry")
	assert.Assert(t, !r.Admit(start.Add(10*time.Second), "a", 1))
	for range 3 {
		assert.Assert(t, r.Admit(start.Add(2*time.Minute), "a", 1), "no longer counts as a retry")
	}
	for i := range uint64(20) {
		r.RecordFailure(start.Add(3*time.Minute), i+1)
	}
	assert.Equal(t, len(r.failed), 10)
}
