package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// burst is a plain service whose callers come in waves and repeat a refused request once, when they were told to.
type burst struct {
	// high and low are the new requests per second in the first and second part of each wave.
	high, low  float64
	first, all time.Duration
	deadline   time.Duration
}

type burstResult struct {
	// callers is the number of callers, refusedTwice that of callers without an answer, repeats and early those of requests that were
	// sent again, and of callers that were granted at once.
	callers, refusedTwice, repeats, early int
}

// play runs three seconds of waves on 18 slots with runs of 24 ms, which serve 750 requests per second.
func (b burst) play(t *testing.T) burstResult {
	const step, run, duration, objective = 2 * time.Millisecond, 24 * time.Millisecond, 3 * time.Second, 150 * time.Millisecond
	c := newTestCell(3, 6, nil)
	c.settings.RetryAfterMin, c.settings.RetryAfterMax, c.settings.Retries.Burst = 50*time.Millisecond, time.Second, 1e6
	c.retries = newTestCell(0, 0, func(s *Settings) { s.Retries.Burst = 1e6 }).retries
	type call struct {
		fingerprint uint64
		repeat      bool
		deadline    time.Time
	}
	var result burstResult
	calls, ends, returns := map[string]call{}, map[time.Time][]*protocol.Grant{}, map[time.Time][]call{}
	send := func(k call) {
		ticket := c.ticket(1, "a")
		ticket.PromptTokens, ticket.OutputTokens, ticket.Fingerprint = 0, 0, k.fingerprint
		ticket.StartMs, ticket.DeadlineMs = objective.Milliseconds(), k.deadline.Sub(c.now).Milliseconds()
		calls[ticket.RequestId] = k
		c.Submit(c.now, "h", ticket)
	}
	due := 0.0
	for c.now = start; c.now.Before(start.Add(duration + 2*b.deadline)); c.now = c.now.Add(step) {
		for _, g := range ends[c.now] {
			c.Release(c.now, "h", &protocol.Release{RequestId: g.RequestId, Engine: g.Engine, Kind: protocol.ReleaseKind_RELEASE_KIND_ANSWERED, TotalMs: 20})
		}
		for _, k := range returns[c.now] {
			result.repeats++
			send(k)
		}
		rate := b.low
		if c.now.Sub(start)%b.all < b.first {
			rate = b.high
		}
		for due += rate * step.Seconds(); due >= 1 && c.now.Sub(start) < duration; due-- {
			result.callers++
			send(call{fingerprint: uint64(1_000_000 + result.callers), deadline: c.now.Add(b.deadline)})
		}
		grants, refusals := c.step()
		for _, g := range grants {
			ends[c.now.Add(run)] = append(ends[c.now.Add(run)], g)
			if !calls[g.RequestId].repeat {
				result.early++
			}
		}
		for _, r := range refusals {
			k := calls[r.RequestId]
			after := time.Duration(r.RetryAfterMs) * time.Millisecond
			assert.Assert(t, after <= max(c.settings.RetryAfterMin, time.Duration(retryAfterShare*float64(k.deadline.Sub(c.now)))), "%v", after)
			if k.repeat {
				result.refusedTwice++
				continue
			}
			k.repeat = true
			at := c.now.Add(after.Truncate(step) + step)
			returns[at] = append(returns[at], k)
		}
	}
	return result
}

// TestReturningCallers guards against callers that are told to return while the burst that had them refused lasts, and against
// an overload in which only those that return are served.
func TestReturningCallers(t *testing.T) {
	cases := []struct {
		name string
		burst
		// refusedTwice is the largest share of the callers without an answer: what the slots can't take, and a twentieth.
		refusedTwice float64
	}{
		{"no overload", burst{700, 700, time.Second, time.Second, time.Second}, 0},
		{"short waves", burst{1300, 300, 500 * time.Millisecond, time.Second, time.Second}, 0.05},
		{"waves with long deadlines", burst{1500, 200, 500 * time.Millisecond, time.Second, 4 * time.Second}, 0.05},
		{"lasting overload", burst{1000, 1000, time.Second, time.Second, time.Second}, 0.25 + 0.05},
	}
	for _, k := range cases {
		got := k.play(t)
		t.Logf("%s: %+v", k.name, got)
		assert.Assert(t, float64(got.refusedTwice) <= k.refusedTwice*float64(got.callers), "%s: %+v", k.name, got)
		assert.Assert(t, float64(got.early) >= 0.3*float64(got.callers), "%s: %+v", k.name, got)
	}
}

// TestPromisedReturns guards against callers that are told to return together or faster than the tier's grants leave room, and against
// promises and fingerprints that are kept for ever.
func TestPromisedReturns(t *testing.T) {
	const rate, seconds = 100, 4
	var schedule returnSchedule
	perSecond := map[int64]int{}
	for n := range 3 * rate * seconds {
		interval, found := schedule.promise(start, start.Add(time.Second), start.Add((1+seconds)*time.Second), rate)
		assert.Equal(t, found, n < rate*seconds*returnShare, "promise %d", n)
		if found {
			perSecond[interval.start().Unix()]++
		}
	}
	for second, n := range perSecond {
		assert.Assert(t, n <= rate*returnShare, "%d in second %d", n, second)
	}
	schedule.promise(start.Add(time.Minute), start.Add(time.Minute), start.Add(61*time.Second), rate)
	assert.Equal(t, len(schedule.promised), 1)

	var refused returning
	for n := range 2 * maxReturning {
		refused.add(start, returnPromise{fingerprint: uint64(n + 1), at: start.Add(time.Second)})
	}
	assert.Equal(t, len(refused.promises), maxReturning)
	refused.add(start.Add(time.Minute), returnPromise{fingerprint: 1, at: start.Add(time.Hour)})
	assert.Equal(t, len(refused.promises), 1)
	assert.Equal(t, len(refused.order), 1)
}

// TestReturningOrder guards against a caller that returns as promised and waits behind new requests of its tier and workspace, against
// one that gets ahead of other workspaces or by returning early, and against a second use of the same promise.
func TestReturningOrder(t *testing.T) {
	cases := []struct {
		name      string
		workspace string
		tier      uint32
		after     time.Duration
		// first is whether the caller is granted before a new request that came earlier.
		first bool
	}{
		{"as promised", "a", 1, time.Second, true},
		{"a little later", "a", 1, time.Second + returnGrace, true},
		{"much later", "a", 1, time.Second + 2*returnGrace, false},
		{"early", "a", 1, time.Second - time.Millisecond, false},
		{"another tier", "a", 2, time.Second, false},
		{"another workspace", "b", 1, time.Second, false},
	}
	for _, k := range cases {
		c := newTestCell(1, 1, nil)
		c.submit(1, 0, "other")
		running, _ := c.step()
		c.returning.add(c.now, returnPromise{fingerprint: 7, bucket: 1, at: c.now.Add(time.Second)})
		c.now = c.now.Add(k.after)
		earlier := c.submit(1, 1, "a")
		back, again := c.ticket(k.tier, k.workspace), c.ticket(k.tier, k.workspace)
		back.Fingerprint, again.Fingerprint = 7, 7
		c.Submit(c.now, "h", back)
		c.Submit(c.now, "h", again)
		c.answer(running[0], 100, 100)
		grants, _ := c.step()
		want := earlier
		if k.first {
			want = back
		}
		assert.DeepEqual(t, ids(grants), []string{want.RequestId})
		assert.Assert(t, !c.requests[again.RequestId].returning, k.name)
	}
}
