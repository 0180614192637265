package scheduler

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

// TestDeadlines guards against a prefill for a ticket that can't finish in time, and against refusing one that can. A
// run of 100 prompt and 100 output tokens takes 2.525 s on the engine.
func TestDeadlines(t *testing.T) {
	cases := []struct {
		name       string
		tier       uint32
		workspace  string
		deadlineMs int64
		// queue adds 20 queued tickets of workspace "a" in tier 1, 50.5 s of work for one slot.
		queue   bool
		refused bool
	}{
		{"idle engine, enough time", 1, "b", 2600, false, false},
		{"idle engine, too little time", 1, "b", 2400, false, true},
		{"behind its own queue", 1, "a", 20_000, true, true},
		{"behind its own queue with enough time", 1, "a", 60_000, true, false},
		{"share of the other workspace", 1, "b", 20_000, true, false},
		{"above the queue", 0, "a", 20_000, true, false},
		{"below the queue", 2, "b", 20_000, true, true},
	}
	for _, k := range cases {
		c := newTestCell(1, 1, nil)
		if k.queue {
			c.submit(21, 1, "a")
			c.step()
		}
		ticket := c.ticket(k.tier, k.workspace)
		ticket.DeadlineMs = k.deadlineMs
		c.Submit(c.now, "h", ticket)
		_, refusals := c.step()
		assert.Equal(t, len(refusals) == 1, k.refused, k.name)
		if k.refused {
			assert.Equal(t, refusals[0].Code, CodeDeadlineInfeasible, k.name)
		}
	}
}

// TestExpiry guards against tickets that stay queued after their latest start or their deadline, and against a NextWake
// that misses these times, so that the host doesn't call Step.
func TestExpiry(t *testing.T) {
	c := newTestCell(1, 1, nil)
	c.submit(1, 0, "a")
	c.step()
	for _, code := range []string{CodeDeadlineInfeasible, CodeDeadlineExpired} {
		ticket := c.ticket(1, "a")
		ticket.DeadlineMs = 10_000
		c.Submit(c.now, "h", ticket)
		_, refusals := c.step()
		assert.Equal(t, len(refusals), 0)
		wake := c.NextWake(c.now)
		assert.Equal(t, wake.Sub(c.now), 7475*time.Millisecond)
		c.now = wake
		if code == CodeDeadlineExpired {
			c.now = wake.Add(3 * time.Second)
		}
		_, refusals = c.step()
		assert.Equal(t, len(refusals), 1)
		assert.Equal(t, refusals[0].Code, code)
		assert.Assert(t, c.NextWake(c.now).IsZero())
	}
}

// TestDeadlineAtGrant guards against a grant on an engine that is too slow for the ticket's deadline while another one
// is fast enough.
func TestDeadlineAtGrant(t *testing.T) {
	c := newTestCell(0, 0, nil)
	c.SetEngines(c.now, []EngineInfo{
		{Name: "slow", Slots: 100, PrefillPerSec: 9000, TokensPerSec: 10},
		{Name: "fast", Slots: 2, PrefillPerSec: 4000, TokensPerSec: 40},
	})
	for _, want := range []string{"fast", "fast"} {
		ticket := c.ticket(1, "a")
		ticket.DeadlineMs = 3000
		c.Submit(c.now, "h", ticket)
		grants, _ := c.step()
		assert.Equal(t, len(grants), 1)
		assert.Equal(t, grants[0].Engine, want)
	}
	ticket := c.ticket(1, "a")
	ticket.DeadlineMs = 3000
	c.Submit(c.now, "h", ticket)
	grants, refusals := c.step()
	assert.Equal(t, len(grants)+len(refusals), 0, "a fast engine may become free in time")
	c.now = c.NextWake(c.now)
	grants, refusals = c.step()
	assert.Equal(t, len(grants), 0)
	assert.Equal(t, refusals[0].Code, CodeDeadlineInfeasible)
}

// TestOutputMargin guards against granting an engine that finishes an answer in time only if the length estimate is
// exact, and against a margin that no engine of the pool can meet.
func TestOutputMargin(t *testing.T) {
	cases := []struct {
		name    string
		engines []EngineInfo
		want    string
	}{
		{"one engine fast enough", []EngineInfo{{Name: "fast", TokensPerSec: 40}, {Name: "slow", TokensPerSec: 20}}, "fast"},
		{"none fast enough for the margin", []EngineInfo{
			{Name: "medium", TokensPerSec: 25}, {Name: "slow", TokensPerSec: 18},
		}, "medium"},
	}
	for _, k := range cases {
		c := newTestCell(0, 0, func(s *Settings) { s.OutputMargin = 2 })
		for i := range k.engines {
			// The slow engine has the shorter time to first token.
			k.engines[i].Slots, k.engines[i].PrefillPerSec = 1, float64(4000*(i+1))
		}
		c.SetEngines(c.now, k.engines)
		ticket := c.ticket(0, "a")
		ticket.DeadlineMs = 6000
		c.Submit(c.now, "h", ticket)
		grants, _ := c.step()
		assert.Equal(t, len(grants), 1, k.name)
		assert.Equal(t, grants[0].Engine, k.want, k.name)
		waiting := c.ticket(0, "a")
		waiting.DeadlineMs = 6000
		c.Submit(c.now, "h", waiting)
		grants, _ = c.step()
		assert.Equal(t, len(grants), 0, "%s: waits for the engine that is fast enough", k.name)
	}
}

// TestLateTicketDoesNotBlockOthers guards against a ticket that blocks the others of its tier because the engine with a
// free slot is too slow for its deadline, so that a lower tier gets the slot. It also guards against losing the ticket
// that was passed over.
func TestLateTicketDoesNotBlockOthers(t *testing.T) {
	c := newTestCell(0, 0, nil)
	c.SetEngines(c.now, []EngineInfo{
		{Name: "fast", Slots: 1, PrefillPerSec: 4000, TokensPerSec: 40},
		{Name: "slow", Slots: 1, PrefillPerSec: 4000, TokensPerSec: 10},
	})
	c.submit(2, 0, "b")
	running, _ := c.step()
	var tickets [3]*protocol.Ticket
	for i, deadline := range []int64{11_000, 60_000} {
		tickets[i] = c.ticket(0, "a")
		tickets[i].DeadlineMs = deadline
		c.Submit(c.now, "h", tickets[i])
	}
	tickets[2] = c.submit(1, 1, "a")
	c.now = c.now.Add(2 * time.Second)
	for _, want := range []int{1, 0, 2} {
		i := slices.IndexFunc(running, func(g *protocol.Grant) bool { return (g.Engine == "slow") == (want != 0) })
		c.finish(running[i], protocol.ReleaseKind_RELEASE_KIND_FAILED, 0)
		grants, refusals := c.step()
		assert.DeepEqual(t, ids(grants), []string{tickets[want].RequestId})
		assert.Equal(t, len(refusals), 0)
		running[i] = grants[0]
	}
}
